package steering

import (
	"net/netip"
	"time"
)

const (
	// balancerLifetime is how long a balancer that does not ask is told of changes.
	balancerLifetime = 5 * time.Second
	// informedAfter is how long a balancer has to know the list of agents before its
	// count may lower what an agent knows: one that has just started while the store
	// had lost records counts too few, and live agents are back in the list within 2 s.
	informedAfter = 5 * time.Second
)

// askerSection is the balancers that ask an agent for its status.
type askerSection struct {
	byPeer map[netip.AddrPort]asker
	// agents is the number of agents that informed balancers knew last. It
	// outlives the balancers and, with the saved flows, the agent's process.
	agents uint16
}

// asker is a balancer that has asked the agent.
type asker struct {
	at time.Time
	// agents is the number of agents that it knows, informed reports that it has
	// known the list for informedAfter.
	agents   uint16
	informed bool
}

func newAskerSection() askerSection { return askerSection{byPeer: make(map[netip.AddrPort]asker)} }

// note takes a balancer's question.
func (s *askerSection) note(now time.Time, from netip.AddrPort, msg *Message) {
	s.byPeer[from] = asker{at: now, agents: msg.Agents, informed: msg.ListSettled}
}

// count returns the largest number of agents that a balancer knows which has asked
// lately, or that one knew before if all have just started.
func (s *askerSection) count() uint16 {
	var most uint16
	informed := false
	for _, b := range s.byPeer {
		most = max(most, b.agents)
		informed = informed || b.informed
	}
	if !informed {
		return max(most, s.agents)
	}
	return most
}

// tick keeps the count, and drops the balancers that no longer ask.
func (s *askerSection) tick(now time.Time) {
	s.agents = s.count()
	for from, b := range s.byPeer {
		if now.Sub(b.at) > balancerLifetime {
			delete(s.byPeer, from)
		}
	}
}
