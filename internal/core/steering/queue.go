package steering

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/overload"
)

const (
	// queueTimeout is the age of an opening segment, counted from the caller's first
	// copy, after which it no longer waits for an agent. Callers abandon an attempt
	// after 1.4 s.
	queueTimeout = 1200 * time.Millisecond
	// maxQueued bounds the queued segments: ten times the new flows of a second at a
	// balancer with its share of 41,000 a second.
	maxQueued = 1000
	// retransmitSlack is the tolerated delay of a retransmission: latency between
	// failure domains plus the lag of a small balancer under load.
	retransmitSlack = 100 * time.Millisecond
)

// retransmitAt lists when callers retransmit an opening segment, counted from the
// first.
var retransmitAt = [...]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// flowClass orders queued segments. When targets are short of slots for long,
// flows that stay open fill them with requests.
type flowClass int

const (
	// classSingleRequest is served first: single-request flows release their slot for
	// good and delay the others least.
	classSingleRequest flowClass = iota
	classOther
	numFlowClasses
)

// routeClass returns the class of a route's flows.
func routeClass(r *Route) flowClass {
	return classFor(r != nil && r.SingleRequest)
}

// copyAge returns how long after the first copy of an opening segment a caller sends
// the copy with the number.
func copyAge(number uint32) time.Duration {
	if number == 0 {
		return 0
	}
	return retransmitAt[min(int(number), len(retransmitAt))-1]
}

// classFor returns the class of flows with a single request, or with more.
func classFor(singleRequest bool) flowClass {
	if singleRequest {
		return classSingleRequest
	}
	return classOther
}

// countQueued returns the number of queued opening segments.
func (b *Balancer) countQueued() int {
	n := 0
	for _, q := range b.queues {
		n += len(q)
	}
	return n
}

// enqueue queues an opening segment until an agent accepts it. This happens when
// many flows open at once while agents start, are full or are being replaced.
func (b *Balancer) enqueue(now time.Time, e *flowEntry, s Segment, r *Route) {
	var l *overload.Backlog
	if r.hasObjective() {
		l = b.backlog(r.pickService(s.Flow.Hash()), r.priority())
		if e.queuedAt.IsZero() && l.Overloaded(now, r.patience()) && e.mayReset(now) {
			b.refuseOverloaded(now, e, s, r, l)
			return
		}
	}
	if e.queuedAt.IsZero() {
		e.queuedAt = now
		if b.countQueued() >= maxQueued {
			b.abandonOpening(now, e, s.Flow, r, "queue is full")
			return
		}
		b.Counters.Queued.Add(1)
		b.countOpeningQueued(s.Flow, r)
		if !r.hasObjective() {
			e.startCopies(now, s.Ack)
		}
		e.queuedSegment = s
		e.queuedSegment.Raw = slices.Clone(s.Raw)
		b.insertQueued(r, s.Flow, e.firstSent)
		b.report(Report{Text: "Flow is queued for an agent.", Flow: s.Flow, Route: r.Name, Version: b.Version()})
	}
	e.numOffered = 0
	e.setStage(stageQueued, nil, now)
	if l != nil {
		e.enterBacklog(now, l)
	}
}

// insertQueued adds a flow to the queue of its class, which is ordered by the time of
// the callers' first copies. After a loss of power the routers' choice of balancers
// changes, and the later copies of many openings reach a balancer that has not seen
// the first: arriving last, they would be served before callers who can still be
// answered in good time.
func (b *Balancer) insertQueued(r *Route, f Flow, firstSent time.Time) {
	class := queueClassOf(r)
	q := b.queues[class]
	if len(q) == 0 {
		b.queuedObjective[class] = 0
	}
	b.queuedObjective[class] = max(b.queuedObjective[class], r.Demand.Objective)
	at := len(q)
	for at > 0 && b.sentAfter(q[at-1], firstSent) {
		at--
	}
	b.queues[class] = slices.Insert(q, at, f)
}

// sentAfter reports whether the first copy of a queued flow was sent after the time.
func (b *Balancer) sentAfter(f Flow, t time.Time) bool {
	e := b.entries[f]
	return e != nil && e.firstSent.After(t)
}

