package steering

import (
	"maps"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/overload"
)

const (
	// defaultPatience is how long a backlog may last for a route without a declared
	// timeout.
	defaultPatience = queueTimeout
	// lateShare is the share of the objective after which a queued opening is refused
	// under overload: what remains is too little for the wait and the request.
	lateShare = 0.6
	// minRemaining is the least objective that is sent with an opening: 0 means that none
	// is declared.
	minRemaining = 10 * time.Millisecond
	// copyMargin is how long before the next copy of an opening is due this one counts as
	// possibly superseded: the latency between failure domains.
	copyMargin = 20 * time.Millisecond
)

// queueClass orders queued segments: by the priority of their route, with all routes
// without an objective last, then by flow class.
type queueClass int

const numQueueClasses = (NumPriorities + 1) * int(numFlowClasses)

// queueClassOf returns the class in which a route's openings are queued.
func queueClassOf(r *Route) queueClass {
	rank := NumPriorities
	if r.hasObjective() {
		rank = r.priority()
	}
	return queueClass(rank*int(numFlowClasses) + int(routeClass(r)))
}

// priority returns the priority of the class, false if its routes have no objective.
func (c queueClass) priority() (int, bool) {
	p := int(c) / int(numFlowClasses)
	return p, p < NumPriorities
}

// flowClass returns the class of the flows.
func (c queueClass) flowClass() flowClass { return flowClass(int(c) % int(numFlowClasses)) }

// hasObjective reports whether operators declared a latency objective.
func (r *Route) hasObjective() bool { return r != nil && r.Demand.Objective > 0 }

// priority returns the priority of the route's requests.
func (r *Route) priority() int { return min(int(r.Demand.Priority), NumPriorities-1) }

// patience returns how long a backlog of the route's openings may last before it counts as
// overload: a backlog that has not cleared in half of the time callers have won't clear in
// the other half.
func (r *Route) patience() time.Duration {
	if r.Demand.Timeout > 0 {
		return r.Demand.Timeout / 2
	}
	return defaultPatience
}

// backlogKey identifies a backlog.
type backlogKey struct {
	service  ServiceID
	priority int
}

// backlog returns the backlog of a service's openings with a priority.
func (b *Balancer) backlog(service ServiceID, priority int) *overload.Backlog {
	k := backlogKey{service, priority}
	l := b.backlogs[k]
	if l == nil {
		l = new(overload.Backlog)
		b.backlogs[k] = l
	}
	return l
}

// sweepBacklogs deletes the state of services without a backlog.
func (b *Balancer) sweepBacklogs(now time.Time) {
	maps.DeleteFunc(b.backlogs, func(_ backlogKey, l *overload.Backlog) bool { return l.IsIdle(now) })
}

// restartBacklogs forgets how long openings have waited, after a suspension.
func (b *Balancer) restartBacklogs(now time.Time) {
	for _, l := range b.backlogs {
		l.Restart(now)
	}
}

// enterBacklog counts a queued flow in the backlog of its service and priority.
func (e *flowEntry) enterBacklog(now time.Time, l *overload.Backlog) {
	switch {
	case e.inBacklog:
		return
	case e.backlog == l:
		e.backlogSince = l.Return(now, e.backlogSince)
	default:
		e.backlogSince = l.Enter(now)
	}
	e.backlog, e.inBacklog = l, true
}

// leaveBacklog counts a flow no longer as queued.
func (e *flowEntry) leaveBacklog(now time.Time) {
	if e.inBacklog {
		e.inBacklog = false
		e.backlog.Leave(now)
	}
}

// age returns how long ago the caller sent the first copy of its opening segment.
func (e *flowEntry) age(now time.Time) time.Duration { return now.Sub(e.firstSent) }

// remaining returns what remains of the route's objective at a time, at least
// minRemaining.
func (e *flowEntry) remaining(at time.Time, r *Route) time.Duration {
	return max(r.Demand.Objective-e.age(at), minRemaining)
}

// startCopies records the first copy of an opening segment at this balancer.
func (e *flowEntry) startCopies(now time.Time, number uint32) {
	e.firstSent = now.Add(-copyAge(number))
	e.firstCopy, e.lastCopy = number, number
}

// recordCopy records a later copy. If the one before is missing, another balancer may have
// received it.
func (e *flowEntry) recordCopy(now time.Time, number uint32) {
	if number > e.lastCopy+1 {
		e.firstCopy = number
	}
	e.lastCopy = max(e.lastCopy, number)
	if sent := now.Add(-copyAge(number)); sent.Before(e.firstSent) {
		e.firstSent = sent
	}
}

// mayReset reports whether no target can have opened the flow, so that it may be reset
// towards its caller. Another balancer may have got a copy that did not come here, and
// an agent that did not reply may have delivered one.
func (e *flowEntry) mayReset(now time.Time) bool {
	if e.mayBeOpen {
		return false
	}
	if e.firstCopy > 0 && e.lastCopy == e.firstCopy {
		// The balancer that got the copy before this one may open the flow until it misses
		// this one. A later copy here shows that it did not.
		return false
	}
	next := int(e.lastCopy)
	return next >= len(retransmitAt) || e.age(now) < retransmitAt[next]-copyMargin
}

// refuseOverloaded resets an opening that can't be served in time.
func (b *Balancer) refuseOverloaded(now time.Time, e *flowEntry, s Segment, r *Route, l *overload.Backlog) {
	b.Counters.RefusedOverload.Add(1)
	b.countRefused(s.Flow, r, "overload")
	b.report(Report{
		Text: "Opening segment is refused: the backlog does not clear.", Flow: s.Flow, Route: r.Name, Why: "overload",
		Count: l.Waiting(), Age: l.Age(now), Version: b.Version(),
	})
	l.RecordRefusal(now)
	b.resetFlow(s, "overload")
	b.deleteEntry(now, e, s.Flow)
}

// expireOpening resets an opening that has waited for too long, so that its caller tries
// again at once. If the flow may have opened elsewhere, the opening is dropped.
func (b *Balancer) expireOpening(now time.Time, e *flowEntry, r *Route) {
	s := e.queuedSegment
	if e.mayReset(now) {
		b.resetFlow(s, "queue timeout")
	}
	b.abandonOpening(now, e, s.Flow, r, "queue timeout")
}

// retainWithObjective is retainQueued for a flow of a route with an objective.
func (b *Balancer) retainWithObjective(now time.Time, f Flow, e *flowEntry, r *Route) bool {
	age := e.age(now)
	if e.stage == stageOpening {
		return age < queueTimeout
	}
	switch l := e.backlog; {
	case age >= queueTimeout:
		b.expireOpening(now, e, r)
	case e.callerGaveUp(now):
		b.abandonOpening(now, e, f, r, "caller stopped retransmitting")
	case l != nil && l.Overloaded(now, r.patience()) && float64(age) > lateShare*float64(r.Demand.Objective) && e.mayReset(now):
		b.refuseOverloaded(now, e, e.queuedSegment, r, l)
	default:
		return true
	}
	return false
}

// deleteEntry deletes the cache entry of a flow.
func (b *Balancer) deleteEntry(now time.Time, e *flowEntry, f Flow) {
	e.leaveBacklog(now)
	delete(b.entries, f)
}
