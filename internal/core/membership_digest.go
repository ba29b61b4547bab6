package core

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Subscriber is a receiver of member records: a balancer follows all members,
// an agent follows the balancers and the agents of one service.
type Subscriber struct {
	Role    model.Role
	Service model.ServiceName
}

// Follows reports whether the subscriber follows the member's record.
func (s Subscriber) Follows(m *model.Member) bool {
	if s.Role == model.RoleBalancer || m.Role == model.RoleBalancer {
		return true
	}
	return s.Service != "" && m.Service == s.Service
}

// MemberSummary holds order-independent hashes over the records of members
// that are not gone, updated with every change.
type MemberSummary struct {
	balancers uint64
	agents    map[model.ServiceName]uint64
	allAgents uint64
}

// Replace updates the summary for a record that replaces another. Either may
// be nil.
func (s *MemberSummary) Replace(old, new *model.Member) {
	s.toggle(old)
	s.toggle(new)
}

// toggle adds a record that is not in the summary, and removes one that is.
func (s *MemberSummary) toggle(m *model.Member) {
	if m == nil || m.Gone() {
		return
	}
	hash := recordHash(m)
	if m.Role == model.RoleBalancer {
		s.balancers ^= hash
		return
	}
	if s.agents == nil {
		s.agents = make(map[model.ServiceName]uint64)
	}
	s.allAgents ^= hash
	s.agents[m.Service] ^= hash
	if s.agents[m.Service] == 0 {
		delete(s.agents, m.Service)
	}
}

// Digest returns the hash over the records that the subscriber follows.
func (s *MemberSummary) Digest(subscriber Subscriber) uint64 {
	switch {
	case subscriber.Role == model.RoleBalancer:
		return s.balancers ^ s.allAgents
	case subscriber.Service == "":
		return s.balancers
	}
	return s.balancers ^ s.agents[subscriber.Service]
}

// recordHash hashes the fields that decide the precedence between records of a
// node.
func recordHash(m *model.Member) uint64 {
	var buf [17]byte
	binary.LittleEndian.PutUint64(buf[0:], m.Incarnation)
	binary.LittleEndian.PutUint64(buf[8:], m.Revision)
	buf[16] = byte(m.State)
	d := xxhash.New()
	_, _ = d.WriteString(string(m.Node))
	_, _ = d.Write(buf[:])
	return d.Sum64()
}

// MemberBucket returns the bucket of a node among count buckets.
func MemberBucket(node model.NodeID, count int) int {
	return int(xxhash.Sum64String(string(node)) % uint64(count))
}

// BucketHashes returns a hash for each bucket over the records that the
// subscriber follows and that are not gone.
func (s *MemberSection) BucketHashes(subscriber Subscriber, count int) []uint32 {
	hashes := make([]uint32, count)
	for node, m := range s.Records {
		if !m.Gone() && subscriber.Follows(&m) {
			hashes[MemberBucket(node, count)] ^= uint32(recordHash(&m))
		}
	}
	return hashes
}
