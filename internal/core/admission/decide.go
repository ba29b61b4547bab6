package admission

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// maxHandOvers bounds how often one request is handed over.
	maxHandOvers = 2
	// minHandOverTime is the time that must remain for a hand-over.
	minHandOverTime = 10 * time.Millisecond
)

// decideWaiting decides on the waiting requests, the earliest deadline first.
func (c *Controller) decideWaiting(t *core.Turn) {
	queued := 0
	pending := 0
	for _, r := range slices.Clone(c.waiting) {
		if c.decideKey(t, r) {
			pending++
			if pending > maxPending {
				c.refuse(t, r, core.RefuseOverload, false)
			}
			continue
		}
		if r.phase == phaseWaiting && c.decide(t, r, queued) {
			queued++
		}
	}
}

// decideKey handles the claim of a keyed request. It reports whether the
// request still waits for its key's owner.
func (c *Controller) decideKey(t *core.Turn, r *request) (pending bool) {
	if r.phase != phaseWaiting || !r.keyed() {
		return false
	}
	claim := t.Board.Claims.Claims[r.arrived.ID]
	switch claim.State {
	case core.ClaimGranted:
		return false
	case core.ClaimRefused:
		c.refuse(t, r, claim.Reason, claim.Reason == core.RefuseKeyReused)
		return false
	case core.ClaimReplay:
		t.Emit(core.ReplayResponse{ID: r.arrived.ID, Response: claim.Response})
		c.end(t, r, core.KeyedRequestChange{State: core.KeyedNotRun})
		return false
	case core.ClaimReplayAtHolder:
		c.fetchAnswer(t, r, claim.Holder)
		return false
	}
	// An earlier request with the key may have run, so nothing is claimed
	// about the outcome while its owner has not answered.
	switch {
	case t.Board.Self.DomainOut:
		c.refuse(t, r, core.RefuseDomainOut, false)
	case !t.Now.Before(r.deadline):
		c.refuse(t, r, core.RefuseKeyOwnerTimeout, false)
	default:
		return true
	}
	return false
}

// fetchAnswer leaves a repeated request to the agent that keeps the answer.
func (c *Controller) fetchAnswer(t *core.Turn, r *request, holder model.NodeID) {
	c.waiting.remove(r)
	r.phase = phaseHandedOver
	r.replay = true
	t.Emit(core.HandOver{
		ID:         r.arrived.ID,
		To:         holder,
		Addr:       t.Board.Members.Records[holder].ControlAddr,
		Deadline:   r.deadline,
		Visited:    r.visited,
		ReplayOnly: true,
	})
}

// decide grants, refuses or hands over a request that may run. It reports
// whether the request goes on waiting.
func (c *Controller) decide(t *core.Turn, r *request, queued int) bool {
	if !t.Now.Before(r.deadline) {
		c.refuse(t, r, core.RefuseDeadlineExceeded, true)
		return false
	}
	if reason := c.blocked(t, r); reason != 0 {
		c.handOverOrRefuse(t, r, reason)
		return false
	}
	if c.inFlight < c.limiter.limit {
		c.grant(t, r)
		return false
	}
	if c.mayQueue(t, r, queued) {
		return true
	}
	c.handOverOrRefuse(t, r, core.RefuseOverload)
	return false
}

// blocked returns why the agent starts no request now, or 0.
func (c *Controller) blocked(t *core.Turn, r *request) core.RefuseReason {
	self := &t.Board.Self
	switch {
	case self.DomainOut:
		return core.RefuseDomainOut
	case !self.TargetAccepted || r.arrived.Flow.Service != self.Member.Service.ID():
		return core.RefuseNoTarget
	case !self.AcceptsNewWork() || c.target.Draining:
		return core.RefuseDraining
	case !t.Board.Lease.Valid(t.Now):
		return core.RefuseLeaseLapsed
	case t.Now.Before(c.restUntil):
		return core.RefuseTargetRefused
	}
	return 0
}

// mayQueue reports whether a request may wait for a slot. One that was handed
// over goes back at once, because another agent may have a free slot.
func (c *Controller) mayQueue(t *core.Turn, r *request, queued int) bool {
	if r.arrived.HandedOver || t.Now.Sub(r.since) >= maxQueueWait {
		return false
	}
	return queued < max(c.limiter.limit, minQueue)
}

func (c *Controller) grant(t *core.Turn, r *request) {
	c.waiting.remove(r)
	c.inFlight++
	c.limiter.use(c.inFlight)
	r.phase = phaseRunning
	r.slot = true
	r.full = c.inFlight >= c.limiter.limit
	r.sent = t.Now
	r.tried++
	t.Board.Requests.Admitted++
	c.report(t, r, core.KeyedRequestChange{State: core.KeyedStarted})
	t.Emit(core.GrantRequest{ID: r.arrived.ID, Deadline: r.deadline})
}

