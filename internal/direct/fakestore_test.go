package direct

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/revision"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// fakeStore is an in-memory store with fault injection.
type fakeStore struct {
	mu        sync.Mutex
	era       uint64
	number    int64
	pairs     map[string]store.KeyValue
	events    []store.Event
	compacted int64 // events up to this number are discarded
	lease     store.LeaseID
	calls     int
	// down makes calls fail; silent makes polls return no events.
	down, silent bool
	// hangs makes polls that begin never respond.
	hangs bool
	// dropped counts the calls of dropWaitingPolls.
	dropped int
}

func newFakeStore() *fakeStore {
	return &fakeStore{era: store.FirstEra, number: 1, pairs: make(map[string]store.KeyValue)}
}

// revision returns the store's revision; f.mu is held.
func (f *fakeStore) revision() store.Revision { return revision.New(f.era, f.number) }

func (f *fakeStore) set(key, value string, lease store.LeaseID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number++
	kv := store.KeyValue{Key: key, Value: []byte(value), ModRevision: f.revision(), Lease: lease}
	f.pairs[key] = kv
	f.events = append(f.events, store.Event{KV: kv})
}

func (f *fakeStore) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number++
	delete(f.pairs, key)
	f.events = append(f.events, store.Event{KV: store.KeyValue{Key: key, ModRevision: f.revision()}, Deleted: true})
}

// compact discards the history.
func (f *fakeStore) compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compacted = f.number
	f.events = nil
}

// dropWaitingPolls makes the polls that wait at present never respond.
func (f *fakeStore) dropWaitingPolls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropped++
}

func (f *fakeStore) countDropped() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropped
}

func (f *fakeStore) hangPolls(hang bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hangs = hang
}

func (f *fakeStore) hanging() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hangs
}

func (f *fakeStore) setFaults(down, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.silent = down, silent
}

func (f *fakeStore) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

func (f *fakeStore) countCall() error {
	f.calls++
	if f.down {
		return store.ErrUnavailable
	}
	return nil
}

func (f *fakeStore) List(_ context.Context, prefix string) (store.ListResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return store.ListResult{}, err
	}
	out := store.ListResult{Revision: f.revision(), Pages: 1}
	for _, key := range slices.Sorted(maps.Keys(f.pairs)) {
		if strings.HasPrefix(key, prefix) {
			out.KVs = append(out.KVs, f.pairs[key])
		}
	}
	return out, nil
}

func (f *fakeStore) Get(_ context.Context, key string) (store.KeyValue, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return store.KeyValue{}, false, err
	}
	kv, ok := f.pairs[key]
	return kv, ok, nil
}

// pollInterval is the interval at which a waiting poll checks for events.
const pollInterval = time.Millisecond

func (f *fakeStore) Poll(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	deadline := time.Now().Add(wait)
	dropped := f.countDropped()
	if f.hanging() {
		<-ctx.Done()
		return nil, store.Revision{}, ctx.Err()
	}
	for {
		if f.countDropped() != dropped {
			<-ctx.Done()
			return nil, store.Revision{}, ctx.Err()
		}
		events, revision, err := f.eventsSince(prefix, after)
		if err != nil || len(events) > 0 || time.Now().After(deadline) {
			return events, revision, err
		}
		sleep(ctx, pollInterval)
		if ctx.Err() != nil {
			return nil, store.Revision{}, ctx.Err()
		}
	}
}

func (f *fakeStore) eventsSince(prefix string, after store.Revision) ([]store.Event, store.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, store.Revision{}, store.ErrUnavailable
	}
	if f.silent {
		return nil, after, nil
	}
	if after.Number() < f.compacted {
		return nil, store.Revision{}, store.ErrCompacted
	}
	var out []store.Event
	for _, e := range f.events {
		if e.KV.ModRevision.After(after) && strings.HasPrefix(e.KV.Key, prefix) {
			out = append(out, e)
		}
	}
	return out, f.revision(), nil
}

func (f *fakeStore) Write(_ context.Context, t store.Txn) (store.Revision, error) {
	if err := f.checkWrite(t); err != nil {
		return store.Revision{}, err
	}
	for _, op := range t.Ops {
		switch op := op.(type) {
		case store.Put:
			f.set(op.Key, string(op.Value), op.Lease)
		case store.Delete:
			f.remove(op.Key)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision(), nil
}

// checkWrite returns why the store refuses a transaction, if it does.
func (f *fakeStore) checkWrite(t store.Txn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return err
	}
	for _, c := range t.Compares {
		if f.pairs[c.Key].ModRevision != c.ModRevision {
			return store.ErrCompareFailed
		}
	}
	for _, op := range t.Ops {
		if put, ok := op.(store.Put); ok && put.Lease != 0 && put.Lease != f.lease {
			return store.ErrLeaseLapsed
		}
	}
	return nil
}

func (f *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return 0, err
	}
	f.lease++
	return f.lease, nil
}

func (f *fakeStore) KeepAlive(_ context.Context, id store.LeaseID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return err
	}
	if id != f.lease {
		return store.ErrLeaseLapsed
	}
	return nil
}