// abandonOpening drops an opening segment. The caller retries by itself.
func (b *Balancer) abandonOpening(now time.Time, e *flowEntry, f Flow, r *Route, reason string) {
	b.Counters.OpenExpired.Add(1)
	b.countRefused(f, r, reason)
	b.report(Report{Text: "Opening segment is dropped.", Flow: f, Route: r.Name, Why: reason, Version: b.Version()})
	b.deleteEntry(now, e, f)
}

// offerQueued offers the queued segments and drops those that have waited too
// long.
func (b *Balancer) offerQueued(now time.Time) {
	for class := range b.queues {
		b.queues[class] = slices.DeleteFunc(b.queues[class], func(f Flow) bool {
			retained := b.retainQueued(now, f)
			if e := b.entries[f]; !retained && e != nil && e.backlog != nil {
				e.queuedAt = time.Time{} // inserted again if it has to wait again
			}
			return !retained
		})
		var full []ServiceID
		for _, f := range slices.Backward(b.queues[class]) {
			if service := b.serviceOf(f); !slices.Contains(full, service) && !b.offerQueuedSegment(now, f) {
				full = append(full, service)
			}
		}
	}
}

// offerQueuedTo offers queued segments to an agent after its status has arrived. A
// small balancer may have hundreds of segments queued while many agents report
// that they are full or have one free slot, so it skips all segments that can't be
// placed there.
func (b *Balancer) offerQueuedTo(now time.Time, m *member) {
	for class := range b.queues {
		if len(b.queues[class]) == 0 || !b.canTake(now, m, queueClass(class)) {
			continue
		}
		for _, f := range slices.Backward(b.queues[class]) {
			if b.serviceOf(f) == m.service && !b.offerQueuedSegment(now, f) {
				break
			}
		}
	}
}

// serviceOf returns the service for a flow, 0 without a route.
func (b *Balancer) serviceOf(f Flow) ServiceID {
	if r := b.config.route(f.Address); r != nil {
		return r.pickService(f.Hash())
	}
	return 0
}

// retainQueued reports whether a flow stays queued. It drops a flow that has
// waited too long or whose caller has stopped.
func (b *Balancer) retainQueued(now time.Time, f Flow) bool {
	e := b.entries[f]
	if e == nil || e.queuedAt.IsZero() || e.stage != stageQueued && e.stage != stageOpening {
		return false // opened or removed meanwhile
	}
	r := b.config.route(f.Address)
	switch {
	case r == nil:
		e.queuedAt = time.Time{}
		if e.stage == stageQueued {
			e.setStage(stageNew, nil, now)
			b.awaitRoute(now, e.queuedSegment)
		}
		return false
	case r.hasObjective():
		return b.retainWithObjective(now, f, e, r)
	case now.Sub(e.firstSent) > queueTimeout:
		if e.stage == stageQueued {
			b.abandonOpening(now, e, f, r, "queue timeout")
		}
		return false
	case e.stage == stageQueued && e.callerGaveUp(now):
		b.abandonOpening(now, e, f, r, "caller stopped retransmitting")
		return false
	}
	return true
}

// callerGaveUp reports whether a retransmission of the queued segment is overdue.
// After a loss of power many callers have timed out, and an agent would reserve a
// slot for each. If a retransmission was merely lost, the caller waits until the
// next one.
func (e *flowEntry) callerGaveUp(now time.Time) bool {
	next := int(e.lastCopy)
	return next < len(retransmitAt) && now.Sub(e.firstSent) > retransmitAt[next]+retransmitSlack
}

// offerQueuedSegment offers a queued segment and reports false if no agent has
// capacity for its service. Within a class the newest go first: under overload the
// callers of the oldest are about to give up, and serving them would make all
// others late.
func (b *Balancer) offerQueuedSegment(now time.Time, f Flow) bool {
	e, r := b.entries[f], b.config.route(f.Address)
	if e == nil || e.stage != stageQueued || r == nil {
		return true
	}
	b.offerNext(now, e, e.queuedSegment, r)
	return e.stage != stageQueued
}
