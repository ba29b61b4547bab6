package steering

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/targethealth"
)

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
	if outcome == outcomeReset && (f.health.callerClosed || f.awaitingRequest && f.responded) {
		return // no request was in flight, or its caller has given it up
	}
	tooFast := outcome == outcomeAnswered && f.health.hasObjective && a.classifyAnswer(now, f) == targethealth.TooFast
	a.recordHealth(now, f, outcome, elapsed)
	if !tooFast { // errors don't show that the target copes with its load
		a.paceOutcome(now, outcome, elapsed)
	}
}

// concurrency returns the number of requests up to which the agent admits new flows, as reported
// to balancers. Requests on open flows may run beside, up to executionLimit.
func (a *Agent) concurrency() int { return a.pacedConcurrency(a.suspensions.lastStep) }

// executionLimit returns the number of requests on open flows that the target may execute at once:
// its slots. These requests can't go to another target. If this one is slow for other reasons than
// its load, the lower limit of concurrency would only delay them.
func (a *Agent) executionLimit() int { return a.target.slots }
