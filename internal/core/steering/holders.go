package steering

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/overload"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
)

const (
	// entryLifetime is how long the cache keeps the entry of an idle flow. After its
	// expiry the next segment costs a probe.
	entryLifetime = 70 * time.Second
	// maxEntries bounds a balancer's flow cache: four times its share of 8.6 million
	// flows over 610 nodes.
	maxEntries = 56_000
	// sweepInterval is the interval at which expired entries are deleted.
	sweepInterval = 2 * time.Second
	// reofferDelay is the age of an offer after which a copy of the opening segment may
	// go to another agent. Callers retransmit after 200 ms.
	reofferDelay = 150 * time.Millisecond
)

// stage is a flow's state at a balancer.
type stage uint8

const (
	stageNew       stage = iota
	stageOpening         // an opening segment was offered to agent
	stageHeld            // agent is the holder
	stageProbing         // a segment was sent to agent, a likely holder
	stageSearching       // all agents are queried
	stageTrial           // a trial delivery was sent to agent, which is unsure
	stageLost            // all agents have ruled the flow out
	stageQueued          // an opening segment waits for an agent
)

// flowEntry is a balancer's cache entry of a flow.
type flowEntry struct {
	stage    stage
	agent    *member
	lastSeen time.Time
	// sentAt is when the stage began and a segment was sent to agent, if any.
	sentAt time.Time
	// offered lists the agents that were offered or probed in this stage.
	offered    [maxOffers]*member
	numOffered int
	search     *search
	// trials counts the trial deliveries to unsure agents.
	trials int
	// firstSent is when the caller sent the first copy of the opening segment, by the
	// copies' schedule. queuedSegment is that segment, if it waits since queuedAt; lastCopy
	// is the number of its last retransmission.
	queuedSegment Segment
	queuedAt      time.Time
	firstSent     time.Time
	lastCopy      uint32
	// firstCopy is the number of the first of the copies that came here one after the
	// other.
	firstCopy uint32
	// mayBeOpen is set when a target may have opened the flow: an agent has not replied to
	// the offer, or the caller has sent more than openings.
	mayBeOpen bool
	// lastResort is set when the flow was offered to an agent that refuses flows as
	// failing.
	lastResort bool
	// mayDelay is set when the flow is offered regardless of requests of lower priorities that
	// wait. loadedRefusals counts the agents that refused it as loaded before.
	mayDelay       bool
	loadedRefusals int
	// movedFrom is the first agent that did not reply to the opening, which then went to
	// another one; nil if there is none. It may hold the flow.
	movedFrom *member
	// inBacklog is set while the flow counts in backlog; backlogSince is when that backlog
	// began.
	inBacklog    bool
	backlog      *overload.Backlog
	backlogSince time.Time
}

func (e *flowEntry) wasOffered(m *member) bool {
	for _, o := range e.offered[:e.numOffered] {
		if o == m {
			return true
		}
	}
	return false
}

func (e *flowEntry) recordOffer(m *member) {
	if e.numOffered < len(e.offered) {
		e.offered[e.numOffered] = m
		e.numOffered++
	}
}

// withdrawOffer makes an agent a candidate again.
func (e *flowEntry) withdrawOffer(m *member) {
	offered := slices.DeleteFunc(e.offered[:e.numOffered], func(o *member) bool { return o == m })
	e.numOffered = len(offered)
}

// setStage enters a stage with an agent, nil if none.
func (e *flowEntry) setStage(s stage, m *member, now time.Time) {
	if s != stageQueued {
		e.leaveBacklog(now)
	}
	e.stage, e.agent, e.sentAt = s, m, now
}

func score(m *member, hash uint64) uint64 { return routing.Score(m.seed, hash) }

// touchEntry returns the flow's entry, which it creates if missing, and marks the
// flow as seen.
func (b *Balancer) touchEntry(now time.Time, f Flow) *flowEntry {
	e := b.entries[f]
	if e == nil {
		if len(b.entries) >= maxEntries {
			b.Counters.CacheFull.Add(1)
			b.sweep(now, entryLifetime/8)
		}
		e = new(flowEntry)
		b.entries[f] = e
	}
	e.lastSeen = now
	return e
}

