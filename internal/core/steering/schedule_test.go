package steering_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// The target of deployment 1: three slots, and with the reserve four requests at once.
const (
	queueSlots  = 3
	queuePlaces = 4
)

var (
	feedDemand = steering.Demand{Priority: 2, Objective: 250 * time.Millisecond}
	postDemand = steering.Demand{Priority: 1, Objective: 300 * time.Millisecond}
)

// queueAgent is an agent beside a target of queueSlots slots. Its flows are numbered.
type queueAgent struct {
	t testing.TB
	*steering.Agent
	now time.Time
	// seqs is, for each flow, the sequence number of the target's last response.
	seqs map[int]uint32
	// delivered lists the segments with data that were delivered in the last step, origins
	// the balancers that sent these.
	delivered []steering.Segment
	origins   []netip.Addr
	effects   []steering.Effect
}

func newQueueAgent(t testing.TB) *queueAgent {
	t.Helper()
	a := &queueAgent{t: t, now: time.Unix(1000, 0), seqs: make(map[int]uint32), Agent: steering.NewAgent(steering.AgentIdentity{
		Identity: steering.Identity{Node: "a", Domain: "d"}, Service: "s", HeartbeatInterval: time.Minute,
	})}
	a.step(&steering.PreviousRecord{})
	a.step(&steering.Heartbeat{Instance: "i", Service: "s", Domain: "d", Incarnation: 7, Sequence: 1, Slots: queueSlots})
	a.step(&steering.RecordStored{Incarnation: 7})
	return a
}

func (a *queueAgent) step(e steering.Event) {
	a.effects = a.Step(a.now, e)
	a.delivered, a.origins = nil, nil
	for _, e := range a.effects {
		if e.Kind == steering.EffectDeliver && e.Segment.Len > 0 {
			a.delivered, a.origins = append(a.delivered, e.Segment), append(a.origins, e.Origin)
		}
	}
}

func (a *queueAgent) advance(d time.Duration) { a.now = a.now.Add(d) }

func queueFlow(n int) steering.Flow {
	return steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: uint16(n)}, Address: routeAddress}
}

// offer offers the opening of a flow, as one for which no less loaded agent is left, and returns
// why it is refused.
func (a *queueAgent) offer(n int, from netip.AddrPort, d steering.Demand) steering.Refusal {
	return a.offerFirst(n, from, d, true)
}

// offerFirst is offer, with or without a less loaded agent left.
func (a *queueAgent) offerFirst(n int, from netip.AddrPort, d steering.Demand, mayDelay bool) steering.Refusal {
	a.step(&steering.MessageReceived{From: from, Message: steering.Message{
		Kind: steering.MessageOpen, Service: steering.ServiceIDOf("s"), Demand: d, MayDelay: mayDelay,
		Segment: steering.Segment{Flow: queueFlow(n), Flags: steering.FlagOpen},
	}})
	for _, e := range a.effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageRefused {
			return e.Message.Refusal
		}
	}
	return steering.NotRefused
}

// learn makes a flow known by a segment of the target, as after a restart of the agent.
func (a *queueAgent) learn(flows ...int) {
	for _, n := range flows {
		a.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: queueFlow(n), Flags: steering.FlagAck, Seq: 1}})
	}
}

// forward passes a segment of a caller to the agent.
func (a *queueAgent) forward(d steering.Demand, s steering.Segment) {
	a.forwardFrom(balancerPeer, d, s)
}

func (a *queueAgent) forwardFrom(from netip.AddrPort, d steering.Demand, s steering.Segment) {
	s.Flags |= steering.FlagAck
	s.Ack = 1
	a.step(&steering.MessageReceived{From: from, Message: steering.Message{Kind: steering.MessageForward, Demand: d, Segment: s}})
}

// request sends the first segment of a flow's numbered request and reports whether it was
// delivered.
func (a *queueAgent) request(n, number int, d steering.Demand) bool {
	a.forward(d, requestSegment(n, number))
	return len(a.delivered) > 0
}

func requestSegment(n, number int) steering.Segment {
	return steering.Segment{Flow: queueFlow(n), Seq: uint32(1 + 100*number), Len: 100}
}

// respond makes the target respond to a flow's request.
func (a *queueAgent) respond(n int) {
	a.seqs[n]++
	a.repeatResponse(n)
}

// repeatResponse makes the target send its last response on a flow.
func (a *queueAgent) repeatResponse(n int) {
	a.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: queueFlow(n), Flags: steering.FlagAck, Seq: a.seqs[n], Len: 1}})
}

// fill occupies all places of the target with requests on flows 1 to queuePlaces.
func (a *queueAgent) fill() {
	a.t.Helper()
	for n := 1; n <= queuePlaces; n++ {
		a.learn(n)
		if !a.request(n, 0, feedDemand) {
			a.t.Fatalf("request %d of %d was kept", n, queuePlaces)
		}
	}
}

