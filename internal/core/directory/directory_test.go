package directory_test

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/directory"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/placementpb"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

const service model.ServiceName = "lease-desk"

var initialPacket = []byte{0xc0, 1, 2, 3}

// agentHarness runs one agent, with two peers that exist only as member
// records.
type agentHarness struct {
	t     testing.TB
	node  *core.Node
	now   time.Time
	peers [2]model.Member
}

// newHarness returns an agent whose view is settled and which admits no flows
// itself, so that every flow is offered to a peer.
func newHarness(t testing.TB) *agentHarness {
	self := member("agent-0", 0)
	h := &agentHarness{t: t, now: time.Unix(1000, 0), peers: [2]model.Member{member("agent-1", 1), member("agent-2", 2)}}
	board := core.NewBoard(self)
	key := model.ObjectKey{Kind: model.KindService, Name: string(service)}
	board.Config.Current.Objects[key] = model.Object{Key: key, Version: 1, Service: &model.Service{
		Name: service, Mode: model.ModeRequest, Domains: []model.DomainName{"a"}, Targets: []string{"*"},
	}}
	board.Config.Generation++
	for _, m := range []model.Member{self, h.peers[0], h.peers[1]} {
		board.Members.Records[m.Node] = m
	}
	board.Members.Generation++
	h.node = core.NewNode(board, 1, routing.New(), directory.New(directory.Options{}))
	h.advance(time.Second) // the lease has just become valid: the home is not settled yet
	h.advance(time.Minute)
	return h
}

func member(node model.NodeID, i byte) model.Member {
	return model.Member{
		Node: node, Role: model.RoleAgent, Incarnation: 1, State: model.StateAlive, Domain: "a",
		Service: service, Target: model.TargetName(node), Slots: 1, Connections: 10,
		DataAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000),
	}
}

// advance moves the clock forward under a valid lease.
func (h *agentHarness) advance(d time.Duration) []core.Effect {
	h.now = h.now.Add(d)
	h.node.Board().Lease.ValidUntil = h.now.Add(time.Second)
	return h.node.Step(h.now, core.Tick{})
}

func (h *agentHarness) receivePacket(flow model.FlowKey, payload []byte) []core.Effect {
	return h.node.Step(h.now, core.DatagramReceived{
		Header:  wire.Header{Kind: wire.KindPacket, Service: flow.Service, Caller: flow.Caller},
		Payload: payload,
	})
}

func (h *agentHarness) receivePlacement(from model.Member, m *placementpb.Placement) []core.Effect {
	h.t.Helper()
	m.From, m.Incarnation = string(from.Node), from.Incarnation
	payload, err := proto.Marshal(m)
	if err != nil {
		h.t.Fatal(err)
	}
	return h.node.Step(h.now, core.DatagramReceived{
		From:    from.DataAddr,
		Header:  wire.Header{Kind: wire.KindPlacement, Service: service.ID()},
		Payload: payload,
	})
}

func (h *agentHarness) acceptOffer(from model.Member, flow model.FlowKey, epoch uint64) []core.Effect {
	return h.receivePlacement(from, &placementpb.Placement{Body: &placementpb.Placement_OfferReply{
		OfferReply: &placementpb.OfferReply{Flow: encodeFlow(flow), Epoch: epoch, Accepted: true},
	}})
}

func encodeFlow(flow model.FlowKey) *placementpb.Flow {
	caller, _ := flow.Caller.MarshalBinary()
	return &placementpb.Flow{Caller: caller}
}

// flowWithLocalHome returns a flow whose home is the agent under test.
func (h *agentHarness) flowWithLocalHome() model.FlowKey {
	view := h.node.Board().Routes.Views[service.ID()]
	for port := uint16(1); ; port++ {
		flow := model.FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), port), Service: service.ID()}
		if routing.Home(view, flow.Hash()).Member.Node == "agent-0" {
			return flow
		}
	}
}

// placementsSent returns the placement messages among the effects by
// destination.
func placementsSent(effects []core.Effect) map[netip.AddrPort]*placementpb.Placement {
	out := make(map[netip.AddrPort]*placementpb.Placement)
	for _, e := range effects {
		if s, ok := e.(core.SendDatagram); ok && s.Header.Kind == wire.KindPlacement {
			m := new(placementpb.Placement)
			_ = proto.Unmarshal(s.Payload, m)
			out[s.To] = m
		}
	}
	return out
}

// forwardedTo returns the destinations of the caller datagrams among the
// effects.
func forwardedTo(effects []core.Effect) []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range effects {
		if s, ok := e.(core.SendDatagram); ok && s.Header.Kind != wire.KindPlacement {
			out = append(out, s.To)
		}
	}
	return out
}

