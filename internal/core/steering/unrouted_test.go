package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// answerTimeout is the time in which a segment that can't be forwarded is answered while the
// store responds: a read of the store, with the hops to the balancer and to the caller.
const answerTimeout = 10 * hopDelay

// changeRoute writes a configuration with or without the route.
func (w *world) changeRoute(exists bool) {
	if !w.noRoute && !exists {
		w.droppedAt = w.now
	}
	w.noRoute = !exists
	w.version++
	w.notifyStoreChange()
}

// openFlows opens flows through the only balancer that is up and runs one request on each.
func (w *world) openFlows(n int) []*caller {
	var callers []*caller
	for range n {
		callers = append(callers, w.open())
	}
	w.run(time.Second)
	for _, c := range callers {
		if c.responses != 1 {
			w.t.Fatalf("flow %s got %d responses to its first request", c.flow, c.responses)
		}
	}
	return callers
}

// newWorldWithoutRoute starts two balancers and agents whose configuration has no route yet.
func newWorldWithoutRoute(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed)
	w.noRoute = true
	for range 4 {
		w.addAgent("a")
	}
	w.addBalancer("a")
	w.addBalancer("a")
	w.run(2 * time.Second)
	return w
}

// Guards against the reset of open flows by a balancer to which the configuration that adds
// their route is still on its way (review/8).
func TestLaggingBalancerForwardsFlowsOfAnAddedRoute(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorldWithoutRoute(t, seed)
		lagging := w.balancers[1]
		lagging.missesUpdates, lagging.up = true, false
		w.changeRoute(true)
		w.run(10 * hopDelay)
		callers := w.openFlows(10)
		w.balancers[0].up, lagging.up = false, true
		w.tickBalancer(lagging, lagging.incarnation)
		w.sendRequests(callers, 2*time.Second)
		for _, c := range callers {
			if c.reset || c.responses != 2 {
				t.Errorf("seed %d: flow %s: reset %v, %d responses", seed, c.flow, c.reset, c.responses)
			}
		}
		lagging.missesUpdates = false
		w.syncFromStore(lagging)
		w.sendRequests(callers, time.Second)
		for _, c := range callers {
			if c.reset || c.responses != 3 {
				t.Errorf("seed %d, with the configuration: flow %s: reset %v, %d responses", seed, c.flow, c.reset, c.responses)
			}
		}
	}
}

// Guards against a refusal of openings by a balancer that has been told of a newer configuration
// but does not hold it yet: they are offered once it has arrived.
func TestOpeningWaitsForAKnownNewerConfiguration(t *testing.T) {
	w := newWorldWithoutRoute(t, 1)
	lagging := w.balancers[1]
	lagging.missesUpdates = true
	w.changeRoute(true)
	w.run(time.Second) // agents tell it
	w.balancers[0].up = false
	c := w.open()
	w.run(500 * time.Millisecond)
	if c.reset {
		t.Fatal("the opening was reset")
	}
	lagging.missesUpdates = false
	w.syncFromStore(lagging)
	w.run(200 * time.Millisecond)
	if c.responses != 1 {
		t.Errorf("%d responses, want one", c.responses)
	}
}

// Guards against flows of a dropped route that stay open: each is reset with the next segment of
// its caller.
func TestFlowOfADroppedRouteIsAnsweredAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		w, callers := newSteadyWorld(t, seed, 2, 4, 10)
		w.changeRoute(false)
		w.run(time.Second)
		for _, c := range callers {
			w.sendRequest(c)
		}
		w.run(answerTimeout)
		for _, c := range callers {
			if !c.reset {
				t.Errorf("seed %d: flow %s is not reset %v after its segment", seed, c.flow, answerTimeout)
			}
		}
	}
}

// While the store does not respond, a balancer can't know that the route of a flow was not added
// again. The flow goes on, and one that no target holds is still answered.
func TestFlowOfADroppedRouteGoesOnWhileTheStoreIsSilent(t *testing.T) {
	w, callers := newSteadyWorld(t, 1, 2, 4, 10)
	w.changeRoute(false)
	w.run(time.Second)
	w.storeSilent = true
	w.sendRequests(callers, 2*time.Second)
	for _, c := range callers {
		if c.reset || c.responses != 2 {
			t.Errorf("flow %s: reset %v, %d responses", c.flow, c.reset, c.responses)
		}
	}
	unknown := &caller{flow: steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 65, 0, 1}, Port: 1024}, Address: routeAddress}}
	w.callers[unknown.flow] = unknown
	w.sendToBalancer(steering.Segment{Flow: unknown.flow, Flags: steering.FlagAck, Seq: 1, Ack: 1, Len: requestBytes})
	w.run(answerTimeout)
	if !unknown.reset {
		t.Error("a flow that no target holds is not answered")
	}
}

