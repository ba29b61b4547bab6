package direct

import (
	"context"
	"errors"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

const (
	// renewals is how often a lease is renewed within its life.
	renewals = 3
	// renewRetry is the pause after a renewal that failed.
	renewRetry = 3 * time.Second
)

// registrar keeps an agent's record in the store.
type registrar struct {
	store store.Polled
	key   string
	// servedKey is a key without lease with the record as it was written last. It
	// proves that no other process has served a target's lifetime: the record
	// itself may have lapsed.
	servedKey string
	ttl       time.Duration
	wanted    chan steering.AgentRecord
	// verify asks for a look at the record, save for a save of the flows.
	verify, save request
	notify       func(steering.Event)
	warn         func(string, error)
	info         func(string, ...any)

	lease   store.LeaseID
	record  *steering.AgentRecord
	failing bool
	saver   *saver
}

// want asks for a record; the last one asked for is kept.
func (g *registrar) want(r steering.AgentRecord) {
	select {
	case <-g.wanted:
	default: // none was waiting
	}
	g.wanted <- r
}

// run reads the record that an earlier process left and keeps the wanted one
// until the context ends.
func (g *registrar) run(ctx context.Context) {
	g.readPrevious(ctx)
	timer := time.NewTimer(g.ttl / renewals)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-g.wanted:
			g.record = &r
			g.write(ctx)
		case <-g.verify:
			g.lookAfter(ctx)
		case <-g.save:
			g.saveFlows(ctx)
		case <-timer.C:
			timer.Reset(g.renew(ctx))
		}
	}
}

// readPrevious reads the record of an earlier process until it succeeds.
func (g *registrar) readPrevious(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		kv, found, err := g.store.Get(ctx, g.servedKey)
		if err != nil {
			g.failed(err)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		var r steering.AgentRecord
		if found {
			if r, err = decodeRecord(kv.Value); err != nil {
				// Some lifetime was served, it is not known which.
				g.warn("The agent's own record can't be read.", err)
				r = steering.AgentRecord{}
			}
		}
		g.succeeded()
		if found {
			g.saver.load(ctx)
		}
		g.notify(&steering.PreviousRecord{Found: found, Record: r})
		return
	}
}

// write writes the record until it succeeds or another one is wanted.
func (g *registrar) write(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil && len(g.wanted) == 0 {
		err := g.put(ctx)
		if err == nil {
			g.succeeded()
			g.notify(&steering.Registered{Incarnation: g.record.Incarnation})
			return
		}
		g.failed(err)
		sleep(ctx, retry.NextBackOff())
	}
}

// put writes the record once, under a lease.
func (g *registrar) put(ctx context.Context) error {
	value, err := encodeRecord(g.record)
	if err != nil {
		return err
	}
	if err := g.ensureLease(ctx); err != nil {
		return err
	}
	err = g.store.Put(ctx, store.Put{Key: g.key, Value: value, Lease: g.lease}, store.Put{Key: g.servedKey, Value: value})
	if errors.Is(err, store.ErrLeaseLapsed) {
		g.lease = 0
	}
	return err
}

// ensureLease takes a lease if there is none.
func (g *registrar) ensureLease(ctx context.Context) error {
	if g.lease != 0 {
		return nil
	}
	lease, err := g.store.Grant(ctx, g.ttl)
	if err != nil {
		return err
	}
	g.lease = lease
	return nil
}

// lookAfter writes the record again if it is gone.
func (g *registrar) lookAfter(ctx context.Context) {
	if g.record == nil {
		return
	}
	kv, found, err := g.store.Get(ctx, g.key)
	switch {
	case err != nil:
		g.failed(err)
	case !found || kv.Lease != g.lease:
		g.info("The record is gone. Writing it again.", "key", g.key)
		g.lease = 0
		g.write(ctx)
	default:
		g.succeeded()
	}
}

// saveFlows saves the flows once. They hang on the record's lease.
func (g *registrar) saveFlows(ctx context.Context) {
	if g.lease == 0 {
		return
	}
	switch called, err := g.saver.save(ctx, g.lease); {
	case errors.Is(err, store.ErrLeaseLapsed):
		g.lapsed(ctx)
	case err != nil:
		g.failed(err)
	case called:
		g.succeeded()
	}
}

// renew renews the lease and returns when to do so again.
func (g *registrar) renew(ctx context.Context) time.Duration {
	if g.lease == 0 {
		return renewRetry
	}
	switch err := g.store.KeepAlive(ctx, g.lease); {
	case errors.Is(err, store.ErrLeaseLapsed):
		g.lapsed(ctx)
	case err != nil:
		g.failed(err)
		return renewRetry
	default:
		g.succeeded()
	}
	return g.ttl / renewals
}

// lapsed writes the record again, as it went with its lease.
func (g *registrar) lapsed(ctx context.Context) {
	g.info("The lease has lapsed. Writing the record again.", "key", g.key)
	g.lease = 0
	g.write(ctx)
}

// handOver saves the flows for the process that takes the agent's place.
func (g *registrar) handOver(ctx context.Context) {
	if err := g.ensureLease(ctx); err != nil {
		g.warn("The flows could not be handed over.", err)
		return
	}
	if _, err := g.saver.save(ctx, g.lease); err != nil {
		g.warn("The flows could not be handed over.", err)
	}
}

// remove takes the record away, as the target is gone.
func (g *registrar) remove(ctx context.Context) {
	if err := g.store.Delete(ctx, g.key); err != nil {
		g.warn("The record could not be taken away; it lapses.", err)
	}
}

// failed reports the loss of the store once.
func (g *registrar) failed(err error) {
	if !g.failing {
		g.failing = true
		g.warn("Store is lost.", err)
	}
}

func (g *registrar) succeeded() {
	if g.failing {
		g.failing = false
		g.info("Store answers again.")
	}
}
