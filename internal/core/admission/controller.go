package admission

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

const (
	// defaultTimeout bounds a request of a service without a request timeout.
	defaultTimeout = 30 * time.Second
	// maxQueueWait bounds the wait for a slot.
	maxQueueWait = 500 * time.Millisecond
	// minQueue is the waiting requests allowed at the smallest limit. Above,
	// as many may wait as may run.
	minQueue = 4
	// maxPending bounds the requests that wait for their key's owner.
	maxPending = 256
	// minTargetRest is how long an unreachable target is left alone; it
	// doubles with each failure, up to maxTargetRest.
	minTargetRest = 100 * time.Millisecond
	maxTargetRest = 2 * time.Second
)

// Controller is the admission controller of an agent. It writes the board's
// LoadSection, RequestSection and KeyedSection.
type Controller struct {
	target    core.Announcement
	limiter   limiter
	budget    budget
	peers     peerLoad
	requests  map[core.RequestID]*request
	waiting   waitQueue
	inFlight  int
	restUntil time.Time // the target could not be reached
	rest      time.Duration
	out       bool // the failure domain was out in the last step
}

// New returns a controller without a target.
func New() *Controller {
	return &Controller{
		budget:   newBudget(),
		peers:    newPeerLoad(),
		requests: make(map[core.RequestID]*request),
	}
}

// Handle implements core.Controller.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	t.Board.KeyedRequests.Changes = t.Board.KeyedRequests.Changes[:0]
	switch ev := ev.(type) {
	case core.TargetAnnounced:
		c.announced(ev.Announcement)
	case core.RequestArrived:
		c.arrive(t, ev)
	case core.RequestCancelled:
		c.cancelled(t, ev.ID)
	case core.AttemptFinished:
		c.finished(t, ev)
	case core.TargetConnectionClosed:
		c.closed(ev.ID)
	case core.HandOverFinished:
		c.handedOver(t, ev)
	case core.Tick:
		c.tick(t)
	}
	c.followDomain(t)
	c.applyServiceLimit(t)
	c.decideWaiting(t)
	c.publish(t)
}

// announced takes the slots of the target. A new instance starts cold.
func (c *Controller) announced(a core.Announcement) {
	restarted := a.Instance != c.target.Instance || a.Target != c.target.Target
	c.target = a
	if restarted {
		c.limiter.reset()
		c.rest, c.restUntil = 0, time.Time{}
	}
}

// followDomain forgets what was learnt of the target once its failure domain is
// out: it may have turned cold by the time that the domain comes back.
func (c *Controller) followDomain(t *core.Turn) {
	if t.Board.Self.DomainOut && !c.out {
		c.limiter.reset()
	}
	c.out = t.Board.Self.DomainOut
}

// applyServiceLimit sets the hard limit: the target's slots, at most those
// that the service allows.
func (c *Controller) applyServiceLimit(t *core.Turn) {
	slots := max(0, c.target.Slots)
	s := t.Board.Config.Current.Service(t.Board.Self.Member.Service)
	if s != nil && s.MaxSlots > 0 {
		slots = min(slots, s.MaxSlots)
	}
	c.limiter.setSlots(slots)
}

// arrive takes a new request into the queue.
func (c *Controller) arrive(t *core.Turn, ev core.RequestArrived) {
	if _, known := c.requests[ev.ID]; known {
		return
	}
	r := &request{arrived: ev, phase: phaseWaiting, since: t.Now, deadline: c.deadline(t, ev)}
	r.visited = append(r.visited, ev.Visited...)
	r.visited = append(r.visited, t.Board.Self.Member.Node)
	c.requests[ev.ID] = r
	c.waiting.add(r)
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
	return t.Now.Add(defaultTimeout)
}

// cancelled drops a request that is in no attempt. A grant that was not
// carried out frees its slot at once.
func (c *Controller) cancelled(t *core.Turn, id core.RequestID) {
	r := c.requests[id]
	if r == nil || r.phase == phaseEnded {
		return
	}
	if r.phase == phaseRunning {
		c.freeSlot(r)
	}
	c.end(t, r, core.KeyedRequestChange{State: core.KeyedNotRun})
}

// finished handles the end of an attempt at the target.
func (c *Controller) finished(t *core.Turn, ev core.AttemptFinished) {
	r := c.requests[ev.ID]
	if r == nil || r.phase != phaseRunning {
		return
	}
	c.observe(t, r, ev)
	c.afterAttempt(t, r, attemptEnd{
		outcome: ev.Outcome, status: ev.Status, answer: ev.Response, reason: core.RefuseTargetRefused,
	})
}

