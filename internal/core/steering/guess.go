package steering

import "time"

// maxGuesses bounds the agents that a segment is sent to before all agents are
// asked.
const maxGuesses = 3

// guess sends a segment to the likeliest holder that was not tried, or asks
// all agents.
func (b *Balancer) guess(now time.Time, h *holding, s Segment) {
	if h.nOffered < maxGuesses {
		if m := b.likeliest(now, h, s.Flow); m != nil {
			b.Counters.Probed.Add(1)
			h.offer(m)
			h.enter(stageGuessing, m, now)
			b.sendSegment(m, MessageProbe, s)
			return
		}
	}
	b.ask(now, h, s)
}

// likeliest returns the highest ranked agent of the flow's service that was
// not guessed yet, first in the own failure domain.
func (b *Balancer) likeliest(now time.Time, h *holding, f Flow) *member {
	r := b.config.route(f.Address)
	if r == nil {
		return nil
	}
	hash := f.Hash()
	var local, remote pair
	for _, m := range b.members.byService[r.pick(hash)] {
		if m.live(now) && !h.offeredTo(m) {
			rank(&local, &remote, m, hash)
		}
	}
	return first(&local, &remote)
}

// handleMissed goes on looking for the holder of a flow that an agent does not
// hold.
func (b *Balancer) handleMissed(now time.Time, m *member, msg *Message) {
	b.Counters.Missed.Add(1)
	s := msg.Segment
	h := b.holding(now, s.Flow)
	switch h.stage {
	case stageSearching:
		h.search.keep(s)
		return
	case stageLost:
		b.resetLost(now, h, s)
		return
	case stageOpening, stageHeld, stageGuessing, stageTrying:
		if h.agent != m {
			// Another agent was found meanwhile; the caller repeats the segment.
			return
		}
	case stageNew, stageQueued:
	}
	if h.stage != stageGuessing {
		h.nOffered = 0
	}
	h.offer(m)
	b.guess(now, h, s)
}
