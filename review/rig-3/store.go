package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created_rev,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	changed chan struct{}
	address string
	server  *http.Server
}

func newStore(w *world) (*store, error) {
	s := &store{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	l, err := net.Listen("tcp4", net.JoinHostPort(w.ip(250), "0"))
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.leaseEnd)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) put(key string, value []byte, leaseID int64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: leaseID}
	s.items[key] = it
	s.record(it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for _, key := range s.keys("") {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) keys(prefix string) []string {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// operate writes an entry as the operator does.
func (s *store) operate(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, 404, map[string]any{"as_of": s.rev})
		return
	}
	reply(w, 200, map[string]any{"key": it.Key, "value": it.Value, "rev": it.Rev, "created_rev": it.Created, "lease": it.Lease, "as_of": s.rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, items := r.URL.Query().Get("after"), []item{}
	for _, k := range s.keys(r.URL.Query().Get("prefix")) {
		if k > after {
			items = append(items, s.items[k])
		}
	}
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, 200, map[string]any{"items": items, "has_more": more, "as_of": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		changed, rev := s.changed, s.rev
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": events, "as_of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Delete []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, failed := []item{}, false
	for _, e := range body.Expect {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		failed = failed || it.Rev != e.Rev
	}
	if failed {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, wr := range body.Writes {
		if strings.HasPrefix(wr.Key, "op/") || strings.HasPrefix(wr.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if wr.Lease != 0 && s.leases[wr.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	for _, wr := range body.Writes {
		s.put(wr.Key, wr.Value, wr.Lease)
	}
	for _, k := range body.Delete {
		s.remove(k)
	}
	reply(w, 200, map[string]any{"rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(77000 + len(s.history) + len(s.leases) + int(time.Now().UnixNano()%1e6))
	for s.leases[id] != nil {
		id++
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"lease": id, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) leaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, 404, map[string]any{})
		return
	}
	s.endLease(id)
	reply(w, 200, map[string]any{})
}

func (s *store) close() { _ = s.server.Close() }
