package direct

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

const (
	// renewalsPerLease is how often a lease is renewed within its TTL.
	renewalsPerLease = 3
	// renewRetryInterval is the interval of retries after a failed renewal.
	renewRetryInterval = 3 * time.Second
)

// registrar keeps an agent registered: it maintains the agent's record in the store.
type registrar struct {
	store store.PollingStore
	node  string
	key   string
	// served holds, without a lease, the record as last written. The record itself may
	// have lapsed, so only this entry tells which incarnation was served. Each process of
	// the agent writes it before it serves a target, and all its writes expect it
	// unchanged: what a stopped process has left to be executed late is refused.
	served   entry
	leaseTTL time.Duration
	// desired holds the latest record that is to be written, nil if the stored one is to
	// be deleted.
	desired chan *steering.AgentRecord
	// verify requests a check of the stored record, save a save of the flows.
	verify, save signal
	notify       func(steering.Event)
	warn         func(string, error)
	info         func(string, ...any)
	// hostTime returns the time by the clock that the host's processes share, 0 if unknown.
	hostTime func() time.Duration

	lease store.LeaseID
	// leaseEra is the era of the store in which the lease was granted.
	leaseEra uint64
	record   *steering.AgentRecord
	// incarnations are those of the records that this process has written, the latest last.
	incarnations []int64
	// deleted reports that the stored record was deleted as desired.
	deleted   bool
	storeDown bool
	// lastFailure is the error of the last failed call.
	lastFailure error
	// failed counts the calls to the store that have failed.
	failed atomic.Uint64
	saver  *saver
	// era is that of the store as last seen.
	era uint64
}

// setDesired sets the record to write, nil to delete it. It replaces one that is still
// pending.
func (r *registrar) setDesired(record *steering.AgentRecord) {
	select {
	case <-r.desired:
	default: // none was pending
	}
	r.desired <- record
}

// run reads the record that an earlier process left, and maintains the desired
// one until the context ends.
func (r *registrar) run(ctx context.Context) {
	r.readPrevious(ctx)
	r.checkEra(ctx)
	timer := time.NewTimer(r.leaseTTL / renewalsPerLease)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case record := <-r.desired:
			r.record = record
			r.storeDesired(ctx)
		case <-r.verify:
			r.verifyRecord(ctx)
		case <-r.save:
			r.saveFlows(ctx)
		case <-timer.C:
			timer.Reset(r.renewLease(ctx))
		}
		r.checkEra(ctx)
	}
}

// readPrevious reads the record of an earlier process. It retries until it succeeds.
func (r *registrar) readPrevious(ctx context.Context) {
	retry := newStoreRetry()
	for ctx.Err() == nil {
		kv, found, err := r.served.get(ctx, r.store)
		if err != nil {
			r.markStoreDown(err)
			sleep(ctx, retry.next(err))
			continue
		}
		previous := r.decodePrevious(kv, found)
		r.markStoreUp()
		if found {
			r.saver.load(ctx, &r.served)
		}
		r.notify(previous)
		return
	}
}

// decodePrevious decodes the served incarnation that an earlier process left. The entry is
// incomplete if the store may have lost a later one: it was restored from a copy since the
// entry was written, or since any would have been.
func (r *registrar) decodePrevious(kv store.KeyValue, found bool) *steering.PreviousRecord {
	if !found {
		return &steering.PreviousRecord{Incomplete: r.store.Era() > store.FirstEra}
	}
	previous, err := decodeServed(r.node, kv.Value, kv.ModRevision.Era())
	if err != nil {
		// Some incarnation was served, but it is unknown which.
		r.warn("The agent's own record is malformed.", err)
		return &steering.PreviousRecord{Found: true, Incomplete: true}
	}
	return previous
}

// storeDesired writes the record, or deletes the stored one if none is desired. It
// retries until it succeeds or the desired record changes.
func (r *registrar) storeDesired(ctx context.Context) {
	retry := newStoreRetry()
	for ctx.Err() == nil && len(r.desired) == 0 {
		err := r.storeOnce(ctx)
		if err == nil {
			r.markStoreUp()
			return
		}
		r.markStoreDown(err)
		sleep(ctx, retry.next(err))
	}
}

// storeOnce tries once to write or delete the record.
func (r *registrar) storeOnce(ctx context.Context) error {
	if r.record == nil {
		err := r.removeRecord(ctx)
		r.deleted = err == nil
		return err
	}
	r.deleted = false
	if err := r.putRecord(ctx); err != nil {
		return err
	}
	r.notify(&steering.RecordStored{Incarnation: r.record.Incarnation})
	return nil
}

