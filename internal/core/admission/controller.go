package admission

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

const (
	// defaultRequestTimeout bounds a request of a service that declares no
	// request timeout.
	defaultRequestTimeout = 30 * time.Second
	// maxQueueWait bounds the wait for a slot.
	maxQueueWait = 500 * time.Millisecond
	// minQueueLength is the number of requests that may wait at any limit. At
	// higher limits as many may wait as may run. Further ones are handed over; those
	// that no other agent takes wait if they are expected to be served in time.
	minQueueLength = 4
	// maxPendingClaims bounds the requests that wait for the owner of their key.
	maxPendingClaims = 256
	// minTargetBackoff is how long no request is sent to an unreachable target.
	// It doubles with each failure, up to maxTargetBackoff.
	minTargetBackoff = 100 * time.Millisecond
	maxTargetBackoff = 2 * time.Second
)

// Controller is the admission controller of an agent. It writes the board's
// LoadSection, RequestSection and KeyedRequestSection.
type Controller struct {
	target        core.Announcement
	limiter       limiter
	budget        retryBudget
	peers         peerSelector
	requests      map[core.RequestID]*request
	queue         waitQueue
	inFlight      int
	targetRetryAt time.Time // no request is sent to an unreachable target before
	targetBackoff time.Duration
	domainOut     bool // the failure domain was out in the last step
	stalls        stallMeter
}

// New returns a controller without a target.
func New() *Controller {
	return &Controller{
		budget:   newRetryBudget(),
		peers:    newPeerSelector(),
		requests: make(map[core.RequestID]*request),
	}
}

// Handle implements core.Controller.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	t.Board.KeyedRequests.Changes = t.Board.KeyedRequests.Changes[:0]
	switch ev := ev.(type) {
	case core.TargetAnnounced:
		c.handleAnnouncement(ev.Announcement)
	case core.RequestArrived:
		c.handleArrival(t, ev)
	case core.RequestCancelled:
		c.handleCancellation(t, ev.ID)
	case core.AttemptFinished:
		c.handleAttemptFinished(t, ev)
	case core.TargetConnectionClosed:
		c.handleConnectionClosed(ev.ID)
	case core.HandOverFinished:
		c.handleHandOverFinished(t, ev)
	case core.Tick:
		c.tick(t)
	}
	c.resetOnDomainOut(t)
	c.applyServiceLimit(t)
	c.decideWaiting(t)
	c.publishLoad(t)
}

// handleAnnouncement stores the announcement. A new instance of the target
// starts cold.
func (c *Controller) handleAnnouncement(a core.Announcement) {
	restarted := a.Instance != c.target.Instance || a.Target != c.target.Target
	c.target = a
	if restarted {
		c.limiter.reset()
		c.targetBackoff, c.targetRetryAt = 0, time.Time{}
	}
}

// resetOnDomainOut resets the limit when the failure domain is taken out: the
// target may be cold by the time the domain is put back in service.
func (c *Controller) resetOnDomainOut(t *core.Turn) {
	if t.Board.Self.DomainOut && !c.domainOut {
		c.limiter.reset()
	}
	c.domainOut = t.Board.Self.DomainOut
}

// applyServiceLimit sets the hard limit: the target's slots, at most the number
// that the service allows.
func (c *Controller) applyServiceLimit(t *core.Turn) {
	slots := max(0, c.target.Slots)
	s := t.Board.Config.Current.Service(t.Board.Self.Member.Service)
	if s != nil && s.MaxSlots > 0 {
		slots = min(slots, s.MaxSlots)
	}
	c.limiter.setSlots(slots)
}

// handleArrival adds a new request to the queue.
func (c *Controller) handleArrival(t *core.Turn, ev core.RequestArrived) {
	if _, known := c.requests[ev.ID]; known {
		return
	}
	r := &request{
		arrival: ev, phase: phaseWaiting, arrivedAt: t.Now, deadline: c.deadline(t, ev),
		stalledAtArrival: c.stalls.stalled(t.Now),
	}
	r.visited = append(r.visited, ev.Visited...)
	r.visited = append(r.visited, t.Board.Self.Member.Node)
	c.requests[ev.ID] = r
	c.queue.add(r)
}

// deadline returns the caller's deadline, or the service's timeout.
func (c *Controller) deadline(t *core.Turn, ev core.RequestArrived) time.Time {
	if !ev.Deadline.IsZero() {
		return ev.Deadline
	}
	s := t.Board.Config.Current.Service(t.Board.Self.Member.Service)
	if s != nil && s.RequestTimeout > 0 {
		return t.Now.Add(s.RequestTimeout)
	}
	return t.Now.Add(defaultRequestTimeout)
}

// handleCancellation ends a request without a running attempt. A grant that was
// not carried out frees its slot at once.
func (c *Controller) handleCancellation(t *core.Turn, id core.RequestID) {
	r := c.requests[id]
	if r == nil || r.phase == phaseEnded {
		return
	}
	if r.phase == phaseRunning {
		c.freeSlot(r)
	}
	c.endRequest(t, r, core.KeyedRequestChange{State: core.KeyedNotRun})
}

