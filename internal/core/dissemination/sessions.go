package dissemination

import (
	"net/netip"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/rendezvous"
	"amaranthwheel.example/amaranthwheel/internal/core/topology"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// sessionInterval is how often sessions are opened and closed.
const sessionInterval = 200 * time.Millisecond

// sessionManager decides which sessions the node keeps.
type sessionManager struct {
	options  Options
	dialer   dialer
	nextTick time.Time
	nextHeal time.Time
	// generation is the balancer generation that balancers and wantedPeers were
	// computed from.
	generation  uint64
	balancers   topology.Balancers
	wantedPeers []model.NodeID
}

// tick dials the peers that need a session and have none, and closes sessions
// that neither side has needed for UnneededSessionTimeout.
func (s *sessionManager) tick(t *core.Turn, peers *peerList) {
	if t.Now.Before(s.nextTick) || t.Board.Self.Member.Gone() {
		return
	}
	s.nextTick = t.Now.Add(sessionInterval)
	self := &t.Board.Self.Member
	if s.generation != t.Board.Members.BalancerGeneration {
		s.generation = t.Board.Members.BalancerGeneration
		s.balancers = topology.NewBalancers(&t.Board.Members)
		s.wantedPeers = s.balancers.Peers(self.Node, self.Role)
	}
	for _, node := range s.wantedPeers {
		if peers.byNode[node] == nil {
			s.dialer.dial(t, t.Board.Members.Records[node].ControlAddr)
		}
	}
	for _, node := range t.Board.Members.WithoutHeartbeat {
		if peers.byNode[node] == nil {
			s.dialer.dial(t, t.Board.Members.Records[node].ControlAddr)
		}
	}
	s.dialSeed(t)
	s.healPartition(t)
	s.closeUnneeded(t, peers)
	s.dialer.expireIdle(t.Now)
}

// dialSeed dials a random seed while the node has no session with a balancer, or
// only with draining ones: those watch no node, and no other balancer may know this one.
func (s *sessionManager) dialSeed(t *core.Turn) {
	seeds := s.options.Seeds
	for node, session := range t.Board.Peers.Sessions {
		if session.Role != model.RoleBalancer {
			continue
		}
		if t.Board.Members.Records[node].State != model.StateDraining {
			return
		}
		seeds = s.unknownSeeds(t.Board)
	}
	if len(seeds) > 0 {
		s.dialer.dial(t, seeds[t.Rand.IntN(len(seeds))])
	}
}

// healPartition periodically dials a balancer that is recorded as dead, or a
// seed, so that the two sides of a partition reconnect.
func (s *sessionManager) healPartition(t *core.Turn) {
	if s.nextHeal.IsZero() {
		s.nextHeal = t.Now.Add(jitter(t, s.options.HealInterval))
	}
	if t.Now.Before(s.nextHeal) {
		return
	}
	s.nextHeal = t.Now.Add(s.options.HealInterval/2 + jitter(t, s.options.HealInterval))
	if addresses := s.healAddresses(t.Board); len(addresses) > 0 {
		s.dialer.dial(t, addresses[t.Rand.IntN(len(addresses))])
	}
}

// healAddresses returns the addresses of dead balancers, and the seeds that
// belong to no known live member.
func (s *sessionManager) healAddresses(b *core.Board) []netip.AddrPort {
	addresses := s.unknownSeeds(b)
	for _, m := range b.Members.Records {
		if m.State == model.StateDead && m.Role == model.RoleBalancer && !slices.Contains(addresses, m.ControlAddr) {
			addresses = append(addresses, m.ControlAddr)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// unknownSeeds returns the seeds that belong to no known live member, sorted.
func (s *sessionManager) unknownSeeds(b *core.Board) []netip.AddrPort {
	live := make(map[netip.AddrPort]bool)
	for _, m := range b.Members.Records {
		if !m.Gone() {
			live[m.ControlAddr] = true
		}
	}
	var unknown []netip.AddrPort
	for _, seed := range s.options.Seeds {
		if !live[seed] && !slices.Contains(unknown, seed) {
			unknown = append(unknown, seed)
		}
	}
	slices.SortFunc(unknown, netip.AddrPort.Compare)
	return unknown
}

func (s *sessionManager) closeUnneeded(t *core.Turn, peers *peerList) {
	for _, p := range peers.order {
		switch {
		case s.isNeeded(t, p.node):
			p.unneededSince = time.Time{}
		case p.unneededSince.IsZero():
			p.unneededSince = t.Now
		case t.Now.Sub(p.unneededSince) >= s.options.UnneededSessionTimeout:
			t.Emit(core.CloseSession{Peer: p.node, Reason: "session is not needed"})
		}
	}
}

// isNeeded reports whether either side needs the session. A session with an
// agent is always kept, because the agent closes it.
func (s *sessionManager) isNeeded(t *core.Turn, node model.NodeID) bool {
	self := &t.Board.Self.Member
	peer := t.Board.Peers.Sessions[node]
	if peer.Role == model.RoleAgent || slices.Contains(s.wantedPeers, node) {
		return true
	}
	return self.Role == model.RoleBalancer && s.balancers.IsPeer(rendezvous.NewNode(self.Node), node, peer.Role)
}
