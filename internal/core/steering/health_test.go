package steering_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

const typicalTime = 47 * time.Millisecond

var testDemand = steering.Demand{Priority: 2, Objective: 300 * time.Millisecond}

// watchedAgent is an agent whose balancer opens flows with an objective. Its tick interval is
// that of agents.
type watchedAgent struct {
	*limitedAgent
	t       *testing.T
	demand  steering.Demand
	effects []steering.Effect
	// seq and answerSeq are the sequence numbers of the last request and the last answer.
	seq, answerSeq uint32
}

func newWatchedAgent(t *testing.T) *watchedAgent {
	t.Helper()
	a := &watchedAgent{limitedAgent: newLimitedAgent(0, steering.Limits{}), t: t, demand: testDemand}
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessagePing, TypicalRequestTime: typicalTime}})
	return a
}

// step handles an event and keeps its effects.
func (a *watchedAgent) step(e steering.Event) {
	a.effects = slices.Clone(a.Step(a.now, e))
}

// advance lets time pass, with a ping and a tick every 500 ms as in operation.
func (a *watchedAgent) advance(d time.Duration) {
	for d > 0 {
		part := min(d, 500*time.Millisecond)
		a.now = a.now.Add(part)
		a.Step(a.now, &steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessagePing, TypicalRequestTime: typicalTime}})
		a.step(&steering.Tick{})
		d -= part
	}
}

// offer offers an opening segment and returns it, and why it was refused.
func (a *watchedAgent) offer(nonIdempotent, lastResort bool) (steering.Segment, steering.Refusal) {
	s := a.nextOpening()
	s.Raw = []byte("opening")
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{
		Kind: steering.MessageOpen, Service: steering.ServiceIDOf("s"), NonIdempotent: nonIdempotent, LastResort: lastResort,
		Demand: a.demand, Segment: s,
	}})
	for _, e := range a.effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageRefused {
			return s, e.Message.Refusal
		}
	}
	return s, steering.NotRefused
}

// open opens a flow of an idempotent route, which has to be admitted.
func (a *watchedAgent) open() steering.Flow {
	a.t.Helper()
	s, refusal := a.offer(false, false)
	if refusal != steering.NotRefused {
		a.t.Fatalf("an opening is refused as %v", refusal)
	}
	a.fromTarget(steering.Segment{Flow: s.Flow, Flags: steering.FlagOpen | steering.FlagAck})
	return s.Flow
}

func (a *watchedAgent) fromTarget(s steering.Segment) { a.step(&steering.SegmentReceived{Segment: s}) }

func (a *watchedAgent) request(f steering.Flow) {
	a.seq += 100
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{
		Kind: steering.MessageForward, Demand: a.demand, Segment: steering.Segment{Flow: f, Flags: steering.FlagAck, Seq: a.seq, Len: 100},
	}})
}

func (a *watchedAgent) answer(f steering.Flow, after time.Duration) {
	a.now = a.now.Add(after)
	a.answerSeq += 100
	a.fromTarget(steering.Segment{Flow: f, Flags: steering.FlagAck, Seq: a.answerSeq, Len: 100})
}

func (a *watchedAgent) reset(f steering.Flow) {
	a.fromTarget(steering.Segment{Flow: f, Flags: steering.FlagReset})
}

// fail makes the target failing by two resets.
func (a *watchedAgent) fail() {
	a.t.Helper()
	for range 2 {
		f := a.open()
		a.request(f)
		a.reset(f)
	}
	a.requireFailing(true)
}

func (a *watchedAgent) requireFailing(want bool) {
	a.t.Helper()
	if got := a.View(a.now).Target.Failing; (got != "") != want {
		a.t.Fatalf("the target is failing by %q, want failing %v", got, want)
	}
}

// pongs returns the refusals in the pongs among the last effects.
func (a *watchedAgent) pongs() []steering.Refusal {
	var refusals []steering.Refusal
	for _, e := range a.effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessagePong {
			refusals = append(refusals, e.Message.Status.Refusal)
		}
	}
	return refusals
}