// handleAttemptFinished handles the end of an attempt at the target.
func (c *Controller) handleAttemptFinished(t *core.Turn, ev core.AttemptFinished) {
	r := c.requests[ev.ID]
	if r == nil || r.phase != phaseRunning {
		return
	}
	c.observeAttempt(t, r, ev)
	c.afterAttempt(t, r, attemptResult{
		outcome: ev.Outcome, status: ev.Status, response: ev.Response, reason: core.RefuseTargetRefused,
	})
}

// observeAttempt updates the estimate of the target's capacity. An attempt that
// was ended by its deadline or by the caller counts only if it took long.
func (c *Controller) observeAttempt(t *core.Turn, r *request, ev core.AttemptFinished) {
	switch ev.Outcome {
	case core.OutcomeCompleted:
		c.targetBackoff = 0
		c.observeResponse(t, r, ev)
	case core.OutcomeAborted:
		c.limiter.observeAborted(t.Now, c.runningTime(t, r))
	case core.OutcomeNotSent, core.OutcomeUnknown:
		if !t.Now.Before(r.deadline) {
			c.limiter.observeAborted(t.Now, c.runningTime(t, r))
			return
		}
		c.limiter.backOff(t.Now)
		if ev.Outcome == core.OutcomeUnknown {
			return
		}
		c.targetBackoff = min(max(2*c.targetBackoff, minTargetBackoff), maxTargetBackoff)
		c.targetRetryAt = t.Now.Add(c.targetBackoff)
	case core.OutcomeShed:
		c.limiter.backOff(t.Now)
	}
}

// Status codes by which a target reports that it is overloaded, and the lowest
// one of a server error.
const (
	statusTooManyRequests = 429
	statusUnavailable     = 503
	statusServerError     = 500
)

func (c *Controller) observeResponse(t *core.Turn, r *request, ev core.AttemptFinished) {
	switch {
	case ev.Status == statusTooManyRequests || ev.Status == statusUnavailable:
		c.limiter.backOff(t.Now)
	case ev.Status < statusServerError:
		c.budget.addTokens()
		c.limiter.observeResponse(t.Now, max(0, ev.Latency-c.stalledSince(t, r.stalledAtGrant)), r.atLimit)
	}
}

// handleConnectionClosed frees the slot of a request that the target no longer
// runs.
func (c *Controller) handleConnectionClosed(id core.RequestID) {
	r := c.requests[id]
	if r == nil {
		return
	}
	c.freeSlot(r)
	if r.phase == phaseEnded {
		c.deleteRequest(r)
	}
}

func (c *Controller) freeSlot(r *request) {
	if r.holdsSlot {
		r.holdsSlot = false
		c.inFlight--
	}
}

// handleHandOverFinished handles the end of an attempt at another agent.
func (c *Controller) handleHandOverFinished(t *core.Turn, ev core.HandOverFinished) {
	r := c.requests[ev.ID]
	if r == nil || r.phase != phaseHandedOver {
		return
	}
	if r.replaying {
		c.handleReplayFinished(t, r, ev)
		return
	}
	if ev.Outcome.NotRun() {
		c.peers.recordRefusal(ev.Peer, t.Now)
	}
	if ev.Outcome == core.OutcomeCompleted && ev.Status < statusServerError {
		c.budget.addTokens()
	}
	c.afterAttempt(t, r, attemptResult{
		outcome: ev.Outcome, status: ev.Status, response: ev.Response, reason: core.RefuseOverload,
	})
}

// handleReplayFinished ends a request whose stored response was requested from
// another agent.
func (c *Controller) handleReplayFinished(t *core.Turn, r *request, ev core.HandOverFinished) {
	switch ev.Outcome {
	case core.OutcomeCompleted, core.OutcomeAborted:
		c.endRequest(t, r, core.KeyedRequestChange{State: core.KeyedNotRun})
	default:
		c.refuseRequest(t, r, core.RefuseKeyCompleted, false)
	}
}

// tick checks for slow running requests and expires outdated observations.
func (c *Controller) tick(t *core.Turn) {
	c.stalls.recordTick(t.Now)
	slow := 0
	for _, r := range c.requests {
		if r.phase == phaseRunning && c.limiter.isSlow(c.runningTime(t, r)) {
			slow++
		}
	}
	c.limiter.observeRunning(t.Now, slow)
	c.limiter.recordUsage(c.inFlight)
	c.limiter.trimUnused(t.Now)
	if c.inFlight == 0 {
		c.limiter.expireStale(t.Now)
	}
	c.peers.expireRefusals(t.Now)
}

// publishLoad writes the load to the board.
func (c *Controller) publishLoad(t *core.Turn) {
	t.Board.Load = core.LoadSection{
		Limit:    c.limiter.limit,
		InFlight: c.inFlight,
		Queued:   len(c.queue),
		Cold:     c.limiter.isCold(),
	}
}

func (c *Controller) deleteRequest(r *request) {
	c.queue.remove(r)
	delete(c.requests, r.arrival.ID)
}

// recordKeyedChange records a state change of a request with a key.
func (c *Controller) recordKeyedChange(t *core.Turn, r *request, change core.KeyedRequestChange) {
	if !r.needsClaim() {
		return
	}
	change.ID = r.arrival.ID
	t.Board.KeyedRequests.Changes = append(t.Board.KeyedRequests.Changes, change)
}