// lag makes a balancer learn of changes of the store later, after it has read nothing for a time.
func (w *world) lag(b *balancerNode, d time.Duration) {
	b.missesUpdates = true
	w.schedule(d, func() {
		b.missesUpdates = false
		w.syncFromStore(b)
	})
}

// The route is dropped and added while balancers lag, restart and leave and join the rotation, in
// random orders. A flow that is open at its target may be reset only if its route was dropped since.
func TestRouteChangesInAnyOrderResetNoOpenFlow(t *testing.T) {
	const (
		steps   = 60
		maxLag  = 3 * time.Second
		maxStep = 400 * time.Millisecond
	)
	opened := 0
	for seed := range uint64(200) {
		w := newWorldWithoutRoute(t, seed)
		w.addBalancer("b")
		var callers []*caller
		for range steps {
			b := w.balancers[w.rand.IntN(len(w.balancers))]
			switch w.rand.IntN(8) {
			case 0, 1:
				w.changeRoute(w.noRoute)
			case 2, 3:
				w.lag(b, time.Duration(w.rand.Int64N(int64(maxLag))))
			case 4:
				w.startBalancer(b)
			case 5:
				b.up = !b.up
				if b.up {
					w.startBalancer(b)
				}
			default:
				callers = append(callers, w.open(), w.open())
			}
			for _, c := range callers {
				if w.rand.IntN(3) == 0 {
					w.sendRequest(c)
				}
			}
			w.run(time.Duration(w.rand.Int64N(int64(maxStep))))
		}
		for _, c := range callers {
			if c.holder != nil {
				opened++
			}
		}
	}
	if opened < 100 {
		t.Errorf("only %d flows opened", opened)
	}
}

// routelessBalancer is a balancer whose configurations have a single route or none, with one agent.
type routelessBalancer struct {
	t        *testing.T
	now      time.Time
	core     *steering.Balancer
	agent    netip.AddrPort
	revision int64
	version  int64
	era      uint64
}

func newRoutelessBalancer(t *testing.T) *routelessBalancer {
	b := &routelessBalancer{
		t: t, now: time.Unix(1000, 0), agent: netip.MustParseAddrPort("10.0.0.1:7000"),
		core: steering.NewBalancer(steering.BalancerIdentity{Identity: steering.Identity{Node: "b", Domain: "d"}, ApplyTimeout: applyTimeout}),
	}
	b.configure(false)
	b.step(&steering.MembersLoaded{Revision: revisionOf(1), VerifiedRevision: revisionOf(1), Records: []steering.AgentRecord{
		{Node: "n", Domain: "d", Service: serviceName, Peer: b.agent, Incarnation: 1},
	}})
	b.tellRevision(b.revision)
	return b
}

func (b *routelessBalancer) step(e steering.Event) []steering.Effect {
	b.now = b.now.Add(time.Millisecond)
	return b.core.Step(b.now, e)
}

// load delivers the store's state of a version, as read at a time.
func (b *routelessBalancer) load(version int64, routed bool, confirmedAt time.Time) []steering.Effect {
	routes := map[steering.Endpoint]*steering.Route{}
	if routed {
		routes[routeAddress] = &steering.Route{Name: "r", Shares: []steering.Share{{Service: steering.ServiceIDOf(serviceName), Weight: 1}}}
	}
	return b.step(&steering.ConfigurationLoaded{ConfirmedAt: confirmedAt, State: steering.OperatorState{
		Era: b.era, Revision: revisionOf(b.revision), VerifiedRevision: revisionOf(b.revision), Configuration: &steering.Configuration{Version: version, Routes: routes},
	}})
}

// configure delivers a new version.
func (b *routelessBalancer) configure(routed bool) []steering.Effect {
	b.revision++
	b.version++
	return b.load(b.version, routed, b.now)
}

