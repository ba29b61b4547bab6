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

// decideWaiting decides the waiting requests, the earliest deadline first.
func (c *Controller) decideWaiting(t *core.Turn) {
	queued := 0
	pending := 0
	for _, r := range slices.Clone(c.queue) {
		if c.decideClaim(t, r) {
			pending++
			if pending > maxPendingClaims {
				c.refuseRequest(t, r, core.RefuseOverload, false)
			}
			continue
		}
		if r.phase == phaseWaiting && c.decideRequest(t, r, queued) {
			queued++
		}
	}
}

// decideClaim applies the claim of a request with a key. It reports whether the
// request still waits for the key's owner.
func (c *Controller) decideClaim(t *core.Turn, r *request) (pending bool) {
	if r.phase != phaseWaiting || !r.needsClaim() {
		return false
	}
	claim := t.Board.Claims.Claims[r.arrival.ID]
	switch claim.State {
	case core.ClaimGranted:
		return false
	case core.ClaimRefused:
		c.refuseRequest(t, r, claim.Reason, claim.Reason == core.RefuseKeyReused)
		return false
	case core.ClaimReplay:
		t.Emit(core.ReplayResponse{ID: r.arrival.ID, Response: claim.Response})
		c.endRequest(t, r, core.KeyedRequestChange{State: core.KeyedNotRun})
		return false
	case core.ClaimReplayAtHolder:
		c.fetchStoredResponse(t, r, claim.Holder)
		return false
	}
	// An earlier request with the key may have run, so the outcome is unknown
	// until the key's owner has replied.
	switch {
	case t.Board.Self.DomainOut:
		c.refuseRequest(t, r, core.RefuseDomainOut, false)
	case !t.Now.Before(r.deadline):
		c.refuseRequest(t, r, core.RefuseKeyOwnerTimeout, false)
	default:
		return true
	}
	return false
}

// fetchStoredResponse hands a retry to the agent that stores the response.
func (c *Controller) fetchStoredResponse(t *core.Turn, r *request, holder model.NodeID) {
	c.queue.remove(r)
	r.phase = phaseHandedOver
	r.replaying = true
	t.Emit(core.HandOver{
		ID:         r.arrival.ID,
		To:         holder,
		Addr:       t.Board.Members.Records[holder].ControlAddr,
		Deadline:   r.deadline,
		Visited:    r.visited,
		ReplayOnly: true,
	})
}

// decideRequest grants, refuses or hands over a request that may run. It reports
// whether the request keeps waiting.
func (c *Controller) decideRequest(t *core.Turn, r *request, queued int) bool {
	if !t.Now.Before(r.deadline) {
		c.refuseRequest(t, r, core.RefuseDeadlineExceeded, true)
		return false
	}
	if reason := c.blockReason(t, r); reason != 0 {
		c.handOverOrRefuse(t, r, reason)
		return false
	}
	if c.inFlight < c.limiter.limit {
		c.grantRequest(t, r)
		return false
	}
	if c.canQueue(t, r, queued) {
		return true
	}
	if c.tryHandOver(t, r, core.RefuseOverload) {
		return false
	}
	if c.canBeServedInTime(t, r, queued) {
		return true
	}
	c.refuseRequest(t, r, core.RefuseOverload, true)
	return false
}

// blockReason returns why the agent can't start the request now, or 0.
func (c *Controller) blockReason(t *core.Turn, r *request) core.RefuseReason {
	self := &t.Board.Self
	switch {
	case self.DomainOut:
		return core.RefuseDomainOut
	case !self.TargetAccepted || r.arrival.Flow.Service != self.Member.Service.ID():
		return core.RefuseNoTarget
	case !self.AcceptsNewWork() || c.target.Draining:
		return core.RefuseDraining
	case !t.Board.Lease.Valid(t.Now):
		return core.RefuseLeaseLapsed
	case t.Now.Before(c.targetRetryAt):
		return core.RefuseTargetRefused
	}
	return 0
}

// canQueue reports whether a request may wait for a slot rather than be handed over. A
// request that was handed over is refused at once, because another agent may have a free
// slot.
func (c *Controller) canQueue(t *core.Turn, r *request, queued int) bool {
	if r.arrival.HandedOver || c.waitingTime(t, r) >= maxQueueWait {
		return false
	}
	return queued < max(c.limiter.limit, minQueueLength)
}

// canBeServedInTime reports whether a request that no other agent takes is expected to
// start within maxQueueWait and before its deadline, by the target's usual latency. After
// a stall of the host, the requests of its duration arrive at once; a fast target serves
// them in milliseconds, and a refusal would only bring them back.
func (c *Controller) canBeServedInTime(t *core.Turn, r *request, queued int) bool {
	wait := c.limiter.expectedWait(queued)
	if r.arrival.HandedOver || wait == 0 {
		return false
	}
	return c.waitingTime(t, r)+wait < maxQueueWait && t.Now.Add(wait).Before(r.deadline)
}

