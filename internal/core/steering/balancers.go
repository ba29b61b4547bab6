package steering

import (
	"net/netip"
	"time"
)

const (
	// balancerLifetime is how long a balancer that does not ask is told of changes.
	balancerTimeout = 5 * time.Second
	// informedAfter is how long a balancer has to know the list of agents before its
	// count may lower what an agent knows: one that has just started while the store
	// had lost records counts too few, and live agents are back in the list within 2 s.
	memberListSettleTime = 5 * time.Second
)

// askerSection is the balancers that ask an agent for its status.
type balancerSection struct {
	byPeer map[netip.AddrPort]balancerState
	// agents is the number of agents that informed balancers knew last. It
	// outlives the balancers and, with the saved flows, the agent's process.
	agentCount uint16
}

// asker is a balancer that has asked the agent.
type balancerState struct {
	lastPing time.Time
	// agents is the number of agents that it knows, informed reports that it has
	// known the list for informedAfter.
	agents   uint16
	informed bool
}

func newBalancerSection() balancerSection {
	return balancerSection{byPeer: make(map[netip.AddrPort]balancerState)}
}

// note takes a balancer's question.
func (s *balancerSection) recordPing(now time.Time, from netip.AddrPort, msg *Message) {
	s.byPeer[from] = balancerState{lastPing: now, agents: msg.Agents, informed: msg.Informed}
}

// count returns the largest number of agents that a balancer knows which has asked
// lately, or that one knew before if all have just started.
func (s *balancerSection) countAgents() uint16 {
	var most uint16
	informed := false
	for _, b := range s.byPeer {
		most = max(most, b.agents)
		informed = informed || b.informed
	}
	if !informed {
		return max(most, s.agentCount)
	}
	return most
}

// tick keeps the count, and drops the balancers that no longer ask.
func (s *balancerSection) tick(now time.Time) {
	s.agentCount = s.countAgents()
	for from, b := range s.byPeer {
		if now.Sub(b.lastPing) > balancerTimeout {
			delete(s.byPeer, from)
		}
	}
}