// keep makes the requests of flows wait.
func (a *queueAgent) keep(d steering.Demand, flows ...int) {
	a.t.Helper()
	for _, n := range flows {
		a.learn(n)
		if a.request(n, 0, d) {
			a.t.Fatalf("the request of flow %d was not kept", n)
		}
	}
}

func (a *queueAgent) requireDelivered(flows ...int) {
	a.t.Helper()
	if len(a.delivered) != len(flows) {
		a.t.Fatalf("%d segments were delivered, want %d", len(a.delivered), len(flows))
	}
	for i, n := range flows {
		if a.delivered[i].Flow != queueFlow(n) {
			a.t.Errorf("delivery %d is of flow %v, want flow %d", i, a.delivered[i].Flow, n)
		}
	}
}

// status returns the status that the agent reports.
func (a *queueAgent) status() steering.Status {
	a.t.Helper()
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessagePing}})
	for _, e := range a.effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessagePong {
			return e.Message.Status
		}
	}
	a.t.Fatal("no reply to a ping")
	return steering.Status{}
}

func (a *queueAgent) requireAhead(want ...uint16) {
	a.t.Helper()
	if got := a.status().Ahead; got != [steering.NumPriorities]uint16(want) {
		a.t.Errorf("requests ahead: %v, want %v", got, want)
	}
}

func (a *queueAgent) requireCounts(kept, released, abandoned uint64) {
	a.t.Helper()
	c := &a.Counters
	if c.RequestsKept.Load() != kept || c.RequestsReleased.Load() != released || c.RequestsAbandoned.Load() != abandoned {
		a.t.Errorf("%d kept, %d released, %d abandoned, want %d, %d, %d",
			c.RequestsKept.Load(), c.RequestsReleased.Load(), c.RequestsAbandoned.Load(), kept, released, abandoned)
	}
}

// Feeds fill the target: a post that arrives last must run next once it is urgent, and each
// response must free one place only.
func TestKeptRequestsAreReleasedByPriority(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10)
	a.advance(time.Millisecond)
	a.keep(feedDemand, 11)
	a.advance(time.Millisecond)
	a.keep(postDemand, 12)
	a.requireAhead(4, 5, 7, 7)
	a.advance(120 * time.Millisecond)
	a.respond(1)
	a.requireDelivered(12)
	a.respond(2)
	a.requireDelivered(10)
	a.respond(12)
	a.requireDelivered(11)
	a.respond(3)
	a.requireDelivered()
	a.requireCounts(3, 3, 0)
}

// A target must not be charged for the wait at the agent: admission would refuse openings
// although the target is fast.
func TestRequestTimeIsMeasuredFromDelivery(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10)
	a.advance(200 * time.Millisecond)
	// The target gets three more slots: the kept request finds a free one.
	a.step(&steering.Heartbeat{Instance: "i", Service: "s", Domain: "d", Incarnation: 7, Sequence: 2, Slots: 2 * queueSlots})
	a.requireDelivered(10)
	for n := 1; n <= 3; n++ {
		a.respond(n) // 200 ms each
	}
	before := a.status().RequestTime
	if before != 200*time.Millisecond {
		t.Fatalf("mean request time %v, want 200 ms", before)
	}
	a.advance(100 * time.Millisecond)
	a.respond(10)
	if got := a.status().RequestTime; got != 190*time.Millisecond {
		t.Errorf("mean request time %v, want 190 ms after one request of 100 ms", got)
	}
}

// Without a record of the wait, operators can't tell a slow target from a full one.
func TestWaitIsObserved(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10)
	a.advance(70 * time.Millisecond)
	a.respond(1)
	for _, e := range a.effects {
		if e.Kind == steering.EffectObserve && e.Latency == steering.LatencyKept {
			if e.Elapsed != 70*time.Millisecond {
				t.Errorf("observed a wait of %v, want 70 ms", e.Elapsed)
			}
			return
		}
	}
	t.Error("the wait was not observed")
}

// A request of several segments runs only when it is complete: its segments wait and pass
// together, through whichever balancers they came. Copies that callers send after 200 ms must
// not add to it, and the buffer of Step's caller must not be kept.
func TestSegmentsOfARequestPassTogether(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.learn(10)
	other := netip.MustParseAddrPort("10.0.0.3:7000")
	buffer := []byte("first")
	first := requestSegment(10, 0)
	first.Raw = buffer
	a.forward(feedDemand, first)
	copy(buffer, "other")
	for range 2 {
		a.forwardFrom(other, feedDemand, requestSegment(10, 1))
		a.requireDelivered()
	}
	a.respond(1)
	a.requireDelivered(10, 10)
	if string(a.delivered[0].Raw) != "first" {
		t.Errorf("the kept segment has become %q", a.delivered[0].Raw)
	}
	if a.origins[0] != balancerPeer.Addr() || a.origins[1] != other.Addr() {
		t.Errorf("the segments are attributed to %v", a.origins)
	}
	a.forward(feedDemand, requestSegment(10, 2))
	a.requireDelivered(10) // further data of the running request
	a.requireAhead(4, 4, 4, 4)
}