// confirm delivers a read that begins now and finds nothing new.
func (b *routelessBalancer) confirm(routed bool) []steering.Effect {
	b.now = b.now.Add(time.Millisecond)
	return b.load(b.version, routed, b.now)
}

// tellRevision delivers the status of the agent, which has heard of a revision.
func (b *routelessBalancer) tellRevision(number int64) []steering.Effect {
	return b.step(&steering.MessageReceived{From: b.agent, Message: steering.Message{Kind: steering.MessagePong, Status: steering.Status{
		Service: steering.ServiceIDOf(serviceName), Slots: 4, Revision: revisionOf(number), ConfirmedAge: steering.MaxConfirmedAge,
	}}})
}

var routelessFlow = steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1024}, Address: routeAddress}

func (b *routelessBalancer) opening(copies uint32) []steering.Effect {
	return b.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: routelessFlow, Flags: steering.FlagOpen, Ack: copies, Raw: []byte("opening")}})
}

func (b *routelessBalancer) data() []steering.Effect {
	return b.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: routelessFlow, Flags: steering.FlagAck, Seq: 1, Ack: 7, Len: 1}})
}

// wait lets time pass without a read of the store.
func (b *routelessBalancer) wait(d time.Duration) (effects []steering.Effect) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(steering.TickInterval - time.Millisecond)
		effects = append(effects, b.step(&steering.Tick{})...)
	}
	return effects
}

func countEffects(effects []steering.Effect, matches func(*steering.Effect) bool) int {
	n := 0
	for i := range effects {
		if matches(&effects[i]) {
			n++
		}
	}
	return n
}

func isReset(e *steering.Effect) bool { return e.Kind == steering.EffectReset }

func isRefresh(e *steering.Effect) bool { return e.Kind == steering.EffectRefresh }

func isOffer(e *steering.Effect) bool {
	return e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageOpen
}

// The first copy of an opening to an address that never had a route is answered without a read.
func TestFirstOpeningWithoutRouteIsResetAtOnce(t *testing.T) {
	b := newRoutelessBalancer(t)
	effects := b.opening(0)
	if countEffects(effects, isReset) != 1 || countEffects(effects, isRefresh) != 0 {
		t.Errorf("effects are %+v, want a reset and no read", effects)
	}
}

// Another balancer may have got the first copy with a newer configuration and opened the flow.
func TestLaterCopyWithoutRouteIsResetOnceConfirmed(t *testing.T) {
	b := newRoutelessBalancer(t)
	b.wait(time.Second)
	effects := b.opening(1)
	if countEffects(effects, isReset) != 0 || countEffects(effects, isRefresh) != 1 {
		t.Fatalf("effects are %+v, want a read and no reset", effects)
	}
	if countEffects(b.confirm(false), isReset) != 1 {
		t.Error("the copy is not answered after the store has confirmed the configuration")
	}
}

// A read that began before the segment arrived may have missed the configuration by which the
// flow was opened.
func TestEarlierReadDoesNotResetAnUnroutedFlow(t *testing.T) {
	b := newRoutelessBalancer(t)
	began := b.now
	b.data()
	if countEffects(b.load(b.version, false, began), isReset) != 0 {
		t.Error("the flow is reset by a read that began before its segment arrived")
	}
	if countEffects(b.confirm(false), isReset) != 1 {
		t.Error("the flow is not reset by a read that began later")
	}
}

// The configuration in force is newer than the store's, which was restored from a copy: what the
// store confirms is not the configuration by which the flow may have been opened.
func TestOlderStoredConfigurationDoesNotResetAnUnroutedFlow(t *testing.T) {
	b := newRoutelessBalancer(t)
	b.version = 9
	b.configure(false)
	b.revision++
	b.data()
	if n := countEffects(b.load(8, false, b.now), isReset); n != 0 {
		t.Errorf("%d resets", n)
	}
}

// The store's configuration can't be decoded: the one in force is an older one.
func TestMalformedStoredConfigurationDoesNotResetAnUnroutedFlow(t *testing.T) {
	b := newRoutelessBalancer(t)
	b.revision++
	b.data()
	b.now = b.now.Add(time.Millisecond)
	effects := b.step(&steering.ConfigurationLoaded{ConfirmedAt: b.now, State: steering.OperatorState{
		Revision: revisionOf(b.revision), VerifiedRevision: revisionOf(b.revision),
	}})
	if n := countEffects(effects, isReset); n != 0 {
		t.Errorf("%d resets", n)
	}
}

