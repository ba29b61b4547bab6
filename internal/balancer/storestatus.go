package balancer

import (
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
)

// storeStatus records the result of the last read of the store. It is safe for
// concurrent use.
type storeStatus struct {
	mu       sync.Mutex
	lastRead time.Time
	err      error
}

func (s *storeStatus) recordRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = time.Now().UTC()
	s.err = nil
}

func (s *storeStatus) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *storeStatus) report() *adminapi.StoreStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := &adminapi.StoreStatus{Reachable: s.err == nil && !s.lastRead.IsZero(), LastRead: s.lastRead}
	if s.err != nil {
		status.Error = s.err.Error()
	}
	return status
}