// A caller that never stops sending must not take the agent's memory.
func TestKeptSegmentsAreBounded(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.learn(10)
	for number := range 40 {
		a.request(10, number, feedDemand)
	}
	a.respond(1)
	if len(a.delivered) != 16 {
		t.Errorf("%d segments were kept, want 16", len(a.delivered))
	}
}

// Acknowledgements of an earlier response free the target's buffers: they must not wait.
func TestAcknowledgementsPassWhileARequestWaits(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10)
	a.forward(feedDemand, steering.Segment{Flow: queueFlow(10), Seq: 101})
	if n := a.countDeliveries(); n != 1 {
		t.Errorf("%d segments were delivered, want the acknowledgement", n)
	}
}

func (a *queueAgent) countDeliveries() int {
	n := 0
	for _, e := range a.effects {
		if e.Kind == steering.EffectDeliver {
			n++
		}
	}
	return n
}

// Work for callers that gave up is wasted: their requests must not run, their closes must
// reach the target.
func TestRequestOfACallerThatGaveUpIsDiscarded(t *testing.T) {
	for _, flag := range []steering.Flags{steering.FlagClose, steering.FlagReset} {
		a := newQueueAgent(t)
		a.fill()
		a.keep(feedDemand, 10)
		a.forward(feedDemand, steering.Segment{Flow: queueFlow(10), Flags: flag, Seq: 101})
		if n := a.countDeliveries(); n != 1 {
			t.Errorf("flags %v: %d segments were delivered, want the close", flag, n)
		}
		a.requireAhead(4, 4, 4, 4)
		a.requireCounts(1, 0, 1)
		a.respond(1)
		a.requireDelivered()
	}
}

// A caller gives up a request that waits and uses its port again, before the target has closed
// the flow. The requests of the new flow must run.
func TestFlowReopenedAfterAnAbandonedRequestIsServed(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10)
	a.forward(feedDemand, steering.Segment{Flow: queueFlow(10), Flags: steering.FlagClose, Seq: 101})
	for n := 1; n <= queuePlaces; n++ {
		a.respond(n)
	}
	if refusal := a.offer(10, balancerPeer, feedDemand); refusal != steering.NotRefused {
		t.Fatalf("the new flow is refused: %v", refusal)
	}
	a.requireAhead(0, 0, 1, 1)
	a.learn(10)
	if !a.request(10, 0, feedDemand) {
		t.Error("the request of the new flow is dropped")
	}
}

// A request that nobody waits for any more is discarded after the time that stalls are
// tolerated. A caller that still repeats it must not be locked out.
func TestStalledRequestIsDiscarded(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10)
	a.advance(5 * time.Second)
	a.step(&steering.Tick{})
	a.requireCounts(1, 0, 0)
	a.advance(time.Millisecond)
	a.step(&steering.Tick{})
	a.requireCounts(1, 0, 1)
	a.requireAhead(0, 0, 0, 0) // the requests of the silent target have stalled, too
	if !a.request(10, 0, feedDemand) {
		t.Error("the repeated request was not delivered to the idle target")
	}
	a.requireAhead(1, 1, 1, 1)
}

// A late copy of an answered request must reach the target, which repeats its response, but
// must not occupy a place: the target does not run it again.
func TestRepeatedSegmentStartsNoRequest(t *testing.T) {
	a := newQueueAgent(t)
	a.learn(1)
	a.request(1, 0, feedDemand)
	a.respond(1)
	if !a.request(1, 0, feedDemand) {
		t.Error("the repeated segment was not delivered")
	}
	a.requireAhead(0, 0, 0, 0)
	a.request(1, 1, feedDemand)
	a.requireAhead(1, 1, 1, 1)
}

// Sequence numbers wrap: a caller that has sent 4 GB must not be taken for one that repeats.
func TestSequenceNumbersWrap(t *testing.T) {
	a := newQueueAgent(t)
	a.learn(1)
	a.forward(feedDemand, steering.Segment{Flow: queueFlow(1), Seq: 1<<32 - 100, Len: 100})
	a.respond(1)
	a.forward(feedDemand, steering.Segment{Flow: queueFlow(1), Seq: 0, Len: 100})
	a.requireAhead(1, 1, 1, 1)
}

// The target may send the rest of an earlier response while the next request waits. That must
// not count as its response.
func TestEarlierResponseDoesNotFinishAKeptRequest(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10)
	a.respond(10)
	a.requireAhead(4, 4, 5, 5)
	a.respond(1)
	a.requireDelivered(10)
}

