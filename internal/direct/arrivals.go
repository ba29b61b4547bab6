package direct

import (
	"sync"
	"time"
)

// maxArrivalTime is how long a response may take to arrive before its connection counts as lost:
// that of the largest value over a link of 10 Mbit/s, with a margin.
const maxArrivalTime = 2 * time.Second

// arrivals holds when the responses that are arriving began to. It is safe for concurrent use.
type arrivals struct {
	mu      sync.Mutex
	started map[*pollResult]time.Time
}

func (a *arrivals) add(r *pollResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started == nil {
		a.started = make(map[*pollResult]time.Time)
	}
	a.started[r] = time.Now()
}

func (a *arrivals) remove(r *pollResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.started, r)
}

// any reports whether a response is arriving whose connection does not count as lost.
func (a *arrivals) any() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, started := range a.started {
		if time.Since(started) < maxArrivalTime {
			return true
		}
	}
	return false
}
