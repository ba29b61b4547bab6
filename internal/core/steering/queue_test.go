package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

var briefAddress = steering.Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}

// Load: one target is left for a service whose callers keep flows open, and bears
// two thirds of it. Openings wait; flows of one request go before those that stay:
// otia-masts trouble-3, seed 76484315128.
func TestBriefFlowsWaitShortest(t *testing.T) {
	now := time.Unix(1000, 0)
	peer := netip.MustParseAddrPort("10.0.0.2:7000")
	b := steering.NewBalancer(steering.Self{Node: "b", Domain: "d"})
	shares := []steering.Share{{Service: steering.ServiceIDOf(serviceName), Weight: 1}}
	b.Step(now, &steering.ConfigurationLoaded{State: steering.OperatorState{Revision: 1, Verified: 1, Configuration: &steering.Configuration{
		Version: 1, Routes: map[steering.Endpoint]*steering.Route{
			routeAddress: {Name: "long", Shares: shares},
			briefAddress: {Name: "brief", Shares: shares, Brief: true},
		},
	}}})
	b.Step(now, &steering.MembersLoaded{Revision: 1, Verified: 1, Records: []steering.AgentRecord{
		{Node: "a", Domain: "d", Service: serviceName, Peer: peer, Lifetime: 1},
	}})
	pong := func(busy uint16) []steering.Effect {
		return b.Step(now, &steering.MessageReceived{From: peer, Message: steering.Message{Kind: steering.MessagePong, Status: steering.Status{
			Service: steering.ServiceIDOf(serviceName), Slots: 4, Busy: busy, PerSecond: 1,
		}}})
	}
	pong(8) // all the work that it can queue
	for i := range uint16(6) {
		address := routeAddress
		if i < 2 {
			address = briefAddress
		}
		now = now.Add(time.Millisecond)
		b.Step(now, &steering.SegmentReceived{Segment: steering.Segment{
			Flow:  steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1024 + i}, Address: address},
			Flags: steering.FlagOpen,
		}})
	}
	var offered []steering.Flow
	for _, e := range pong(5) {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageOpen {
			offered = append(offered, e.Message.Segment.Flow)
		}
	}
	if len(offered) != 3 {
		t.Fatalf("%d flows are offered to three places", len(offered))
	}
	for i, want := range []steering.Endpoint{briefAddress, briefAddress, routeAddress} {
		if offered[i].Address != want {
			t.Errorf("offer %d is %v, want a flow to %v", i+1, offered[i], want)
		}
	}
	if offered[0].Caller.Port != 1025 || offered[2].Caller.Port != 1029 {
		t.Errorf("within a class the newest goes first; offered %v", offered)
	}
}
