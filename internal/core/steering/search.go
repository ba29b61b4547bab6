package steering

import (
	"iter"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/revision"
)

const (
	// searchTimeout is how long a search waits for replies before it makes a trial
	// delivery to an unsure agent: several round trips between failure domains.
	searchTimeout = 60 * time.Millisecond
	// searchLifetime is how long a search continues while its caller is silent: the
	// longest interval between a caller's retransmissions, with a margin.
	searchLifetime = 2 * time.Second
	// queryRetryInterval is the time after which an unanswered query is resent.
	queryRetryInterval = 200 * time.Millisecond
	// countQueryInterval is the time after which an agent that knew of more agents is
	// queried again, in all searches together: the count is corrected once the balancers'
	// lists have settled.
	countQueryInterval = 2 * time.Second
	// maxBuffered bounds the segments buffered during a search; callers retransmit
	// others.
	maxBuffered = 2
	// maxTrials bounds the targets that may receive a segment of a flow that they do
	// not hold. With three the flow would count as misdirected.
	maxTrials = 2
	// lostRetention is how long a flow counts as lost before its holder is searched
	// again.
	lostRetention = 2500 * time.Millisecond
)

// query is the state of one agent in a search.
type query struct {
	member    *member
	sentAt    time.Time // zero if not sent yet
	repliedAt time.Time // zero if there was no reply yet
	verdict   Verdict
}

// search queries all agents for the holder of a flow. Each agent is queried once
// it is live; the flow is lost once all have ruled it out.
type search struct {
	startedAt time.Time
	ack       uint32
	// memberRevision is the newest revision of the list of agents in the replies.
	memberRevision revision.Revision
	queries        []query
	buffered       []Segment
}

// buffer keeps a copy of a segment until the search ends. The newest are kept.
func (s *search) buffer(seg Segment) {
	seg.Raw = slices.Clone(seg.Raw)
	if len(s.buffered) == maxBuffered {
		s.buffered = append(s.buffered[:0], s.buffered[1:]...)
	}
	s.buffered = append(s.buffered, seg)
}

func (s *search) queryOf(m *member) *query {
	for i := range s.queries {
		if s.queries[i].member == m {
			return &s.queries[i]
		}
	}
	return nil
}

// allRuledOut reports whether all agents have replied that they are not the
// holder. It is false if no agent is known.
func (s *search) allRuledOut() bool {
	for i := range s.queries {
		if s.queries[i].repliedAt.IsZero() || !s.queries[i].verdict.rulesOut() {
			return false
		}
	}
	return len(s.queries) > 0
}

// maxAgents returns the largest number of agents that the queried agents know of, by
// their latest replies in any search.
func (s *search) maxAgents() int {
	most := 0
	for i := range s.queries {
		most = max(most, s.queries[i].member.agentCount)
	}
	return most
}

// refreshAgentCounts queries the agents again that know of more agents than the balancer,
// each at most once in countQueryInterval.
func (b *Balancer) refreshAgentCounts(now time.Time, s *search, f Flow) {
	known := b.members.countListedOrLive(now)
	for i := range s.queries {
		q := &s.queries[i]
		if m := q.member; m.agentCount > known && m.isLive(now) && now.Sub(m.countQueriedAt) >= countQueryInterval {
			m.countQueriedAt = now
			b.sendQuery(now, q, f, s.ack)
		}
	}
}

// countTrials returns how many targets have returned a segment of the flow after a
// trial delivery, by whichever balancer.
func (s *search) countTrials() int {
	n := 0
	for i := range s.queries {
		if s.queries[i].verdict == VerdictTried {
			n++
		}
	}
	return n
}

// startSearch queries all live agents for the holder of a flow.
func (b *Balancer) startSearch(now time.Time, e *flowEntry, seg Segment) {
	b.Counters.Searched.Add(1)
	s := &search{startedAt: now, ack: seg.AckNumber()}
	s.buffer(seg)
	e.search = s
	e.setStage(stageSearching, nil, now)
	b.searches = append(b.searches, seg.Flow)
	for _, m := range b.members.all {
		s.queries = append(s.queries, query{member: m})
		if m.isLive(now) {
			b.sendQuery(now, &s.queries[len(s.queries)-1], seg.Flow, s.ack)
		}
	}
}

func (b *Balancer) sendQuery(now time.Time, q *query, f Flow, ack uint32) {
	q.sentAt = now
	b.send(q.member, Message{Kind: MessageQuery, Flow: f, Ack: ack})
}

// activeSearches returns the active searches by flow.
func (b *Balancer) activeSearches() iter.Seq2[Flow, *search] {
	return func(yield func(Flow, *search) bool) {
		for _, f := range b.searches {
			if e := b.entries[f]; e != nil && e.stage == stageSearching && !yield(f, e.search) {
				return
			}
		}
	}
}

// addMemberToSearches makes active searches wait for the reply of a new agent.
func (b *Balancer) addMemberToSearches(m *member) {
	for _, s := range b.activeSearches() {
		s.queries = append(s.queries, query{member: m})
	}
}

