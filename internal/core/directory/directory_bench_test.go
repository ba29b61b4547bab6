package directory_test

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/placementpb"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// registeredFlows is the number of flows in one registration batch.
const registeredFlows = 24

// benchFlows returns n flows whose home is the agent under test.
func benchFlows(h *home, n int) []model.FlowKey {
	view := h.node.Board().Routes.Views[service.ID()]
	var out []model.FlowKey
	for i := 0; len(out) < n; i++ {
		addr := netip.AddrFrom4([4]byte{192, 168, byte(i >> 16), byte(i >> 8)})
		flow := model.FlowKey{Caller: netip.AddrPortFrom(addr, uint16(20000+i&0xff)), Service: service.ID()}
		if routing.Home(view, flow.Hash()).Member.Node == "agent-0" {
			out = append(out, flow)
		}
	}
	return out
}

// benchStep feeds one event that was made outside the measured time.
func benchStep(b *testing.B, h *home, n int, event func(i int) core.Event) {
	events := make([]core.Event, n)
	for i := range events {
		events[i] = event(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.node.Step(h.now, events[i%n])
	}
}

func packetOf(flow model.FlowKey, payload []byte) core.Event {
	return core.DatagramReceived{
		Header:  wire.Header{Kind: wire.KindPacket, Service: flow.Service, Caller: flow.Caller},
		Payload: payload,
	}
}

func placementOf(b *testing.B, from model.Member, m *placementpb.Placement) core.Event {
	b.Helper()
	m.From, m.Incarnation = string(from.Node), from.Incarnation
	payload, err := proto.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	return core.DatagramReceived{
		From:    from.DataAddr,
		Header:  wire.Header{Kind: wire.KindPlacement, Service: service.ID()},
		Payload: payload,
	}
}

// BenchmarkNewFlow measures a new flow at its home, from the first datagram to
// the accepted offer, and the release that ends it.
func BenchmarkNewFlow(b *testing.B) {
	h := newHome(b)
	flow := benchFlows(h, 1)[0]
	first := packetOf(flow, initialPacket)
	accept := make([]core.Event, 2)
	release := make([]core.Event, 2)
	for i, p := range h.peer {
		accept[i] = placementOf(b, p, &placementpb.Placement{Body: &placementpb.Placement_OfferReply{
			OfferReply: &placementpb.OfferReply{Flow: callerOf(flow), Epoch: 1, Accepted: true},
		}})
		release[i] = placementOf(b, p, &placementpb.Placement{Body: &placementpb.Placement_Release{
			Release: &placementpb.Release{Flow: callerOf(flow)},
		}})
	}
	b.ReportAllocs()
	for b.Loop() {
		peer := 0
		for _, e := range h.node.Step(h.now, first) {
			if s, ok := e.(core.SendDatagram); ok && s.To == h.peer[1].DataAddr {
				peer = 1
			}
		}
		h.node.Step(h.now, accept[peer])
		h.node.Step(h.now, release[peer])
	}
}

// BenchmarkDatagramAtHome measures a datagram from the middle of a flow that
// its home passes to the holder.
func BenchmarkDatagramAtHome(b *testing.B) {
	h := newHome(b)
	flows := benchFlows(h, 1000)
	registerFlows(b, h, flows)
	benchStep(b, h, len(flows), func(i int) core.Event { return packetOf(flows[i], []byte{0x40, 1, 2, 3}) })
}

// BenchmarkDatagramAtHolder measures a datagram that is delivered locally.
func BenchmarkDatagramAtHolder(b *testing.B) {
	h := newHome(b)
	flows := benchFlows(h, 1000)
	holdFlows(b, h, flows)
	benchStep(b, h, len(flows), func(i int) core.Event { return packetOf(flows[i], []byte{0x40, 1, 2, 3}) })
}

// BenchmarkRegistration measures a full registration batch at the home that
// knows the flows already, as it comes every minute.
func BenchmarkRegistration(b *testing.B) {
	h := newHome(b)
	flows := benchFlows(h, registeredFlows)
	event := registrationOf(b, h.peer[0], flows)
	benchStep(b, h, 1, func(int) core.Event { return event })
}

// BenchmarkTick measures the passing of time at an agent that holds 1,560
// flows, the mean of the planned fleet.
func BenchmarkTick(b *testing.B) {
	h := newHome(b)
	holdFlows(b, h, benchFlows(h, 1560))
	b.ReportAllocs()
	for b.Loop() {
		h.pass(50 * time.Millisecond)
	}
}

// holdFlows makes the agent under test hold established flows.
func holdFlows(b *testing.B, h *home, flows []model.FlowKey) {
	b.Helper()
	board := h.node.Board()
	board.Self.TargetAccepted = true
	board.Self.Member.Connections = len(flows)
	board.Load.Limit = board.Self.Member.Slots
	for _, flow := range flows {
		h.node.Step(h.now, placementOf(b, h.peer[0], &placementpb.Placement{Body: &placementpb.Placement_Offer{
			Offer: &placementpb.Offer{Flow: callerOf(flow), Epoch: 1},
		}}))
		h.node.Step(h.now, core.FlowEstablished{Flow: flow})
	}
	if held := board.Flows.Local; held != len(flows) {
		b.Fatalf("%d flows held, want %d", held, len(flows))
	}
}

func registrationOf(b *testing.B, from model.Member, flows []model.FlowKey) core.Event {
	m := &placementpb.Register{Batch: 1}
	for _, flow := range flows {
		pb := callerOf(flow)
		pb.Since, pb.Established = 1, true
		m.Flows = append(m.Flows, pb)
	}
	return placementOf(b, from, &placementpb.Placement{Body: &placementpb.Placement_Register{Register: m}})
}

func registerFlows(b *testing.B, h *home, flows []model.FlowKey) {
	for start := 0; start < len(flows); start += registeredFlows {
		batch := flows[start:min(len(flows), start+registeredFlows)]
		h.node.Step(h.now, registrationOf(b, h.peer[0], batch))
	}
	if known := h.node.Board().Flows.DirectoryEntries; known != len(flows) {
		b.Fatalf("%d flows known, want %d", known, len(flows))
	}
}