// The successor of an agent does not have the kept segments: they are delivered at a planned
// stop, and none is kept from then on.
func TestStoppingAgentDeliversKeptRequests(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10, 11)
	a.keep(postDemand, 12)
	a.step(&steering.Stop{})
	a.requireDelivered(10, 11, 12) // by their deadlines, as the post is not urgent
	a.learn(13)
	if !a.request(13, 0, feedDemand) {
		t.Error("a stopping agent kept a request")
	}
}

// Routes without an objective are served as before, but their requests occupy slots, which
// others have to know.
func TestRequestsWithoutObjectiveAreNeverKept(t *testing.T) {
	a := newQueueAgent(t)
	for n := 1; n <= 10; n++ {
		a.learn(n)
		if !a.request(n, 0, steering.Demand{}) {
			t.Fatalf("request %d was kept", n)
		}
	}
	a.requireAhead(10, 10, 10, 10)
	a.keep(postDemand, 11)
	a.requireCounts(1, 0, 0)
}

// The agent has restarted and knows no flow: what its flows need comes from the first
// forwarded segment, and a changed priority moves what was counted.
func TestDemandIsLearnedFromForwardedSegments(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10, 11)
	a.requireAhead(4, 4, 6, 6)
	a.forward(postDemand, requestSegment(11, 0))
	a.forward(postDemand, steering.Segment{Flow: queueFlow(1), Seq: 101})
	a.requireAhead(4, 5, 6, 6)
	a.respond(1)
	a.requireDelivered(11)
	a.requireAhead(4, 4, 5, 5)
}

// Whatever ends a flow must end its kept request: a leftover would run for nobody and occupy
// capacity for good.
func TestKeptRequestEndsWithItsFlow(t *testing.T) {
	for name, end := range map[string]func(a *queueAgent){
		"reset by the target": func(a *queueAgent) {
			a.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: queueFlow(10), Flags: steering.FlagReset, Seq: 1}})
		},
		"closed by the target": func(a *queueAgent) {
			a.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: queueFlow(10), Flags: steering.FlagClose, Seq: 1}})
		},
		"not held by the target": func(a *queueAgent) {
			a.step(&steering.SegmentReturned{Segment: steering.Segment{Flow: queueFlow(10), Flags: steering.FlagAck}, Balancer: balancerPeer})
		},
		"target deregistered": func(a *queueAgent) { a.step(&steering.TargetDeregistered{Instance: "i"}) },
	} {
		t.Run(name, func(t *testing.T) {
			a := newQueueAgent(t)
			a.fill()
			a.keep(feedDemand, 10)
			end(a)
			a.requireDelivered()
			a.requireCounts(1, 0, 1)
			a.requireAhead(4, 4, 4, 4)
			a.respond(1)
			a.requireDelivered()
		})
	}
}

// The target has closed the flow: late data of its caller must not occupy a place.
func TestDataOnAClosedFlowStartsNoRequest(t *testing.T) {
	a := newQueueAgent(t)
	a.learn(1)
	a.request(1, 0, feedDemand)
	a.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: queueFlow(1), Flags: steering.FlagClose, Seq: 1}})
	a.request(1, 1, feedDemand)
	a.requireDelivered(1)
	a.requireAhead(0, 0, 0, 0)
}

// The target is replaced by a new process while requests wait: none of them may reach it, as
// their flows are not its own.
func TestKeptRequestsEndWithTheirTarget(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10)
	a.step(&steering.TargetDeregistered{Instance: "i"})
	a.advance(3 * time.Minute)
	a.step(&steering.Heartbeat{Instance: "j", Service: "s", Domain: "d", Incarnation: a.now.UnixMilli(), Sequence: 1, Slots: queueSlots})
	a.requireDelivered()
	a.requireAhead(0, 0, 0, 0)
	a.requireCounts(1, 0, 1)
}

// Feeds that wait must not keep posts out: they have a lower priority. What runs does delay
// them.
func TestOpeningIsAdmittedByItsPriority(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	for n := 10; n < 40; n++ {
		a.keep(feedDemand, n)
	}
	if got := a.offer(100, balancerPeer, feedDemand); got != steering.RefusedBusy {
		t.Errorf("a feed behind 30 others: %v", got)
	}
	// Four run, of an unknown time of 100 ms: wait of 67 ms and 100 ms of work.
	if got := a.offer(101, balancerPeer, steering.Demand{Priority: 1, Objective: 330 * time.Millisecond}); got != steering.RefusedBusy {
		t.Errorf("a post that would miss half of what remains: %v", got)
	}
	if got := a.offer(102, balancerPeer, steering.Demand{Priority: 1, Objective: 340 * time.Millisecond}); got != steering.NotRefused {
		t.Errorf("a post that can be answered in time: %v", got)
	}
	if got := a.offer(103, balancerPeer, steering.Demand{Priority: 1, Objective: 340 * time.Millisecond}); got != steering.RefusedBusy {
		t.Errorf("a post behind one whose request is expected: %v", got)
	}
	a.advance(101 * time.Millisecond) // the first post did not arrive
	if got := a.offer(104, balancerPeer, steering.Demand{Priority: 1, Objective: 340 * time.Millisecond}); got != steering.NotRefused {
		t.Errorf("a post after an opening that was abandoned: %v", got)
	}
}