// responses counts the segments among the last effects that go to callers.
func (a *watchedAgent) responses() int {
	n := 0
	for _, e := range a.effects {
		if e.Kind == steering.EffectRespond || e.Kind == steering.EffectReset {
			n++
		}
	}
	return n
}

// A target goes down and resets flows at their requests, while an open flow is answered. Guards
// against balancers sending it more flows until their next ping.
func TestBalancersAreNotifiedWhenATargetBecomesFailing(t *testing.T) {
	a := newWatchedAgent(t)
	open := a.open()
	a.request(open)
	a.answer(open, typicalTime)
	first, second := a.open(), a.open()
	a.request(first)
	a.reset(first)
	if a.responses() != 1 {
		t.Error("the reset of an open flow did not reach its caller")
	}
	a.request(open)
	a.answer(open, typicalTime)
	a.request(second)
	a.reset(second)
	a.requireFailing(true)
	if got := a.pongs(); !slices.Equal(got, []steering.Refusal{steering.RefusedFailing}) {
		t.Errorf("the balancer is notified of %v", got)
	}
	if _, got := a.offer(false, false); got != steering.RefusedFailing {
		t.Errorf("an opening is refused as %v", got)
	}
	for range 2 {
		a.advance(200 * time.Millisecond)
		f := a.open()
		a.request(f)
		a.answer(f, typicalTime)
	}
	a.requireFailing(false)
	if got := a.pongs(); !slices.Equal(got, []steering.Refusal{steering.NotRefused}) {
		t.Errorf("the balancer is notified of %v after the recovery", got)
	}
	if got := a.Counters.Trials.Load(); got != 2 {
		t.Errorf("%d trials, want 2", got)
	}
}

// answerUsual lets the target answer requests of a flow in the usual time, as often as the
// detection of too fast answers needs.
func (a *watchedAgent) answerUsual(f steering.Flow) {
	for range 32 {
		a.request(f)
		a.answer(f, typicalTime)
	}
}

// Error answers within 1.6 ms, where the target takes 47 ms. Guards against their time making
// the target look fast, besides its detection within ten answers and its recovery.
func TestFastErrorsMakeTheTargetFailing(t *testing.T) {
	a := newWatchedAgent(t)
	f := a.open()
	a.answerUsual(f)
	pace := a.requestsPerSecond()
	for range 8 {
		a.requireFailing(false)
		a.request(f)
		a.answer(f, 1600*time.Microsecond)
	}
	a.requireFailing(true)
	if got := a.requestsPerSecond(); got != pace {
		t.Errorf("%d requests a second after the errors, want %d", got, pace)
	}
	for range 2 {
		a.request(f)
		a.answer(f, typicalTime)
	}
	a.requireFailing(false)
}

// A service answers a third of its requests within 2 ms, in runs of three. Guards against its
// target becoming failing.
func TestMixedServiceIsNotFailing(t *testing.T) {
	a := newWatchedAgent(t)
	f := a.open()
	for i := range 1000 {
		elapsed := typicalTime
		if i%9 < 3 {
			elapsed = 2 * time.Millisecond
		}
		a.request(f)
		a.answer(f, elapsed)
		a.requireFailing(false)
	}
}

// Callers give up requests, and the target resets the flows that they have closed. Guards against
// these resets being failures.
func TestResetsOfClosedFlowsAreNoFailures(t *testing.T) {
	a := newWatchedAgent(t)
	for range 3 {
		f := a.open()
		a.request(f)
		a.closeByCaller(f)
		a.reset(f)
	}
	a.requireFailing(false)
}

// closeByCaller closes the caller's side of a flow.
func (a *watchedAgent) closeByCaller(f steering.Flow) {
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{
		Kind: steering.MessageForward, Demand: a.demand, Segment: steering.Segment{Flow: f, Flags: steering.FlagAck | steering.FlagClose},
	}})
}

