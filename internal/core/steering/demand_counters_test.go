package steering_test

import (
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// demandBalancer returns a balancer with one agent and a route with an objective.
func demandBalancer(t *testing.T) *queueingBalancer {
	t.Helper()
	b := newQueueingBalancer(1)
	b.configure(2, serviceName)
	return b
}

// configure puts a configuration into force that routes to the services.
func (b *queueingBalancer) configure(number int64, services ...string) {
	route := &steering.Route{Name: "posts", Demand: steering.Demand{Priority: 1, Objective: 300 * time.Millisecond, Timeout: 3 * time.Second}}
	names := make(map[steering.ServiceID]string)
	for _, s := range services {
		names[steering.ServiceIDOf(s)] = s
		route.Shares = append(route.Shares, steering.Share{Service: steering.ServiceIDOf(s), Weight: 1})
	}
	b.Step(b.now, &steering.ConfigurationLoaded{State: steering.OperatorState{Revision: revisionOf(number), VerifiedRevision: revisionOf(number), Configuration: &steering.Configuration{
		Version: number, Routes: map[steering.Endpoint]*steering.Route{routeAddress: route}, ServiceNames: names,
	}}})
}

func (b *queueingBalancer) flow(caller uint16) steering.Flow {
	return steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: caller}, Address: routeAddress}
}

// Guards against an overload that the counters and the view do not show: openings that wait,
// are admitted late or expire.
func TestDemandCountersOfABalancer(t *testing.T) {
	b := demandBalancer(t)
	b.open(routeAddress)
	b.open(routeAddress)
	b.retransmit(b.port, routeAddress, 1)
	b.now = b.now.Add(400 * time.Millisecond)
	want := []steering.DemandView{{DemandCount: steering.DemandCount{Service: serviceName, Priority: 1, Asked: 2, Queued: 2}, Waiting: 2, OldestWaitMS: 400}}
	if got := b.View(b.now).Demand; !reflect.DeepEqual(got, want) {
		t.Errorf("view is %+v, want %+v", got, want)
	}
	b.sendStatus(0, 2*slotsPerTarget-1) // the newest opening goes to the agent
	b.Step(b.now, &steering.SegmentReceived{Segment: steering.Segment{Flow: b.flow(b.port), Flags: steering.FlagAck, Seq: 1, Ack: 1}})
	b.now = b.now.Add(time.Second)
	b.Step(b.now, &steering.Tick{})
	want = []steering.DemandView{{DemandCount: steering.DemandCount{
		Service: serviceName, Priority: 1, Asked: 2, Queued: 2, Admitted: 1, Late: 1, Refused: map[string]uint64{"queue timeout": 1},
	}}}
	if got := b.View(b.now).Demand; !reflect.DeepEqual(got, want) {
		t.Errorf("view is %+v, want %+v", got, want)
	}
}

// Guards against refusals by agents that look like flows without any offer.
func TestDemandCountersOfReofferedOpenings(t *testing.T) {
	b := newQueueingBalancer(2)
	b.configure(2, serviceName)
	for i := range b.peers {
		b.sendStatus(i, 0)
	}
	b.open(routeAddress)
	s := steering.Segment{Flow: b.flow(b.port), Flags: steering.FlagOpen}
	first := b.Explain(b.now, s.Flow).Holder
	i := slices.IndexFunc(b.peers, func(p netip.AddrPort) bool { return p.String() == first })
	b.Step(b.now, &steering.MessageReceived{From: b.peers[i], Message: steering.Message{Kind: steering.MessageRefused, Refusal: steering.RefusedBusy, Segment: s}})
	want := []steering.DemandCount{{Service: serviceName, Priority: 1, Asked: 1, Reoffered: 1}}
	if got := b.DemandCounts(); !reflect.DeepEqual(got, want) {
		t.Errorf("counts are %+v, want %+v", got, want)
	}
}

// Guards against counters of services that left the configuration, which would grow without
// bound.
func TestDemandCountersOfRemovedServicesAreDropped(t *testing.T) {
	b := demandBalancer(t)
	for number := int64(3); number < 100; number++ {
		b.configure(number, string(rune('a'+number)))
		b.open(routeAddress)
		if n := len(b.DemandCounts()); n != 1 {
			t.Fatalf("%d counters with one service in force", n)
		}
	}
}

// Guards against refusals that an agent does not count, or counts under another priority.
func TestDemandCountersOfAnAgent(t *testing.T) {
	w := newWorld(t, 1)
	a := w.addAgent("a")
	w.addBalancer("a")
	w.run(2 * time.Second)
	open := func(caller uint16, priority uint8) {
		w.stepAgent(a, &steering.MessageReceived{From: w.balancers[0].addr, Message: steering.Message{
			Kind: steering.MessageOpen, Service: steering.ServiceIDOf(serviceName), Demand: steering.Demand{Priority: priority},
			Segment: steering.Segment{Flow: steering.Flow{Caller: steering.Endpoint{Port: caller}, Address: routeAddress}, Flags: steering.FlagOpen},
		}})
	}
	open(1, 1)
	open(2, 2)
	a.core.Step(w.now, &steering.Stop{})
	open(3, 2)
	want := []steering.DemandCount{
		{Service: serviceName, Priority: 1, Admitted: 1},
		{Service: serviceName, Priority: 2, Admitted: 1, Refused: map[string]uint64{"draining": 1}},
	}
	if got := a.core.DemandCounts(); !reflect.DeepEqual(got, want) {
		t.Errorf("counts are %+v, want %+v", got, want)
	}
}
