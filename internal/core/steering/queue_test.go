package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

var singleRequestAddress = steering.Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}

// queueingBalancer is a balancer with full agents of one service.
type queueingBalancer struct {
	*steering.Balancer
	now   time.Time
	peers []netip.AddrPort
	port  uint16
}

func newQueueingBalancer(agents int) *queueingBalancer {
	b := &queueingBalancer{now: time.Unix(1000, 0), Balancer: steering.NewBalancer(steering.BalancerIdentity{Identity: steering.Identity{Node: "b", Domain: "d"}, ApplyTimeout: applyTimeout})}
	shares := []steering.Share{{Service: steering.ServiceIDOf(serviceName), Weight: 1}}
	b.Step(b.now, &steering.ConfigurationLoaded{State: steering.OperatorState{Revision: revisionOf(1), VerifiedRevision: revisionOf(1), Configuration: &steering.Configuration{
		Version: 1, Routes: map[steering.Endpoint]*steering.Route{
			routeAddress:         {Name: "long", Shares: shares},
			singleRequestAddress: {Name: "brief", Shares: shares, SingleRequest: true},
		},
	}}})
	loaded := &steering.MembersLoaded{Revision: revisionOf(1), VerifiedRevision: revisionOf(1)}
	for i := range agents {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000)
		b.peers = append(b.peers, peer)
		loaded.Records = append(loaded.Records, steering.AgentRecord{
			Node: peer.String(), Domain: "d", Service: serviceName, Peer: peer, Incarnation: 1,
		})
	}
	b.Step(b.now, loaded)
	for i := range agents {
		b.sendStatus(i, 3*slotsPerTarget)
	}
	return b
}

// slotsPerTarget is the number of slots of these agents' targets.
const slotsPerTarget = 4

// sendStatus delivers an agent's status and returns the balancer's effects.
func (b *queueingBalancer) sendStatus(agent int, inFlight uint16) []steering.Effect {
	return b.Step(b.now, &steering.MessageReceived{From: b.peers[agent], Message: steering.Message{Kind: steering.MessagePong, Status: steering.Status{
		Service: steering.ServiceIDOf(serviceName), Slots: slotsPerTarget, InFlight: inFlight, RequestsPerSecond: 1, SingleRequestLimit: 3,
	}}})
}

// open delivers the opening segment of a new flow.
func (b *queueingBalancer) open(address steering.Endpoint) {
	b.port++
	b.retransmit(b.port, address, 0)
}

// retransmit delivers a copy of a caller's opening segment.
func (b *queueingBalancer) retransmit(caller uint16, address steering.Endpoint, number uint32) {
	b.Step(b.now, &steering.SegmentReceived{Segment: steering.Segment{
		Flow:  steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: caller}, Address: address},
		Flags: steering.FlagOpen, Ack: number,
	}})
}

// One target is left for a service whose callers keep flows open, and it has
// capacity for two thirds of the load. Openings queue up; single-request flows
// must be offered before long-lived ones (otia-masts trouble-3, seed 76484315128).
func TestSingleRequestFlowsAreOfferedFirst(t *testing.T) {
	b := newQueueingBalancer(1)
	for range 2 {
		b.open(singleRequestAddress)
	}
	for range 4 {
		b.open(routeAddress)
	}
	var offered []steering.Flow
	for _, e := range b.sendStatus(0, 5) {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageOpen {
			offered = append(offered, e.Message.Segment.Flow)
		}
	}
	if len(offered) != 3 {
		t.Fatalf("%d flows are offered for three free places", len(offered))
	}
	for i, want := range []steering.Endpoint{singleRequestAddress, singleRequestAddress, routeAddress} {
		if offered[i].Address != want {
			t.Errorf("offer %d is %v, want a flow to %v", i+1, offered[i], want)
		}
	}
	if offered[0].Caller.Port != 2 || offered[2].Caller.Port != 6 {
		t.Errorf("within a class the newest goes first; offered %v", offered)
	}
}

