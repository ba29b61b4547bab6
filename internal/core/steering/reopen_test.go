package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// A caller uses a port again whose earlier flow the balancer has cached, after the route
// went to another service: the flow must open as the new route says.
func TestReopenedFlowFollowsTheNewRoute(t *testing.T) {
	now := time.Unix(1000, 0)
	b := steering.NewBalancer(steering.BalancerIdentity{Identity: steering.Identity{Node: "b", Domain: "d"}, ApplyTimeout: applyTimeout})
	configure := func(number int64, service string) {
		route := &steering.Route{Name: "r", Shares: []steering.Share{{Service: steering.ServiceIDOf(service), Weight: 1}}}
		b.Step(now, &steering.ConfigurationLoaded{ConfirmedAt: now, State: steering.OperatorState{
			Revision: revisionOf(number), VerifiedRevision: revisionOf(number),
			Configuration: &steering.Configuration{Version: number, Routes: map[steering.Endpoint]*steering.Route{routeAddress: route}},
		}})
	}
	configure(1, "desk")
	peers := map[string]netip.AddrPort{"desk": netip.MustParseAddrPort("10.0.0.1:7000"), "plans": netip.MustParseAddrPort("10.0.0.2:7000")}
	loaded := &steering.MembersLoaded{Revision: revisionOf(1), VerifiedRevision: revisionOf(1)}
	for service, peer := range peers {
		loaded.Records = append(loaded.Records, steering.AgentRecord{Node: service, Domain: "d", Service: service, Peer: peer, Incarnation: 1})
	}
	b.Step(now, loaded)
	for service, peer := range peers {
		b.Step(now, &steering.MessageReceived{From: peer, Message: steering.Message{Kind: steering.MessagePong, Status: steering.Status{
			Service: steering.ServiceIDOf(service), Slots: 4,
		}}})
	}
	flow := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1024}, Address: routeAddress}
	open := func() *steering.Message {
		for _, e := range b.Step(now, &steering.SegmentReceived{Segment: steering.Segment{Flow: flow, Flags: steering.FlagOpen}}) {
			if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageOpen {
				return &e.Message
			}
		}
		t.Fatal("the flow was offered to no agent")
		return nil
	}
	if got := open().Service; got != steering.ServiceIDOf("desk") {
		t.Fatalf("the flow was opened for service %d", got)
	}
	b.Step(now, &steering.SegmentReceived{Segment: steering.Segment{Flow: flow, Flags: steering.FlagAck, Seq: 1, Ack: 1}})
	configure(2, "plans")
	now = now.Add(time.Second)
	if got := open().Service; got != steering.ServiceIDOf("plans") {
		t.Errorf("the flow was opened again for service %d, want that of the new route", got)
	}
}
