package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// reopenDelay is how long a long session waits before it opens a new flow in
// place of one that ended.
const reopenDelay = 250 * time.Millisecond

// jitterShare is by how much intervals vary, as a share of the interval.
const jitterShare = 0.2

// rng returns the random source of one part of the load.
func (c *Caller) rng(part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.cfg.Seed, part<<32))
}

// runSessions runs the long sessions until the context ends.
func (c *Caller) runSessions(ctx context.Context, run func(context.Context, *rand.Rand)) {
	var sessions sync.WaitGroup
	for n := range c.cfg.Sessions {
		delay := c.cfg.Ramp * time.Duration(n) / time.Duration(c.cfg.Sessions)
		sessions.Go(func() {
			if sleep(ctx, delay) {
				run(ctx, c.rng(uint64(n)+1))
			}
		})
	}
	sessions.Wait()
}

// longSession keeps one session and opens a new one when it ends.
func (c *Caller) longSession(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		s, err := c.open(ctx, true)
		if err != nil {
			c.openFailed(ctx, err)
			sleep(ctx, reopenDelay)
			continue
		}
		c.useSession(ctx, s, rng)
		s.close()
		sleep(ctx, reopenDelay)
	}
}

// useSession sends requests now and then while the session lives.
func (c *Caller) useSession(ctx context.Context, s *session, rng *rand.Rand) {
	for s.alive() && c.takeRequest() {
		c.send(s, newPlan(&c.cfg, rng, c.planNumber.Add(1)), rng)
		jitter := 1 + jitterShare*(2*rng.Float64()-1)
		interval := time.Duration(float64(c.cfg.SessionInterval) * jitter)
		if !sleepOrDone(ctx, interval, s.conn.Context().Done()) {
			return
		}
	}
}

// send sends a planned request, and again on a new flow if its key is drawn
// for repetition. The end of the load does not cut requests under way.
func (c *Caller) send(s *session, p plan, rng *rand.Rand) {
	r := s.exchange(context.Background(), p)
	if p.key == "" || rng.Float64() >= c.cfg.RepeatShare || !c.takeRequest() {
		return
	}
	other, err := c.open(context.Background(), false)
	if err != nil {
		c.logOpenFailed(err)
		c.returnRequest()
		return
	}
	defer other.close()
	other.exchange(context.Background(), p.repeat(r.ID))
}

// runShort opens short sessions at a steady rate until the context ends, and
// then waits for them.
func (c *Caller) runShort(ctx context.Context) {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	if c.cfg.ShortRate == 0 {
		return
	}
	places := make(chan struct{}, c.cfg.MaxShort)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.cfg.ShortRate))
	defer ticker.Stop()
	for n := uint64(0); ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		select {
		case places <- struct{}{}:
		default:
			c.skipped.Add(1)
			continue
		}
		rng := c.rng(uint64(c.cfg.Sessions) + 1 + n)
		sessions.Go(func() {
			c.shortSession(rng)
			<-places
		})
	}
}

// shortSession opens a session for one request.
func (c *Caller) shortSession(rng *rand.Rand) {
	if !c.takeRequest() {
		return
	}
	p := newPlan(&c.cfg, rng, c.planNumber.Add(1))
	started := time.Now()
	s, err := c.open(context.Background(), false)
	if err != nil {
		c.logOpenFailed(err)
		c.recordUnsent(p, started, err)
		return
	}
	defer s.close()
	c.send(s, p, rng)
}

// recordUnsent records a request whose flow could not be opened: refused if
// the flow was refused, otherwise lost.
func (c *Caller) recordUnsent(p plan, started time.Time, err error) {
	r := workload.Request{
		ID: c.requestID(), IdempotencyKey: p.key, Service: c.cfg.Service, Method: p.method,
		Size: p.size, Sent: started, Done: time.Now(), Outcome: workload.RequestLost, Error: err.Error(),
	}
	if refusedFlow(err) {
		r.Outcome = workload.RequestRefused
		r.Status = http.StatusServiceUnavailable
	}
	c.recorder.sent(started)
	c.recorder.done(r)
}

// openFailed notes that a long session could not open a flow; the end of the
// load is no failure.
func (c *Caller) openFailed(ctx context.Context, err error) {
	if ctx.Err() == nil {
		c.logOpenFailed(err)
	}
}

func (c *Caller) logOpenFailed(err error) {
	c.failedOpens.Add(1)
	c.log.Log("msg", "flow not opened", "err", err)
}

// takeRequest reports whether the bound on requests allows one more, and ends
// the load if not.
func (c *Caller) takeRequest() bool {
	if c.taken.Add(1) <= int64(c.cfg.MaxRequests) {
		return true
	}
	c.stop()
	return false
}

// returnRequest gives a request back that was not sent.
func (c *Caller) returnRequest() { c.taken.Add(-1) }

// sleep waits and reports whether the context is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	return sleepOrDone(ctx, d, nil)
}

// sleepOrDone waits, at most until the channel closes, and reports whether
// the context is still open.
func sleepOrDone(ctx context.Context, d time.Duration, done <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-done:
	}
	return true
}