func (c *Controller) grantRequest(t *core.Turn, r *request) {
	c.queue.remove(r)
	c.inFlight++
	c.limiter.recordUsage(c.inFlight)
	r.phase = phaseRunning
	r.holdsSlot = true
	r.atLimit = c.inFlight >= c.limiter.limit
	r.grantedAt = t.Now
	r.stalledAtGrant = c.stalls.stalled(t.Now)
	r.attempts++
	t.Board.Requests.Admitted++
	c.recordKeyedChange(t, r, core.KeyedRequestChange{State: core.KeyedStarted})
	t.Emit(core.GrantRequest{ID: r.arrival.ID, Deadline: r.deadline})
}

// attemptResult is the result of an attempt, here or at another agent.
type attemptResult struct {
	outcome  core.RequestOutcome
	status   int
	response *core.StoredResponse
	reason   core.RefuseReason // if the request did not run
}

// afterAttempt decides what follows an attempt. Only a request that is known
// not to have run is handed over.
func (c *Controller) afterAttempt(t *core.Turn, r *request, result attemptResult) {
	switch result.outcome {
	case core.OutcomeCompleted:
		t.Board.Requests.Completed++
		c.endRequest(t, r, core.KeyedRequestChange{State: core.KeyedCompleted, Status: result.status, Response: result.response})
	case core.OutcomeShed, core.OutcomeNotSent:
		if result.outcome == core.OutcomeShed && !r.arrival.Replayable {
			c.refuseRequest(t, r, result.reason, true)
			return
		}
		c.handOverOrRefuse(t, r, result.reason)
	case core.OutcomeAborted:
		t.Board.Requests.OutcomeUnknown++
		c.endRequest(t, r, core.KeyedRequestChange{State: core.KeyedOutcomeUnknown})
	default:
		c.refuseRequest(t, r, unknownOutcomeReason(t, r), false)
	}
}

func unknownOutcomeReason(t *core.Turn, r *request) core.RefuseReason {
	if t.Now.Before(r.deadline) {
		return core.RefuseAttemptFailed
	}
	return core.RefuseDeadlineExceeded
}

// handOverOrRefuse hands a request that did not run over to another agent, or
// refuses it.
func (c *Controller) handOverOrRefuse(t *core.Turn, r *request, reason core.RefuseReason) {
	if !t.Now.Before(r.deadline) {
		c.refuseRequest(t, r, core.RefuseDeadlineExceeded, true)
		return
	}
	if !c.tryHandOver(t, r, reason) {
		c.refuseRequest(t, r, reason, true)
	}
}

// tryHandOver hands a request over, if it may be, to an agent that may take it.
func (c *Controller) tryHandOver(t *core.Turn, r *request, reason core.RefuseReason) bool {
	if !c.canHandOver(t, r, reason) {
		return false
	}
	free := isFreeHandOver(r, reason)
	if !free && !c.budget.hasToken() {
		return false
	}
	peer, ok := c.peers.choose(t, r.arrival.Flow.Service, r.visited)
	if !ok {
		return false
	}
	if !free {
		c.budget.takeToken()
	}
	c.handOver(t, r, peer)
	return true
}

// canHandOver reports whether the request may be handed over at all.
func (c *Controller) canHandOver(t *core.Turn, r *request, reason core.RefuseReason) bool {
	if r.arrival.HandedOver || reason == core.RefuseDomainOut || t.Board.Self.DomainOut {
		return false
	}
	return r.handOvers < maxHandOvers && r.deadline.Sub(t.Now) >= minHandOverTime
}

// isFreeHandOver reports whether a hand-over takes nothing from the retry budget: a first
// one that replaces the attempt here adds no load.
func isFreeHandOver(r *request, reason core.RefuseReason) bool {
	return r.attempts == 0 && reason != core.RefuseOverload
}

func (c *Controller) handOver(t *core.Turn, r *request, peer core.Candidate) {
	c.queue.remove(r)
	r.phase = phaseHandedOver
	r.attempts++
	r.handOvers++
	t.Board.Requests.HandedOver++
	c.recordKeyedChange(t, r, core.KeyedRequestChange{State: core.KeyedStarted})
	t.Emit(core.HandOver{
		ID:       r.arrival.ID,
		To:       peer.Member.Node,
		Addr:     peer.Member.ControlAddr,
		Deadline: r.deadline,
		Visited:  slices.Clone(r.visited),
	})
	r.visited = append(r.visited, peer.Member.Node)
}

// refuseRequest answers the caller with a refusal and ends the request.
func (c *Controller) refuseRequest(t *core.Turn, r *request, reason core.RefuseReason, notRun bool) {
	state := core.KeyedOutcomeUnknown
	var retryAfter time.Duration
	if notRun {
		retryAfter = c.retryAfter(t, reason)
	}
	if notRun || r.attempts == 0 {
		state = core.KeyedNotRun
	}
	if notRun {
		t.Board.Requests.RefusedNotRun++
	} else {
		t.Board.Requests.OutcomeUnknown++
	}
	t.Emit(core.RefuseRequest{ID: r.arrival.ID, Reason: reason, NotRun: notRun, RetryAfter: retryAfter})
	c.endRequest(t, r, core.KeyedRequestChange{State: state})
}

// endRequest ends a request, which stays recorded while it holds a slot.
func (c *Controller) endRequest(t *core.Turn, r *request, change core.KeyedRequestChange) {
	c.recordKeyedChange(t, r, change)
	c.queue.remove(r)
	r.phase = phaseEnded
	if !r.holdsSlot {
		c.deleteRequest(r)
	}
}