// The caller of a trial gives its request up. Guards against further trials being held back until
// the request counts as stalled, after 5 s.
func TestTrialGivenUpIsFollowedByAnother(t *testing.T) {
	a := newWatchedAgent(t)
	a.fail()
	a.advance(200 * time.Millisecond)
	f := a.open()
	a.request(f)
	a.closeByCaller(f)
	a.advance(200 * time.Millisecond)
	a.open()
	if got := a.Counters.Trials.Load(); got != 2 {
		t.Errorf("%d trials, want 2", got)
	}
}

// A target that hangs with three requests and a trial is replaced. Guards against the requests and
// the trial of the one before being failures of the new one.
func TestRequestsOfReplacedTargetAreNoFailuresOfTheNext(t *testing.T) {
	a := newWatchedAgent(t)
	a.fail()
	a.advance(200 * time.Millisecond)
	flows := []steering.Flow{a.open()}
	a.request(flows[0])
	for range 3 {
		s, _ := a.offer(false, true)
		a.fromTarget(steering.Segment{Flow: s.Flow, Flags: steering.FlagOpen | steering.FlagAck})
		a.request(s.Flow)
		flows = append(flows, s.Flow)
	}
	a.advance(400 * time.Millisecond)
	a.step(&steering.Heartbeat{Instance: "j", Service: "s", Domain: "d", Incarnation: 8, Sequence: 1, Slots: 100})
	a.step(&steering.RecordStored{Incarnation: 8})
	a.advance(3 * time.Second)
	a.requireFailing(false)
	for _, f := range flows {
		a.reset(f)
	}
	a.requireFailing(false)
	a.fail()
}

// requestsPerSecond returns the target's throughput as reported to balancers.
func (a *watchedAgent) requestsPerSecond() uint16 {
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessagePing}})
	for _, e := range a.effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessagePong {
			return e.Message.Status.RequestsPerSecond
		}
	}
	a.t.Fatal("no pong")
	return 0
}

// A target hangs with three requests. Guards against requests that are never answered not being
// failures, or being several each.
func TestHangingTargetIsFailing(t *testing.T) {
	a := newWatchedAgent(t)
	var flows []steering.Flow
	for range 3 {
		flows = append(flows, a.open())
	}
	a.request(flows[0])
	a.request(flows[1])
	a.advance(4 * time.Second)
	a.requireFailing(false)
	a.answer(flows[0], 0) // counted as a failure before
	a.request(flows[2])
	a.advance(time.Second)
	a.requireFailing(false)
	a.advance(500 * time.Millisecond)
	a.requireFailing(true)
}

// The host is frozen for 10 s with three requests at the target. Guards against requests being
// failures because the agent did not run.
func TestFrozenHostIsNotAFailingTarget(t *testing.T) {
	a := newWatchedAgent(t)
	var flows []steering.Flow
	for range 3 {
		flows = append(flows, a.open())
		a.request(flows[len(flows)-1])
	}
	a.now = a.now.Add(10 * time.Second)
	a.step(&steering.Tick{})
	a.requireFailing(false)
	for _, f := range flows {
		a.answer(f, typicalTime)
	}
	a.requireFailing(false)
}

// Callers give up requests that the target still works on, and close their flows. Guards against
// the missing answers being failures.
func TestAbandonedRequestsAreNoFailures(t *testing.T) {
	a := newWatchedAgent(t)
	for range 3 {
		f := a.open()
		a.request(f)
		a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{
			Kind: steering.MessageForward, Demand: a.demand, Segment: steering.Segment{Flow: f, Flags: steering.FlagAck | steering.FlagClose},
		}})
	}
	a.advance(4 * time.Second)
	a.requireFailing(false)
}

