package steering

import "net/netip"

// maxUnsureQueries bounds the queries that an agent remembers: those of a second after a
// loss of power. The callers of others retransmit.
const maxUnsureQueries = 512

// unsureQuery is a query that the agent could not answer.
type unsureQuery struct {
	flow Flow
	ack  uint32
	from netip.AddrPort
}

// answerQuery replies to a query for a flow. A query that can't be answered yet is
// remembered, the oldest first to be dropped.
func (a *Agent) answerQuery(q unsureQuery) {
	verdict := a.flowVerdict(q.flow, q.ack)
	if verdict == VerdictUnsure {
		if len(a.unsureQueries) == maxUnsureQueries {
			a.unsureQueries = a.unsureQueries[:copy(a.unsureQueries, a.unsureQueries[1:])]
		}
		a.unsureQueries = append(a.unsureQueries, q)
	}
	a.send(q.from, Message{
		Kind: MessageReply, Flow: q.flow, Verdict: verdict, MemberRevision: a.memberRevision, Agents: a.balancers.countAgents(),
	})
}

// answerUnsureQueries answers the remembered queries once the agent knows all flows of
// its target: the searches wait for it.
func (a *Agent) answerUnsureQueries() {
	if !a.target.knowsAllFlows() || len(a.unsureQueries) == 0 {
		return
	}
	queries := a.unsureQueries
	a.unsureQueries = nil
	for _, q := range queries {
		a.answerQuery(q)
	}
}
