package store

import (
	"maps"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/store/etcdjson"
)

// lease is a granted lease with the keys that end with it.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	keys     map[string]bool
}

func (m *memory) attach(id int64, key string) {
	if l := m.leases[id]; l != nil {
		l.keys[key] = true
	}
}

func (m *memory) detach(id int64, key string) {
	if l := m.leases[id]; l != nil {
		delete(l.keys, key)
	}
}

func (m *memory) grant(now time.Time, r *etcdjson.LeaseGrantRequest) *etcdjson.LeaseGrantResponse {
	ttl := time.Duration(max(r.TTL, 1)) * time.Second
	m.lastLease++
	id := m.lastLease
	m.leases[id] = &lease{ttl: ttl, deadline: now.Add(ttl), keys: make(map[string]bool)}
	return &etcdjson.LeaseGrantResponse{Header: m.header(), ID: id, TTL: int64(ttl / time.Second)}
}

func (m *memory) keepAlive(now time.Time, r *etcdjson.LeaseKeepAliveRequest) *etcdjson.LeaseKeepAliveResponse {
	response := &etcdjson.LeaseKeepAliveResponse{Header: m.header(), ID: r.ID}
	if l := m.leases[r.ID]; l != nil {
		l.deadline = now.Add(l.ttl)
		response.TTL = int64(l.ttl / time.Second)
	}
	return response
}

// revoke ends a lease and deletes its keys in one revision.
func (m *memory) revoke(id int64) error {
	l := m.leases[id]
	if l == nil {
		return errLeaseNotFound
	}
	keys := slices.Sorted(maps.Keys(l.keys))
	if len(keys) > 0 {
		m.revision++
	}
	for _, key := range keys {
		m.deleteRange([]byte(key), nil, m.revision)
	}
	delete(m.leases, id)
	return nil
}

// expire ends the leases whose deadline has passed and reports whether there
// were any.
func (m *memory) expire(now time.Time) bool {
	expired := false
	for id, l := range m.leases {
		if now.After(l.deadline) {
			expired = m.revoke(id) == nil || expired
		}
	}
	return expired
}

// lapse ends all leases at once.
func (m *memory) lapse() {
	for id := range m.leases {
		// The lease exists, so revoke cannot fail.
		_ = m.revoke(id)
	}
}