// Openings of both kinds are offered to a failing target for 3 s. Guards against a trial that
// costs a caller a request which it may not repeat.
func TestTrialTakesNoNonIdempotentOpening(t *testing.T) {
	a := newWatchedAgent(t)
	a.fail()
	trials := 0
	for range 30 {
		a.advance(100 * time.Millisecond)
		if _, got := a.offer(true, false); got != steering.RefusedFailing {
			t.Fatalf("a non-idempotent opening: %v", got)
		}
		if got := a.pongs(); !slices.Equal(got, []steering.Refusal{steering.RefusedFailing}) {
			t.Fatalf("its balancer is notified of %v", got)
		}
		if s, got := a.offer(false, false); got == steering.NotRefused {
			trials++
			a.fromTarget(steering.Segment{Flow: s.Flow, Flags: steering.FlagOpen | steering.FlagAck})
			if _, got := a.offer(false, false); got != steering.RefusedFailing {
				t.Fatalf("a second trial: %v", got)
			}
			a.request(s.Flow)
			a.reset(s.Flow)
		}
	}
	if trials != 4 {
		t.Errorf("%d trials in 3 s, want 4: after 0.2, 0.6, 1.4 and 3.0 s", trials)
	}
}

// All targets of the service are failing. Guards against the service stopping: offers as a last
// resort are admitted, also non-idempotent ones.
func TestLastResortIsAdmitted(t *testing.T) {
	a := newWatchedAgent(t)
	a.fail()
	for _, nonIdempotent := range []bool{false, true} {
		if _, got := a.offer(nonIdempotent, true); got != steering.NotRefused {
			t.Errorf("an offer as a last resort: %v", got)
		}
	}
	if _, got := a.offer(false, false); got != steering.RefusedFailing {
		t.Errorf("another offer: %v", got)
	}
	if got := a.Counters.Trials.Load(); got != 0 {
		t.Errorf("%d trials", got)
	}
}

// The process of a failing target is replaced. Guards against the new one getting only trials.
func TestNewIncarnationIsHealthy(t *testing.T) {
	a := newWatchedAgent(t)
	a.fail()
	a.step(&steering.Heartbeat{Instance: "j", Service: "s", Domain: "d", Incarnation: 8, Sequence: 1, Slots: 100})
	a.step(&steering.RecordStored{Incarnation: 8})
	a.requireFailing(false)
	a.open()
}

// A failing target goes on with its heartbeats. Guards against these making it healthy while the
// same incarnation continues: flows are only opened as trials, after 200 ms and another 400 ms.
func TestHeartbeatOfSameIncarnationLeavesTargetFailing(t *testing.T) {
	a := newWatchedAgent(t)
	a.fail()
	var opened []time.Duration
	began := a.now
	for i := range int64(13) {
		a.step(&steering.Heartbeat{Instance: "i", Service: "s", Domain: "d", Incarnation: 7, Sequence: 2 + i, Slots: 100})
		a.requireFailing(true)
		if s, refusal := a.offer(false, false); refusal == steering.NotRefused {
			opened = append(opened, a.now.Sub(began))
			a.reset(s.Flow)
		}
		a.advance(50 * time.Millisecond)
	}
	if !slices.Equal(opened, []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}) {
		t.Errorf("flows are opened after %v", opened)
	}
}

// The agent is restarted beside a failing target with open flows. Guards against the requests of
// flows that it learns from its balancers being left out.
func TestRestartedAgentDetectsAFailingTarget(t *testing.T) {
	a := newWatchedAgent(t)
	var flows []steering.Flow
	saved := &steering.SavedFlows{Incarnation: 7}
	for range 2 {
		s := a.nextOpening()
		flows = append(flows, s.Flow)
		saved.Flows = append(saved.Flows, steering.SavedFlow{Flow: s.Flow})
	}
	a.step(saved)
	a.requireFailing(false)
	for _, f := range flows {
		a.request(f)
		a.reset(f)
	}
	a.requireFailing(true)
}

// openingCopy offers the second copy of an opening segment through another balancer.
func (a *watchedAgent) openingCopy(s steering.Segment) netip.AddrPort {
	other := netip.MustParseAddrPort("10.0.0.3:7000")
	s.Ack = 1
	a.step(&steering.MessageReceived{From: other, Message: steering.Message{Kind: steering.MessageOpen, Service: steering.ServiceIDOf("s"), Demand: a.demand, Segment: s}})
	return other
}