// Just short of capacity, a post that goes first at a target with a long queue makes feeds late
// there, while another target has room. Without requests of lower priorities, nothing waits behind
// the usual limit of two requests per slot.
func TestLoadedAgentTakesAPostOnlyIfNoOtherCan(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10, 11)
	post := steering.Demand{Priority: 1, Objective: 400 * time.Millisecond}
	if got := a.offerFirst(100, balancerPeer, post, false); got != steering.RefusedLoaded {
		t.Errorf("a post at a loaded target: %v", got)
	}
	if got := a.offerFirst(101, balancerPeer, post, true); got != steering.NotRefused {
		t.Errorf("a post that no other agent can take: %v", got)
	}
	if got := a.offerFirst(102, balancerPeer, steering.Demand{Priority: 3, Objective: time.Minute}, true); got != steering.RefusedBusy {
		t.Errorf("an opening of the lowest priority beyond the limit: %v", got)
	}
}

// Balancers with posts must learn of a free place before those with feeds only.
func TestCapacityNoticesGoToMoreImportantDemandsFirst(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	feeds, posts := netip.MustParseAddrPort("10.0.0.3:7000"), netip.MustParseAddrPort("10.0.0.4:7000")
	for i, from := range []netip.AddrPort{feeds, posts} {
		d := steering.Demand{Priority: uint8(2 - i), Objective: 20 * time.Millisecond}
		if got := a.offer(100+i, from, d); got != steering.RefusedBusy {
			t.Fatalf("offer %d: %v", i, got)
		}
	}
	var notified []netip.AddrPort
	for n := 1; n <= queuePlaces; n++ {
		a.advance(3 * time.Millisecond)
		a.respond(n)
		for _, e := range a.effects {
			if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessagePong {
				notified = append(notified, e.To)
			}
		}
	}
	if len(notified) != 2 || notified[0] != posts || notified[1] != feeds {
		t.Errorf("notified %v, want the balancer with posts and then the one with feeds", notified)
	}
}

// An opening that has waited for long was refused first, and is admitted to a free slot only. A
// balancer with openings of the same priority that may wait must not learn of room later.
func TestCapacityNoticeSkipsADemandThatWouldBeRefused(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.keep(feedDemand, 10, 11)
	late, recent := netip.MustParseAddrPort("10.0.0.3:7000"), netip.MustParseAddrPort("10.0.0.4:7000")
	for i, from := range []netip.AddrPort{late, recent} {
		d := steering.Demand{Priority: 2, Objective: []time.Duration{20 * time.Millisecond, 400 * time.Millisecond}[i]}
		if got := a.offer(100+i, from, d); got != steering.RefusedBusy {
			t.Fatalf("offer %d: %v", i, got)
		}
	}
	a.advance(3 * time.Millisecond)
	// Five are left, of an unknown time of 100 ms: wait of 100 ms and 100 ms of work.
	a.forward(feedDemand, steering.Segment{Flow: queueFlow(10), Flags: steering.FlagClose, Seq: 101})
	var notified []netip.AddrPort
	for _, e := range a.effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessagePong {
			notified = append(notified, e.To)
		}
	}
	if len(notified) != 1 || notified[0] != recent {
		t.Errorf("notified %v, want the balancer whose opening would be admitted", notified)
	}
}

// Routes without an objective are served as before: their balancers are notified in the order
// of their refusals, whatever the priority.
func TestCapacityNoticesWithoutObjectiveKeepTheirOrder(t *testing.T) {
	a := newQueueAgent(t)
	for n := 1; n <= 2*queueSlots; n++ {
		a.learn(n)
		a.request(n, 0, steering.Demand{})
	}
	first, second := netip.MustParseAddrPort("10.0.0.3:7000"), netip.MustParseAddrPort("10.0.0.4:7000")
	a.offer(100, first, steering.Demand{Priority: 3})
	a.offer(101, second, steering.Demand{Priority: 1})
	a.advance(3 * time.Millisecond)
	a.respond(1)
	var notified []netip.AddrPort
	for _, e := range a.effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessagePong {
			notified = append(notified, e.To)
		}
	}
	if len(notified) != 1 || notified[0] != first {
		t.Errorf("notified %v, want the balancer that was refused first", notified)
	}
}

