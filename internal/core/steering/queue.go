package steering

import (
	"slices"
	"time"
)

const (
	// queueTimeout is how long an opening segment waits for an agent. Callers
	// give an attempt up after 1.4 s.
	queueTimeout = 1200 * time.Millisecond
	// maxQueued bounds the waiting segments: a second of new flows at a balancer
	// that carries its share of 41,000 a second, ten times over.
	maxQueued = 1000
	// repeatSlack is how late a copy may come: a way between failure domains, and the
	// lag of a small balancer under load.
	repeatSlack = 100 * time.Millisecond
)

// repeatAt is when callers repeat an opening segment, after the first.
var repeatAt = [...]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// flowClass orders the segments that wait. Load: targets are short of slots for long,
// while flows that stay open fill them with requests.
type flowClass int

const (
	// classSingleRequest is flows of one request: they leave their slot for good, and cost
	// the others the least.
	classSingleRequest flowClass = iota
	classOther
	numFlowClasses
)

// classOf returns the class of a route's flows.
func classOf(r *Route) flowClass {
	return classFor(r != nil && r.SingleRequest)
}

// classFor returns the class of flows that carry one request, or more.
func classFor(brief bool) flowClass {
	if brief {
		return classSingleRequest
	}
	return classOther
}

// waiting returns the number of opening segments that wait.
func (b *Balancer) waiting() int {
	n := 0
	for _, q := range b.queues {
		n += len(q)
	}
	return n
}

// enqueue lets an opening segment wait until an agent takes it. Load: many
// flows open at once while agents start, are full or are being replaced.
func (b *Balancer) enqueue(now time.Time, h *holding, s Segment, r *Route) {
	if h.queuedAt.IsZero() {
		h.queuedAt = now
		if b.waiting() >= maxQueued {
			b.expire(s.Flow, r, "queue is full")
			return
		}
		b.Counters.Queued.Add(1)
		h.queued, h.copies = s, s.Ack
		h.queued.Raw = slices.Clone(s.Raw)
		class := classOf(r)
		b.queues[class] = append(b.queues[class], s.Flow)
		b.report(Report{Text: "Flow waits for an agent.", Flow: s.Flow, Route: r.Name, Version: b.Version()})
	}
	h.nOffered = 0
	h.enter(stageQueued, nil, now)
}

// expire gives up an opening segment. The caller tries again by itself.
func (b *Balancer) expire(f Flow, r *Route, why string) {
	b.Counters.OpenExpired.Add(1)
	b.report(Report{Text: "No agent opens the flow.", Flow: f, Route: r.Name, Why: why, Version: b.Version()})
	delete(b.holders, f)
}

// placeQueued offers the waiting segments and drops those that have waited too long.
func (b *Balancer) placeQueued(now time.Time) {
	for class := range b.queues {
		b.queues[class] = slices.DeleteFunc(b.queues[class], func(f Flow) bool { return !b.stillWaits(now, f) })
		var full []ServiceID
		for _, f := range slices.Backward(b.queues[class]) {
			if service := b.serviceOf(f); !slices.Contains(full, service) && !b.offerWaiting(now, f) {
				full = append(full, service)
			}
		}
	}
}

// placeAt offers waiting segments after an agent's status has come. Load: a small
// balancer has hundreds waiting while many agents tell that they are full, or that
// one place is free. So nothing is looked at that can't be placed.
func (b *Balancer) placeAt(now time.Time, m *member) {
	for class := range b.queues {
		if b.tierOf(now, m, flowClass(class)) == tierNone {
			continue
		}
		for _, f := range slices.Backward(b.queues[class]) {
			if b.serviceOf(f) == m.service && !b.offerWaiting(now, f) {
				break
			}
		}
	}
}

// serviceOf returns the service for a flow, 0 without a route.
func (b *Balancer) serviceOf(f Flow) ServiceID {
	if r := b.config.route(f.Address); r != nil {
		return r.pick(f.Hash())
	}
	return 0
}

// stillWaits reports whether a flow goes on waiting. One that has waited too long is
// given up.
func (b *Balancer) stillWaits(now time.Time, f Flow) bool {
	h := b.holders[f]
	if h == nil || h.queuedAt.IsZero() || h.stage != stageQueued && h.stage != stageOpening {
		return false // opened meanwhile
	}
	r := b.config.route(f.Address)
	switch {
	case r == nil:
		b.reset(h.queued, "no route")
		delete(b.holders, f)
		return false
	case now.Sub(h.queuedAt) > queueTimeout:
		if h.stage == stageQueued {
			b.expire(f, r, "waited too long")
		}
		return false
	case h.stage == stageQueued && h.callerLeft(now):
		b.expire(f, r, "caller has left")
		return false
	}
	return true
}

// callerLeft reports whether a copy of the waiting segment is overdue. Load: after a
// loss of power many callers have run out of time; an agent would keep a place for
// each. A copy that was merely lost costs its caller the time to the next one.
func (h *holding) callerLeft(now time.Time) bool {
	first := h.queuedAt
	if seen := int(h.queued.Ack); seen > 0 {
		first = first.Add(-repeatAt[min(seen, len(repeatAt))-1])
	}
	next := int(h.copies)
	return next < len(repeatAt) && now.Sub(first) > repeatAt[next]+repeatSlack
}

// offerWaiting offers a segment that waits, and reports false if no agent has room
// for its service. The newest go first within a class: under overload the callers of
// the oldest ones are about to give up, and serving them would make all others late.
func (b *Balancer) offerWaiting(now time.Time, f Flow) bool {
	h, r := b.holders[f], b.config.route(f.Address)
	if h == nil || h.stage != stageQueued || r == nil {
		return true
	}
	b.offerNext(now, h, h.queued, r)
	return h.stage != stageQueued
}
