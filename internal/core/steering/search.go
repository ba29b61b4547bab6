package steering

import (
	"slices"
	"time"
)

const (
	// maxGuesses bounds the agents that a segment is sent to before all agents
	// are asked.
	maxGuesses = 3
	// searchTimeout bounds the wait for answers: several round trips between
	// failure domains.
	searchTimeout = 60 * time.Millisecond
	// maxKept bounds the segments kept during a search; callers repeat others.
	maxKept = 2
	// maxTries bounds the targets that may be handed a segment of a flow that
	// they may not hold, within tryWindow. Three would count as a broken flow.
	maxTries  = 2
	tryWindow = 2500 * time.Millisecond
	// settleTime is how long a balancer has to know its agents before it
	// declares a flow lost.
	settleTime = time.Second
)

// tryBudget bounds tries.
type tryBudget struct {
	since time.Time
	used  int
}

func (t *tryBudget) take(now time.Time) bool {
	if now.Sub(t.since) > tryWindow {
		*t = tryBudget{since: now}
	}
	if t.used >= maxTries {
		return false
	}
	t.used++
	return true
}

// search is the question to all agents who holds a flow.
type search struct {
	deadline time.Time
	asked    []*member
	verdicts []Verdict
	answered int
	kept     []Segment
}

// keep keeps a segment until the search ends.
func (q *search) keep(s Segment) {
	if len(q.kept) < maxKept {
		s.Raw = slices.Clone(s.Raw)
		q.kept = append(q.kept, s)
	}
}

// guess sends a segment to the likeliest holder that was not tried, or asks
// all agents.
func (b *Balancer) guess(now time.Time, h *holding, s Segment) {
	if h.nOffered < maxGuesses {
		if m := b.likeliest(now, h, s.Flow); m != nil {
			b.Counters.Guessed.Add(1)
			h.offer(m)
			h.enter(stageGuessing, m, now)
			b.sendSegment(m, MessageGuess, s, 0)
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
		if h.offeredTo(m) || !m.live(now) {
			continue
		}
		if m.local {
			local.add(m, hash)
		} else {
			remote.add(m, hash)
		}
	}
	if local[0] != nil {
		return local[0]
	}
	return remote[0]
}

// ask asks all agents who holds a flow.
func (b *Balancer) ask(now time.Time, h *holding, s Segment) {
	b.Counters.Searched.Add(1)
	q := &search{deadline: now.Add(searchTimeout)}
	q.keep(s)
	var ack uint32
	if s.Flags.Has(FlagAck) {
		ack = s.Ack
	}
	for _, m := range b.members.byPeer {
		q.asked = append(q.asked, m)
		b.send(m, Message{Kind: MessageQuery, Flow: s.Flow, Ack: ack})
	}
	q.verdicts = make([]Verdict, len(q.asked))
	h.search = q
	h.enter(stageSearching, nil, now)
	b.searches = append(b.searches, s.Flow)
}

// handleAnswer notes what an agent knows of a flow.
func (b *Balancer) handleAnswer(now time.Time, m *member, msg *Message) {
	h := b.holders[msg.Flow]
	if h == nil || h.stage != stageSearching {
		return
	}
	if msg.Verdict == VerdictHeld {
		b.handleHeld(now, m, msg.Flow)
		return
	}
	q := h.search
	i := slices.Index(q.asked, m)
	if i < 0 || q.verdicts[i] != VerdictUnsure {
		return
	}
	q.verdicts[i] = msg.Verdict
	q.answered++
	if q.answered == len(q.asked) {
		b.conclude(now, h, msg.Flow)
	}
}

// concludeDue ends the searches whose time is up.
func (b *Balancer) concludeDue(now time.Time) {
	kept := b.searches[:0]
	for _, f := range b.searches {
		h := b.holders[f]
		if h == nil || h.stage != stageSearching {
			continue
		}
		if now.Before(h.search.deadline) {
			kept = append(kept, f)
			continue
		}
		b.conclude(now, h, f)
	}
	b.searches = kept
}

// conclude ends a search that found no holder: the likeliest agent that is
// unsure tries, or the flow is lost if all have ruled it out.
func (b *Balancer) conclude(now time.Time, h *holding, f Flow) {
	q := h.search
	h.search = nil
	h.nOffered = 0
	if len(q.kept) == 0 {
		h.enter(stageNew, nil, now)
		return
	}
	s := q.kept[len(q.kept)-1]
	if m := b.unsure(now, q, f); m != nil {
		if !h.tries.take(now) {
			h.enter(stageNew, nil, now)
			return
		}
		b.Counters.Tried.Add(1)
		h.enter(stageTrying, m, now)
		b.sendSegment(m, MessageTry, s, 0)
		return
	}
	h.enter(stageNew, nil, now)
	if q.answered == len(q.asked) && b.settled(now) {
		h.enter(stageLost, nil, now)
		b.resetLost(now, h, s)
		return
	}
	b.Counters.Unknown.Add(1)
	b.report(Report{Text: "No agent is known to hold the flow.", Flow: f, Why: "not all agents answered"})
}

// unsure returns the highest ranked live agent that answered that it is unsure.
func (b *Balancer) unsure(now time.Time, q *search, f Flow) *member {
	hash := f.Hash()
	var local, remote pair
	for i, m := range q.asked {
		if q.verdicts[i] != VerdictUnsure || !m.live(now) {
			continue
		}
		if m.local {
			local.add(m, hash)
		} else {
			remote.add(m, hash)
		}
	}
	if local[0] != nil {
		return local[0]
	}
	return remote[0]
}

// settled reports whether the balancer knows its agents long enough to rule
// out one that it has not heard of.
func (b *Balancer) settled(now time.Time) bool {
	return b.members.loaded && b.storeFresh && now.Sub(b.membersSince) > settleTime
}

// resetLost tells the caller that its flow is gone.
func (b *Balancer) resetLost(now time.Time, h *holding, s Segment) {
	if now.Sub(h.sent) > tryWindow {
		h.enter(stageNew, nil, now)
		h.nOffered = 0
		b.guess(now, h, s)
		return
	}
	b.Counters.ResetLost.Add(1)
	b.reset(s, "no agent holds the flow")
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
	case stageNew:
	}
	if h.stage != stageGuessing {
		h.nOffered = 0
	}
	h.offer(m)
	b.guess(now, h, s)
}