// A segment of a request that need not wait must not allocate, as other segments of open flows.
func TestDeliveredRequestsDoNotAllocate(t *testing.T) {
	a := newQueueAgent(t)
	a.learn(1)
	s := requestSegment(1, 0)
	s.Flags, s.Ack = steering.FlagAck, 1
	request := &steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessageForward, Demand: feedDemand, Segment: s}}
	response := &steering.SegmentReceived{Segment: steering.Segment{Flow: queueFlow(1), Flags: steering.FlagAck, Seq: 1, Len: 1}}
	if n := testing.AllocsPerRun(1000, func() {
		request.Message.Segment.Seq += 100
		a.Step(a.now, request)
		a.Step(a.now, response)
	}); n != 0 {
		t.Errorf("an agent allocates %v times per request", n)
	}
}

// Counters that drift would refuse openings for good. After random requests, copies, closes,
// resets, responses, stalls and changed priorities, the target never has more requests than
// places, and nothing is left once all flows have ended.
func TestRandomRequestsLeaveNothingBehind(t *testing.T) {
	for seed := range uint64(200) {
		testRandomRequests(t, seed)
	}
}

func testRandomRequests(t *testing.T, seed uint64) {
	t.Helper()
	const flows, steps = 30, 600
	r := rand.New(rand.NewPCG(seed, 1))
	a := newQueueAgent(t)
	var numbers [flows]int
	atTarget := make(map[steering.Flow]bool)
	for n := range flows {
		a.learn(n)
	}
	recordDelivered := func() {
		for _, s := range a.delivered {
			if s.Seq == uint32(1+100*numbers[int(s.Flow.Caller.Port)]) {
				atTarget[s.Flow] = true
			}
		}
		if len(atTarget) > queuePlaces {
			t.Fatalf("seed %d: %d requests at the target, want at most %d", seed, len(atTarget), queuePlaces)
		}
	}
	for range steps {
		n := r.IntN(flows)
		f := queueFlow(n)
		d := []steering.Demand{feedDemand, postDemand, {Priority: 3, Objective: time.Second}}[r.IntN(3)]
		switch k := r.IntN(40); {
		case k < 20:
			a.request(n, numbers[n], d)
		case k < 30:
			if atTarget[f] {
				delete(atTarget, f)
				numbers[n]++
				a.respond(n)
			}
		case k < 33:
			a.forward(d, steering.Segment{Flow: f, Seq: uint32(1 + 100*numbers[n])})
		case k < 34:
			flag := []steering.Flags{steering.FlagReset, steering.FlagClose}[r.IntN(2)]
			a.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: f, Flags: flag, Seq: 1}})
			delete(atTarget, f)
			recordDelivered()
			a.advance(16 * time.Second) // all others have stalled
			a.step(&steering.Tick{})
			for f := range atTarget { // their callers send another request
				numbers[int(f.Caller.Port)]++
			}
			clear(atTarget)
			a.learn(n)
			numbers[n]++
		case k < 37:
			if !atTarget[f] {
				a.forward(d, steering.Segment{Flow: f, Flags: steering.FlagClose, Seq: uint32(101 + 100*numbers[n])})
			}
		default:
			a.advance(time.Duration(r.IntN(100)) * time.Millisecond)
		}
		recordDelivered()
	}
	a.advance(80 * time.Second)
	a.step(&steering.Tick{})
	a.requireAhead(0, 0, 0, 0)
	c := &a.Counters
	if kept, ended := c.RequestsKept.Load(), c.RequestsReleased.Load()+c.RequestsAbandoned.Load(); kept != ended || kept == 0 {
		t.Fatalf("seed %d: %d requests were kept, %d released or abandoned", seed, kept, ended)
	}
}

