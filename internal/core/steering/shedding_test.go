package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// Routes of deployment 1 in docs/design/OVERLOAD.md, and one without an objective.
var (
	feedAddress  = steering.Endpoint{IP: [4]byte{198, 18, 1, 1}, Port: 443}
	postAddress  = steering.Endpoint{IP: [4]byte{198, 18, 1, 2}, Port: 443}
	plainAddress = steering.Endpoint{IP: [4]byte{198, 18, 1, 3}, Port: 443}
)

const (
	feedObjective = 250 * time.Millisecond
	postObjective = 300 * time.Millisecond
	objectiveSlot = 3
)

// offeredOpening is an opening segment that a balancer offered to an agent.
type offeredOpening struct {
	agent int
	steering.Message
}

// objectiveBalancer is a balancer in domain "a" for routes with objectives. It collects its
// effects.
type objectiveBalancer struct {
	*steering.Balancer
	now     time.Time
	peers   []netip.AddrPort
	port    uint16
	offers  []offeredOpening
	resets  map[uint16]string
	typical time.Duration
	// pings counts the pings to each agent, and probed lists the agents that got a probe.
	pings   map[int]int
	probed  []int
	reports []steering.Report
}

// newObjectiveBalancer returns a balancer with an agent in each of the domains.
func newObjectiveBalancer(domains ...string) *objectiveBalancer {
	b := &objectiveBalancer{
		now: time.Unix(1000, 0), resets: make(map[uint16]string), pings: make(map[int]int),
		Balancer: steering.NewBalancer(steering.BalancerIdentity{Identity: steering.Identity{Node: "b", Domain: "a"}, ApplyTimeout: applyTimeout}),
	}
	shares := []steering.Share{{Service: steering.ServiceIDOf(serviceName), Weight: 1}}
	b.step(&steering.ConfigurationLoaded{State: steering.OperatorState{Revision: revisionOf(1), VerifiedRevision: revisionOf(1), Configuration: &steering.Configuration{
		Version: 1, Routes: map[steering.Endpoint]*steering.Route{
			feedAddress:  {Name: "feed", Shares: shares, Demand: steering.Demand{Priority: 2, Objective: feedObjective, Timeout: 3 * time.Second}},
			postAddress:  {Name: "post", Shares: shares, NonIdempotent: true, SingleRequest: true, Demand: steering.Demand{Priority: 1, Objective: postObjective, Timeout: 3 * time.Second}},
			plainAddress: {Name: "plain", Shares: shares},
		},
	}}})
	loaded := &steering.MembersLoaded{Revision: revisionOf(1), VerifiedRevision: revisionOf(1)}
	for i, domain := range domains {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000)
		b.peers = append(b.peers, peer)
		loaded.Records = append(loaded.Records, steering.AgentRecord{Node: peer.String(), Domain: domain, Service: serviceName, Peer: peer, Incarnation: 1})
	}
	b.step(loaded)
	return b
}

func (b *objectiveBalancer) agentOf(peer netip.AddrPort) int {
	for i, p := range b.peers {
		if p == peer {
			return i
		}
	}
	return -1
}

func (b *objectiveBalancer) step(e steering.Event) {
	for _, effect := range b.Step(b.now, e) {
		if effect.Kind == steering.EffectReport {
			b.reports = append(b.reports, effect.Report)
		}
		switch {
		case effect.Kind == steering.EffectSend && effect.Message.Kind == steering.MessageOpen:
			b.offers = append(b.offers, offeredOpening{b.agentOf(effect.To), effect.Message})
		case effect.Kind == steering.EffectSend && effect.Message.Kind == steering.MessagePing:
			b.typical = effect.Message.TypicalRequestTime
			b.pings[b.agentOf(effect.To)]++
		case effect.Kind == steering.EffectSend && effect.Message.Kind == steering.MessageProbe:
			b.probed = append(b.probed, b.agentOf(effect.To))
		case effect.Kind == steering.EffectReset:
			b.resets[effect.Flow.Caller.Port] = ""
		case effect.Kind == steering.EffectReport && effect.Report.Text == "Flow is reset.":
			b.resets[effect.Report.Flow.Caller.Port] = effect.Report.Why
		}
	}
}

