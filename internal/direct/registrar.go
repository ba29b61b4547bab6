package direct

import (
	"context"
	"errors"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

const (
	// verifyInterval is how often an agent looks whether its record is still in
	// the store. Balancers that know the agent do not need it; one that starts
	// does.
	verifyInterval = 3 * time.Second
	// saveEvery is how many verifications pass between two saves of the flows.
	// Callers keep flows for many seconds; more saves cost calls.
	saveEvery = 2
	// renewals is how often a lease is renewed within its life.
	renewals = 3
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
	notify    func(steering.Event)
	warn      func(string, error)
	info      func(string, ...any)

	lease   store.LeaseID
	renewed time.Time
	record  *steering.AgentRecord
	failing bool
	saver   *saver
	rounds  int
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
	timer := time.NewTimer(verifyInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-g.wanted:
			g.record = &r
			g.write(ctx)
		case <-timer.C:
			g.maintain(ctx)
			timer.Reset(verifyInterval)
		}
	}
}

// readPrevious reads the record of an earlier process until it succeeds.
func (g *registrar) readPrevious(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		kv, found, err := g.store.Get(ctx, g.servedKey, false)
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
			g.notify(&steering.Registered{Lifetime: g.record.Lifetime})
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
	g.lease, g.renewed = lease, time.Now()
	return nil
}

// maintain renews the lease and writes the record again if it is gone.
func (g *registrar) maintain(ctx context.Context) {
	if g.record == nil {
		return
	}
	if time.Since(g.renewed) > g.ttl/renewals {
		if !g.renew(ctx) {
			return
		}
	}
	kv, found, err := g.store.Get(ctx, g.key, true)
	switch {
	case err != nil:
		g.failed(err)
	case !found || kv.Lease != g.lease:
		// A stale read may be older than the record; writing it again is
		// harmless.
		g.info("The record is gone. Writing it again.", "key", g.key)
		g.lease = 0
		g.write(ctx)
	default:
		g.succeeded()
		g.save(ctx)
	}
}

// save saves the flows in every few rounds.
func (g *registrar) save(ctx context.Context) {
	if g.rounds++; g.rounds%saveEvery != 0 {
		return
	}
	if err := g.saver.save(ctx, g.lease); err != nil {
		g.failed(err)
	}
}

// renew renews the lease and reports whether the record may still be there.
func (g *registrar) renew(ctx context.Context) bool {
	err := g.store.KeepAlive(ctx, g.lease)
	switch {
	case errors.Is(err, store.ErrLeaseLapsed):
		g.lease = 0
		g.write(ctx)
		return false
	case err != nil:
		g.failed(err)
		return false
	}
	g.renewed = time.Now()
	return true
}

// handOver saves the flows for the process that takes the agent's place.
func (g *registrar) handOver(ctx context.Context) {
	if err := g.ensureLease(ctx); err != nil {
		g.warn("The flows could not be handed over.", err)
		return
	}
	if err := g.saver.save(ctx, g.lease); err != nil {
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