// Deployment 1 at four times its usual load for 10 s, at one target: 131 feeds a second on open
// flows and 37.5 posts a second on new ones, for three slots of 30 ms and 39 ms. Without the queue
// the feeds, which nobody can refuse, fill the target, and posts find no room. A post is tried
// four times, 3 ms after a refusal.
func TestPostsAreServedWhileFeedsOverloadTheTarget(t *testing.T) {
	const (
		duration           = 10 * time.Second
		step               = time.Millisecond
		feedsPerSecond     = 131
		postsPerSecond     = 37.5
		feedTime, postTime = 30 * time.Millisecond, 39 * time.Millisecond
		firstPost          = 10_000
		feedTimeout        = 3 * time.Second
	)
	r := rand.New(rand.NewPCG(5, 1))
	a := newQueueAgent(t)
	type job struct {
		flow int
		left time.Duration
	}
	var running, queued []job // at the target
	asked, served := [2]int{}, [2]int{}
	askedAt := make(map[int]time.Time)
	numbers := make(map[int]int)
	var idle []int
	nextFlow, nextPost, inTime, most := 0, firstPost, 0, 0
	take := func() {
		for _, s := range a.delivered {
			n := int(s.Flow.Caller.Port)
			work := feedTime
			if n >= firstPost {
				work = postTime
			}
			queued = append(queued, job{n, work})
		}
		most = max(most, len(queued)+len(running))
	}
	for a.now.Before(time.Unix(1000, 0).Add(duration)) {
		a.advance(step)
		if r.Float64() < feedsPerSecond*step.Seconds() {
			if len(idle) == 0 {
				nextFlow++
				idle = append(idle, nextFlow)
				a.learn(nextFlow)
			}
			n := idle[0]
			idle = idle[1:]
			asked[0]++
			askedAt[n] = a.now
			a.request(n, numbers[n], feedDemand)
			numbers[n]++
			take()
		}
		if r.Float64() < postsPerSecond*step.Seconds() {
			nextPost++
			asked[1]++
			askedAt[nextPost] = a.now
			for range 4 {
				if a.offer(nextPost, balancerPeer, postDemand) == steering.NotRefused {
					a.learn(nextPost)
					a.request(nextPost, 0, postDemand)
					take()
					break
				}
			}
		}
		for n, at := range askedAt {
			if n < firstPost && a.now.Sub(at) > feedTimeout {
				delete(askedAt, n)
				a.forward(feedDemand, steering.Segment{Flow: queueFlow(n), Flags: steering.FlagReset})
			}
		}
		for len(running) < queueSlots && len(queued) > 0 {
			running, queued = append(running, queued[0]), queued[1:]
		}
		for i := len(running) - 1; i >= 0; i-- {
			if running[i].left -= step; running[i].left > 0 {
				continue
			}
			n := running[i].flow
			running = append(running[:i], running[i+1:]...)
			at, ok := askedAt[n]
			delete(askedAt, n)
			a.respond(n)
			take()
			if n >= firstPost {
				served[1]++
				continue
			}
			served[0]++
			idle = append(idle, n)
			if ok && a.now.Sub(at) <= feedDemand.Objective {
				inTime++
			}
		}
	}
	t.Logf("feeds: %d of %d served, %d in time; posts: %d of %d", served[0], asked[0], inTime, served[1], asked[1])
	if most > queuePlaces {
		t.Errorf("the target had %d requests at once, want at most %d", most, queuePlaces)
	}
	if least := asked[1] * 95 / 100; served[1] < least {
		t.Errorf("%d of %d posts were served, want at least %d", served[1], asked[1], least)
	}
	if least := served[0] * 8 / 10; inTime < least {
		t.Errorf("%d of %d feeds were served in time, want at least %d", inTime, served[0], least)
	}
}

// Releasing a request scans those that are kept: it must stay within microseconds also with
// as many as a target has flows.
func BenchmarkReleaseOfManyKeptRequests(b *testing.B) {
	const kept = 1500
	a := newQueueAgent(b)
	a.fill()
	for n := range kept {
		a.learn(100 + n)
		a.request(100+n, 0, feedDemand)
	}
	running := []int{1, 2, 3, 4}
	numbers := make(map[int]int)
	b.ReportAllocs()
	for b.Loop() {
		n := running[0]
		running = running[1:]
		a.respond(n)
		for _, s := range a.delivered {
			running = append(running, int(s.Flow.Caller.Port))
		}
		numbers[n]++
		a.request(n, numbers[n], feedDemand)
	}
}

// BenchmarkAgentSchedulesRequest measures a request and its response at a target with a free
// place.
func BenchmarkAgentSchedulesRequest(b *testing.B) {
	a := newQueueAgent(b)
	a.learn(1)
	s := requestSegment(1, 0)
	s.Flags, s.Ack = steering.FlagAck, 1
	request := &steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessageForward, Demand: feedDemand, Segment: s}}
	response := &steering.SegmentReceived{Segment: steering.Segment{Flow: queueFlow(1), Flags: steering.FlagAck, Seq: 1, Len: 1}}
	b.ReportAllocs()
	for b.Loop() {
		request.Message.Segment.Seq += 100
		a.Step(a.now, request)
		a.Step(a.now, response)
	}
}

// ping delivers a ping with the typical request time of the service.
func (a *queueAgent) ping(typical time.Duration) {
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessagePing, TypicalRequestTime: typical}})
}

// requestTime returns the request time in the agent's status.
func (a *queueAgent) requestTime() time.Duration {
	a.ping(0)
	for _, e := range a.effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessagePong {
			return e.Message.Status.RequestTime
		}
	}
	return 0
}

// Under load no request finds a free slot. The time of requests must be known all the same, or a
// target that becomes slow in a crowd gets as many new flows as before.
func TestRequestTimeIsMeasuredWithoutFreeSlots(t *testing.T) {
	a := newQueueAgent(t)
	a.fill()
	a.advance(120 * time.Millisecond)
	a.respond(queuePlaces) // four requests ran on three slots
	if got, want := a.requestTime(), 90*time.Millisecond; got != want {
		t.Errorf("the request time is %v, want %v", got, want)
	}
}

