package direct

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/revision"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// storeWatcher maintains a copy of the pairs under a key prefix of the store.
type storeWatcher struct {
	store  store.PollingStore
	prefix string
	// pollWait returns how long the next poll waits.
	pollWait func() time.Duration
	// changePause returns how long to wait after a change before the next poll.
	changePause func() time.Duration
	// isOperatorKey reports whether operators write a key.
	isOperatorKey func(key string) bool
	// onSnapshot is called with the copy after each successful call.
	onSnapshot func(storeSnapshot)
	// onFailing is called with the error when the watch is lost, or can't be established at
	// first; once until it is established.
	onFailing func(err error, lost bool)
	// onEstablished is called when the watch is established, with the failures before it.
	onEstablished func(watchFailures)
	// refresh requests a check for changes that does not rely on the waiting poll.
	refresh signal
	// arrivals are the responses that have begun to arrive.
	arrivals arrivals

	pairs map[string]store.KeyValue
	// operatorRevision and agentRevision are the revisions of the last change by
	// operators and by agents.
	operatorRevision, agentRevision store.Revision
	// polled reports that a poll has succeeded since the last read, refusedPolls how many times
	// in series that was not so.
	polled       bool
	refusedPolls int
	// failed counts the attempts to watch that have failed.
	failed atomic.Uint64

	mu          sync.Mutex // guards the fields below
	established bool
	failures    watchFailures
}

// watchFailures is the failed attempts to watch since the watch was last established. The zero
// value means none.
type watchFailures struct {
	// err is that of the last attempt, since the time of the first one.
	err      error
	attempts int
	since    time.Time
}

// currentFailures returns the failed attempts since the watch was last established.
func (w *storeWatcher) currentFailures() watchFailures {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures
}

// storeSnapshot is the contents of a key prefix of the store.
type storeSnapshot struct {
	pairs []store.KeyValue
	// revision is the revision of the store at which the pairs were read, confirmedAt a
	// time at which that was the newest one of the prefix.
	revision    store.Revision
	confirmedAt time.Time
	// operatorRevision is that of the last change by operators, agentRevision
	// that of the last one by agents.
	operatorRevision, agentRevision store.Revision
	// times is how long the call took whose response changed the pairs.
	times responseTimes
}

// responseTimes is how long a response took to arrive, and to be decoded.
type responseTimes struct{ received, decoded time.Duration }

func (t *responseTimes) add(received, decoded time.Duration) {
	t.received += received
	t.decoded += decoded
}

// run watches the prefix until the context ends.
func (w *storeWatcher) run(ctx context.Context) {
	retry := newStoreRetry()
	for ctx.Err() == nil {
		w.polled = false
		err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		w.recordFailure(err)
		if w.polled {
			retry.reset()
			if errors.Is(err, store.ErrCompacted) {
				continue // the store may drop its history: the pairs are read again at once
			}
		}
		sleep(ctx, retry.next(err))
	}
}

// recordFailure records that an attempt to watch has failed.
func (w *storeWatcher) recordFailure(err error) {
	w.failed.Add(1)
	w.mu.Lock()
	first, lost := w.failures.attempts == 0, w.established
	if first {
		w.failures.since = time.Now()
	}
	w.failures.err = err
	w.failures.attempts++
	w.established = false
	w.mu.Unlock()
	if first {
		w.onFailing(err, lost)
	}
}

// recordEstablished records that the watch is established.
func (w *storeWatcher) recordEstablished() {
	w.mu.Lock()
	failures, established := w.failures, w.established
	w.failures, w.established = watchFailures{}, true
	w.mu.Unlock()
	if !established {
		w.onEstablished(failures)
	}
}

// watch reads all pairs and polls for changes until a call fails. The watch counts as
// established once the pairs were read, or only once a poll has succeeded if the store has
// refused the first poll after a read before.
func (w *storeWatcher) watch(ctx context.Context) error {
	read, err := w.read(ctx)
	if err != nil {
		return err
	}
	w.replacePairs(read)
	w.publish(read.revision, read.confirmedAt, read.times)
	w.refresh.clear()
	if w.refusedPolls == 0 {
		w.recordEstablished()
	}
	at := read.revision
	for {
		r := w.poll(ctx, at)
		if r.err != nil {
			if !w.polled {
				w.refusedPolls++
			}
			return r.err
		}
		at = r.next
		w.recordPolled()
		for _, e := range r.events {
			w.raiseRevision(e.KV)
		}
		applyEvents(w.pairs, r.events)
		w.publish(at, r.confirmedAt, r.times)
		if len(r.events) > 0 {
			w.refresh.clear()
			w.pauseAfterChange(ctx)
		}
	}
}

// recordPolled records that a poll has succeeded.
func (w *storeWatcher) recordPolled() {
	w.polled, w.refusedPolls = true, 0
	w.recordEstablished()
}

// pauseAfterChange waits before the next poll, so that a series of changes
// costs few calls. A requested refresh ends the pause.
func (w *storeWatcher) pauseAfterChange(ctx context.Context) {
	timer := time.NewTimer(w.changePause())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.refresh:
		w.refresh.raise() // for the poll that follows
	}
}

// publish passes a copy of the pairs to onSnapshot.
func (w *storeWatcher) publish(at store.Revision, confirmedAt time.Time, times responseTimes) {
	w.onSnapshot(storeSnapshot{
		pairs: w.sortedPairs(), revision: at, confirmedAt: confirmedAt, times: times,
		operatorRevision: w.operatorRevision, agentRevision: w.agentRevision,
	})
}