// takeOffers returns the offers since the last call.
func (b *objectiveBalancer) takeOffers() []offeredOpening {
	offers := b.offers
	b.offers = nil
	return offers
}

// slotStatus is that of a target with three slots of which ahead requests are in the way, for
// all priorities.
func slotStatus(ahead uint16, requestTime time.Duration) steering.Status {
	s := steering.Status{
		Service: steering.ServiceIDOf(serviceName), Slots: objectiveSlot, Concurrency: objectiveSlot, InFlight: ahead,
		RequestTime: requestTime, RequestsPerSecond: 1,
	}
	for p := range s.Ahead {
		s.Ahead[p] = ahead
	}
	return s
}

func (b *objectiveBalancer) report(agent int, s steering.Status) {
	b.step(&steering.MessageReceived{From: b.peers[agent], Message: steering.Message{Kind: steering.MessagePong, Status: s}})
}

// fill makes all agents report that they have no room.
func (b *objectiveBalancer) fill() {
	for i := range b.peers {
		b.report(i, slotStatus(100, time.Second))
	}
}

func (b *objectiveBalancer) refuse(o offeredOpening, why steering.Refusal) {
	b.step(&steering.MessageReceived{From: b.peers[o.agent], Message: steering.Message{Kind: steering.MessageRefused, Refusal: why, Segment: o.Segment}})
}

// open delivers a caller's first copy and returns the caller's port.
func (b *objectiveBalancer) open(address steering.Endpoint) uint16 {
	b.port++
	b.sendCopy(b.port, address, 0)
	return b.port
}

func (b *objectiveBalancer) sendCopy(port uint16, address steering.Endpoint, number uint32) {
	b.step(&steering.SegmentReceived{Segment: steering.Segment{
		Flow:  steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, Address: address},
		Flags: steering.FlagOpen, Ack: number,
	}})
}

// run advances the time in ticks, with the statuses of full agents. Callers that were not
// reset repeat their openings.
func (b *objectiveBalancer) run(d time.Duration, full bool, callers map[uint16]time.Time, address steering.Endpoint) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(10 * time.Millisecond)
		for port, began := range callers {
			if _, reset := b.resets[port]; reset {
				delete(callers, port)
				continue
			}
			switch b.now.Sub(began) {
			case 200 * time.Millisecond:
				b.sendCopy(port, address, 1)
			case 600 * time.Millisecond:
				b.sendCopy(port, address, 2)
			}
		}
		if b.now.Sub(time.Unix(1000, 0))%(50*time.Millisecond) == 0 {
			if full {
				b.fill()
			}
			b.step(&steering.Tick{})
		}
	}
}

// overloadFor lets feed requests arrive each 20 ms while all agents are full.
func (b *objectiveBalancer) overloadFor(d time.Duration, callers map[uint16]time.Time) {
	for end := b.now.Add(d); b.now.Before(end); {
		callers[b.open(feedAddress)] = b.now
		b.run(20*time.Millisecond, true, callers, feedAddress)
	}
}

// Four times the capacity of one target. Posts (priority 1) must be offered before feeds
// (priority 2) that came first, and routes without an objective last.
func TestQueueIsOrderedByPriority(t *testing.T) {
	b := newObjectiveBalancer("a")
	b.fill()
	for _, address := range []steering.Endpoint{plainAddress, feedAddress, postAddress, feedAddress, postAddress} {
		b.open(address)
	}
	b.report(0, slotStatus(0, 30*time.Millisecond))
	var order []steering.Endpoint
	for _, o := range b.takeOffers() {
		order = append(order, o.Segment.Flow.Address)
	}
	want := []steering.Endpoint{postAddress, postAddress, feedAddress, feedAddress, plainAddress}
	if len(order) != len(want) {
		t.Fatalf("offers to %v, want %v", order, want)
	}
	for i := range want {
		if order[i] != want[i] {
			t.Errorf("offer %d goes to %v, want %v", i, order[i], want[i])
		}
	}
}

// After a loss of power all targets are away for a second while openings arrive. They must
// wait: refused callers use up their attempts at once (deployment 2: 576 failed, not 46).
func TestBacklogAfterALossOfPowerIsNotRefused(t *testing.T) {
	b, callers := newObjectiveBalancer("a"), make(map[uint16]time.Time)
	b.overloadFor(time.Second, callers)
	b.report(0, slotStatus(0, time.Millisecond))
	if len(b.resets) != 0 || b.Counters.RefusedOverload.Load() != 0 {
		t.Errorf("%d openings are reset, %d by overload, want none", len(b.resets), b.Counters.RefusedOverload.Load())
	}
	if len(b.takeOffers()) == 0 {
		t.Error("no opening is offered once the target is back")
	}
}

