package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

var briefAddress = steering.Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}

// queueingBalancer is a balancer with full agents of one service.
type queueingBalancer struct {
	*steering.Balancer
	now   time.Time
	peers []netip.AddrPort
	port  uint16
}

func newQueueingBalancer(agents int) *queueingBalancer {
	b := &queueingBalancer{now: time.Unix(1000, 0), Balancer: steering.NewBalancer(steering.Self{Node: "b", Domain: "d"})}
	shares := []steering.Share{{Service: steering.ServiceIDOf(serviceName), Weight: 1}}
	b.Step(b.now, &steering.ConfigurationLoaded{State: steering.OperatorState{Revision: 1, VerifiedRevision: 1, Configuration: &steering.Configuration{
		Version: 1, Routes: map[steering.Endpoint]*steering.Route{
			routeAddress: {Name: "long", Shares: shares},
			briefAddress: {Name: "brief", Shares: shares, SingleRequest: true},
		},
	}}})
	loaded := &steering.MembersLoaded{Revision: 1, VerifiedRevision: 1}
	for i := range agents {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000)
		b.peers = append(b.peers, peer)
		loaded.Records = append(loaded.Records, steering.AgentRecord{
			Node: peer.String(), Domain: "d", Service: serviceName, Peer: peer, Incarnation: 1,
		})
	}
	b.Step(b.now, loaded)
	for i := range agents {
		b.pong(i, 3*targetsOwn)
	}
	return b
}

// targetsOwn is the slots of these agents' targets.
const targetsOwn = 4

// pong tells of an agent's work, and returns what the balancer does.
func (b *queueingBalancer) pong(agent int, busy uint16) []steering.Effect {
	return b.Step(b.now, &steering.MessageReceived{From: b.peers[agent], Message: steering.Message{Kind: steering.MessagePong, Status: steering.Status{
		Service: steering.ServiceIDOf(serviceName), Slots: targetsOwn, InFlight: busy, RequestsPerSecond: 1, SingleRequestLimit: 3,
	}}})
}

// open lets another caller open a flow.
func (b *queueingBalancer) open(address steering.Endpoint) {
	b.port++
	b.repeat(b.port, address, 0)
}

// repeat hands the balancer a copy of a caller's opening segment.
func (b *queueingBalancer) repeat(caller uint16, address steering.Endpoint, number uint32) {
	b.Step(b.now, &steering.SegmentReceived{Segment: steering.Segment{
		Flow:  steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: caller}, Address: address},
		Flags: steering.FlagOpen, Ack: number,
	}})
}

