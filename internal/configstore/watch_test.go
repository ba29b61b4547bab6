package configstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/revision"
	"amaranthwheel.example/amaranthwheel/internal/store"
	standin "amaranthwheel.example/amaranthwheel/standin/store"
)

// startWatch runs a watch until the test ends and returns its snapshots and
// errors.
func startWatch(t *testing.T, c *Client) (<-chan Snapshot, <-chan error) {
	t.Helper()
	snapshots := make(chan Snapshot, 100)
	watchErrors := make(chan error, 1000)
	c.OnWatchError = func(err error) { watchErrors <- err }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- c.Watch(ctx, 0, func(s Snapshot) { snapshots <- s }) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("watch returned %v", err)
		}
	})
	return snapshots, watchErrors
}

// waitFor polls until the condition is true.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no %s in time", what)
		}
	}
}

func TestWatchResumesAfterDropAndOutage(t *testing.T) {
	server, client := newServer(t, testTimeout)
	writer := client()
	snapshots, _ := startWatch(t, client())
	faults := []func(){
		func() { waitFor(t, "watch", func() bool { return server.Watches() == 1 }) },
		server.DropWatches,
		func() { server.SetFaults(standin.Faults{Down: true}) },
		func() { server.SetFaults(standin.Faults{SlowMS: 600}) },
	}
	for v, fault := range faults {
		fault()
		time.Sleep(20 * time.Millisecond)
		server.SetFaults(standin.Faults{})
		mustApply(t, writer, uint64(v), domainOut(fmt.Sprint("change-", v), fmt.Sprint("domain-", v)))
		got := <-snapshots
		if got.Version != uint64(v+1) || len(got.Objects) != 1 || got.Objects[0].Version != got.Version {
			t.Errorf("after fault %d: %+v", v, got)
		}
	}
}

// TestCallsPerChange checks the number of calls that the package's documentation
// states.
func TestCallsPerChange(t *testing.T) {
	server, client := newServer(t, time.Second)
	snapshots, _ := startWatch(t, client())
	waitFor(t, "watch", func() bool { return server.Watches() == 1 })
	if got, want := server.Counts(), (standin.Counts{Txn: 1, Watch: 1}); got != want {
		t.Errorf("start of a watch: %+v, want %+v", got, want)
	}
	mustApply(t, client(), 0, domainOut("first", "a"))
	<-snapshots
	if got, want := server.Counts(), (standin.Counts{Txn: 1 + 2 + 1, Watch: 1}); got != want {
		t.Errorf("after one change: %+v, want %+v", got, want)
	}
}

func TestWatchedVersionNeverDecreases(t *testing.T) {
	_, client := newServer(t, testTimeout)
	writer := client()
	for v := range uint64(3) {
		mustApply(t, writer, v, domainOut(fmt.Sprint("change-", v), "a"))
	}
	snapshots, watchErrors := startWatch(t, client())
	if got := <-snapshots; got.Version != 3 {
		t.Fatalf("first: %+v", got)
	}
	writeVersion := func(v uint64) {
		put := store.Put{Key: writer.keys.version(), Value: formatVersion(v)}
		if _, err := writer.kv.Txn(t.Context(), store.Txn{Ops: []store.Op{put}}); err != nil {
			t.Fatal(err)
		}
	}
	writeVersion(1)
	var stale *StaleStoreError
	for err := range watchErrors {
		if errors.As(err, &stale) {
			break
		}
	}
	if stale.LastSeen != 3 || stale.Current != 1 {
		t.Errorf("failure: %v", stale)
	}
	writeVersion(4)
	if got := <-snapshots; got.Version != 4 {
		t.Errorf("after the store caught up: %+v", got)
	}
}

// outageStore is an empty store that is unavailable until downUntil. It records
// the times of its calls.
type outageStore struct {
	store.Store
	downUntil time.Time
	mu        sync.Mutex
	calls     []time.Time
}

func (s *outageStore) recordCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, time.Now())
	if time.Now().Before(s.downUntil) {
		return store.ErrUnavailable
	}
	return nil
}

func (s *outageStore) Txn(context.Context, store.Txn) (store.TxnResult, error) {
	return store.TxnResult{Revision: revision.New(1, 1), Ranges: make([]store.RangeResult, 2)}, s.recordCall()
}

func (s *outageStore) Watch(ctx context.Context, _ string, _ store.Revision, _ func(store.Event)) error {
	if err := s.recordCall(); err != nil {
		return err
	}
	<-ctx.Done()
	return store.ErrWatchEnded
}

// maxCallsPerBucket returns the largest number of calls in one bucket between two
// times.
func (s *outageStore) maxCallsPerBucket(from, to time.Time, bucket time.Duration) int {
	count := make(map[int64]int)
	largest := 0
	for _, at := range s.calls {
		if at.Before(from) || at.After(to) {
			continue
		}
		b := at.Sub(from).Nanoseconds() / bucket.Nanoseconds()
		count[b]++
		largest = max(largest, count[b])
	}
	return largest
}

// TestNoThunderingHerdAfterOutage lets 60 balancers lose the store at the same
// moment, in virtual time, and counts their calls when it recovers.
func TestNoThunderingHerdAfterOutage(t *testing.T) {
	const (
		balancers = 60
		outage    = 10 * time.Minute
		bucket    = 100 * time.Millisecond
		// maxCalls allows a sixth of the balancers two calls each.
		maxCalls = balancers / 6 * 2
	)
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		kv := &outageStore{downUntil: start.Add(outage)}
		ctx, cancel := context.WithCancel(t.Context())
		for range balancers {
			go func() { _ = New(kv, "test").Watch(ctx, 0, func(Snapshot) {}) }()
		}
		time.Sleep(outage + 30*time.Second)
		cancel()
		synctest.Wait()

		during := kv.maxCallsPerBucket(start.Add(time.Minute), kv.downUntil, bucket)
		after := kv.maxCallsPerBucket(kv.downUntil, kv.downUntil.Add(30*time.Second), bucket)
		last := kv.calls[len(kv.calls)-1].Sub(kv.downUntil)
		rate := float64(len(kv.calls)) / outage.Seconds()
		t.Logf("largest number of calls in %v: %d during the outage, %d after it; all balancers reconnected after %v; %.1f calls/s on average", bucket, during, after, last, rate)
		if during > maxCalls || after > maxCalls {
			t.Errorf("thundering herd: %d calls in %v during the outage, %d after it", during, bucket, after)
		}
		if last > defaultRetry.maxInterval*3/2 {
			t.Errorf("the last balancer reconnected after %v", last)
		}
	})
}
