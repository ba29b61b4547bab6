package store

import "amaranthwheel.example/amaranthwheel/internal/store/etcdjson"

// Faults are the switches of a Server. The zero value is a healthy store.
type Faults struct {
	// Down closes every connection without an answer and ends all watches.
	Down bool `json:"down"`
	// SlowMS delays every call, in milliseconds, before it takes effect. The
	// call takes effect also when its caller has given up.
	SlowMS int `json:"slow_ms"`
	// LoseResponses is the number of next writes that take effect and whose
	// answers are lost. It counts down to 0.
	LoseResponses int `json:"lose_answers"`
}

// Counts is the number of calls by kind, failed ones included. A watch counts
// once.
type Counts struct {
	Range          int64 `json:"range"`
	Txn            int64 `json:"txn"`
	LeaseGrant     int64 `json:"lease_grant"`
	LeaseKeepAlive int64 `json:"lease_keepalive"`
	LeaseRevoke    int64 `json:"lease_revoke"`
	Watch          int64 `json:"watch"`
}

// Total returns the number of all calls.
func (c Counts) Total() int64 {
	return c.Range + c.Txn + c.LeaseGrant + c.LeaseKeepAlive + c.LeaseRevoke + c.Watch
}

func (c *Counts) add(path string) {
	switch path {
	case etcdjson.PathRange:
		c.Range++
	case etcdjson.PathTxn:
		c.Txn++
	case etcdjson.PathLeaseGrant:
		c.LeaseGrant++
	case etcdjson.PathLeaseKeepAlive:
		c.LeaseKeepAlive++
	case etcdjson.PathLeaseRevoke:
		c.LeaseRevoke++
	case etcdjson.PathWatch:
		c.Watch++
	}
}

// SetFaults replaces the switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		s.dropWatches()
	}
}

// Faults returns the switches as they are now.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ExpireAllLeases ends all leases, as if their holders had been paused.
func (s *Server) ExpireAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.lapse()
	s.announce()
}

// DropWatches ends all watches.
func (s *Server) DropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropWatches()
}

// Counts returns the calls since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Watches returns the number of watches that wait now.
func (s *Server) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// loseAnswer reports whether the answer to a write is to be lost.
func (s *Server) loseAnswer() bool {
	if s.faults.LoseResponses == 0 {
		return false
	}
	s.faults.LoseResponses--
	return true
}
