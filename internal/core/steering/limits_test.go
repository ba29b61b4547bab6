package steering_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// limitedAgent is an agent whose target serves the service "s", with the balancer that
// offers flows to it.
type limitedAgent struct {
	*steering.Agent
	now  time.Time
	port uint16
}

var balancerPeer = netip.MustParseAddrPort("10.0.0.2:7000")

func newLimitedAgent(coldRemaining time.Duration, limits steering.Limits) *limitedAgent {
	return newLimitedAgentOf("s", coldRemaining, limits)
}

// newLimitedAgentOf returns an agent on a host that is meant for a service.
func newLimitedAgentOf(service string, coldRemaining time.Duration, limits steering.Limits) *limitedAgent {
	a := &limitedAgent{
		Agent: steering.NewAgent(steering.AgentIdentity{Identity: steering.Identity{Node: "a", Domain: "d"}, Service: service, HeartbeatInterval: time.Minute}),
		now:   time.Unix(1000, 0),
	}
	a.Step(a.now, &steering.PreviousRecord{})
	a.Step(a.now, &steering.Heartbeat{Instance: "i", Service: service, Domain: "d", Incarnation: 7, Sequence: 1, Slots: 100, ColdRemaining: coldRemaining})
	a.Step(a.now, &steering.RecordStored{Incarnation: 7})
	a.ping(limits)
	return a
}

func (a *limitedAgent) ping(limits steering.Limits) {
	a.Step(a.now, &steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessagePing, Limits: limits}})
}

// nextOpening returns the opening segment of another flow.
func (a *limitedAgent) nextOpening() steering.Segment {
	a.port++
	return steering.Segment{
		Flow:  steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: a.port}, Address: routeAddress},
		Flags: steering.FlagOpen,
	}
}

// open offers a new flow of a service and returns why it is refused.
func (a *limitedAgent) open(service string) steering.Refusal {
	s := a.nextOpening()
	effects := a.Step(a.now, &steering.MessageReceived{From: balancerPeer, Message: steering.Message{
		Kind: steering.MessageOpen, Service: steering.ServiceIDOf(service), Segment: s,
	}})
	for _, e := range effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageRefused {
			return e.Message.Refusal
		}
	}
	s.Flags |= steering.FlagAck // the target responds
	a.Step(a.now, &steering.SegmentReceived{Segment: s})
	return steering.NotRefused
}

// An address may have been used by another service before, so a balancer's knowledge of
// the agent's service may be out of date. A heartbeat for another service is another writer's
// and changes nothing.
func TestAgentRefusesFlowsOfAnotherService(t *testing.T) {
	a := newLimitedAgent(0, steering.Limits{})
	if got := a.open("other"); got != steering.RefusedOtherService {
		t.Errorf("a flow of another service: %v", got)
	}
	if got := a.open("s"); got != steering.NotRefused {
		t.Errorf("a flow of the target's service: %v", got)
	}
	a.Step(a.now, &steering.Heartbeat{Instance: "j", Service: "other", Domain: "d", Incarnation: 8, Sequence: 1, Slots: 100})
	if got := a.open("other"); got != steering.RefusedOtherService {
		t.Errorf("a flow of a service that another writer named: %v", got)
	}
	if got := a.open("s"); got != steering.NotRefused {
		t.Errorf("a flow of the target's service after another writer's heartbeat: %v", got)
	}
	next := newLimitedAgentOf("other", 0, steering.Limits{})
	if got := next.open("s"); got != steering.RefusedOtherService {
		t.Errorf("a flow of the service that was served at the address before: %v", got)
	}
	if got := next.open("other"); got != steering.NotRefused {
		t.Errorf("a flow of the service that the address went to: %v", got)
	}
}

// Many balancers offer flows to a target that has just started. Until its cold start
// ends, it gets no more than the declared rate in any second, whichever balancer sends.
func TestColdTargetGetsNoMoreThanDeclaredRate(t *testing.T) {
	for _, perSecond := range []float32{0.5, 1, 2.5, 3} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) { testColdTarget(t, perSecond) })
	}
}

func testColdTarget(t *testing.T, perSecond float32) {
	t.Helper()
	// Whole openings a second, or one per interval at a rate below one a second.
	maxOpens, window := max(int(perSecond), 1), time.Duration(float32(time.Second)*max(1, 1/perSecond))
	a := newLimitedAgent(10*time.Second, steering.Limits{Revision: revisionOf(1), ColdOpensPerSecond: perSecond})
	var opened []time.Time
	for a.now.Before(time.Unix(1010, 0)) {
		switch got := a.open("s"); got {
		case steering.NotRefused:
			opened = append(opened, a.now)
		case steering.RefusedCold:
		default:
			t.Fatalf("refused as %v", got)
		}
		a.now = a.now.Add(7 * time.Millisecond)
	}
	for i := range len(opened) - maxOpens {
		if span := opened[i+maxOpens].Sub(opened[i]); span < window {
			t.Errorf("%d flows opened within %v", maxOpens+1, span)
		}
	}
	if minOpens := int(9*time.Second/window) * maxOpens; len(opened) < minOpens {
		t.Errorf("%d flows opened in 10 s, want at least %d", len(opened), minOpens)
	}
	for range 20 {
		if got := a.open("s"); got != steering.NotRefused {
			t.Fatalf("the warm target refuses: %v", got)
		}
	}
}

// With more open flows than can be saved, those of non-idempotent requests are saved,
// also by a process that knows them only from its predecessor.
func TestNonIdempotentFlowsAreSavedFirst(t *testing.T) {
	a := newLimitedAgent(0, steering.Limits{})
	previous := &steering.SavedFlows{Incarnation: 7}
	const flows, nonIdempotent = 900, 300
	for i := range flows {
		f := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 2}, Port: uint16(i)}, Address: routeAddress}
		previous.Flows = append(previous.Flows, steering.SavedFlow{Flow: f, NonIdempotent: i < nonIdempotent})
	}
	a.Step(a.now, previous)
	saved := 0
	for _, f := range a.SnapshotFlows(a.now).Flows {
		if f.NonIdempotent {
			saved++
		}
	}
	if saved != nonIdempotent {
		t.Errorf("%d of %d flows of non-idempotent requests are saved", saved, nonIdempotent)
	}
}

// Limits that a lagging balancer sends late don't replace newer ones.
func TestAgentKeepsTheNewestLimits(t *testing.T) {
	a := newLimitedAgent(0, steering.Limits{Revision: revisionOf(9), DomainOut: true})
	a.ping(steering.Limits{Revision: revisionOf(8)})
	if got := a.open("s"); got != steering.RefusedDomainOut {
		t.Errorf("a flow into a domain that is out: %v", got)
	}
	a.ping(steering.Limits{Revision: revisionOf(10)})
	if got := a.open("s"); got != steering.NotRefused {
		t.Errorf("a flow into a domain that is back: %v", got)
	}
}
