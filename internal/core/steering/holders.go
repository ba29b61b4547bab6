package steering

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/routing"
)

const (
	// holdingLifetime is how long a balancer remembers the holder of a flow
	// that sends nothing. A forgotten holder costs a guess.
	holdingLifetime = 70 * time.Second
	// maxHoldings bounds the remembered flows of a balancer: 8.6 million flows
	// over 610 nodes, four times over.
	maxHoldings = 56_000
	// sweepInterval is how often old holdings are dropped.
	sweepInterval = 2 * time.Second
	// reofferAfter is the age of an offer after which a copy of the opening
	// segment may go to another agent. Callers repeat after 200 ms.
	reofferAfter = 150 * time.Millisecond
)

// stage is how far a balancer is with a flow.
type stage uint8

const (
	stageNew       stage = iota
	stageOpening         // an opening segment was sent to agent
	stageHeld            // agent holds the flow
	stageGuessing        // a segment was sent to agent, which may hold the flow
	stageSearching       // all agents were asked
	stageTrying          // a segment was sent to agent, which is unsure
	stageLost            // no agent holds the flow
	stageQueued          // an opening segment waits for an agent
)

// holding is what a balancer knows of a flow.
type holding struct {
	stage    stage
	agent    *member
	lastSeen time.Time
	// sent is when the agent was picked.
	sent time.Time
	// offered lists the agents that were tried in this stage.
	offered  [maxOffers]*member
	nOffered int
	search   *search
	// tries counts the unsure agents that got a segment of the flow.
	tries int
	// queued is the opening segment that waits since queuedAt, copies is the number
	// of the last copy that has come.
	queued   Segment
	queuedAt time.Time
	copies   uint32
}

func (h *holding) offeredTo(m *member) bool {
	for _, o := range h.offered[:h.nOffered] {
		if o == m {
			return true
		}
	}
	return false
}

func (h *holding) offer(m *member) {
	if h.nOffered < len(h.offered) {
		h.offered[h.nOffered] = m
		h.nOffered++
	}
}

// enter begins a stage at an agent.
func (h *holding) enter(s stage, m *member, now time.Time) {
	h.stage, h.agent, h.sent = s, m, now
}

func score(m *member, hash uint64) uint64 { return routing.Score(m.seed, hash) }

// holding returns what is known of a flow, and remembers that it is alive.
func (b *Balancer) holding(now time.Time, f Flow) *holding {
	h := b.holders[f]
	if h == nil {
		if len(b.holders) >= maxHoldings {
			b.Counters.CacheFull.Add(1)
			b.sweep(now, holdingLifetime/8)
		}
		h = new(holding)
		b.holders[f] = h
	}
	h.lastSeen = now
	return h
}

// sweep drops the flows that have been silent for the duration.
func (b *Balancer) sweep(now time.Time, silence time.Duration) {
	b.lastSweep = now
	for f, h := range b.holders {
		if now.Sub(h.lastSeen) > silence {
			delete(b.holders, f)
		}
	}
}

// open places a segment that opens a flow.
func (b *Balancer) open(now time.Time, s Segment, r *Route) {
	if b.pauses.stale(now) {
		b.Counters.OpenStale.Add(1)
		return
	}
	h := b.holding(now, s.Flow)
	copied := s.Ack > 0
	switch {
	case h.stage == stageHeld,
		h.stage == stageOpening && copied && h.agent.live(now) && !b.overdue(now, h):
		b.sendOpen(h.agent, s, r, h.agent.service)
		return
	case h.stage == stageOpening && copied:
		b.offerNext(now, h, s, r)
		return
	case h.stage == stageQueued && copied:
		h.copies = max(h.copies, s.Ack)
		return
	}
	*h = holding{lastSeen: now}
	b.offerNext(now, h, s, r)
}

// overdue reports whether the agent of an opening flow has had time to answer
// a ping since the offer and has not.
func (b *Balancer) overdue(now time.Time, h *holding) bool {
	return now.Sub(h.sent) > reofferAfter && h.agent.lastPong.Before(h.sent.Add(-h.agent.pingEvery(now)))
}

