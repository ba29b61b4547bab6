package steering

import (
	"iter"
	"slices"
	"time"
)

const (
	// searchTimeout is how long answers are waited for before an unsure agent
	// tries: several round trips between failure domains.
	searchTimeout = 60 * time.Millisecond
	// searchLifetime is how long a search goes on while its caller is silent:
	// the longest pause between a caller's copies, and room.
	searchLifetime = 2 * time.Second
	// askAgainAfter is when an unanswered question is repeated.
	askAgainAfter = 200 * time.Millisecond
	// maxKept bounds the segments kept during a search; callers repeat others.
	maxKept = 2
	// maxTries bounds the targets that may be handed a segment of a flow that
	// they do not hold. With three the flow would count as misdirected.
	maxTries = 2
	// lostLifetime is how long a flow counts as lost before it is looked for
	// again.
	lostLifetime = 2500 * time.Millisecond
)

// question is what one agent was asked and has answered.
type question struct {
	member   *member
	askedAt  time.Time // zero if not asked yet
	answered time.Time // zero if not answered yet
	verdict  Verdict
}

// search is the question to all agents who holds a flow. Each agent is asked
// once it is live; the flow is lost once all have ruled it out.
type search struct {
	began time.Time
	ack   uint32
	// memberRevision is the newest list of agents that answers told of.
	memberRevision uint64
	// agents is the most agents that a balancer knows which has asked them.
	agents    int
	questions []question
	kept      []Segment
}

// keep keeps a segment until the search ends; the newest ones are kept.
func (q *search) keep(s Segment) {
	s.Raw = slices.Clone(s.Raw)
	if len(q.kept) == maxKept {
		q.kept = append(q.kept[:0], q.kept[1:]...)
	}
	q.kept = append(q.kept, s)
}

func (q *search) of(m *member) *question {
	for i := range q.questions {
		if q.questions[i].member == m {
			return &q.questions[i]
		}
	}
	return nil
}

// ruledOut reports whether all agents have answered that they do not hold the
// flow. Nobody rules it out if no agent is known.
func (q *search) ruledOut() bool {
	for i := range q.questions {
		if q.questions[i].answered.IsZero() || !q.questions[i].verdict.ruledOut() {
			return false
		}
	}
	return len(q.questions) > 0
}

// tried returns how many targets have got a segment of the flow although they do
// not hold it, whichever balancer sent it.
func (q *search) tried() int {
	n := 0
	for i := range q.questions {
		if q.questions[i].verdict == VerdictTried {
			n++
		}
	}
	return n
}

// ask asks all agents who holds a flow.
func (b *Balancer) ask(now time.Time, h *holding, s Segment) {
	b.Counters.Searched.Add(1)
	q := &search{began: now, ack: s.AckNumber()}
	q.keep(s)
	h.search = q
	h.enter(stageSearching, nil, now)
	b.searches = append(b.searches, s.Flow)
	for _, m := range b.members.all {
		q.questions = append(q.questions, question{member: m})
		if m.live(now) {
			b.askOne(now, &q.questions[len(q.questions)-1], s.Flow, q.ack)
		}
	}
}

func (b *Balancer) askOne(now time.Time, q *question, f Flow, ack uint32) {
	q.askedAt = now
	b.send(q.member, Message{Kind: MessageQuery, Flow: f, Ack: ack})
}

// searching returns the searches under way, by flow.
func (b *Balancer) searching() iter.Seq2[Flow, *search] {
	return func(yield func(Flow, *search) bool) {
		for _, f := range b.searches {
			if h := b.holders[f]; h != nil && h.stage == stageSearching && !yield(f, h.search) {
				return
			}
		}
	}
}

// addToSearches makes the searches wait for the answer of a new agent.
func (b *Balancer) addToSearches(m *member) {
	for _, s := range b.searching() {
		s.questions = append(s.questions, question{member: m})
	}
}

