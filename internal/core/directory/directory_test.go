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

// home is one agent under test, with two peers that only exist as records.
type home struct {
	t    testing.TB
	node *core.Node
	now  time.Time
	peer [2]model.Member
}

// newHome returns an agent whose view is settled and which itself admits
// nothing, so that every flow is offered to a peer.
func newHome(t testing.TB) *home {
	self := member("agent-0", 0)
	h := &home{t: t, now: time.Unix(1000, 0), peer: [2]model.Member{member("agent-1", 1), member("agent-2", 2)}}
	board := core.NewBoard(self)
	key := model.ObjectKey{Kind: model.KindService, Name: string(service)}
	board.Config.Current.Objects[key] = model.Object{Key: key, Version: 1, Service: &model.Service{
		Name: service, Mode: model.ModeRequest, Domains: []model.DomainName{"a"}, Targets: []string{"*"},
	}}
	board.Config.Generation++
	for _, m := range []model.Member{self, h.peer[0], h.peer[1]} {
		board.Members.Records[m.Node] = m
	}
	board.Members.Generation++
	h.node = core.NewNode(board, 1, routing.New(), directory.New(directory.Options{}))
	h.pass(time.Second) // the lease is new: the home is not settled yet
	h.pass(time.Minute)
	return h
}

func member(node model.NodeID, i byte) model.Member {
	return model.Member{
		Node: node, Role: model.RoleAgent, Incarnation: 1, State: model.StateAlive, Domain: "a",
		Service: service, Target: model.TargetName(node), Slots: 1, Connections: 10,
		DataAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000),
	}
}

// pass lets time pass under a valid lease.
func (h *home) pass(d time.Duration) []core.Effect {
	h.now = h.now.Add(d)
	h.node.Board().Lease.ValidUntil = h.now.Add(time.Second)
	return h.node.Step(h.now, core.Tick{})
}

func (h *home) packet(flow model.FlowKey, payload []byte) []core.Effect {
	return h.node.Step(h.now, core.DatagramReceived{
		Header:  wire.Header{Kind: wire.KindPacket, Service: flow.Service, Caller: flow.Caller},
		Payload: payload,
	})
}

func (h *home) message(from model.Member, m *placementpb.Placement) []core.Effect {
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

func (h *home) accept(from model.Member, flow model.FlowKey, epoch uint64) []core.Effect {
	return h.message(from, &placementpb.Placement{Body: &placementpb.Placement_OfferReply{
		OfferReply: &placementpb.OfferReply{Flow: callerOf(flow), Epoch: epoch, Accepted: true},
	}})
}

func callerOf(flow model.FlowKey) *placementpb.Flow {
	caller, _ := flow.Caller.MarshalBinary()
	return &placementpb.Flow{Caller: caller}
}

// homeFlow returns a flow whose home is the agent under test.
func (h *home) homeFlow() model.FlowKey {
	view := h.node.Board().Routes.Views[service.ID()]
	for port := uint16(1); ; port++ {
		flow := model.FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), port), Service: service.ID()}
		if routing.Home(view, flow.Hash()).Member.Node == "agent-0" {
			return flow
		}
	}
}

// sent returns the placement messages among the effects, with their addresses.
func sent(effects []core.Effect) map[netip.AddrPort]*placementpb.Placement {
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

func forwards(effects []core.Effect) []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range effects {
		if s, ok := e.(core.SendDatagram); ok && s.Header.Kind != wire.KindPlacement {
			out = append(out, s.To)
		}
	}
	return out
}

// TestFirstAcceptanceWins repeats what random changes found: an offer that was
// answered late, after the home had moved on, was rejected and then recorded as
// the holder, and both candidates lost the flow.
func TestFirstAcceptanceWins(t *testing.T) {
	h := newHome(t)
	flow := h.homeFlow()
	first := offered(t, h, h.packet(flow, initialPacket))
	var second model.Member
	for range 4 {
		if m := sent(h.pass(100 * time.Millisecond)); m[other(h, first).DataAddr].GetOffer() != nil {
			second = other(h, first)
		}
	}
	if second.Node == "" {
		t.Fatal("the home did not move on from a silent candidate")
	}
	if got := forwards(h.accept(first, flow, 1)); len(got) != 1 || got[0] != first.DataAddr {
		t.Errorf("after the late acceptance, datagrams went to %v, want %v", got, first.DataAddr)
	}
	rejected := sent(h.accept(second, flow, 2))[second.DataAddr].GetRegisterReply().GetRejected()
	if len(rejected) != 1 {
		t.Errorf("the second candidate was not rejected")
	}
	if m := sent(h.accept(first, flow, 1))[first.DataAddr]; m.GetRegisterReply() != nil {
		t.Errorf("a duplicate of the winning acceptance was rejected: %v", m)
	}
}

// offered returns the peer that got an offer.
func offered(t *testing.T, h *home, effects []core.Effect) model.Member {
	t.Helper()
	for _, p := range h.peer {
		if sent(effects)[p.DataAddr].GetOffer() != nil {
			return p
		}
	}
	t.Fatal("nobody was offered the flow")
	return model.Member{}
}