// observe learns what the target bears. An attempt that the deadline or the
// caller ended says something only if it took long.
func (c *Controller) observe(t *core.Turn, r *request, ev core.AttemptFinished) {
	switch ev.Outcome {
	case core.OutcomeCompleted:
		c.rest = 0
		c.observeAnswer(t, r, ev)
	case core.OutcomeAborted:
		c.limiter.cutShort(t.Now, t.Now.Sub(r.sent))
	case core.OutcomeNotSent, core.OutcomeUnknown:
		if !t.Now.Before(r.deadline) {
			c.limiter.cutShort(t.Now, t.Now.Sub(r.sent))
			return
		}
		c.limiter.fall(t.Now)
		if ev.Outcome == core.OutcomeUnknown {
			return
		}
		c.rest = min(max(2*c.rest, minTargetRest), maxTargetRest)
		c.restUntil = t.Now.Add(c.rest)
	case core.OutcomeShed:
		c.limiter.fall(t.Now)
	}
}

// Statuses with which a target says that it is overloaded.
const (
	statusTooManyRequests = 429
	statusUnavailable     = 503
	statusServerError     = 500
)

func (c *Controller) observeAnswer(t *core.Turn, r *request, ev core.AttemptFinished) {
	switch {
	case ev.Status == statusTooManyRequests || ev.Status == statusUnavailable:
		c.limiter.fall(t.Now)
	case ev.Status < statusServerError:
		c.budget.earn()
		c.limiter.answered(t.Now, ev.Latency, r.full)
	}
}

// closed frees the slot of a request that the target no longer runs.
func (c *Controller) closed(id core.RequestID) {
	r := c.requests[id]
	if r == nil {
		return
	}
	c.freeSlot(r)
	if r.phase == phaseEnded {
		c.forget(r)
	}
}

func (c *Controller) freeSlot(r *request) {
	if r.slot {
		r.slot = false
		c.inFlight--
	}
}

// handedOver handles the end of an attempt at another agent.
func (c *Controller) handedOver(t *core.Turn, ev core.HandOverFinished) {
	r := c.requests[ev.ID]
	if r == nil || r.phase != phaseHandedOver {
		return
	}
	if r.replay {
		c.fetched(t, r, ev)
		return
	}
	if ev.Outcome.NotRun() {
		c.peers.refusedAt(ev.Peer, t.Now)
	}
	if ev.Outcome == core.OutcomeCompleted && ev.Status < statusServerError {
		c.budget.earn()
	}
	c.afterAttempt(t, r, attemptEnd{
		outcome: ev.Outcome, status: ev.Status, answer: ev.Response, reason: core.RefuseOverload,
	})
}

// fetched ends a request whose stored answer another agent keeps.
func (c *Controller) fetched(t *core.Turn, r *request, ev core.HandOverFinished) {
	switch ev.Outcome {
	case core.OutcomeCompleted, core.OutcomeAborted:
		c.end(t, r, core.KeyedRequestChange{State: core.KeyedNotRun})
	default:
		c.refuse(t, r, core.RefuseKeyCompleted, false)
	}
}

// tick learns from slow requests and lets old knowledge lapse.
func (c *Controller) tick(t *core.Turn) {
	slow := 0
	for _, r := range c.requests {
		if r.phase == phaseRunning && c.limiter.isSlow(t.Now.Sub(r.sent)) {
			slow++
		}
	}
	c.limiter.waiting(t.Now, slow)
	c.limiter.use(c.inFlight)
	c.limiter.trim(t.Now)
	if c.inFlight == 0 {
		c.limiter.expire(t.Now)
	}
	c.peers.forget(t.Now)
}

// publish writes the load to the board.
func (c *Controller) publish(t *core.Turn) {
	t.Board.Load = core.LoadSection{
		Limit:    c.limiter.limit,
		InFlight: c.inFlight,
		Queued:   len(c.waiting),
		Cold:     c.limiter.cold(),
	}
}

func (c *Controller) forget(r *request) {
	c.waiting.remove(r)
	delete(c.requests, r.arrived.ID)
}

// report notes the progress of a keyed request.
func (c *Controller) report(t *core.Turn, r *request, change core.KeyedRequestChange) {
	if !r.keyed() {
		return
	}
	change.ID = r.arrived.ID
	t.Board.KeyedRequests.Changes = append(t.Board.KeyedRequests.Changes, change)
}