// sweep deletes the entries of flows idle for longer than silence.
func (b *Balancer) sweep(now time.Time, silence time.Duration) {
	b.lastSweep = now
	for f, e := range b.entries {
		if now.Sub(e.lastSeen) > silence {
			b.deleteEntry(now, e, f)
		}
	}
	b.sweepBacklogs(now)
}

// openFlow places a segment that opens a flow.
func (b *Balancer) openFlow(now time.Time, s Segment, r *Route) {
	if b.suspensions.inBacklog(now) {
		b.Counters.OpenStale.Add(1)
		return
	}
	b.countAsked(&s, r)
	e := b.touchEntry(now, s.Flow)
	retransmitted := s.Ack > 0 || e.isDelayedFirst(now, &s)
	if retransmitted && r.hasObjective() {
		e.recordCopy(now, s.Ack)
	}
	switch {
	case e.stage == stageHeld,
		e.stage == stageOpening && retransmitted && e.agent.isLive(now) && !b.isOverdue(now, e):
		switch {
		case e.stage == stageHeld:
			e.startCopies(now, s.Ack)
			e.queuedAt = time.Time{}
		case !r.hasObjective() || !e.isUnheard():
			e.mayBeOpen = true // the agent may refuse an earlier copy and deliver this one
		case e.agent.suspect:
			b.moveOpening(now, e, s, r)
			return
		default:
			e.mayBeOpen = true
			b.awaitReply(now, e, s)
		}
		b.report(Report{Text: "Opening segment goes to the cached agent.", Flow: s.Flow, Node: e.agent.record.Node, Route: r.Name, Version: b.Version(), Age: now.Sub(e.sentAt)})
		// An agent that does not hold the flow refuses it if the route's service is not its own.
		b.sendOpening(now, e, s, r, r.pickService(s.Flow.Hash()))
		return
	case e.stage == stageOpening && retransmitted && r.hasObjective():
		b.moveOpening(now, e, s, r)
		return
	case e.stage == stageOpening && retransmitted:
		e.mayBeOpen = true
		b.offerNext(now, e, s, r)
		return
	case e.stage == stageQueued && retransmitted:
		e.lastCopy = max(e.lastCopy, s.Ack)
		return
	}
	e.leaveBacklog(now)
	*e = flowEntry{lastSeen: now}
	e.startCopies(now, s.Ack)
	b.offerNext(now, e, s, r)
}

// isOverdue reports whether the agent of an opening flow has had time to reply to
// a ping since the offer and has not.
func (b *Balancer) isOverdue(now time.Time, e *flowEntry) bool {
	return now.Sub(e.sentAt) > reofferDelay && e.agent.lastPong.Before(e.sentAt.Add(-e.agent.currentPingInterval(now)))
}

// sendOpening offers an opening segment to the entry's agent, with what remains of the
// objective.
func (b *Balancer) sendOpening(now time.Time, e *flowEntry, s Segment, r *Route, service ServiceID) {
	demand := r.Demand
	if r.hasObjective() {
		demand.Objective = e.remaining(now, r)
	}
	b.send(e.agent, Message{
		Kind: MessageOpen, Service: service, NonIdempotent: r.NonIdempotent, SingleRequest: r.SingleRequest, Demand: demand,
		LastResort: e.lastResort, MayDelay: e.mayDelay, Segment: s,
	})
}

