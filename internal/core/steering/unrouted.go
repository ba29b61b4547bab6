package steering

import (
	"slices"
	"time"
)

// An address without a route may have one in a newer configuration that has not arrived yet.
// Another balancer may have opened a flow by that route, and a reset would abort requests at its
// target. A flow that may be open is therefore reset only after a read of the store that began
// when a segment of the flow was here already: if the newest configuration has no route then, it
// has dropped the one by which the flow was opened. Until then, segments of the flow go to its
// holder, and copies of its opening wait.

const (
	// maxUnrouted bounds the flows that wait for a read of the store.
	maxUnrouted = 1000
	// unroutedLifetime is how long a flow whose caller is silent waits for a read: the longest
	// interval between a caller's retransmissions, with a margin.
	unroutedLifetime = 2 * time.Second
	// unroutedReadPerBalancer scales the minimum time between a balancer's reads for such flows
	// with the number of balancers, which then make at most 20 of them a second in total.
	unroutedReadPerBalancer = 50 * time.Millisecond
)

// unroutedFlow is a flow that may be open, to an address without a route.
type unroutedFlow struct {
	flow Flow
	// since is when its first segment arrived, lastSeen when the last one did.
	since, lastSeen time.Time
	// last is the caller's last segment, without its bytes unless it opens the flow.
	last Segment
}

// unroutedSection holds the flows that wait for a read of the store.
type unroutedSection struct {
	byFlow map[Flow]*unroutedFlow
	// flows is in the order of the flows' first segments.
	flows []*unroutedFlow
}

func newUnroutedSection() unroutedSection {
	return unroutedSection{byFlow: make(map[Flow]*unroutedFlow)}
}

// retain keeps the flows for which keep returns true.
func (s *unroutedSection) retain(keep func(*unroutedFlow) bool) {
	s.flows = slices.DeleteFunc(s.flows, func(u *unroutedFlow) bool {
		if keep(u) {
			return false
		}
		delete(s.byFlow, u.flow)
		return true
	})
}

// handleUnrouted handles a caller's segment to an address without a route.
func (b *Balancer) handleUnrouted(now time.Time, s Segment) {
	switch {
	case !s.IsOpening():
		waits := !s.Flags.Has(FlagReset) && b.awaitRoute(now, s) // a caller's reset needs no answer
		if waits || b.entries[s.Flow] != nil {
			b.forwardSegment(now, s)
		}
	case b.suspensions.inBacklog(now):
		b.Counters.OpenStale.Add(1)
	case s.Ack == 0 && b.entries[s.Flow] == nil && !b.knowsNewerConfiguration():
		// No other balancer has got a copy yet.
		b.resetUnrouted(s)
	case b.awaitRoute(now, s):
		e := b.touchEntry(now, s.Flow)
		if e.firstSent.IsZero() {
			e.startCopies(now, s.Ack)
		} else {
			e.recordCopy(now, s.Ack)
		}
	}
}

func (b *Balancer) resetUnrouted(s Segment) {
	b.Counters.ResetNoRoute.Add(1)
	b.resetFlow(s, "no route")
}

// awaitRoute makes a flow wait for a read of the store that begins now or later. It reports
// whether the flow waits: their number is bounded.
func (b *Balancer) awaitRoute(now time.Time, s Segment) bool {
	u := b.unrouted.byFlow[s.Flow]
	switch {
	case u == nil && len(b.unrouted.flows) >= maxUnrouted:
		return false
	case u == nil:
		u = &unroutedFlow{flow: s.Flow, since: now}
		b.unrouted.byFlow[s.Flow] = u
		b.unrouted.flows = append(b.unrouted.flows, u)
		b.Counters.Unrouted.Add(1)
		b.report(Report{
			Text: "Flow has no route. The store is asked for a newer configuration.", Flow: s.Flow,
			Version: b.Version(), Age: b.confirmation.age(now),
		})
	case s.IsOpening() && !u.last.IsOpening():
		return true // a late copy
	}
	u.lastSeen, u.last = now, s
	if s.IsOpening() {
		u.last.Raw = slices.Clone(s.Raw)
	} else {
		u.last.Raw = nil
	}
	b.readForUnrouted(now)
	return true
}

// readForUnrouted requests a read of the store for the waiting flows.
func (b *Balancer) readForUnrouted(now time.Time) {
	elapsed := now.Sub(b.lastRefresh)
	if elapsed >= refreshInterval && elapsed >= time.Duration(b.Balancers())*unroutedReadPerBalancer {
		b.requestRefresh(now)
	}
}

// resolveUnrouted handles the waiting flows after a read of the store: those that have a route
// now, and those whose route the newest configuration has dropped.
func (b *Balancer) resolveUnrouted(now time.Time) {
	b.unrouted.retain(func(u *unroutedFlow) bool {
		if r := b.config.route(u.flow.Address); r != nil {
			b.offerRouted(now, u, r)
			return false
		}
		if !b.isNewestSince(now, u.since) {
			return true
		}
		b.resetUnrouted(u.last)
		if e := b.entries[u.flow]; e != nil {
			b.deleteEntry(now, e, u.flow)
		}
		return false
	})
}

// offerRouted offers a flow that waited for its route to an agent, unless the caller has sent more
// than openings.
func (b *Balancer) offerRouted(now time.Time, u *unroutedFlow, r *Route) {
	e := b.entries[u.flow]
	if e == nil || e.stage != stageNew || !u.last.IsOpening() || e.age(now) >= queueTimeout {
		return
	}
	b.countAsked(&u.last, r)
	e.numOffered = 0
	b.offerNext(now, e, u.last, r)
}

// tickUnrouted forgets the flows whose callers have given up, and repeats reads for the others.
func (b *Balancer) tickUnrouted(now time.Time) {
	b.unrouted.retain(func(u *unroutedFlow) bool {
		e := b.entries[u.flow]
		if u.last.IsOpening() && (e == nil || e.age(now) >= queueTimeout) {
			b.Counters.OpenExpired.Add(1)
			b.report(Report{Text: "Opening segment is dropped.", Flow: u.flow, Why: "no route known yet", Version: b.Version()})
			if e != nil && e.stage == stageNew {
				b.deleteEntry(now, e, u.flow)
			}
			return false
		}
		return now.Sub(u.lastSeen) < unroutedLifetime
	})
	if len(b.unrouted.flows) > 0 {
		b.readForUnrouted(now)
	}
}