// Four times the capacity for long. After half of the callers' timeout, openings that find
// no agent are refused at once; the state ends 300 ms after the last refusal.
func TestBacklogLongerThanHalfTheTimeoutIsRefused(t *testing.T) {
	b, callers := newObjectiveBalancer("a"), make(map[uint16]time.Time)
	b.overloadFor(1400*time.Millisecond, callers)
	if got := b.Counters.RefusedOverload.Load(); got != 0 {
		t.Errorf("%d openings are refused by overload before 1.5 s", got)
	}
	b.overloadFor(time.Second, callers)
	feed := b.open(feedAddress)
	if why := b.resets[feed]; why != "overload" {
		t.Errorf("an opening under overload is reset as %q, want overload", why)
	}
	post, plain := b.open(postAddress), b.open(plainAddress)
	for _, port := range []uint16{post, plain} {
		if why, reset := b.resets[port]; reset {
			t.Errorf("an opening of another priority, or without an objective, is reset as %q", why)
		}
	}
	b.run(310*time.Millisecond, true, callers, feedAddress)
	later := b.open(feedAddress)
	if why, reset := b.resets[later]; reset {
		t.Errorf("an opening 310 ms after the last refusal is reset as %q", why)
	}
}

// Under overload a queued opening whose age exceeds 60% of its objective is refused, and
// a younger one still waits.
func TestQueuedOpeningsAreRefusedByAgeUnderOverload(t *testing.T) {
	b, callers := newObjectiveBalancer("a"), make(map[uint16]time.Time)
	b.overloadFor(1440*time.Millisecond, callers)
	old := b.open(feedAddress)
	b.run(40*time.Millisecond, true, callers, feedAddress)
	young := b.open(feedAddress)
	b.run(60*time.Millisecond, true, callers, feedAddress)
	if _, reset := b.resets[old]; reset {
		t.Error("an opening is refused at an age of 100 ms, want more than 150 ms")
	}
	b.run(60*time.Millisecond, true, callers, feedAddress)
	if why := b.resets[old]; why != "overload" {
		t.Errorf("an opening at an age of 160 ms is reset as %q, want overload", why)
	}
	if _, reset := b.resets[young]; reset {
		t.Error("an opening is refused at an age of 120 ms, want more than 150 ms")
	}
}

// A balancer that was suspended during a backlog waits first: the time of the suspension
// does not count.
func TestSuspensionIsNoBacklog(t *testing.T) {
	b, callers := newObjectiveBalancer("a"), make(map[uint16]time.Time)
	b.overloadFor(300*time.Millisecond, callers)
	b.now = b.now.Add(3 * time.Second)
	b.open(feedAddress)                      // dropped, as it may be old
	b.now = b.now.Add(60 * time.Millisecond) // after the backlog of its sockets, before a tick
	feed := b.open(feedAddress)
	if why, reset := b.resets[feed]; reset || b.Counters.RefusedOverload.Load() != 0 {
		t.Errorf("an opening after a suspension of 3 s is reset as %q", why)
	}
}

// No target is live. An opening is reset at the queue timeout, so that its caller tries
// again at once instead of after 1.4 s. The age is that of the first copy, which the number
// of the last one tells.
func TestOpeningIsResetAtTheQueueTimeout(t *testing.T) {
	b := newObjectiveBalancer()
	feed := b.open(feedAddress)
	callers := map[uint16]time.Time{feed: b.now}
	b.run(1150*time.Millisecond, false, callers, feedAddress)
	if _, reset := b.resets[feed]; reset {
		t.Error("the opening is reset before 1.2 s")
	}
	b.run(50*time.Millisecond, false, callers, feedAddress)
	if why := b.resets[feed]; why != "queue timeout" {
		t.Errorf("the opening is reset after 1.2 s as %q, want queue timeout", why)
	}
	// Its first copy went to a balancer that has died.
	b.sendCopy(900, feedAddress, 1)
	b.run(400*time.Millisecond, false, nil, feedAddress)
	b.sendCopy(900, feedAddress, 2)
	b.run(550*time.Millisecond, false, nil, feedAddress)
	if _, reset := b.resets[900]; reset {
		t.Error("the second opening is reset before its first copy is 1.2 s old")
	}
	b.run(50*time.Millisecond, false, nil, feedAddress)
	if why := b.resets[900]; why != "queue timeout" {
		t.Errorf("the second opening is reset 1.2 s after its first copy as %q, want queue timeout", why)
	}
	if got := b.Counters.RefusedOverload.Load(); got != 0 {
		t.Errorf("%d queue timeouts count as overload", got)
	}
}