// Load: one target is left for a service whose callers keep flows open, and bears
// two thirds of it. Openings wait; flows of one request go before those that stay:
// otia-masts trouble-3, seed 76484315128.
func TestBriefFlowsWaitShortest(t *testing.T) {
	b := newQueueingBalancer(1)
	for range 2 {
		b.open(briefAddress)
	}
	for range 4 {
		b.open(routeAddress)
	}
	var offered []steering.Flow
	for _, e := range b.pong(0, 5) {
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
	if offered[0].Caller.Port != 2 || offered[2].Caller.Port != 6 {
		t.Errorf("within a class the newest goes first; offered %v", offered)
	}
}

// Load: after a loss of power a small balancer has hundreds waiting, while the agents
// tell at each change that they are full. Looking through all that wait each time
// took a balancer of 0.061 of a core all its time: its packets were half a second
// late, and flows that their callers had left filled the targets (vrts-suva-grown,
// deploy/days/net-storm.toml).
func TestFullAgentsCostLittleWhileManyWait(t *testing.T) {
	const agents, waiting, pongs = 34, 900, 300
	cost := func(waiting int) time.Duration {
		b := newQueueingBalancer(agents)
		for range waiting {
			b.open(routeAddress)
		}
		least := time.Hour
		for range 5 { // the least: other processes may hold up some
			began := time.Now()
			for i := range pongs {
				b.pong(i%agents, 3*targetsOwn)
			}
			least = min(least, time.Since(began))
		}
		return least
	}
	none, many := cost(0), cost(waiting)
	// Ten times leaves room for a busy machine; each look at all took a thousand.
	if many > 10*none+time.Millisecond {
		t.Errorf("%d statuses take %v while %d flows wait, %v while none does", pongs, many, waiting, none)
	}
}

// Load: after a loss of power callers run out of time while their openings wait. One
// that does not repeat its segment when it should has left.
func TestCallersThatLeftWaitNoLonger(t *testing.T) {
	b := newQueueingBalancer(1)
	b.open(routeAddress)
	b.open(routeAddress) // the newest, which goes first
	b.now = b.now.Add(200 * time.Millisecond)
	b.repeat(1, routeAddress, 1)
	b.now = b.now.Add(150 * time.Millisecond)
	b.Step(b.now, &steering.Tick{})
	offered := 0
	for _, e := range b.pong(0, 2*targetsOwn-2) {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageOpen {
			offered++
			if port := e.Message.Segment.Flow.Caller.Port; port != 1 {
				t.Errorf("the flow of caller %d, which has left, is offered", port)
			}
		}
	}
	if offered != 1 {
		t.Errorf("%d flows are offered", offered)
	}
	b.repeat(2, routeAddress, 2) // it had merely been lost
	if got := b.Counters.Opened.Load(); got != 2 {
		t.Errorf("%d flows are offered after a later copy", got)
	}
}

// Load: requests that come over open flows take all that a target may queue. Flows of
// one request still open if they are known to be cheap, and only then.
func TestCheapFlowsOpenAtABusyTarget(t *testing.T) {
	for name, tt := range map[string]struct {
		briefWork time.Duration
		admitted  int
	}{
		"cheap":    {5 * time.Millisecond, 12}, // up to 5 for each of 4 slots
		"as dear":  {50 * time.Millisecond, 0},
		"no known": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a := newBusyAgent()
			a.serve(a.open(false), 50*time.Millisecond)
			if tt.briefWork > 0 {
				a.serve(a.open(true), tt.briefWork)
			}
			for a.open(false) != nil {
			}
			admitted := 0
			for a.open(true) != nil {
				admitted++
			}
			if admitted != tt.admitted {
				t.Errorf("%d flows of one request open at a busy target, want %d", admitted, tt.admitted)
			}
		})
	}
}

// Load: callers leave while their openings wait, and do not go on when these are
// answered. Others get their places before the next tick.
func TestPlacesOfCallersThatLeftAreFreed(t *testing.T) {
	a := newBusyAgent()
	opened := 0
	for a.offer(a.next(), false) {
		opened++
	}
	a.now = a.now.Add(150 * time.Millisecond)
	again := 0
	for a.offer(a.next(), false) {
		again++
	}
	if opened == 0 || again != opened {
		t.Errorf("%d flows opened, and %d when the callers of these had left", opened, again)
	}
}

// busyAgent is an agent whose target has four slots.
type busyAgent struct {
	*limitedAgent
}

func newBusyAgent() *busyAgent {
	a := &busyAgent{newLimitedAgent(0, steering.Limits{})}
	a.Step(a.now, &steering.Heartbeat{Instance: "i", Service: "s", Incarnation: 7, Sequence: 2, Slots: 4})
	return a
}

// fromBalancer hands the agent a segment.
func (a *busyAgent) fromBalancer(kind steering.MessageKind, s steering.Segment, brief bool) []steering.Effect {
	return a.Step(a.now, &steering.MessageReceived{From: limitsPeer, Message: steering.Message{
		Kind: kind, Service: steering.ServiceIDOf("s"), SingleRequest: brief, Segment: s,
	}})
}

// offer offers a flow, which the target answers unless the agent refuses it.
func (a *busyAgent) offer(s steering.Segment, brief bool) bool {
	for _, e := range a.fromBalancer(steering.MessageOpen, s, brief) {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageRefused {
			return false
		}
	}
	a.Step(a.now, &steering.SegmentReceived{Segment: steering.Segment{Flow: s.Flow, Flags: steering.FlagOpen | steering.FlagAck}})
	return true
}

// open opens a flow and sends a request over it, or returns nil if it is refused.
func (a *busyAgent) open(brief bool) *steering.Flow {
	s := a.next()
	if !a.offer(s, brief) {
		return nil
	}
	a.fromBalancer(steering.MessageForward, steering.Segment{Flow: s.Flow, Flags: steering.FlagAck, Len: 100}, brief)
	return &s.Flow
}

// serve lets the target answer a flow's request.
func (a *busyAgent) serve(f *steering.Flow, took time.Duration) {
	a.now = a.now.Add(took)
	a.Step(a.now, &steering.SegmentReceived{Segment: steering.Segment{Flow: *f, Flags: steering.FlagAck, Len: 100}})
}
