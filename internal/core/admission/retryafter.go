package admission

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

const (
	// minRetryAfter is the time until a retry where another agent can take the request
	// at once, or where nothing is known of the target.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds the time until a retry: estimates that long are too coarse.
	maxRetryAfter = 10 * time.Second
)

// retryAfter returns when the caller of a request that has not run should retry, 0 if it
// should not. It is the time in which the target works off what waits and runs, or the
// rest of the pause after failed connections. Up to the same time again is added at
// random, so that callers who are refused together do not return together.
func (c *Controller) retryAfter(t *core.Turn, reason core.RefuseReason) time.Duration {
	var wait time.Duration
	switch reason {
	case core.RefuseOverload, core.RefuseDeadlineExceeded:
		wait = c.limiter.expectedWait(len(c.queue) + c.inFlight)
	case core.RefuseTargetRefused:
		wait = c.targetRetryAt.Sub(t.Now)
	case core.RefuseKeyReused:
		return 0
	default:
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter/2)
	return wait + time.Duration(t.Rand.Int64N(int64(wait)))
}