// putRecord tries once to write the record under the lease.
func (r *registrar) putRecord(ctx context.Context) error {
	value, err := encodeRecord(r.record)
	if err != nil {
		return err
	}
	if err := r.ensureLease(ctx); err != nil {
		return err
	}
	err = writeIfUnchanged(ctx, r.store, []*entry{&r.served}, func() ([]store.Op, error) {
		served, err := encodeServed(r.record, r.servedBefore(), r.store.Era(), r.hostTime(), time.Now())
		return []store.Op{store.Put{Key: r.key, Value: value, Lease: r.lease}, store.Put{Key: r.served.key, Value: served}}, err
	})
	if err == nil && r.store.Era() > r.leaseEra {
		err = errLeaseOfEarlierEra
	}
	if errors.Is(err, store.ErrLeaseLapsed) {
		r.lease = 0
	}
	return err
}

// maxServedBefore bounds the incarnations that are recorded beside the present one. Two are
// usual, if another process claims a live target's place.
const maxServedBefore = 8

// servedBefore returns the incarnations other than the record's that this process has served.
func (r *registrar) servedBefore() []int64 {
	present := r.record.Incarnation
	others := slices.DeleteFunc(slices.Clone(r.incarnations), func(i int64) bool { return i == present })
	if len(others) > maxServedBefore {
		others = others[len(others)-maxServedBefore:]
	}
	r.incarnations = append(slices.Clone(others), present)
	return others
}

// removeRecord tries once to delete the record.
func (r *registrar) removeRecord(ctx context.Context) error {
	return writeIfUnchanged(ctx, r.store, []*entry{&r.served}, func() ([]store.Op, error) {
		return []store.Op{store.Delete{Key: r.key}}, nil
	})
}

// ensureLease obtains a lease if there is none.
func (r *registrar) ensureLease(ctx context.Context) error {
	if r.lease != 0 {
		return nil
	}
	lease, err := r.store.Grant(ctx, r.leaseTTL)
	if err != nil {
		return err
	}
	r.lease, r.leaseEra = lease, r.store.Era()
	return nil
}

// verifyRecord rewrites the record if the store does not hold it as written.
func (r *registrar) verifyRecord(ctx context.Context) {
	if r.record == nil {
		return
	}
	kv, found, err := r.store.Get(ctx, r.key)
	switch {
	case err != nil:
		r.markStoreDown(err)
	case !found || kv.Lease != r.lease || !r.isRecord(kv.Value):
		r.info("The record is missing. Rewriting it.", "key", r.key)
		r.lease = 0
		r.storeDesired(ctx)
	default:
		r.markStoreUp()
	}
}

// isRecord reports whether a value is the record of the same target. The peer's address may
// have been translated on its way.
func (r *registrar) isRecord(value []byte) bool {
	record, err := decodeRecord(r.node, value)
	return err == nil && record.Incarnation == r.record.Incarnation && record.Service == r.record.Service
}

// saveFlows tries once to save the flows, under the record's lease.
func (r *registrar) saveFlows(ctx context.Context) {
	if r.lease == 0 {
		return
	}
	switch called, err := r.saver.save(ctx, r.lease, &r.served); {
	case errors.Is(err, store.ErrLeaseLapsed):
		r.replaceLease(ctx)
	case err != nil:
		r.markStoreDown(err)
	case called:
		r.markStoreUp()
	}
}

// renewLease renews the lease and returns the time until the next renewal.
func (r *registrar) renewLease(ctx context.Context) time.Duration {
	if r.lease == 0 {
		return renewRetryInterval
	}
	switch err := r.store.KeepAlive(ctx, r.lease); {
	case errors.Is(err, store.ErrLeaseLapsed):
		r.replaceLease(ctx)
	case err != nil:
		r.markStoreDown(err)
		return renewRetryInterval
	default:
		r.markStoreUp()
	}
	return r.leaseTTL / renewalsPerLease
}

// replaceLease rewrites the record, if there is one, which lapsed with its lease, under a
// new one.
func (r *registrar) replaceLease(ctx context.Context) {
	r.lease = 0
	if r.record == nil {
		return
	}
	r.info("The lease has lapsed. Rewriting the record.", "key", r.key)
	r.storeDesired(ctx)
}

// handOverFlows saves the flows for the process that takes the agent's place.
func (r *registrar) handOverFlows(ctx context.Context) {
	if err := r.ensureLease(ctx); err != nil {
		r.warn("The flows could not be handed over.", err)
		return
	}
	if _, err := r.saver.save(ctx, r.lease, &r.served); err != nil {
		r.warn("The flows could not be handed over.", err)
	}
}

// deleteRecord deletes the record of an ended target, unless that was done before.
func (r *registrar) deleteRecord(ctx context.Context) {
	if r.deleted {
		return
	}
	if err := r.removeRecord(ctx); err != nil {
		r.warn("The record could not be deleted. It lapses with its lease.", err)
	}
}

// markStoreDown logs the first failure after a success.
func (r *registrar) markStoreDown(err error) {
	r.failed.Add(1)
	r.lastFailure = err
	if !r.storeDown {
		r.storeDown = true
		r.warn("Store is unavailable.", err)
	}
}

// markStoreUp logs the first success after a failure.
func (r *registrar) markStoreUp() {
	if r.storeDown {
		r.storeDown = false
		r.info("Store is available again.", "last_err", errorText(r.lastFailure))
	}
}