// Routers change their choice of balancers while openings wait. The copies that went
// elsewhere may have opened the flow there, so this balancer must drop, not reset, its own
// copy, also under overload.
func TestOpeningThatMayBeOpenElsewhereIsNotReset(t *testing.T) {
	b, callers := newObjectiveBalancer("a"), make(map[uint16]time.Time)
	b.overloadFor(2*time.Second, callers)
	b.sendCopy(900, feedAddress, 1)
	b.sendCopy(901, feedAddress, 2)
	for range 60 {
		b.overloadFor(20*time.Millisecond, callers)
	}
	for _, port := range []uint16{900, 901} {
		if why, reset := b.resets[port]; reset {
			t.Errorf("an opening whose earlier copies went elsewhere is reset as %q", why)
		}
	}
}

// An agent with room got the opening and died, and no other agent has room for the copies.
// The dead agent's target may have opened the flow, so that it must not be reset.
func TestOpeningThatAnAgentDidNotAnswerIsNotReset(t *testing.T) {
	b := newObjectiveBalancer("a", "a")
	b.report(0, slotStatus(0, 30*time.Millisecond))
	b.now = b.now.Add(600 * time.Millisecond)
	b.report(1, slotStatus(100, time.Second))
	feed := b.open(feedAddress)
	if got := b.takeOffers(); len(got) != 1 || got[0].agent != 0 {
		t.Fatalf("offers are %+v, want one to agent 0", got)
	}
	for range 30 {
		b.now = b.now.Add(50 * time.Millisecond)
		b.report(1, slotStatus(100, time.Second))
		switch b.now.Sub(time.Unix(1000, 0)) {
		case 800 * time.Millisecond:
			b.sendCopy(feed, feedAddress, 1)
		case 1200 * time.Millisecond:
			b.sendCopy(feed, feedAddress, 2)
		}
		b.step(&steering.Tick{})
	}
	if got := b.Counters.Queued.Load(); got != 1 {
		t.Errorf("%d openings were queued, want 1", got)
	}
	if why, reset := b.resets[feed]; reset {
		t.Errorf("an opening that may be open at a silent agent is reset as %q", why)
	}
}

// An agent's refusal of an opening crosses the next copy, which the agent admits as a place has
// become free. The flow is open there, so that it must not be reset, also under overload.
func TestOpeningWhoseRefusalCrossedACopyIsNotReset(t *testing.T) {
	b, callers := newObjectiveBalancer("a"), make(map[uint16]time.Time)
	b.overloadFor(2*time.Second, callers)
	b.takeOffers()
	b.report(0, slotStatus(0, 30*time.Millisecond))
	callers[b.open(feedAddress)] = b.now
	offers := b.takeOffers()
	if len(offers) != 1 || offers[0].Segment.Ack != 0 {
		t.Fatalf("offers are %+v, want one of a first copy", offers)
	}
	first := offers[0]
	b.overloadFor(200*time.Millisecond, callers)
	copied := false
	for _, o := range b.takeOffers() {
		copied = copied || o.Segment.Flow == first.Segment.Flow && o.Segment.Ack == 1 && o.agent == first.agent
	}
	if !copied {
		t.Fatal("the second copy did not go to the agent that got the first")
	}
	b.refuse(first, steering.RefusedBusy)
	b.overloadFor(1300*time.Millisecond, callers)
	if why, reset := b.resets[first.Segment.Flow.Caller.Port]; reset {
		t.Errorf("an opening of which the agent got another copy is reset as %q", why)
	}
}