// The store was restored from a copy that lacks the configuration by which the flow was opened, and
// operators have not written it again yet.
func TestRestoredStoreDoesNotResetAnUnroutedFlowAtOnce(t *testing.T) {
	b := newRoutelessBalancer(t)
	b.era++
	b.revision++
	b.load(b.version, false, b.now)
	b.data()
	if n := countEffects(b.confirm(false), isReset); n != 0 {
		t.Errorf("%d resets while operators may write the configuration again", n)
	}
	b.wait(1900 * time.Millisecond)
	b.data()
	b.wait(200 * time.Millisecond)
	if n := countEffects(b.confirm(false), isReset); n != 1 {
		t.Errorf("%d resets later, want one", n)
	}
}

// A route was dropped and added again. The balancer has not got the second change yet.
func TestFlowOfARouteThatIsAddedAgainIsNotReset(t *testing.T) {
	b := newRoutelessBalancer(t)
	b.configure(true)
	b.opening(0)
	b.data()
	b.configure(false)
	if n := countEffects(b.data(), isReset); n != 0 {
		t.Fatalf("%d resets before the store has confirmed that the route is gone", n)
	}
	effects := b.configure(true)
	effects = append(effects, b.data()...)
	if n := countEffects(effects, isReset); n != 0 {
		t.Errorf("%d resets with the route", n)
	}
}

// The route is dropped while the agent's refusal of an opening is on its way back: a later copy may
// have opened the flow through another balancer.
func TestRefusedOpeningWithoutRouteIsResetOnceConfirmed(t *testing.T) {
	b := newRoutelessBalancer(t)
	b.configure(true)
	b.opening(0)
	b.configure(false)
	refused := steering.Message{
		Kind: steering.MessageRefused, Refusal: steering.RefusedFull,
		Segment: steering.Segment{Flow: routelessFlow, Flags: steering.FlagOpen, Raw: []byte("opening")},
	}
	if n := countEffects(b.step(&steering.MessageReceived{From: b.agent, Message: refused}), isReset); n != 0 {
		t.Fatalf("%d resets before the store has confirmed that the route is gone", n)
	}
	if n := countEffects(b.confirm(false), isReset); n != 1 {
		t.Errorf("%d resets after the store has confirmed that the route is gone, want one", n)
	}
}

// The route of an opening that waits for an agent is dropped, and added again.
func TestQueuedOpeningWaitsForItsRoute(t *testing.T) {
	b := newRoutelessBalancer(t)
	b.configure(true)
	full := steering.Status{Service: steering.ServiceIDOf(serviceName), Slots: 4, Refusal: steering.RefusedDraining, ConfirmedAge: steering.MaxConfirmedAge}
	b.step(&steering.MessageReceived{From: b.agent, Message: steering.Message{Kind: steering.MessagePong, Status: full}})
	if n := countEffects(b.opening(0), isOffer); n != 0 {
		t.Fatalf("%d offers to an agent that drains", n)
	}
	b.configure(false)
	if n := countEffects(b.wait(steering.TickInterval), isReset); n != 0 {
		t.Fatalf("%d resets before the store has confirmed that the route is gone", n)
	}
	b.tellRevision(b.revision)
	if n := countEffects(b.configure(true), isOffer); n != 1 {
		t.Errorf("%d offers once the route is back, want one", n)
	}
}

// A balancer may be told of a newer configuration and never get it. Its openings end with their
// callers, and their number is bounded.
func TestUnroutedOpeningsAreBounded(t *testing.T) {
	b := newRoutelessBalancer(t)
	b.tellRevision(b.revision + 1)
	const flows = 5000
	effects := 0
	for i := range flows {
		f := routelessFlow
		f.Caller.Port, f.Caller.IP[3] = uint16(i), byte(i>>8)
		effects += countEffects(b.core.Step(b.now, &steering.SegmentReceived{Segment: steering.Segment{Flow: f, Flags: steering.FlagOpen}}), isRefresh)
	}
	if effects > 1 {
		t.Errorf("%d reads at one time", effects)
	}
	b.wait(3 * time.Second)
	if n := countEffects(b.configure(true), isOffer); n != 0 {
		t.Errorf("%d openings were offered after their callers gave up", n)
	}
}