// sendOpen offers an opening segment to an agent.
func (b *Balancer) sendOpen(m *member, s Segment, r *Route, service ServiceID) {
	b.send(m, Message{Kind: MessageOpen, Service: service, NonIdempotent: r.NonIdempotent, SingleRequest: r.SingleRequest, Segment: s})
}

// offerNext offers an opening segment to the next agent.
func (b *Balancer) offerNext(now time.Time, h *holding, s Segment, r *Route) {
	hash := s.Flow.Hash()
	service := r.pick(hash)
	var m *member
	if h.nOffered < maxOffers {
		m = b.place(now, h, classOf(r), service, hash)
	}
	if m == nil {
		b.enqueue(now, h, s, r)
		return
	}
	if !h.queuedAt.IsZero() {
		b.emit(Effect{Kind: EffectObserve, Latency: LatencyQueue, Elapsed: now.Sub(h.queuedAt)})
	}
	h.offer(m)
	h.enter(stageOpening, m, now)
	m.opened++
	m.want(now)
	b.Counters.Opened.Add(1)
	b.sendOpen(m, s, r, service)
}

// handleRefused offers a refused segment to another agent.
func (b *Balancer) handleRefused(now time.Time, m *member, msg *Message) {
	b.Counters.Refused.Add(1)
	if msg.Refusal == RefusedBusy {
		m.noteFull(classOf(b.config.route(msg.Segment.Flow.Address)))
	} else {
		m.avoidUntil = now.Add(refusalPause)
	}
	s := msg.Segment
	b.report(Report{Text: "Agent refused to open the flow.", Flow: s.Flow, Node: m.record.Node, Why: msg.Refusal.String()})
	h := b.holding(now, s.Flow)
	switch h.stage {
	case stageOpening, stageHeld:
		if h.agent != m {
			return
		}
	case stageNew:
	case stageGuessing, stageSearching, stageTrying, stageLost, stageQueued:
		return
	}
	r := b.config.route(s.Flow.Address)
	if r == nil {
		b.reset(s, "no route")
		return
	}
	h.offer(m)
	b.offerNext(now, h, s, r)
}

// carry sends a segment from the middle of a flow to its holder, or looks for
// it.
func (b *Balancer) carry(now time.Time, s Segment) {
	h := b.holding(now, s.Flow)
	switch h.stage {
	case stageOpening, stageHeld:
		h.stage = stageHeld
		b.Counters.Forwarded.Add(1)
		b.sendSegment(h.agent, MessageForward, s)
	case stageGuessing, stageTrying:
		b.carryUnsure(now, h, s)
	case stageSearching:
		h.search.keep(s)
	case stageLost:
		b.resetLost(now, h, s)
	case stageNew, stageQueued:
		h.nOffered = 0
		b.guess(now, h, s)
	}
}

// unsureTimeout is how long a guess or a try is waited for before the holder is
// looked for anew: a few round trips between failure domains.
const unsureTimeout = 50 * time.Millisecond

// carryUnsure handles a segment of a flow whose guessed holder has not
// answered yet.
func (b *Balancer) carryUnsure(now time.Time, h *holding, s Segment) {
	if now.Sub(h.sent) > unsureTimeout {
		h.nOffered = 0
		b.guess(now, h, s)
		return
	}
	if h.stage == stageGuessing {
		b.sendSegment(h.agent, MessageProbe, s)
	}
}

// handleHeld remembers the holder of a flow.
func (b *Balancer) handleHeld(now time.Time, m *member, f Flow) {
	h := b.holding(now, f)
	h.nOffered, h.tries = 0, 0
	h.enter(stageHeld, m, now)
	if h.search != nil {
		kept := h.search.kept
		h.search = nil
		for i := range kept {
			b.sendSegment(m, MessageForward, kept[i])
		}
	}
}