// TestFirstAcceptanceWins guards against losing a flow at both candidates: the
// home rejected a late acceptance, which arrived after it had offered the flow
// to the next candidate, but recorded its sender as the holder. Random changes
// of the fleet found the fault.
func TestFirstAcceptanceWins(t *testing.T) {
	h := newHarness(t)
	flow := h.flowWithLocalHome()
	winner := offeredPeer(t, h, h.receivePacket(flow, initialPacket))
	var runnerUp model.Member
	for range 4 {
		if m := placementsSent(h.advance(100 * time.Millisecond)); m[otherPeer(h, winner).DataAddr].GetOffer() != nil {
			runnerUp = otherPeer(h, winner)
		}
	}
	if runnerUp.Node == "" {
		t.Fatal("the home did not offer the flow to the next candidate after one did not reply")
	}
	if got := forwardedTo(h.acceptOffer(winner, flow, 1)); len(got) != 1 || got[0] != winner.DataAddr {
		t.Errorf("after the late acceptance, datagrams went to %v, want %v", got, winner.DataAddr)
	}
	rejected := placementsSent(h.acceptOffer(runnerUp, flow, 2))[runnerUp.DataAddr].GetRegisterReply().GetRejected()
	if len(rejected) != 1 {
		t.Errorf("the second candidate was not rejected")
	}
	if m := placementsSent(h.acceptOffer(winner, flow, 1))[winner.DataAddr]; m.GetRegisterReply() != nil {
		t.Errorf("a duplicate of the winning acceptance was rejected: %v", m)
	}
}

// offeredPeer returns the peer that was offered the flow.
func offeredPeer(t *testing.T, h *agentHarness, effects []core.Effect) model.Member {
	t.Helper()
	for _, peer := range h.peers {
		if placementsSent(effects)[peer.DataAddr].GetOffer() != nil {
			return peer
		}
	}
	t.Fatal("no peer was offered the flow")
	return model.Member{}
}

func otherPeer(h *agentHarness, m model.Member) model.Member {
	if m.Node == h.peers[0].Node {
		return h.peers[1]
	}
	return h.peers[0]
}

func TestUnknownMidFlowDatagramIsDropped(t *testing.T) {
	h := newHarness(t)
	flow := h.flowWithLocalHome()
	effects := h.receivePacket(flow, []byte{0x40, 1, 2, 3})
	for _, p := range h.peers {
		if placementsSent(effects)[p.DataAddr].GetProbe() == nil {
			t.Errorf("%s was not probed for the flow", p.Node)
		}
	}
	for _, p := range h.peers {
		effects = append(effects, h.receivePlacement(p, &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{
			ProbeReply: &placementpb.ProbeReply{Flow: encodeFlow(flow)},
		}})...)
	}
	for _, m := range placementsSent(effects) {
		if m.GetOffer() != nil {
			t.Error("a datagram from the middle of a flow started a flow")
		}
	}
	if got := forwardedTo(effects); len(got) != 0 {
		t.Errorf("the datagram was forwarded to %v", got)
	}
}

func TestHomeWithLapsedLeasePlacesNoFlow(t *testing.T) {
	h := newHarness(t)
	h.now = h.now.Add(time.Minute)
	if effects := h.receivePacket(h.flowWithLocalHome(), initialPacket); len(placementsSent(effects))+len(forwardedTo(effects)) != 0 {
		t.Errorf("a home without a lease sent messages: %v", effects)
	}
}

func TestPacketOfAnotherServiceIsDropped(t *testing.T) {
	h := newHarness(t)
	flow := h.flowWithLocalHome()
	flow.Service = model.ServiceName("drawings").ID()
	for _, e := range h.receivePacket(flow, initialPacket) {
		if c, ok := e.(core.Count); !ok || c.Name != "datagram_wrong_service" {
			t.Errorf("got %#v", e)
		}
	}
}

func TestMalformedMessageIsDropped(t *testing.T) {
	h := newHarness(t)
	effects := h.node.Step(h.now, core.DatagramReceived{
		Header: wire.Header{Kind: wire.KindPlacement, Service: service.ID()}, Payload: []byte{0xff, 0xff},
	})
	if len(effects) != 1 || effects[0] != (core.Count{Name: "placement_malformed", Delta: 1}) {
		t.Errorf("got %v", effects)
	}
}