// After a loss of power a small balancer has hundreds of segments queued while
// agents report at each change that they are full. Examining the whole queue each
// time used up all the processor time of a balancer with 0.061 of a core: its
// packets were half a second late, and abandoned flows filled the targets
// (vrts-suva-grown, deploy/days/net-storm.toml).
func TestStatusOfFullAgentsIsCheapWithManyQueuedFlows(t *testing.T) {
	const agents, waiting, statuses = 34, 900, 300
	cost := func(waiting int) time.Duration {
		b := newQueueingBalancer(agents)
		for range waiting {
			b.open(routeAddress)
		}
		least := time.Hour
		for range 5 { // the minimum, as other processes may delay some
			began := time.Now()
			for i := range statuses {
				b.sendStatus(i%agents, 3*slotsPerTarget)
			}
			least = min(least, time.Since(began))
		}
		return least
	}
	none, many := cost(0), cost(waiting)
	// A factor of ten tolerates a busy machine; examining the whole queue took a factor
	// of a thousand.
	if many > 10*none+time.Millisecond {
		t.Errorf("%d statuses take %v with %d queued flows, %v with none", statuses, many, waiting, none)
	}
}

// After a loss of power callers time out while their opening segments are queued.
// A caller that does not retransmit on schedule has given up, and its flow must
// not be offered.
func TestFlowWithoutRetransmissionLeavesTheQueue(t *testing.T) {
	b := newQueueingBalancer(1)
	b.open(routeAddress)
	b.open(routeAddress) // the newest is offered first
	b.now = b.now.Add(200 * time.Millisecond)
	b.retransmit(1, routeAddress, 1)
	b.now = b.now.Add(150 * time.Millisecond)
	b.Step(b.now, &steering.Tick{})
	offered := 0
	for _, e := range b.sendStatus(0, 2*slotsPerTarget-2) {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageOpen {
			offered++
			if port := e.Message.Segment.Flow.Caller.Port; port != 1 {
				t.Errorf("the flow of caller %d, which has given up, is offered", port)
			}
		}
	}
	if offered != 1 {
		t.Errorf("%d flows are offered", offered)
	}
	b.retransmit(2, routeAddress, 2) // the copy before was merely lost
	if got := b.Counters.Opened.Load(); got != 2 {
		t.Errorf("%d flows are offered after a later retransmission", got)
	}
}

// A caller uses a port again whose earlier flow had waited at the balancer, and the agent that
// held that flow is full. The new flow must wait, and be offered when there is room: it was never
// offered again.
func TestReusedPortOfAQueuedFlowIsOffered(t *testing.T) {
	b := newQueueingBalancer(1)
	b.open(routeAddress)
	if got := b.offeredCallers(0, 1); len(got) != 1 {
		t.Fatalf("offered callers are %v, want the queued one", got)
	}
	flow := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: b.port}, Address: routeAddress}
	b.Step(b.now, &steering.SegmentReceived{Segment: steering.Segment{Flow: flow, Flags: steering.FlagAck, Seq: 1, Ack: 1}})
	b.now = b.now.Add(500 * time.Millisecond)
	b.Step(b.now, &steering.Tick{})
	b.sendStatus(0, 3*slotsPerTarget)
	b.retransmit(b.port, routeAddress, 0)
	b.Step(b.now, &steering.MessageReceived{From: b.peers[0], Message: steering.Message{
		Kind: steering.MessageRefused, Refusal: steering.RefusedBusy, Segment: steering.Segment{Flow: flow, Flags: steering.FlagOpen},
	}})
	if got := b.offeredCallers(0, 1); len(got) != 1 || got[0] != b.port {
		t.Errorf("offered callers are %v, want the one that opened its flow again", got)
	}
}

// offeredCallers returns the ports of the callers whose flows the balancer offers when
// the agent reports free places.
func (b *queueingBalancer) offeredCallers(agent, places int) []uint16 {
	var ports []uint16
	for _, e := range b.sendStatus(agent, uint16(2*slotsPerTarget-places)) {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageOpen {
			ports = append(ports, e.Message.Segment.Flow.Caller.Port)
		}
	}
	return ports
}

// After a loss of power the routers' choice of balancers changes while callers repeat
// their openings: most second and third copies reach a balancer that has not seen the
// first. The callers who have waited least must still be served first
// (songline-bkk-grown trouble-2, 34 s to 38 s).
func TestQueueIsOrderedByTheCallersFirstCopies(t *testing.T) {
	b := newQueueingBalancer(1)
	b.retransmit(1, routeAddress, 0)
	b.now = b.now.Add(10 * time.Millisecond)
	b.retransmit(2, routeAddress, 2) // sent first 590 ms before that of caller 1
	b.now = b.now.Add(10 * time.Millisecond)
	b.retransmit(3, routeAddress, 1) // sent first 180 ms before
	if got := b.offeredCallers(0, 1); len(got) != 1 || got[0] != 1 {
		t.Errorf("callers %v are offered first, want 1", got)
	}
	if got := b.offeredCallers(0, 1); len(got) != 1 || got[0] != 3 {
		t.Errorf("callers %v are offered next, want 3", got)
	}
}

