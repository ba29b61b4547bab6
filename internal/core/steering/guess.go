package steering

import "time"

// maxProbes bounds the agents that are probed before all agents are queried.
const maxProbes = 3

// findHolder probes the most likely holder that was not probed yet, or starts a
// search.
func (b *Balancer) findHolder(now time.Time, e *flowEntry, s Segment) {
	if e.numOffered < maxProbes {
		if m := b.likeliestHolder(now, e, s.Flow); m != nil {
			b.Counters.Probed.Add(1)
			e.recordOffer(m)
			e.setStage(stageProbing, m, now)
			b.sendSegment(m, MessageProbe, s)
			return
		}
	}
	b.startSearch(now, e, s)
}

// likeliestHolder returns the highest ranked live agent of the flow's service that
// was not probed yet, preferring the local failure domain. The agent from which the
// opening was moved comes first: it may have opened the flow before.
func (b *Balancer) likeliestHolder(now time.Time, e *flowEntry, f Flow) *member {
	r := b.config.route(f.Address)
	if r == nil {
		return nil
	}
	if m := e.movedFrom; m != nil && !m.removed && m.isLive(now) && !e.wasOffered(m) {
		return m
	}
	hash := f.Hash()
	var local, remote topTwo
	for _, m := range b.members.byService[r.pickService(hash)] {
		if m.isLive(now) && !e.wasOffered(m) {
			addRanked(&local, &remote, m, hash)
		}
	}
	return highestRanked(&local, &remote)
}

// handleMissed continues to find the holder after an agent returned a segment.
func (b *Balancer) handleMissed(now time.Time, m *member, msg *Message) {
	b.Counters.Missed.Add(1)
	s := msg.Segment
	e := b.touchEntry(now, s.Flow)
	switch e.stage {
	case stageSearching:
		e.search.buffer(s)
		return
	case stageLost:
		b.resetLostFlow(now, e, s)
		return
	case stageOpening, stageHeld, stageProbing, stageTrial:
		if e.agent != m {
			b.followFlow(e, s)
			return
		}
	case stageNew, stageQueued:
	}
	if e.stage != stageProbing {
		e.numOffered = 0
	}
	e.recordOffer(m)
	b.findHolder(now, e, s)
}

// followFlow sends a segment that came back from an agent which is not the holder to the agent
// that was found or probed meanwhile. Several segments of a request arrive at once; if only the
// first one followed the flow, the caller would have to retransmit the others after 200 ms.
func (b *Balancer) followFlow(e *flowEntry, s Segment) {
	switch e.stage {
	case stageHeld:
		b.sendSegment(e.agent, MessageForward, s)
	case stageProbing:
		b.sendSegment(e.agent, MessageProbe, s)
	case stageNew, stageOpening, stageSearching, stageTrial, stageLost, stageQueued:
	}
}
