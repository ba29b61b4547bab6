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

// sessions decides which sessions the node keeps.
type sessions struct {
	options  Options
	dialer   dialer
	next     time.Time
	nextHeal time.Time
	// generation is the balancer generation of balancers and wanted.
	generation uint64
	balancers  topology.Balancers
	wanted     []model.NodeID
}

// tick dials the wanted peers without a session, and hangs up sessions that
// neither side has needed for a while.
func (s *sessions) tick(t *core.Turn, peers *peerList) {
	if t.Now.Before(s.next) || t.Board.Self.Member.Gone() {
		return
	}
	s.next = t.Now.Add(sessionInterval)
	self := &t.Board.Self.Member
	if s.generation != t.Board.Members.BalancerGeneration {
		s.generation = t.Board.Members.BalancerGeneration
		s.balancers = topology.NewBalancers(&t.Board.Members)
		s.wanted = s.balancers.Peers(self.Node, self.Role)
	}
	for _, node := range s.wanted {
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
	s.heal(t)
	s.hangupUnneeded(t, peers)
	s.dialer.forgetIdle(t.Now)
}

// dialSeed dials a random seed while the node has no session with a balancer, or
// only with such that leave: those watch nobody, and nobody else may know the node.
func (s *sessions) dialSeed(t *core.Turn) {
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

// heal dials now and then a balancer that is recorded as dead, or a seed, so
// that two halves of a partition find each other again.
func (s *sessions) heal(t *core.Turn) {
	if s.nextHeal.IsZero() {
		s.nextHeal = t.Now.Add(jitter(t, s.options.HealInterval))
	}
	if t.Now.Before(s.nextHeal) {
		return
	}
	s.nextHeal = t.Now.Add(s.options.HealInterval/2 + jitter(t, s.options.HealInterval))
	if lost := s.lostAddresses(t.Board); len(lost) > 0 {
		s.dialer.dial(t, lost[t.Rand.IntN(len(lost))])
	}
}

// lostAddresses returns the addresses of dead balancers, and the seeds that
// belong to no known live member.
func (s *sessions) lostAddresses(b *core.Board) []netip.AddrPort {
	lost := s.unknownSeeds(b)
	for _, m := range b.Members.Records {
		if m.State == model.StateDead && m.Role == model.RoleBalancer && !slices.Contains(lost, m.ControlAddr) {
			lost = append(lost, m.ControlAddr)
		}
	}
	slices.SortFunc(lost, netip.AddrPort.Compare)
	return lost
}

// unknownSeeds returns the seeds that belong to no known live member, in order.
func (s *sessions) unknownSeeds(b *core.Board) []netip.AddrPort {
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

func (s *sessions) hangupUnneeded(t *core.Turn, peers *peerList) {
	for _, p := range peers.order {
		switch {
		case s.needed(t, p.node):
			p.unneededSince = time.Time{}
		case p.unneededSince.IsZero():
			p.unneededSince = t.Now
		case t.Now.Sub(p.unneededSince) >= s.options.Linger:
			t.Emit(core.CloseSession{Peer: p.node, Reason: "session is not needed"})
		}
	}
}

// needed reports whether either side wants the session. Sessions with agents
// are theirs to close.
func (s *sessions) needed(t *core.Turn, node model.NodeID) bool {
	self := &t.Board.Self.Member
	peer := t.Board.Peers.Sessions[node]
	if peer.Role == model.RoleAgent || slices.Contains(s.wanted, node) {
		return true
	}
	return self.Role == model.RoleBalancer && s.balancers.IsPeer(rendezvous.NewNode(self.Node), node, peer.Role)
}