// TestProberInAnOutDomainIsPostponed covers an agent in whose configuration the
// prober's failure domain is still out.
func TestProberInAnOutDomainIsPostponed(t *testing.T) {
	h := newHarness(t)
	prober := h.peers[0]
	prober.Domain = "b"
	prober.Revision++
	board := h.node.Board()
	board.Members.Put(prober)
	key := model.ObjectKey{Kind: model.KindDomainState, Name: "b"}
	board.Config.Current.Objects[key] = model.Object{Key: key, Version: 2, DomainState: &model.DomainState{Name: "b", Out: true}}
	board.Config.Generation++
	reply := placementsSent(h.receivePlacement(prober, &placementpb.Placement{Body: &placementpb.Placement_Probe{
		Probe: &placementpb.Probe{Flow: encodeFlow(h.flowWithLocalHome())},
	}}))[prober.DataAddr].GetProbeReply()
	if !reply.GetLater() {
		t.Errorf("got %v, want a reply that postpones the prober", reply)
	}
}

// TestPostponedProberDoesNotPlaceFlow guards against two holders of one flow. A
// home whose failure domain had just come back took the missing replies of
// agents that did not know this yet for "no holder", and two agents each got
// half of a caller's handshake.
func TestPostponedProberDoesNotPlaceFlow(t *testing.T) {
	h := newHarness(t)
	// After a change of candidates the home is not settled.
	joined := member("agent-3", 3)
	h.node.Board().Members.Put(joined)
	h.advance(time.Second)
	flow := h.flowWithLocalHome()
	h.receivePacket(flow, initialPacket)
	for _, p := range []model.Member{h.peers[1], joined} {
		h.receivePlacement(p, &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{
			ProbeReply: &placementpb.ProbeReply{Flow: encodeFlow(flow)},
		}})
	}
	for range 20 {
		for to, m := range placementsSent(h.advance(100 * time.Millisecond)) {
			if m.GetOffer() != nil {
				t.Fatalf("the flow was offered to %v before agent-1 agreed", to)
			}
		}
		h.receivePlacement(h.peers[0], &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{
			ProbeReply: &placementpb.ProbeReply{Flow: encodeFlow(flow), Later: true},
		}})
	}
	effects := h.receivePlacement(h.peers[0], &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{
		ProbeReply: &placementpb.ProbeReply{Flow: encodeFlow(flow)},
	}})
	offered := false
	for _, m := range placementsSent(effects) {
		offered = offered || m.GetOffer() != nil
	}
	if !offered {
		t.Error("the flow was not offered once all candidates agreed")
	}
}

// FuzzMessage feeds arbitrary placement messages to a home, which must not
// panic.
func FuzzMessage(f *testing.F) {
	for _, m := range []*placementpb.Placement{
		{Body: &placementpb.Placement_Offer{Offer: &placementpb.Offer{Epoch: 1}}},
		{From: "agent-1", Incarnation: 1, Body: &placementpb.Placement_Register{Register: &placementpb.Register{
			Flows: []*placementpb.Flow{{Caller: []byte{192, 0, 2, 1, 0, 80}}},
		}}},
		{From: "agent-1", Incarnation: 1, Body: &placementpb.Placement_Probe{Probe: &placementpb.Probe{}}},
	} {
		payload, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		h := newHarness(t)
		h.node.Step(h.now, core.DatagramReceived{
			From:    h.peers[0].DataAddr,
			Header:  wire.Header{Kind: wire.KindPlacement, Service: service.ID()},
			Payload: payload,
		})
		h.advance(time.Second)
	})
}

// An agent that is stopping holds a flow whose caller's first datagram was lost. Once
// its local endpoint is closed, the retransmission must be placed at another agent
// instead of being left without a response.
func TestClosedEndpointReturnsItsFlows(t *testing.T) {
	h := newHarness(t)
	board := h.node.Board()
	board.Self.TargetAccepted = true
	h.advance(time.Second)
	flow, home := h.flowWithLocalHome(), h.peers[0]
	h.receivePlacement(home, &placementpb.Placement{Body: &placementpb.Placement_Offer{
		Offer: &placementpb.Offer{Flow: encodeFlow(flow), Epoch: 1},
	}})
	if board.Flows.Local != 1 {
		t.Fatalf("%d local flows after an accepted offer, want 1", board.Flows.Local)
	}
	h.node.Step(h.now, core.EndpointClosed{})
	if board.Flows.Local != 0 {
		t.Errorf("%d local flows after the endpoint was closed, want 0", board.Flows.Local)
	}
	effects := h.node.Step(h.now, core.DatagramReceived{
		From:    home.DataAddr,
		Header:  wire.Header{Kind: wire.KindForward, Service: flow.Service, Caller: flow.Caller},
		Payload: initialPacket,
	})
	for _, e := range effects {
		if _, ok := e.(core.DeliverDatagram); ok {
			t.Error("the datagram is delivered to the closed endpoint")
		}
	}
	if release := placementsSent(effects)[home.DataAddr].GetRelease(); release == nil {
		t.Error("the home is not told that the flow has no holder")
	}
}
