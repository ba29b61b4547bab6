package balancer

import (
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
)

// storeState remembers how the last read of the store went. It is safe for
// concurrent use.
type storeState struct {
	mu       sync.Mutex
	lastRead time.Time
	err      error
}

func (s *storeState) read() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = time.Now().UTC()
	s.err = nil
}

func (s *storeState) failed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *storeState) report() *adminapi.StoreStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &adminapi.StoreStatus{Reachable: s.err == nil && !s.lastRead.IsZero(), LastRead: s.lastRead}
	if s.err != nil {
		out.Error = s.err.Error()
	}
	return out
}