// pollResult is the result of a poll.
type pollResult struct {
	events []store.Event
	// next is the revision to go on from.
	next store.Revision
	// confirmedAt is when the poll began. The store may have responded long before the
	// response is read, if the host was suspended.
	confirmedAt time.Time
	times       responseTimes
	err         error
}

const (
	// maxChecks bounds the polls of a watcher that do not wait and are in progress.
	maxChecks = 8
	// arrivalCheckInterval is the interval at which a postponed refresh is tried again.
	arrivalCheckInterval = 50 * time.Millisecond
)

// poll waits for changes after a revision. While it waits, each requested refresh starts
// another poll that does not wait, as the store may have dropped the earlier ones. Such a
// poll without changes is published, and the wait continues. No refresh starts while a
// response is arriving: it may hold a large change, of which another copy would halve the rate.
func (w *storeWatcher) poll(ctx context.Context, after store.Revision) pollResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waiting, checks := make(chan pollResult, 1), make(chan pollResult, maxChecks)
	go func() { waiting <- w.pollOnce(ctx, after, w.pollWait()) }()
	inProgress := 0
	var confirmedAt time.Time // by a check
	var postponed <-chan time.Time
	defer func() {
		if postponed != nil {
			w.refresh.raise()
		}
	}()
	for {
		select {
		case r := <-waiting:
			return r
		case <-postponed:
			postponed = nil
			w.refresh.raise()
		case <-w.refresh:
			if w.arrivals.any() {
				postponed = time.After(arrivalCheckInterval)
			} else if inProgress < maxChecks {
				inProgress++
				go func() { checks <- w.pollOnce(ctx, after, 0) }()
			}
		case r := <-checks:
			inProgress--
			switch {
			case r.err != nil && r.confirmedAt.Before(confirmedAt):
				// A later check has succeeded.
			case r.err != nil || len(r.events) > 0:
				return r
			default:
				confirmedAt = r.confirmedAt
				w.recordPolled()
				w.publish(r.next, r.confirmedAt, r.times)
			}
		}
	}
}

// pollOnce makes a poll.
func (w *storeWatcher) pollOnce(ctx context.Context, after store.Revision, wait time.Duration) pollResult {
	r := pollResult{confirmedAt: time.Now()}
	defer w.arrivals.remove(&r)
	ctx = store.WithTrace(ctx, &store.Trace{
		ResponseStarted: func() { w.arrivals.add(&r) }, ResponseDecoded: r.times.add,
	})
	r.events, r.next, r.err = w.store.Poll(ctx, w.prefix, after, wait)
	return r
}

// readResult is the pairs under the prefix as the store held them at a revision.
type readResult struct {
	pairs    map[string]store.KeyValue
	revision store.Revision
	// confirmedAt is a time at which the revision was the newest one.
	confirmedAt time.Time
	times       responseTimes
}

var (
	// errIncompleteRead reports that the changes between the pages of a list are not known.
	errIncompleteRead = errors.New("the list could not be completed")
	errPollBehindRead = errors.New("the poll does not reach its newest pair")
)

// read reads all pairs. Changes between the pages of a list are applied to it before anyone uses
// it: the revision of the newest pair would else stand for changes that the copy lacks.
func (w *storeWatcher) read(ctx context.Context) (readResult, error) {
	r := readResult{confirmedAt: time.Now()}
	list, err := w.store.List(store.WithTrace(ctx, &store.Trace{ResponseDecoded: r.times.add}), w.prefix)
	if err != nil {
		return r, err
	}
	r.revision, r.pairs = list.Revision, make(map[string]store.KeyValue, len(list.KVs))
	newest := list.Revision
	for _, kv := range list.KVs {
		r.pairs[kv.Key] = kv
		newest = revision.Later(newest, kv.ModRevision)
	}
	if list.Pages <= 1 {
		return r, nil
	}
	p := w.pollOnce(ctx, list.Revision, 0)
	if p.err == nil && p.next.Before(newest) {
		p.err = errPollBehindRead
	}
	if p.err != nil {
		return r, fmt.Errorf("%w: %w", errIncompleteRead, p.err)
	}
	applyEvents(r.pairs, p.events)
	r.revision, r.confirmedAt = p.next, p.confirmedAt
	r.times.add(p.times.received, p.times.decoded)
	return r, nil
}

// replacePairs replaces the copy by the result of a read. A pair that is missing
// from it was deleted at some revision up to that of the read.
func (w *storeWatcher) replacePairs(r readResult) {
	for _, kv := range r.pairs {
		w.raiseRevision(kv)
	}
	for key := range w.pairs {
		if _, ok := r.pairs[key]; !ok {
			w.raiseRevision(store.KeyValue{Key: key, ModRevision: r.revision})
		}
	}
	w.pairs = r.pairs
}

// raiseRevision raises the revision of the writer of a changed pair.
func (w *storeWatcher) raiseRevision(kv store.KeyValue) {
	if w.isOperatorKey(kv.Key) {
		w.operatorRevision = revision.Later(w.operatorRevision, kv.ModRevision)
	} else {
		w.agentRevision = revision.Later(w.agentRevision, kv.ModRevision)
	}
}

// applyEvents applies events to pairs.
func applyEvents(pairs map[string]store.KeyValue, events []store.Event) {
	for _, e := range events {
		if e.Deleted {
			delete(pairs, e.KV.Key)
			continue
		}
		pairs[e.KV.Key] = e.KV
	}
}

func (w *storeWatcher) sortedPairs() []store.KeyValue {
	out := make([]store.KeyValue, 0, len(w.pairs))
	for _, key := range slices.Sorted(maps.Keys(w.pairs)) {
		out = append(out, w.pairs[key])
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
