package steering

import "time"

// requestOutcome is how a request at the target ended.
type requestOutcome uint8

const (
	// outcomeAnswered means that the target has begun to respond.
	outcomeAnswered requestOutcome = iota
	// outcomeReset means that the target has reset the flow instead of responding to the
	// request or to the opening segment.
	outcomeReset
)

// observeOutcome passes the outcome of a request, and the time since it was delivered to the
// target, to the controllers that learn from it.
func (a *Agent) observeOutcome(now time.Time, f *localFlow, outcome requestOutcome, elapsed time.Duration) {
	a.recordHealth(now, f, outcome, elapsed)
	a.paceOutcome(now, outcome, elapsed)
}

// concurrency returns the number of requests that the agent lets the target execute at once.
func (a *Agent) concurrency() int { return a.pacedConcurrency(a.suspensions.lastStep) }

// executionLimit returns the number of requests of open flows that the target executes at
// once. They can't go elsewhere, so a slow target gets no fewer: that would only delay them.
func (a *Agent) executionLimit() int { return a.target.slots }