// A balancer restarts, and a refusal of an opening that its earlier process offered arrives. That
// process may have offered another copy elsewhere, so that the flow must not be reset.
func TestRefusedOpeningOfAnEarlierProcessIsNotReset(t *testing.T) {
	b, callers := newObjectiveBalancer("a"), make(map[uint16]time.Time)
	b.overloadFor(2*time.Second, callers)
	opening := steering.Segment{Flow: steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 900}, Address: feedAddress}, Flags: steering.FlagOpen}
	b.refuse(offeredOpening{agent: 0, Message: steering.Message{Segment: opening}}, steering.RefusedBusy)
	b.overloadFor(1300*time.Millisecond, callers)
	if why, reset := b.resets[900]; reset {
		t.Errorf("an opening that an earlier process offered is reset as %q", why)
	}
}

// An agent gets a queued opening just before the queue timeout and refuses it after that. The
// opening must not count as waiting for ever, which would be an overload without load.
func TestOpeningRefusedAfterTheQueueTimeoutLeavesTheBacklog(t *testing.T) {
	b := newObjectiveBalancer("a")
	b.fill()
	feed := b.open(feedAddress)
	b.run(1180*time.Millisecond, true, map[uint16]time.Time{feed: b.now}, feedAddress)
	b.report(0, slotStatus(0, 30*time.Millisecond))
	offers := b.takeOffers()
	if len(offers) != 1 {
		t.Fatalf("%d offers, want 1", len(offers))
	}
	b.run(60*time.Millisecond, true, nil, feedAddress)
	b.refuse(offers[0], steering.RefusedBusy)
	b.run(3*time.Second, true, nil, feedAddress)
	if why := b.resets[feed]; why != "queue timeout" {
		t.Errorf("the opening is reset as %q, want queue timeout", why)
	}
	later := b.open(feedAddress)
	if why, reset := b.resets[later]; reset {
		t.Errorf("an opening 3 s later is reset as %q", why)
	}
}

// Overload begins when an opening is 200 ms old and its next copy has not come: the copy may
// have opened the flow through another balancer.
func TestOpeningWithAnOverdueCopyIsNotReset(t *testing.T) {
	b, callers := newObjectiveBalancer("a"), make(map[uint16]time.Time)
	b.overloadFor(1300*time.Millisecond, callers)
	feed := b.open(feedAddress)
	b.overloadFor(400*time.Millisecond, callers)
	if b.Counters.RefusedOverload.Load() == 0 {
		t.Error("no opening is refused: there is no overload")
	}
	if why, reset := b.resets[feed]; reset {
		t.Errorf("an opening with an overdue copy is reset as %q", why)
	}
}

// A caller does not repeat its opening while the agents are full: it gave up, or reaches
// another balancer, and must not be reset.
func TestOpeningOfASilentCallerIsDroppedSilently(t *testing.T) {
	b := newObjectiveBalancer("a")
	feed := b.open(feedAddress)
	b.run(1500*time.Millisecond, true, nil, feedAddress)
	if why, reset := b.resets[feed]; reset {
		t.Errorf("the opening is reset as %q", why)
	}
	if got := b.Counters.OpenExpired.Load(); got != 1 {
		t.Errorf("%d openings expired, want 1", got)
	}
}

// An agent decides by what remains of the objective, so that it must be told the age of
// the first copy. It is never 0, which means that none is declared.
func TestOfferCarriesTheRemainingObjective(t *testing.T) {
	for name, tt := range map[string]struct {
		copies uint32
		queued time.Duration
		want   time.Duration
	}{
		"first copy":  {0, 0, feedObjective},
		"second copy": {1, 0, feedObjective - 200*time.Millisecond},
		"queued":      {0, 100 * time.Millisecond, feedObjective - 100*time.Millisecond},
		"late":        {2, 0, 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			b := newObjectiveBalancer("a")
			if tt.queued == 0 {
				b.report(0, slotStatus(0, 30*time.Millisecond))
			}
			b.sendCopy(1, feedAddress, tt.copies)
			b.now = b.now.Add(tt.queued)
			b.report(0, slotStatus(0, 30*time.Millisecond))
			offers := b.takeOffers()
			if len(offers) != 1 || offers[0].Demand.Objective != tt.want || offers[0].Demand.Priority != 2 {
				t.Errorf("offers are %+v, want one with an objective of %v", offers, tt.want)
			}
		})
	}
}
