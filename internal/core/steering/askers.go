package steering

import (
	"net/netip"
	"time"
)

const (
	// balancerLifetime is how long a balancer that does not ask is told of changes.
	balancerLifetime = 5 * time.Second
	// informedAfter is how long a balancer's count of agents has to stand before it
	// may lower what an agent knows: one that has just started while the store had
	// lost records counts too few, and live agents are back in the list within 2 s.
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
	// agents is the number of agents that it knows, which has not fallen since.
	agents uint16
	since  time.Time
}

func newAskerSection() askerSection { return askerSection{byPeer: make(map[netip.AddrPort]asker)} }

// note takes a balancer's question.
func (s *askerSection) note(now time.Time, from netip.AddrPort, agents uint16) {
	b, known := s.byPeer[from]
	if !known || agents < b.agents {
		b.since = now
	}
	b.at, b.agents = now, agents
	s.byPeer[from] = b
}

// count returns the largest number of agents that a balancer knows which has asked
// lately, or that one knew before if all have just started.
func (s *askerSection) count(now time.Time) uint16 {
	var most uint16
	informed := false
	for _, b := range s.byPeer {
		most = max(most, b.agents)
		informed = informed || now.Sub(b.since) >= informedAfter
	}
	if !informed {
		return max(most, s.agents)
	}
	return most
}

// tick keeps the count, and drops the balancers that no longer ask.
func (s *askerSection) tick(now time.Time) {
	s.agents = s.count(now)
	for from, b := range s.byPeer {
		if now.Sub(b.at) > balancerLifetime {
			delete(s.byPeer, from)
		}
	}
}
