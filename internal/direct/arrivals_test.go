package direct

import (
	"context"
	"sync"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

// slowLinkStore is a store whose responses with events take a time to arrive.
type slowLinkStore struct {
	*fakeStore
	arrival time.Duration

	mu sync.Mutex
	// sent counts the polls whose responses hold events.
	sent int
}

func (s *slowLinkStore) Poll(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	events, next, err := s.fakeStore.Poll(ctx, prefix, after, wait)
	if len(events) == 0 {
		return events, next, err
	}
	store.TraceOf(ctx).ResponseStarted()
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	sleep(ctx, s.arrival)
	return events, next, ctx.Err()
}

func (s *slowLinkStore) countSent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// refreshOften requests refreshes until the test ends, as agents do that tell of a newer revision.
func refreshOften(t *testing.T, refresh signal) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			refresh.raise()
			sleep(ctx, pollInterval)
		}
	}()
}

// Guards against a change that comes late over a slow link because it is sent again with each
// refresh while it is arriving.
func TestChangeIsSentOnceWhileItArrives(t *testing.T) {
	s := &slowLinkStore{fakeStore: newFakeStore(), arrival: 500 * time.Millisecond}
	s.set("op/config", "1", 0)
	refresh := newSignal()
	o := startWatcher(t, s, refresh)
	eventually(t, "first read", func() bool { return o.value("op/config") == "1" })
	refreshOften(t, refresh)
	s.set("op/config", "2", 0)
	eventually(t, "change", func() bool { return o.value("op/config") == "2" })
	// The waiting poll and one refresh may have begun before the first byte arrived.
	if sent := s.countSent(); sent > 2 {
		t.Errorf("the change was sent %d times", sent)
	}
}

// The connection goes silent while a change arrives. A refresh must not wait for it for longer than
// the largest change takes to arrive.
func TestChangeThatStopsArrivingIsReadAgain(t *testing.T) {
	s := &slowLinkStore{fakeStore: newFakeStore(), arrival: time.Hour}
	s.set("op/config", "1", 0)
	refresh := newSignal()
	o := startWatcher(t, s, refresh)
	eventually(t, "first read", func() bool { return o.value("op/config") == "1" })
	s.set("op/config", "2", 0)
	eventually(t, "the change begins to arrive", func() bool { return s.countSent() > 0 })
	s.set("op/config", "3", 0)
	before := s.countSent()
	refreshOften(t, refresh)
	started := time.Now()
	eventually(t, "another read", func() bool { return s.countSent() > before })
	if elapsed := time.Since(started); elapsed > maxArrivalTime+500*time.Millisecond {
		t.Errorf("the change was read again after %v", elapsed)
	}
}