// requireNothingSent fails if the last step returned an opening or sent a segment to the caller.
func (a *watchedAgent) requireNothingSent() {
	a.t.Helper()
	for _, e := range a.effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageRefused || e.Kind == steering.EffectRespond || e.Kind == steering.EffectReset {
			a.t.Errorf("unexpected effect %+v", e)
		}
	}
}

// A target rejects an opening of which a second copy came through another balancer. Guards against
// the caller receiving a reset, and against the opening going to another target while this one may
// still open the flow by the second copy: it goes back to the last balancer, as received, once both
// copies are rejected.
func TestRejectedOpeningGoesBackToItsBalancer(t *testing.T) {
	a := newWatchedAgent(t)
	s, _ := a.offer(true, false)
	copy(s.Raw, "XXXXXXX") // the buffer is used again
	other := a.openingCopy(s)
	a.reset(s.Flow)
	a.requireNothingSent()
	a.reset(s.Flow)
	returned := 0
	for _, e := range a.effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageRefused {
			returned++
			if m := e.Message; e.To != other || m.Refusal != steering.RefusedFailing || !m.Segment.IsOpening() || string(m.Segment.Raw) != "opening" {
				t.Errorf("%v is returned to %v as %v", m.Segment, e.To, m.Refusal)
			}
		}
	}
	if returned != 1 || a.responses() != 0 {
		t.Errorf("%d openings are returned, %d segments go to the caller", returned, a.responses())
	}
	if got := a.Counters.Rejected.Load(); got != 1 {
		t.Errorf("%d openings are counted as rejected", got)
	}
	if v := a.Explain(a.now, s.Flow); v.Known {
		t.Error("the agent still knows the flow")
	}
}

// A target rejects an opening while the agent's process is suspended for 3 s. Guards against the
// opening of an attempt that its caller has ended being opened at another target.
func TestOpeningRejectedDuringSuspensionIsDropped(t *testing.T) {
	a := newWatchedAgent(t)
	s, _ := a.offer(false, false)
	a.now = a.now.Add(3 * time.Second)
	a.reset(s.Flow)
	a.requireNothingSent()
	if got := a.Counters.OpenStale.Load(); got != 1 {
		t.Errorf("%d openings are counted as stale", got)
	}
}

// A target rejects the first copy of an opening and opens the flow by the second. Guards against
// the flow being opened at two targets.
func TestOpeningAcceptedByItsSecondCopyIsNotReturned(t *testing.T) {
	a := newWatchedAgent(t)
	s, _ := a.offer(true, false)
	a.openingCopy(s)
	a.reset(s.Flow)
	a.requireNothingSent()
	a.fromTarget(steering.Segment{Flow: s.Flow, Flags: steering.FlagOpen | steering.FlagAck})
	if a.responses() != 1 {
		t.Error("the caller does not receive the target's response")
	}
	a.request(s.Flow)
	a.answer(s.Flow, typicalTime)
	if a.responses() != 1 {
		t.Error("the caller does not receive the answer")
	}
}

// Routes without an objective are served as before: the same faults have no effect.
func TestNothingIsFailingWithoutAnObjective(t *testing.T) {
	a := newWatchedAgent(t)
	a.demand = steering.Demand{}
	s, _ := a.offer(false, false)
	a.reset(s.Flow)
	if a.responses() != 1 {
		t.Error("the reset of an opening did not reach the caller")
	}
	f := a.open()
	for range 5 {
		g := a.open()
		a.request(g)
		a.reset(g)
		a.request(f)
		a.answer(f, time.Millisecond)
	}
	for range 5 {
		a.request(a.open())
	}
	a.advance(4 * time.Second)
	a.requireFailing(false)
	if got := a.requestsPerSecond(); got != 1<<16-1 {
		t.Errorf("%d requests a second; all answers came within 1 ms", got)
	}
}

// newFaultyWorld starts a deployment of an idempotent route with an objective.
func newFaultyWorld(t *testing.T, seed uint64, agents int) *world {
	t.Helper()
	w := newWorld(t, seed)
	w.idempotent, w.demand = true, testDemand
	for range agents {
		w.addAgent("a")
	}
	for range 3 {
		w.addBalancer("a")
	}
	w.run(2 * time.Second)
	return w
}