// A caller abandons its attempt 1.4 s after the first copy, whichever balancer received
// that. A place that is given to it later stays empty.
func TestOpeningLeavesTheQueueByTheAgeOfItsFirstCopy(t *testing.T) {
	b := newQueueingBalancer(1)
	b.retransmit(1, routeAddress, 2) // its first copy is 600 ms old
	b.now = b.now.Add(700 * time.Millisecond)
	b.Step(b.now, &steering.Tick{})
	if got := b.offeredCallers(0, 1); len(got) != 0 {
		t.Errorf("callers %v are offered 1.3 s after their first copy, want none", got)
	}
	if got := b.Counters.OpenExpired.Load(); got != 1 {
		t.Errorf("%d openings expired, want 1", got)
	}
}

// Requests over open flows use all that a target may queue. Single-request flows
// must still open if they are known to be cheap, and only then.
func TestCheapSingleRequestFlowsOpenAtABusyTarget(t *testing.T) {
	for name, tt := range map[string]struct {
		singleRequestTime time.Duration
		admitted          int
	}{
		"cheap":          {5 * time.Millisecond, 12}, // up to 5 for each of 4 slots
		"equally costly": {50 * time.Millisecond, 0},
		"unknown":        {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a := newBusyAgent()
			a.respond(a.open(false), 50*time.Millisecond)
			if tt.singleRequestTime > 0 {
				a.respond(a.open(true), tt.singleRequestTime)
			}
			for a.open(false) != nil {
			}
			admitted := 0
			for a.open(true) != nil {
				admitted++
			}
			if admitted != tt.admitted {
				t.Errorf("%d single-request flows open at a busy target, want %d", admitted, tt.admitted)
			}
		})
	}
}

// Callers give up while their openings are queued and send nothing once these are
// answered. Their slots must go to other flows before the next tick.
func TestSlotsOfAbandonedOpeningsAreFreed(t *testing.T) {
	a := newBusyAgent()
	opened := 0
	for a.offer(a.nextOpening(), false) {
		opened++
	}
	a.now = a.now.Add(150 * time.Millisecond)
	reopened := 0
	for a.offer(a.nextOpening(), false) {
		reopened++
	}
	if opened == 0 || reopened != opened {
		t.Errorf("%d flows opened, and %d after their callers had given up", opened, reopened)
	}
}

// busyAgent is an agent whose target has four slots.
type busyAgent struct {
	*limitedAgent
}

func newBusyAgent() *busyAgent {
	a := &busyAgent{newLimitedAgent(0, steering.Limits{})}
	a.Step(a.now, &steering.Heartbeat{Instance: "i", Service: "s", Domain: "d", Incarnation: 7, Sequence: 2, Slots: 4})
	return a
}

// sendFromBalancer delivers a message with a segment to the agent.
func (a *busyAgent) sendFromBalancer(kind steering.MessageKind, s steering.Segment, singleRequest bool) []steering.Effect {
	return a.Step(a.now, &steering.MessageReceived{From: balancerPeer, Message: steering.Message{
		Kind: kind, Service: steering.ServiceIDOf("s"), SingleRequest: singleRequest, Segment: s,
	}})
}

// offer offers a flow. Unless the agent refuses it, the target answers the opening
// segment.
func (a *busyAgent) offer(s steering.Segment, singleRequest bool) bool {
	for _, e := range a.sendFromBalancer(steering.MessageOpen, s, singleRequest) {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageRefused {
			return false
		}
	}
	a.Step(a.now, &steering.SegmentReceived{Segment: steering.Segment{Flow: s.Flow, Flags: steering.FlagOpen | steering.FlagAck}})
	return true
}

// open opens a flow and sends a request over it. It returns nil if the flow is
// refused.
func (a *busyAgent) open(singleRequest bool) *steering.Flow {
	s := a.nextOpening()
	if !a.offer(s, singleRequest) {
		return nil
	}
	a.sendFromBalancer(steering.MessageForward, steering.Segment{Flow: s.Flow, Flags: steering.FlagAck, Len: 100}, singleRequest)
	return &s.Flow
}

// respond makes the target respond to a flow's request after serviceTime.
func (a *busyAgent) respond(f *steering.Flow, serviceTime time.Duration) {
	a.now = a.now.Add(serviceTime)
	a.Step(a.now, &steering.SegmentReceived{Segment: steering.Segment{Flow: *f, Flags: steering.FlagAck, Len: 100}})
}