func other(h *home, m model.Member) model.Member {
	if m.Node == h.peer[0].Node {
		return h.peer[1]
	}
	return h.peer[0]
}

func TestUnknownFlowIsNeitherStartedNorReset(t *testing.T) {
	h := newHome(t)
	flow := h.homeFlow()
	effects := h.packet(flow, []byte{0x40, 1, 2, 3})
	for _, p := range h.peer {
		if sent(effects)[p.DataAddr].GetProbe() == nil {
			t.Errorf("%s was not asked for the flow", p.Node)
		}
	}
	for _, p := range h.peer {
		effects = append(effects, h.message(p, &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{
			ProbeReply: &placementpb.ProbeReply{Flow: callerOf(flow)},
		}})...)
	}
	for _, m := range sent(effects) {
		if m.GetOffer() != nil {
			t.Error("a datagram from the middle of a flow started a flow")
		}
	}
	if got := forwards(effects); len(got) != 0 {
		t.Errorf("the datagram was passed on to %v", got)
	}
}

func TestLapsedLeasePlacesNothing(t *testing.T) {
	h := newHome(t)
	h.now = h.now.Add(time.Minute)
	if effects := h.packet(h.homeFlow(), initialPacket); len(sent(effects))+len(forwards(effects)) != 0 {
		t.Errorf("a home without a lease acted: %v", effects)
	}
}

func TestPacketOfAnotherServiceIsDropped(t *testing.T) {
	h := newHome(t)
	flow := h.homeFlow()
	flow.Service = model.ServiceName("drawings").ID()
	for _, e := range h.packet(flow, initialPacket) {
		if c, ok := e.(core.Count); !ok || c.Name != "datagram_wrong_service" {
			t.Errorf("got %#v", e)
		}
	}
}

func TestMalformedMessageChangesNothing(t *testing.T) {
	h := newHome(t)
	effects := h.node.Step(h.now, core.DatagramReceived{
		Header: wire.Header{Kind: wire.KindPlacement, Service: service.ID()}, Payload: []byte{0xff, 0xff},
	})
	if len(effects) != 1 || effects[0] != (core.Count{Name: "placement_malformed", Delta: 1}) {
		t.Errorf("got %v", effects)
	}
}

// TestProberInAnOutDomainIsPostponed covers an agent that still holds the failure
// domain of a prober out.
func TestProberInAnOutDomainIsPostponed(t *testing.T) {
	h := newHome(t)
	prober := h.peer[0]
	prober.Domain = "b"
	prober.Revision++
	board := h.node.Board()
	board.Members.Put(prober)
	key := model.ObjectKey{Kind: model.KindDomainState, Name: "b"}
	board.Config.Current.Objects[key] = model.Object{Key: key, Version: 2, DomainState: &model.DomainState{Name: "b", Out: true}}
	board.Config.Generation++
	reply := sent(h.message(prober, &placementpb.Placement{Body: &placementpb.Placement_Probe{
		Probe: &placementpb.Probe{Flow: callerOf(h.homeFlow())},
	}}))[prober.DataAddr].GetProbeReply()
	if !reply.GetLater() {
		t.Errorf("got %v, want a reply that postpones the prober", reply)
	}
}

// TestPostponedProberPlacesNothing repeats what a scenario found: a home whose
// failure domain had just come back took the silence of agents that had not heard
// of it for 'not held', and two agents got one half each of a caller's handshake.
func TestPostponedProberPlacesNothing(t *testing.T) {
	h := newHome(t)
	// A change of candidates unsettles the home.
	joined := member("agent-3", 3)
	h.node.Board().Members.Put(joined)
	h.pass(time.Second)
	flow := h.homeFlow()
	h.packet(flow, initialPacket)
	for _, p := range []model.Member{h.peer[1], joined} {
		h.message(p, &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{
			ProbeReply: &placementpb.ProbeReply{Flow: callerOf(flow)},
		}})
	}
	for range 20 {
		for to, m := range sent(h.pass(100 * time.Millisecond)) {
			if m.GetOffer() != nil {
				t.Fatalf("the flow was offered to %v before agent-1 agreed", to)
			}
		}
		h.message(h.peer[0], &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{
			ProbeReply: &placementpb.ProbeReply{Flow: callerOf(flow), Later: true},
		}})
	}
	effects := h.message(h.peer[0], &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{
		ProbeReply: &placementpb.ProbeReply{Flow: callerOf(flow)},
	}})
	offered := false
	for _, m := range sent(effects) {
		offered = offered || m.GetOffer() != nil
	}
	if !offered {
		t.Error("the flow was not offered once all candidates agreed")
	}
}

// FuzzMessage feeds placement messages to a home; none may panic.
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
		h := newHome(t)
		h.node.Step(h.now, core.DatagramReceived{
			From:    h.peer[0].DataAddr,
			Header:  wire.Header{Kind: wire.KindPlacement, Service: service.ID()},
			Payload: payload,
		})
		h.pass(time.Second)
	})
}