// askMember asks an agent that has come back about all flows that are searched.
func (b *Balancer) askMember(now time.Time, m *member) {
	for f, s := range b.searching() {
		if q := s.of(m); q != nil && q.answered.IsZero() {
			b.askOne(now, q, f, s.ack)
		}
	}
}

// skipMember takes an agent that is gone out of all searches.
func (b *Balancer) skipMember(m *member) {
	for _, s := range b.searching() {
		s.questions = slices.DeleteFunc(s.questions, func(q question) bool { return q.member == m })
	}
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
	q := h.search.of(m)
	if q == nil {
		return
	}
	q.answered, q.verdict = now, msg.Verdict
	h.search.memberRevision = max(h.search.memberRevision, msg.MemberRevision)
	h.search.agents = max(h.search.agents, int(msg.Agents))
	b.declareLost(now, h)
}

// declareLost resets a flow that all agents have ruled out. Another balancer may
// have opened it at an agent that this one does not know yet; but then it had
// told the agents of its newer list before. If another one knows more agents, the
// store has lost records that are being written again.
func (b *Balancer) declareLost(now time.Time, h *holding) {
	if !h.search.ruledOut() {
		return
	}
	if !b.members.loaded || h.search.memberRevision > b.members.verified {
		b.refresh(now)
		return
	}
	if h.search.agents > b.members.count(now) {
		return // reading the list again brings nothing: another agent, or time, will
	}
	s := h.search.kept[len(h.search.kept)-1]
	h.search = nil
	h.nOffered = 0
	h.enter(stageLost, nil, now)
	b.resetLost(now, h, s)
}

// reviewSearches takes the searches on.
func (b *Balancer) reviewSearches(now time.Time) {
	searches := b.searches
	b.searches = nil
	for _, f := range searches {
		h := b.holders[f]
		if h == nil || h.stage != stageSearching {
			continue
		}
		b.review(now, h, f)
		if h.stage == stageSearching {
			b.searches = append(b.searches, f)
		}
	}
}

// review goes on with a search: unanswered questions are repeated, the
// likeliest unsure agent tries, and a search without a caller ends.
func (b *Balancer) review(now time.Time, h *holding, f Flow) {
	q := h.search
	b.declareLost(now, h)
	if h.stage != stageSearching || now.Sub(q.began) < searchTimeout {
		return
	}
	if m := b.unsure(now, q, f); m != nil && max(q.tried(), h.tries) < maxTries {
		h.tries++
		b.Counters.Tried.Add(1)
		s := q.kept[len(q.kept)-1]
		h.search = nil
		h.nOffered = 0
		h.enter(stageTrying, m, now)
		b.sendSegment(m, MessageTrial, s)
		return
	}
	if now.Sub(h.lastSeen) > searchLifetime {
		b.Counters.SearchesAbandoned.Add(1)
		b.report(Report{Text: "No agent is known to hold the flow.", Flow: f, Why: "not all agents answered"})
		h.search = nil
		h.enter(stageNew, nil, now)
		return
	}
	for i := range q.questions {
		question := &q.questions[i]
		if question.answered.IsZero() && question.member.live(now) && now.Sub(question.askedAt) > askAgainAfter {
			b.askOne(now, question, f, q.ack)
		}
	}
}

// resetLost tells the caller that its flow is gone.
func (b *Balancer) resetLost(now time.Time, h *holding, s Segment) {
	if now.Sub(h.sent) > lostLifetime {
		h.enter(stageNew, nil, now)
		h.nOffered = 0
		b.guess(now, h, s)
		return
	}
	b.Counters.ResetLost.Add(1)
	b.reset(s, "no agent holds the flow")
}

// unsure returns the highest ranked live agent that answered that it is unsure.
func (b *Balancer) unsure(now time.Time, q *search, f Flow) *member {
	hash := f.Hash()
	var local, remote pair
	for i := range q.questions {
		question := &q.questions[i]
		if !question.answered.IsZero() && question.verdict == VerdictUnsure && question.member.live(now) {
			rank(&local, &remote, question.member, hash)
		}
	}
	return first(&local, &remote)
}
