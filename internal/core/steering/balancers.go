package steering

import (
	"net/netip"
	"time"
)

const (
	// balancerTimeout is the time without a ping after which a balancer is no longer
	// notified of changes.
	balancerTimeout = 5 * time.Second
	// memberListSettleTime is how long a balancer must have had the list of agents
	// before its count may lower the agent's. A balancer that starts while records are
	// missing from the store counts too few agents; live agents are back in the list
	// within 2 s.
	memberListSettleTime = 5 * time.Second
)

// balancerSection holds the balancers that ping an agent.
type balancerSection struct {
	byPeer map[netip.AddrPort]balancerState
	// agentCount is the last known number of agents. It outlives the balancers that
	// reported it and, being stored with the saved flows, the agent's process.
	agentCount uint16
}

// balancerState is what an agent knows of a balancer that has pinged it.
type balancerState struct {
	lastPing time.Time
	// agents is the number of agents that the balancer knows; listSettled reports that
	// it has had the list of agents for memberListSettleTime.
	agents      uint16
	listSettled bool
}

func newBalancerSection() balancerSection {
	return balancerSection{byPeer: make(map[netip.AddrPort]balancerState)}
}

// recordPing records a balancer's ping.
func (s *balancerSection) recordPing(now time.Time, from netip.AddrPort, msg *Message) {
	s.byPeer[from] = balancerState{lastPing: now, agents: msg.Agents, listSettled: msg.ListSettled}
}

// countAgents returns the largest number of agents that a current balancer knows. If
// the list has settled at none of these, it returns at least the last known number.
func (s *balancerSection) countAgents() uint16 {
	var largest uint16
	settled := false
	for _, state := range s.byPeer {
		largest = max(largest, state.agents)
		settled = settled || state.listSettled
	}
	if !settled {
		return max(largest, s.agentCount)
	}
	return largest
}

// tick updates the agent count and removes the balancers that no longer ping.
func (s *balancerSection) tick(now time.Time) {
	s.agentCount = s.countAgents()
	for from, state := range s.byPeer {
		if now.Sub(state.lastPing) > balancerTimeout {
			delete(s.byPeer, from)
		}
	}
}