// A target sends an earlier response again while the next request of the flow runs. That must not
// free a place: the target would get more requests than it has places for (soak, seed 9590).
func TestRepeatedResponseDoesNotFinishTheNextRequest(t *testing.T) {
	a := newQueueAgent(t)
	a.learn(1)
	a.request(1, 0, feedDemand)
	a.respond(1)
	a.request(1, 1, feedDemand)
	for n := 2; n <= queuePlaces; n++ {
		a.learn(n)
		a.request(n, 0, feedDemand)
	}
	a.repeatResponse(1)
	a.learn(10)
	if a.request(10, 0, feedDemand) {
		t.Errorf("a request was delivered while %d run", queuePlaces)
	}
	a.respond(1)
	a.requireDelivered(10)
}

// A target closes each flow after its response, and the close overtakes the response. The request
// must count as answered: its time was not measured before, so that slow posts were unknown to
// balancers (cosecha-hq-grown: no post was measured).
func TestCloseThatOvertakesTheResponseFinishesTheRequest(t *testing.T) {
	a := newQueueAgent(t)
	if got := a.offer(1, balancerPeer, postDemand); got != steering.NotRefused {
		t.Fatalf("the opening is refused: %v", got)
	}
	fromTarget := func(flags steering.Flags, seq uint32, length int) {
		a.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: queueFlow(1), Flags: flags, Seq: seq, Len: length}})
	}
	fromTarget(steering.FlagOpen|steering.FlagAck, 500, 0)
	a.request(1, 0, postDemand)
	a.advance(10 * time.Millisecond)
	fromTarget(steering.FlagAck, 501, 0)
	a.requireAhead(1, 1, 1, 1)
	a.advance(30 * time.Millisecond)
	fromTarget(steering.FlagAck|steering.FlagClose, 801, 0)
	a.requireAhead(0, 0, 0, 0)
	fromTarget(steering.FlagAck, 501, 300)
	if got, want := a.requestTime(), 40*time.Millisecond; got != want {
		t.Errorf("the request time is %v, want %v", got, want)
	}
}

// A response is lost on its way to the caller, which sends the request again, and the target sends
// the response again. If the agent takes the copy of the request for a new one, the repeated
// response must free its place: it was taken until the flow was idle for 5 s.
func TestRepeatedResponseFinishesARepeatedRequest(t *testing.T) {
	for name, d := range map[string]steering.Demand{"without an objective": {}, "first request seen is a copy": feedDemand} {
		t.Run(name, func(t *testing.T) {
			a := newQueueAgent(t)
			a.learn(1)
			if d.Objective == 0 {
				a.request(1, 0, d)
			}
			a.respond(1)
			a.request(1, 0, d)
			a.requireAhead(1, 1, 1, 1)
			a.repeatResponse(1)
			a.requireAhead(0, 0, 0, 0)
		})
	}
}

// Places must be freed across the end of the range of sequence numbers, after a response of more
// than ackWindow bytes, and on a flow whose port is used again with lower numbers.
func TestResponsesFreePlacesWhateverTheSequenceNumbers(t *testing.T) {
	respond := func(a *queueAgent, seq uint32, flags steering.Flags, length int) {
		a.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: queueFlow(1), Flags: steering.FlagAck | flags, Seq: seq, Len: length}})
	}
	forward := func(a *queueAgent, s steering.Segment, ack uint32) {
		s.Flow, s.Flags, s.Ack, s.Len = queueFlow(1), s.Flags|steering.FlagAck, ack, 100
		a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessageForward, Demand: feedDemand, Segment: s}})
	}
	for name, first := range map[string]uint32{"wrapped": 1<<32 - 50, "zero": 0, "sign bit": 1<<31 - 50} {
		t.Run(name, func(t *testing.T) {
			a := newQueueAgent(t)
			a.offer(1, balancerPeer, feedDemand)
			respond(a, first, steering.FlagOpen, 0)
			seq := first + 1
			for number := range 3 {
				forward(a, steering.Segment{Seq: uint32(1 + 100*number)}, seq)
				a.requireAhead(1, 1, 1, 1)
				for range 2000 { // 2.4 MB
					respond(a, seq, 0, 1200)
					seq += 1200
				}
				a.requireAhead(0, 0, 0, 0)
			}
			forward(a, steering.Segment{Seq: 1000, Flags: steering.FlagReset}, seq)
			a.offer(1, balancerPeer, feedDemand)
			respond(a, seq-5000, steering.FlagOpen, 0)
			forward(a, steering.Segment{Seq: 1}, seq-4999)
			a.requireAhead(1, 1, 1, 1)
			respond(a, seq-4999, 0, 100)
			a.requireAhead(0, 0, 0, 0)
		})
	}
}
