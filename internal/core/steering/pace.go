package steering

import (
	"fmt"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/pacing"
)

const (
	// newTargetSequence is the sequence number up to which a target's first heartbeat at this
	// process shows that the target is new.
	newTargetSequence = 10
	// objectiveTTL is how long pacing acts after the last segment of a route with an
	// objective: as long as an idle flow is known.
	objectiveTTL = idleFlowTTL
)

// paceSection is the state of the slow start of the target.
type paceSection struct {
	limiter pacing.Limiter
	// known reports that a heartbeat has come; instance, incarnation and cold are those of
	// the last one.
	known       bool
	instance    string
	incarnation int64
	cold        bool
	// objectiveAt is when a segment of a route with an objective last came.
	objectiveAt time.Time
	// reason is why the limit is below the slots, and since when.
	reason string
	since  time.Time
	// reported is set once a log line has said so.
	reported bool
}

// Restart starts the ramp of a target that has recovered.
func (p *paceSection) Restart(now time.Time) { p.restart(now, "recovered") }

func (p *paceSection) restart(now time.Time, reason string) {
	p.limiter.Restart(now)
	p.reason, p.since, p.reported = reason, now, false
}

// paceHeartbeat starts the ramp if a heartbeat shows that the target is new or cold. An older
// target, beside which the agent has restarted, takes its slots.
func (a *Agent) paceHeartbeat(now time.Time, h *Heartbeat) {
	p := &a.pace
	same := p.known && p.instance == h.Instance && p.incarnation == h.Incarnation
	cold := h.ColdRemaining > 0
	p.limiter.SetSlots(h.Slots)
	switch {
	case cold && !(same && p.cold):
		p.restart(now, "cold target")
	case same:
	case p.known && h.Incarnation > p.incarnation || h.Sequence <= newTargetSequence:
		p.restart(now, "new target")
	default:
		p.limiter.TakeSlots()
	}
	p.known, p.instance, p.incarnation, p.cold = true, h.Instance, h.Incarnation, cold
}

// recordObjective records whether a segment for the target is of a route with an objective. It
// ignores misdirected segments, whose flow is another target's.
func (a *Agent) recordObjective(now time.Time, msg *Message) {
	if msg.Demand.Objective <= 0 {
		return
	}
	own := a.flows.byFlow[msg.Segment.Flow] != nil
	if msg.Kind == MessageOpen {
		own = msg.Service == a.target.service
	}
	if own {
		a.pace.objectiveAt = now
	}
}

// paces reports whether pacing acts: it is switched on, a route of the target has an
// objective, and balancers report a typical request time. Without one, hardly any target of
// the service has answered lately: all of them start, and there is nothing else to send to.
func (a *Agent) paces(now time.Time) bool {
	hasObjective := !a.pace.objectiveAt.IsZero() && now.Sub(a.pace.objectiveAt) <= objectiveTTL
	return a.identity.Pace && hasObjective && a.typicalRequestTime(now) > 0
}

// pacedConcurrency returns the number of requests up to which new flows are admitted. Requests on
// open flows may run beside them.
func (a *Agent) pacedConcurrency(now time.Time) int {
	if !a.paces(now) {
		return a.target.slots
	}
	return min(a.pace.limiter.Limit(), a.target.slots)
}

// Concurrency returns the number of requests up to which the agent admits new flows, for metrics.
func (a *Agent) Concurrency(now time.Time) int { return a.pacedConcurrency(now) }

// hasWaitingRequests reports whether requests wait for the target, at the agent or at a
// balancer that it refused.
func (a *Agent) hasWaitingRequests() bool {
	return a.flows.waiting.Len() > 0 || len(a.capacityWaiters.waiters) > 0
}

// advancePace raises the limit of a target at which nothing waits, and reports the begin and
// the end of a ramp.
func (a *Agent) advancePace(now time.Time) {
	p := &a.pace
	p.limiter.Advance(now, a.hasWaitingRequests())
	if p.reason == "" {
		return
	}
	if below := p.limiter.Limit() < a.target.slots; !below {
		if p.reported {
			a.report(Report{Text: "Concurrency limit is back at the slots.", Node: a.target.instance, Why: p.reason, Age: now.Sub(p.since), Incarnation: a.target.incarnation})
		}
		p.reason = ""
	} else if !p.reported && a.paces(now) {
		p.reported = true
		a.report(Report{
			Text: "Concurrency is limited.", Node: a.target.instance, Incarnation: a.target.incarnation, Age: now.Sub(p.since),
			Why: fmt.Sprintf("%s; limit %d of %d", p.reason, p.limiter.Limit(), a.target.slots),
		})
	}
}

// paceOutcome raises or halves the limit after the outcome of a request.
func (a *Agent) paceOutcome(now time.Time, outcome requestOutcome, elapsed time.Duration) {
	p, typical := &a.pace, a.typicalRequestTime(now)
	usual := p.limiter.Usual(now, typical)
	if outcome == outcomeReset {
		if p.limiter.Reset(now, typical) {
			a.reportHalved(now, "reset")
		}
	} else if p.limiter.Answered(now, elapsed, typical) {
		a.reportHalved(now, fmt.Sprintf("answers took %s, usual %s", elapsed.Round(time.Millisecond), usual.Round(time.Millisecond)))
	}
}

// reportHalved records why the limit was halved and, if pacing acts, reports it.
func (a *Agent) reportHalved(now time.Time, reason string) {
	p := &a.pace
	if p.reason == "" {
		p.since = now
	}
	p.reason, p.reported = reason, a.paces(now)
	if p.reported {
		a.report(Report{
			Text: "Concurrency limit is halved.", Node: a.target.instance, Incarnation: a.target.incarnation,
			Why: fmt.Sprintf("%s; limit %d of %d", reason, p.limiter.Limit(), a.target.slots),
		})
	}
}
