package direct

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

const (
	// minRetry and maxRetry bound the pause after a failed call. The longest one
	// is short: a node without a configuration can't serve.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
)

// newBackoff returns the jittered pauses between failed calls to the store.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetry
	b.MaxInterval = maxRetry
	return b
}

// follower keeps a copy of the pairs under a prefix of the store.
type follower struct {
	store  store.Polled
	prefix string
	// wait returns how long the next poll waits.
	wait func() time.Duration
	// pause returns how long to wait after a change before the next poll.
	pause func() time.Duration
	// byOperators reports whether operators write a key.
	byOperators func(key string) bool
	// changed is called with the copy after each answer of the store.
	changed func(copied)
	// fresh is called when the copy begins and ceases to be up to date.
	fresh func(bool, error)
	// refresh asks for a read of all pairs.
	refresh request

	pairs map[string]store.KeyValue
	// operatorRevision and agentRevision are those of the last changes.
	operatorRevision, agentRevision store.Revision
	isUp                            bool
}

// copied is a copy of a part of the store.
type copied struct {
	pairs []store.KeyValue
	// revision is the state of the store that was copied.
	revision uint64
	// operatorRevision is that of the last change by operators, agentRevision
	// that of the last one by agents.
	operatorRevision, agentRevision uint64
}

// run follows the prefix until the context ends.
func (f *follower) run(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		err := f.follow(ctx, retry)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		f.setFresh(false, err)
		if errors.Is(err, store.ErrHistoryGone) {
			continue
		}
		sleep(ctx, retry.NextBackOff())
	}
}

func (f *follower) setFresh(up bool, err error) {
	if f.isUp == up {
		return
	}
	f.isUp = up
	f.fresh(up, err)
}

// follow reads all pairs and polls for changes until a call fails.
func (f *follower) follow(ctx context.Context, retry *backoff.ExponentialBackOff) error {
	result, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	retry.Reset()
	f.replace(result)
	f.notify(result.Revision)
	f.setFresh(true, nil)
	revision := result.Revision
	for {
		events, next, again, err := f.poll(ctx, revision)
		if err != nil || again {
			return err
		}
		revision = next
		f.apply(events)
		f.notify(revision)
		if len(events) > 0 {
			if f.pauseAfterChange(ctx) {
				return nil
			}
		}
	}
}

// pauseAfterChange waits before the next poll, so that a series of changes
// costs a few calls. It reports whether a refresh was asked for meanwhile.
func (f *follower) pauseAfterChange(ctx context.Context) bool {
	timer := time.NewTimer(f.pause())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.refresh:
		return true
	}
	return false
}

// notify passes the copy on.
func (f *follower) notify(revision store.Revision) {
	f.changed(copied{
		pairs: f.sorted(), revision: uint64(revision),
		operatorRevision: uint64(f.operatorRevision), agentRevision: uint64(f.agentRevision),
	})
}

// poll waits for changes. A refresh ends it early, and again is set.
func (f *follower) poll(ctx context.Context, after store.Revision) (events []store.Event, next store.Revision, again bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	refreshed := make(chan bool, 1)
	go func() {
		select {
		case <-f.refresh:
			refreshed <- true
			cancel()
		case <-done:
			refreshed <- false
		}
	}()
	events, next, err = f.store.Poll(ctx, f.prefix, after, f.wait())
	close(done)
	if <-refreshed {
		return nil, 0, true, nil
	}
	return events, next, false, err
}

// replace takes a whole read into the copy. A pair that is gone was deleted at
// some revision up to that of the read.
func (f *follower) replace(result store.RangeResult) {
	before := f.pairs
	f.pairs = make(map[string]store.KeyValue, len(result.KVs))
	for _, kv := range result.KVs {
		f.pairs[kv.Key] = kv
		f.noteRevision(kv)
	}
	for key := range before {
		if _, ok := f.pairs[key]; !ok {
			f.noteRevision(store.KeyValue{Key: key, ModRevision: result.Revision})
		}
	}
}

func (f *follower) noteRevision(kv store.KeyValue) {
	if f.byOperators(kv.Key) {
		f.operatorRevision = max(f.operatorRevision, kv.ModRevision)
	} else {
		f.agentRevision = max(f.agentRevision, kv.ModRevision)
	}
}

// apply takes events into the copy.
func (f *follower) apply(events []store.Event) {
	for _, e := range events {
		f.noteRevision(e.KV)
		if e.Deleted {
			delete(f.pairs, e.KV.Key)
			continue
		}
		f.pairs[e.KV.Key] = e.KV
	}
}

func (f *follower) sorted() []store.KeyValue {
	out := make([]store.KeyValue, 0, len(f.pairs))
	for _, key := range slices.Sorted(maps.Keys(f.pairs)) {
		out = append(out, f.pairs[key])
	}
	return out
}

// sleep waits for the duration or the context's end.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