// openEvery opens a flow per interval and returns their callers.
func (w *world) openEvery(interval, d time.Duration) []*caller {
	var callers []*caller
	for end := w.now.Add(d); w.now.Before(end); w.run(interval) {
		callers = append(callers, w.open())
	}
	return callers
}

func countResets(callers []*caller) int {
	n := 0
	for _, c := range callers {
		if c.resetByTarget {
			n++
		}
	}
	return n
}

// One of four targets goes down and up every 0.7 s: while down, it resets each flow at its first
// request and answers on the flows opened before. Guards against it looking idle and attracting
// the flows: 100 are opened in a second for 14 s.
func TestFlappingTargetGetsFewFlows(t *testing.T) {
	w := newFaultyWorld(t, 1, 4)
	flapping := w.agents[0]
	answered := make(map[steering.Flow]bool)
	down := false
	for i := range 20 {
		w.schedule(time.Duration(i)*700*time.Millisecond, func() { down = !down })
	}
	flapping.target.fault = func(s steering.Segment) bool {
		if down && s.Len > 0 && !answered[s.Flow] {
			return true
		}
		answered[s.Flow] = answered[s.Flow] || s.Len > 0
		return false
	}
	callers := w.openEvery(10*time.Millisecond, 14*time.Second)
	w.run(2 * time.Second)
	resets := countResets(callers)
	t.Logf("%d of %d flows are reset, %d opened at the flapping target, %d trials", resets, len(callers), flapping.target.opened, flapping.core.Counters.Trials.Load())
	// Ten times down: two flows until the detection, what was on its way, and trials.
	if resets > 60 {
		t.Errorf("%d of %d flows are reset", resets, len(callers))
	}
	for _, c := range callers {
		if !c.reset && c.responses != 1 {
			t.Errorf("flow %s has %d responses", c.flow, c.responses)
		}
	}
}

// One of four targets rejects all openings for 5 s, then none. Guards against callers being reset,
// and against the target not being used again.
func TestRejectedOpeningsGoToOtherTargets(t *testing.T) {
	w := newFaultyWorld(t, 2, 4)
	a := w.agents[0]
	a.target.fault = func(s steering.Segment) bool { return s.IsOpening() }
	callers := w.openEvery(10*time.Millisecond, 5*time.Second)
	if got := a.core.Counters.Rejected.Load(); got < 2 || got > 20 {
		t.Errorf("%d openings reached the target that rejects them, want 2 before the detection and few trials", got)
	}
	a.target.fault = nil
	w.run(2 * time.Second)
	opened := a.target.opened
	callers = append(callers, w.openEvery(10*time.Millisecond, 5*time.Second)...)
	w.run(time.Second)
	requireNoResets(t, callers)
	requireResponses(t, callers, 1)
	if got := a.target.opened - opened; got < 50 {
		t.Errorf("%d of 500 flows are opened at the target that has recovered", got)
	}
}

// All targets reset every request for 5 s. Guards against the service staying down afterwards:
// trials alone, without last resort, have to end the failing state of each.
func TestServiceReturnsAfterAllTargetsWereFailing(t *testing.T) {
	w := newFaultyWorld(t, 3, 4)
	for _, a := range w.agents {
		a.target.fault = func(s steering.Segment) bool { return s.Len > 0 }
	}
	w.openEvery(10*time.Millisecond, 5*time.Second)
	for _, a := range w.agents {
		if a.core.View(w.now).Target.Failing == "" {
			t.Errorf("%s: the target is not failing", a.name)
		}
		a.target.fault = nil
	}
	w.openEvery(10*time.Millisecond, 4*time.Second)
	for _, a := range w.agents {
		if why := a.core.View(w.now).Target.Failing; why != "" {
			t.Errorf("%s: the target is still failing: %s", a.name, why)
		}
	}
	callers := w.openEvery(10*time.Millisecond, time.Second)
	w.run(time.Second)
	requireNoResets(t, callers)
	requireResponses(t, callers, 1)
}
