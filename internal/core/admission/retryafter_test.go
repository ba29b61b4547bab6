package admission

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// Ten times the target's load arrives at once and nobody else takes any. Each refused
// caller must be told when to return: not before the target has worked off what waits,
// and spread out.
func TestRefusedCallersAreToldWhenToReturn(t *testing.T) {
	const latency, burst = 100 * time.Millisecond, 300
	h, m := newWarmTarget(3, latency)
	h.board().Routes.Views[service.ID()].Candidates = nil
	h.takeEffects()
	for range burst {
		h.arrive(core.RequestArrived{Method: "POST", Deadline: h.now.Add(time.Minute)})
	}
	m.carryOutKeeping(h)
	earliest, latest, refused := time.Duration(1<<62), time.Duration(0), 0
	for _, e := range m.refusals {
		refused++
		earliest, latest = min(earliest, e.RetryAfter), max(latest, e.RetryAfter)
		if !e.NotRun {
			t.Error("a refused request is not reported as not run")
		}
	}
	load := h.board().Load
	backlog := latency * time.Duration(load.Queued+load.InFlight) / time.Duration(load.Limit)
	if refused < burst/2 || earliest < backlog/2 || latest > 3*backlog || latest < earliest*5/4 {
		t.Errorf("%d refused, told to return after %v to %v; the backlog takes %v", refused, earliest, latest, backlog)
	}
}

// A refusal that can't be retried, or of a request that may have run, names no time; the
// time is bounded for any latency.
func TestRetryAfterIsBounded(t *testing.T) {
	h, _ := newWarmTarget(3, 100*time.Millisecond)
	c := New()
	turn := &core.Turn{Now: h.now, Board: h.board(), Rand: h.rand}
	if got := c.retryAfter(turn, core.RefuseOverload); got < minRetryAfter || got > 2*minRetryAfter {
		t.Errorf("retry after %v with an unknown latency, want %v to twice that", got, minRetryAfter)
	}
	if got := c.retryAfter(turn, core.RefuseKeyReused); got != 0 {
		t.Errorf("retry after %v for a reused key, want none", got)
	}
	c.limiter.baseline, c.inFlight = time.Hour, 5
	if got := c.retryAfter(turn, core.RefuseOverload); got > maxRetryAfter {
		t.Errorf("retry after %v, want at most %v", got, maxRetryAfter)
	}
	c.targetRetryAt = h.now.Add(-time.Hour)
	if got := c.retryAfter(turn, core.RefuseTargetRefused); got < minRetryAfter {
		t.Errorf("retry after %v once the pause is over, want at least %v", got, minRetryAfter)
	}
}