// offerNext offers an opening segment to the next agent, or queues it.
func (b *Balancer) offerNext(now time.Time, e *flowEntry, s Segment, r *Route) {
	hash := s.Flow.Hash()
	service := r.pickService(hash)
	if e.firstSent.IsZero() {
		e.startCopies(now, s.Ack) // offered before this process started
	}
	var m *member
	switch {
	case e.numOffered >= maxOffers:
	case r.hasObjective():
		m, e.lastResort = b.pickByTime(now, e, r, service, hash)
	default:
		m, e.lastResort = b.pickAgent(now, e, routeClass(r), service, hash)
	}
	if m == nil {
		b.enqueue(now, e, s, r)
		return
	}
	if !e.queuedAt.IsZero() {
		b.emit(Effect{Kind: EffectObserve, Latency: LatencyQueue, Elapsed: now.Sub(e.queuedAt)})
	}
	b.countOffer(e, s.Flow, r)
	e.recordOffer(m)
	e.setStage(stageOpening, m, now)
	m.recordOpening(now, r)
	m.startFastPing(now)
	b.Counters.Opened.Add(1)
	b.sendOpening(now, e, s, r, service)
	if e.movedFrom != nil {
		// The caller may send no further copy that would show that this agent is lost, too.
		b.awaitReply(now, e, s)
	}
}

// handleRefused offers a refused segment to another agent.
func (b *Balancer) handleRefused(now time.Time, m *member, msg *Message) {
	b.Counters.Refused.Add(1)
	s := msg.Segment
	b.recordRefusal(now, m, msg)
	b.report(Report{Text: "Agent refused to open the flow.", Flow: s.Flow, Node: m.record.Node, Why: msg.Refusal.String()})
	e := b.touchEntry(now, s.Flow)
	switch e.stage {
	case stageOpening, stageHeld:
		if e.agent != m {
			return
		}
		e.mayBeOpen = e.mayBeOpen || e.stage == stageHeld
	case stageNew:
		e.mayBeOpen = true // an earlier process may have offered other copies
	case stageProbing, stageSearching, stageTrial, stageLost, stageQueued:
		return
	}
	r := b.config.route(s.Flow.Address)
	if r == nil {
		e.setStage(stageNew, nil, now)
		b.awaitRoute(now, s) // other copies of the opening may have reached other balancers
		return
	}
	if msg.Refusal == RefusedLoaded && !e.mayDelay && e.loadedRefusals < maxLoadedRefusals {
		e.loadedRefusals++
		e.withdrawOffer(m) // the agent may take it regardless of its load
	} else {
		e.recordOffer(m)
	}
	b.offerNext(now, e, s, r)
}

// forwardSegment sends a segment from the middle of a flow to the flow's holder,
// or starts finding the holder.
func (b *Balancer) forwardSegment(now time.Time, s Segment) {
	e := b.touchEntry(now, s.Flow)
	if e.stage == stageHeld && e.agent.removed {
		e.setStage(stageNew, nil, now)
	}
	switch e.stage {
	case stageOpening, stageHeld:
		b.countAdmitted(now, e, &s)
		e.recordOpened(&s)
		e.stage = stageHeld
		b.Counters.Forwarded.Add(1)
		b.sendSegment(e.agent, MessageForward, s)
	case stageProbing, stageTrial:
		b.forwardUnconfirmed(now, e, s)
	case stageSearching:
		e.search.buffer(s)
	case stageLost:
		b.resetLostFlow(now, e, s)
	case stageNew, stageQueued:
		e.numOffered = 0
		b.findHolder(now, e, s)
	}
}

// confirmTimeout is how long a probe or trial may stay unconfirmed before the
// balancer tries to find the holder anew: a few round trips between failure
// domains.
const confirmTimeout = 50 * time.Millisecond

// forwardUnconfirmed handles a segment of a flow whose probed or tried agent has
// not replied yet.
func (b *Balancer) forwardUnconfirmed(now time.Time, e *flowEntry, s Segment) {
	if now.Sub(e.sentAt) > confirmTimeout {
		e.numOffered = 0
		b.findHolder(now, e, s)
		return
	}
	if e.stage == stageProbing {
		b.sendSegment(e.agent, MessageProbe, s)
	}
}

// handleHeld caches the confirmed holder of a flow and forwards the buffered
// segments.
func (b *Balancer) handleHeld(now time.Time, m *member, f Flow) {
	e := b.touchEntry(now, f)
	e.numOffered, e.trials, e.movedFrom = 0, 0, nil
	e.setStage(stageHeld, m, now)
	if e.search != nil {
		segments := e.search.buffered
		e.search = nil
		for i := range segments {
			b.sendSegment(m, MessageForward, segments[i])
		}
	}
}
