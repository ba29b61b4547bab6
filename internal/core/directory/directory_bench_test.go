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

// flowsPerRegistration is the number of flows in a full registration batch.
const flowsPerRegistration = 24

// benchFlows returns n flows whose home is the agent under test.
func benchFlows(h *agentHarness, n int) []model.FlowKey {
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

// benchStep measures a step of the agent with n prepared events in turn.
func benchStep(b *testing.B, h *agentHarness, n int, event func(i int) core.Event) {
	events := make([]core.Event, n)
	for i := range events {
		events[i] = event(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.node.Step(h.now, events[i%n])
	}
}

func packetEvent(flow model.FlowKey, payload []byte) core.Event {
	return core.DatagramReceived{
		Header:  wire.Header{Kind: wire.KindPacket, Service: flow.Service, Caller: flow.Caller},
		Payload: payload,
	}
}

func placementEvent(b *testing.B, from model.Member, m *placementpb.Placement) core.Event {
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
// the accepted offer, and the flow's release.
func BenchmarkNewFlow(b *testing.B) {
	h := newHarness(b)
	flow := benchFlows(h, 1)[0]
	first := packetEvent(flow, initialPacket)
	accept := make([]core.Event, 2)
	release := make([]core.Event, 2)
	for i, p := range h.peers {
		accept[i] = placementEvent(b, p, &placementpb.Placement{Body: &placementpb.Placement_OfferReply{
			OfferReply: &placementpb.OfferReply{Flow: encodeFlow(flow), Epoch: 1, Accepted: true},
		}})
		release[i] = placementEvent(b, p, &placementpb.Placement{Body: &placementpb.Placement_Release{
			Release: &placementpb.Release{Flow: encodeFlow(flow)},
		}})
	}
	b.ReportAllocs()
	for b.Loop() {
		peer := 0
		for _, e := range h.node.Step(h.now, first) {
			if s, ok := e.(core.SendDatagram); ok && s.To == h.peers[1].DataAddr {
				peer = 1
			}
		}
		h.node.Step(h.now, accept[peer])
		h.node.Step(h.now, release[peer])
	}
}

// BenchmarkDatagramAtHome measures a datagram from the middle of a flow that
// its home forwards to the holder.
func BenchmarkDatagramAtHome(b *testing.B) {
	h := newHarness(b)
	flows := benchFlows(h, 1000)
	registerFlows(b, h, flows)
	benchStep(b, h, len(flows), func(i int) core.Event { return packetEvent(flows[i], []byte{0x40, 1, 2, 3}) })
}

// BenchmarkDatagramAtHolder measures a datagram that is delivered locally.
func BenchmarkDatagramAtHolder(b *testing.B) {
	h := newHarness(b)
	flows := benchFlows(h, 1000)
	admitFlows(b, h, flows)
	benchStep(b, h, len(flows), func(i int) core.Event { return packetEvent(flows[i], []byte{0x40, 1, 2, 3}) })
}

// BenchmarkRegistration measures a full registration batch, sent every minute,
// at a home that has entries for its flows already.
func BenchmarkRegistration(b *testing.B) {
	h := newHarness(b)
	flows := benchFlows(h, flowsPerRegistration)
	event := registrationEvent(b, h.peers[0], flows)
	benchStep(b, h, 1, func(int) core.Event { return event })
}

// BenchmarkTick measures a tick at an agent with 1,560 local flows, the mean of
// the planned fleet.
func BenchmarkTick(b *testing.B) {
	h := newHarness(b)
	admitFlows(b, h, benchFlows(h, 1560))
	b.ReportAllocs()
	for b.Loop() {
		h.advance(50 * time.Millisecond)
	}
}

// admitFlows makes the agent under test the holder of established flows.
func admitFlows(b *testing.B, h *agentHarness, flows []model.FlowKey) {
	b.Helper()
	board := h.node.Board()
	board.Self.TargetAccepted = true
	board.Self.Member.Connections = len(flows)
	board.Load.Limit = board.Self.Member.Slots
	for _, flow := range flows {
		h.node.Step(h.now, placementEvent(b, h.peers[0], &placementpb.Placement{Body: &placementpb.Placement_Offer{
			Offer: &placementpb.Offer{Flow: encodeFlow(flow), Epoch: 1},
		}}))
		h.node.Step(h.now, core.FlowEstablished{Flow: flow})
	}
	if localFlows := board.Flows.Local; localFlows != len(flows) {
		b.Fatalf("%d local flows, want %d", localFlows, len(flows))
	}
}

func registrationEvent(b *testing.B, from model.Member, flows []model.FlowKey) core.Event {
	m := &placementpb.Register{Batch: 1}
	for _, flow := range flows {
		pb := encodeFlow(flow)
		pb.Since, pb.Established = 1, true
		m.Flows = append(m.Flows, pb)
	}
	return placementEvent(b, from, &placementpb.Placement{Body: &placementpb.Placement_Register{Register: m}})
}

// registerFlows registers flows with the agent under test as their home.
func registerFlows(b *testing.B, h *agentHarness, flows []model.FlowKey) {
	for start := 0; start < len(flows); start += flowsPerRegistration {
		batch := flows[start:min(len(flows), start+flowsPerRegistration)]
		h.node.Step(h.now, registrationEvent(b, h.peers[0], batch))
	}
	if entries := h.node.Board().Flows.DirectoryEntries; entries != len(flows) {
		b.Fatalf("%d directory entries, want %d", entries, len(flows))
	}
}