// queryMember sends the open queries of all searches to an agent that is reachable
// again.
func (b *Balancer) queryMember(now time.Time, m *member) {
	for f, s := range b.activeSearches() {
		if q := s.queryOf(m); q != nil && q.repliedAt.IsZero() {
			b.sendQuery(now, q, f, s.ack)
		}
	}
}

// removeMemberFromSearches removes a removed agent from all searches.
func (b *Balancer) removeMemberFromSearches(m *member) {
	for _, s := range b.activeSearches() {
		s.queries = slices.DeleteFunc(s.queries, func(q query) bool { return q.member == m })
	}
}

// handleReply records an agent's verdict on a searched flow.
func (b *Balancer) handleReply(now time.Time, m *member, msg *Message) {
	m.agentCount = int(msg.Agents)
	e := b.entries[msg.Flow]
	if e == nil || e.stage != stageSearching {
		return
	}
	if msg.Verdict == VerdictHeld {
		b.handleHeld(now, m, msg.Flow)
		return
	}
	q := e.search.queryOf(m)
	if q == nil {
		return
	}
	q.repliedAt, q.verdict = now, msg.Verdict
	e.search.memberRevision = revision.Later(e.search.memberRevision, msg.MemberRevision)
	b.declareLostIfRuledOut(now, e, msg.Flow)
}

// declareLostIfRuledOut resets a flow that all agents have ruled out. Another
// balancer may have opened it at an agent that is unknown here; but then it has
// sent the revision of its newer list to the agents before. If another balancer
// knows more agents, the store has lost records that are being written again.
func (b *Balancer) declareLostIfRuledOut(now time.Time, e *flowEntry, f Flow) {
	if !e.search.allRuledOut() {
		return
	}
	if !b.members.loaded || e.search.memberRevision.After(b.members.verifiedRevision) {
		b.requestRefresh(now)
		return
	}
	if e.search.maxAgents() > b.members.countListedOrLive(now) {
		// Rereading the list does not help: wait until more agents are listed, or later
		// replies correct the count.
		b.refreshAgentCounts(now, e.search, f)
		return
	}
	s := e.search.buffered[len(e.search.buffered)-1]
	e.search = nil
	e.numOffered = 0
	e.setStage(stageLost, nil, now)
	b.resetLostFlow(now, e, s)
}

// advanceSearches advances the active searches and drops the completed ones.
func (b *Balancer) advanceSearches(now time.Time) {
	searches := b.searches
	b.searches = nil
	for _, f := range searches {
		e := b.entries[f]
		if e == nil || e.stage != stageSearching {
			continue
		}
		b.advanceSearch(now, e, f)
		if e.stage == stageSearching {
			b.searches = append(b.searches, f)
		}
	}
}

// advanceSearch makes a trial delivery to the highest ranked unsure agent,
// abandons the search if the caller is silent, or else resends unanswered queries.
func (b *Balancer) advanceSearch(now time.Time, e *flowEntry, f Flow) {
	s := e.search
	b.declareLostIfRuledOut(now, e, f)
	if e.stage != stageSearching || now.Sub(s.startedAt) < searchTimeout {
		return
	}
	if m := b.highestRankedUnsure(now, s, f); m != nil && max(s.countTrials(), e.trials) < maxTrials {
		e.trials++
		b.Counters.Tried.Add(1)
		seg := s.buffered[len(s.buffered)-1]
		e.search = nil
		e.numOffered = 0
		e.setStage(stageTrial, m, now)
		b.sendSegment(m, MessageTrial, seg)
		return
	}
	if now.Sub(e.lastSeen) > searchLifetime {
		b.Counters.SearchesAbandoned.Add(1)
		b.report(Report{Text: "Search for the holder is abandoned.", Flow: f, Why: "not all agents replied"})
		e.search = nil
		e.setStage(stageNew, nil, now)
		return
	}
	for i := range s.queries {
		q := &s.queries[i]
		if q.repliedAt.IsZero() && q.member.isLive(now) && now.Sub(q.sentAt) > queryRetryInterval {
			b.sendQuery(now, q, f, s.ack)
		}
	}
}

// resetLostFlow resets a lost flow, or restarts finding the holder after
// lostRetention.
func (b *Balancer) resetLostFlow(now time.Time, e *flowEntry, s Segment) {
	if now.Sub(e.sentAt) > lostRetention {
		e.setStage(stageNew, nil, now)
		e.numOffered = 0
		b.findHolder(now, e, s)
		return
	}
	b.Counters.ResetLost.Add(1)
	b.resetFlow(s, "no agent holds the flow")
}

// highestRankedUnsure returns the highest ranked live agent that replied as
// unsure.
func (b *Balancer) highestRankedUnsure(now time.Time, s *search, f Flow) *member {
	hash := f.Hash()
	var local, remote topTwo
	for i := range s.queries {
		q := &s.queries[i]
		if !q.repliedAt.IsZero() && q.verdict == VerdictUnsure && q.member.isLive(now) {
			addRanked(&local, &remote, q.member, hash)
		}
	}
	return highestRanked(&local, &remote)
}