// attemptEnd is the end of an attempt, here or at another agent.
type attemptEnd struct {
	outcome core.RequestOutcome
	status  int
	answer  *core.StoredResponse
	reason  core.RefuseReason // if the request did not run
}

// afterAttempt decides what follows an attempt. Only a request that is known
// not to have run is offered elsewhere.
func (c *Controller) afterAttempt(t *core.Turn, r *request, e attemptEnd) {
	switch e.outcome {
	case core.OutcomeCompleted:
		t.Board.Requests.Completed++
		c.end(t, r, core.KeyedRequestChange{State: core.KeyedCompleted, Status: e.status, Response: e.answer})
	case core.OutcomeShed, core.OutcomeNotSent:
		if e.outcome == core.OutcomeShed && !r.arrived.Replayable {
			c.refuse(t, r, e.reason, true)
			return
		}
		c.handOverOrRefuse(t, r, e.reason)
	case core.OutcomeAborted:
		t.Board.Requests.OutcomeUnknown++
		c.end(t, r, core.KeyedRequestChange{State: core.KeyedOutcomeUnknown})
	default:
		c.refuse(t, r, unknownReason(t, r), false)
	}
}

func unknownReason(t *core.Turn, r *request) core.RefuseReason {
	if t.Now.Before(r.deadline) {
		return core.RefuseAttemptFailed
	}
	return core.RefuseDeadlineExceeded
}

// handOverOrRefuse offers a request that did not run to another agent, or
// refuses it.
func (c *Controller) handOverOrRefuse(t *core.Turn, r *request, reason core.RefuseReason) {
	if !t.Now.Before(r.deadline) {
		c.refuse(t, r, core.RefuseDeadlineExceeded, true)
		return
	}
	if !c.mayHandOver(t, r, reason) {
		c.refuse(t, r, reason, true)
		return
	}
	peer, ok := c.peers.choose(t, r.arrived.Flow.Service, r.visited)
	if !ok || !c.pay(r, reason) {
		c.refuse(t, r, reason, true)
		return
	}
	c.handOver(t, r, peer)
}

// mayHandOver reports whether the request may go to another agent at all.
func (c *Controller) mayHandOver(t *core.Turn, r *request, reason core.RefuseReason) bool {
	if r.arrived.HandedOver || reason == core.RefuseDomainOut || t.Board.Self.DomainOut {
		return false
	}
	return r.handOvers < maxHandOvers && r.deadline.Sub(t.Now) >= minHandOverTime
}

// pay takes a hand-over from the budget. A first one that replaces the
// attempt here is free: it adds no load.
func (c *Controller) pay(r *request, reason core.RefuseReason) bool {
	if r.tried == 0 && reason != core.RefuseOverload {
		return true
	}
	return c.budget.spend()
}

func (c *Controller) handOver(t *core.Turn, r *request, peer core.Candidate) {
	c.waiting.remove(r)
	r.phase = phaseHandedOver
	r.tried++
	r.handOvers++
	t.Board.Requests.HandedOver++
	c.report(t, r, core.KeyedRequestChange{State: core.KeyedStarted})
	t.Emit(core.HandOver{
		ID:       r.arrived.ID,
		To:       peer.Member.Node,
		Addr:     peer.Member.ControlAddr,
		Deadline: r.deadline,
		Visited:  slices.Clone(r.visited),
	})
	r.visited = append(r.visited, peer.Member.Node)
}

// refuse answers the caller with a refusal and ends the request.
func (c *Controller) refuse(t *core.Turn, r *request, reason core.RefuseReason, notRun bool) {
	state := core.KeyedOutcomeUnknown
	if notRun || r.tried == 0 {
		state = core.KeyedNotRun
	}
	if notRun {
		t.Board.Requests.RefusedNotRun++
	} else {
		t.Board.Requests.OutcomeUnknown++
	}
	t.Emit(core.RefuseRequest{ID: r.arrived.ID, Reason: reason, NotRun: notRun})
	c.end(t, r, core.KeyedRequestChange{State: state})
}

// end ends a request. It is kept while it holds a slot.
func (c *Controller) end(t *core.Turn, r *request, change core.KeyedRequestChange) {
	c.report(t, r, change)
	c.waiting.remove(r)
	r.phase = phaseEnded
	if !r.slot {
		c.forget(r)
	}
}
