package admission

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// TestMain sets the default seed of the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	flag.Parse()
	os.Exit(m.Run())
}

// tracked is the state of one request as expected by the test.
type tracked struct {
	handedOver bool
	deadline   time.Time
	granted    bool
	holdsSlot  bool // counts as in flight
	attempting bool // an attempt is running
	peer       model.NodeID
	mayHaveRun bool
	ended      bool
	peers      []model.NodeID
}

// eventFuzzer sends random events and checks every effect.
type eventFuzzer struct {
	*rapid.T
	*harness
	slots    int
	requests map[core.RequestID]*tracked
	inFlight int
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &eventFuzzer{T: rt, harness: newHarness(rapid.Uint64().Draw(rt, "seed"), 3), slots: 3, requests: make(map[core.RequestID]*tracked)}
		for range rapid.IntRange(50, 300).Draw(rt, "events") {
			f.now = f.now.Add(time.Duration(f.rand.IntN(60)) * time.Millisecond)
			f.randomEvent()
			f.check()
		}
		f.drainRequests()
	})
}

func (f *eventFuzzer) randomEvent() {
	self := &f.board().Self
	switch n := f.rand.IntN(20); {
	case n < 8:
		handedOver := f.rand.IntN(4) == 0
		id := f.lastID + 1
		deadline := f.now.Add(time.Duration(f.rand.IntN(2000)) * time.Millisecond)
		f.requests[id] = &tracked{handedOver: handedOver, deadline: deadline}
		f.arrive(core.RequestArrived{Method: "POST", HandedOver: handedOver, Replayable: f.rand.IntN(4) > 0, Deadline: deadline})
	case n < 14:
		f.endAttempt(core.RequestOutcome(1 + f.rand.IntN(int(core.OutcomeAborted))))
	case n < 17:
		f.step(core.Tick{})
	case n == 17:
		f.cancelOne()
	case n == 18:
		f.slots = f.rand.IntN(6)
		f.announce(f.slots, string(rune('0'+f.rand.IntN(2))))
	default:
		self.Stopping, self.DomainOut = f.rand.IntN(4) == 0, f.rand.IntN(6) == 0
	}
}

// pick returns a random request that satisfies the condition.
func (f *eventFuzzer) pick(matches func(*tracked) bool) (core.RequestID, *tracked) {
	var ids []core.RequestID
	for id, r := range f.requests {
		if matches(r) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, nil
	}
	slices.Sort(ids)
	id := ids[f.rand.IntN(len(ids))]
	return id, f.requests[id]
}

// endAttempt ends a random attempt, or closes the connection of an ended one.
func (f *eventFuzzer) endAttempt(outcome core.RequestOutcome) {
	if id, r := f.pick(func(r *tracked) bool { return r.holdsSlot && !(r.attempting && r.peer == "") }); r != nil && f.rand.IntN(2) == 0 {
		r.holdsSlot = false
		f.inFlight--
		f.step(core.TargetConnectionClosed{ID: id})
		return
	}
	id, r := f.pick(func(r *tracked) bool { return r.attempting })
	if r == nil {
		return
	}
	r.attempting = false
	r.mayHaveRun = r.mayHaveRun || !outcome.NotRun()
	r.ended = outcome == core.OutcomeCompleted || outcome == core.OutcomeAborted
	latency := time.Duration(1+f.rand.IntN(100)) * time.Millisecond
	if r.peer == "" {
		f.step(core.AttemptFinished{ID: id, Outcome: outcome, Status: 200, Latency: latency})
	} else {
		f.step(core.HandOverFinished{ID: id, Peer: r.peer, Outcome: outcome, Status: 200})
	}
}

// cancelOne cancels a random request that waits, or whose grant or hand-over has
// not been carried out.
func (f *eventFuzzer) cancelOne() {
	id, r := f.pick(func(r *tracked) bool { return !r.ended })
	if r == nil {
		return
	}
	if r.attempting && r.peer == "" {
		r.holdsSlot = false
		f.inFlight--
	}
	r.ended, r.attempting = true, false
	f.step(core.RequestCancelled{ID: id})
}

// check checks the effects of the last event.
func (f *eventFuzzer) check() {
	for _, e := range f.takeEffects() {
		r := f.requests[e.RequestID()]
		if r.ended || r.attempting || r.mayHaveRun && !isUnknownOutcome(e) {
			f.Fatalf("%T%+v after %+v", e, e, *r)
		}
		switch e := e.(type) {
		case core.GrantRequest:
			f.checkGrant(r)
		case core.HandOver:
			f.checkHandOver(e, r)
		case core.RefuseRequest:
			r.ended = true
		}
	}
	if got := f.board().Load.InFlight; got != f.inFlight {
		f.Fatalf("in flight %d, want %d", got, f.inFlight)
	}
	if f.board().Load.Limit > f.slots {
		f.Fatalf("limit %d above %d slots", f.board().Load.Limit, f.slots)
	}
}

// isUnknownOutcome reports whether the effect refuses the request with an
// unknown outcome.
func isUnknownOutcome(e core.RequestEffect) bool {
	refusal, ok := e.(core.RefuseRequest)
	return ok && !refusal.NotRun
}

func (f *eventFuzzer) checkGrant(r *tracked) {
	f.inFlight++
	if r.granted || !f.now.Before(r.deadline) || f.inFlight > f.board().Load.Limit || !f.board().Self.AcceptsNewWork() {
		f.Fatalf("granted %+v with %d in flight, load %+v", *r, f.inFlight, f.board().Load)
	}
	r.granted, r.holdsSlot, r.attempting = true, true, true
}

func (f *eventFuzzer) checkHandOver(e core.HandOver, r *tracked) {
	if r.handedOver || e.To == "self" || slices.Contains(r.peers, e.To) || f.board().Self.DomainOut {
		f.Fatalf("handed over to %s: %+v", e.To, *r)
	}
	r.attempting, r.peer = true, e.To
	r.peers = append(r.peers, e.To)
	if len(r.peers) > maxHandOvers {
		f.Fatalf("handed over %d times", len(r.peers))
	}
}

// drainRequests ends all attempts and lets all deadlines pass: no slot and no
// request may be left.
func (f *eventFuzzer) drainRequests() {
	for range 10 * len(f.requests) {
		f.endAttempt(core.OutcomeUnknown)
		f.check()
	}
	f.now = f.now.Add(time.Minute)
	f.step(core.Tick{})
	f.check()
	if load := f.board().Load; load.InFlight != 0 || load.Queued != 0 {
		f.Fatalf("slots or requests are left: %+v", load)
	}
	if id, r := f.pick(func(r *tracked) bool { return !r.ended }); r != nil {
		f.Fatalf("request %d was not decided: %+v", id, *r)
	}
}

func TestLimitFollowsTargetCapacity(t *testing.T) {
	h, m := newHarness(1, 10), &modelTarget{capacity: 1, latency: 20 * time.Millisecond}
	runPhase := func(name string, capacity int, d time.Duration) (served, shed int) {
		m.capacity, m.peak, m.served, m.shed = capacity, 0, 0, 0
		m.saturate(h, d)
		t.Logf("%s: capacity %d, %d served, %d shed, limit %d", name, capacity, m.served, m.shed, h.board().Load.Limit)
		return m.served, m.shed
	}
	if served, shed := runPhase("cold for 30 s", 1, 30*time.Second); shed > 12 || served < 1000 {
		t.Errorf("cold: %d served, %d shed", served, shed)
	}
	if _, shed := runPhase("warm", 10, 30*time.Second); shed > 0 || h.board().Load.Limit != 10 {
		t.Errorf("warm: %d shed, limit %d", shed, h.board().Load.Limit)
	}
	if _, shed := runPhase("cold again for 200 ms", 1, 200*time.Millisecond); shed > 10 || h.board().Load.Limit != 1 {
		t.Errorf("cold again: %d shed, limit %d", shed, h.board().Load.Limit)
	}
	if _, shed := runPhase("capacity below its slots", 4, time.Minute); shed > 30 {
		t.Errorf("capacity below its slots: %d shed", shed)
	}
	h.announce(10, "2")
	if got := h.board().Load.Limit; got != coldLimit {
		t.Errorf("limit %d after the target's restart", got)
	}
}

func TestSlowResponsesLowerTheLimit(t *testing.T) {
	h, m := newHarness(1, 10), &modelTarget{capacity: 10, latency: 20 * time.Millisecond}
	m.saturate(h, 10*time.Second)
	before := h.board().Load.Limit
	m.latency = 2 * time.Second
	m.saturate(h, 500*time.Millisecond)
	if got := h.board().Load.Limit; before != 10 || got != coldLimit {
		t.Fatalf("limit %d fell to %d", before, got)
	}
}

// TestShortDeadlinesDoNotLowerTheLimit ends attempts by deadlines that are
// shorter than the target's usual latency.
func TestShortDeadlinesDoNotLowerTheLimit(t *testing.T) {
	h, m := newHarness(1, 10), &modelTarget{capacity: 10, latency: 20 * time.Millisecond}
	m.saturate(h, 10*time.Second)
	for len(m.running) > 0 {
		h.now = h.now.Add(time.Millisecond)
		m.finish(h)
		m.carryOut(h)
	}
	for range 5 {
		id := h.arrive(core.RequestArrived{Method: "GET", Deadline: h.now.Add(5 * time.Millisecond)})
		h.now = h.now.Add(6 * time.Millisecond)
		h.step(core.AttemptFinished{ID: id, Outcome: core.OutcomeUnknown})
		h.step(core.TargetConnectionClosed{ID: id})
	}
	if got := h.board().Load.Limit; got != 10 {
		t.Fatalf("limit fell to %d", got)
	}
}

// TestExcessiveSlotsDoNotOverloadTheTarget announces 100 slots for a target with
// a capacity of 3.
func TestExcessiveSlotsDoNotOverloadTheTarget(t *testing.T) {
	h, m := newHarness(1, 100), &modelTarget{capacity: 3, latency: 20 * time.Millisecond}
	m.saturate(h, time.Minute)
	t.Logf("%d served, %d shed, at most %d at a time", m.served, m.shed, m.peak)
	if m.peak > 4 || m.shed > m.served/100 {
		t.Fatalf("%d served, %d shed, at most %d at a time", m.served, m.shed, m.peak)
	}
}

// TestBudgetBoundsRetries makes the target and all peers shed every second
// request, then all.
func TestBudgetBoundsRetries(t *testing.T) {
	for _, shedOf := range []int{2, 1} {
		h := newHarness(1, 10)
		attempts, requests := 0, 2000
		for i := range requests {
			h.now = h.now.Add(5 * time.Millisecond)
			h.arrive(core.RequestArrived{Method: "GET", Replayable: true, Deadline: h.now.Add(time.Second)})
			attempts += h.finishAttempts(i%shedOf == 0)
		}
		factor := float64(attempts) / float64(requests)
		t.Logf("one of %d shed: %.3f attempts a request", shedOf, factor)
		if factor > 1+budgetRatio+0.01 {
			t.Errorf("one of %d shed: %.3f attempts a request", shedOf, factor)
		}
	}
}

// finishAttempts ends attempts until none is left and returns how many there were.
func (h *harness) finishAttempts(shed bool) (attempts int) {
	outcome := core.OutcomeCompleted
	if shed {
		outcome = core.OutcomeShed
	}
	for effects := h.takeEffects(); len(effects) > 0; effects = h.takeEffects() {
		for _, e := range effects {
			switch e := e.(type) {
			case core.GrantRequest:
				attempts++
				h.step(core.AttemptFinished{ID: e.ID, Outcome: outcome, Status: 200, Latency: time.Millisecond})
				h.step(core.TargetConnectionClosed{ID: e.ID})
			case core.HandOver:
				attempts++
				h.step(core.HandOverFinished{ID: e.ID, Peer: e.To, Outcome: outcome, Status: 200})
			}
		}
	}
	return attempts
}

// TestDrainHandsOverEverything checks that the retry budget does not limit a
// drain.
func TestDrainHandsOverEverything(t *testing.T) {
	h := newHarness(1, 10)
	h.board().Self.Stopping = true
	for i := range 500 {
		h.arrive(core.RequestArrived{Method: "POST", Deadline: h.now.Add(time.Second)})
		effects := h.takeEffects()
		if _, ok := effects[0].(core.HandOver); !ok {
			t.Fatalf("request %d: %T", i, effects[0])
		}
	}
}

// TestDomainOutResetsTheLimit covers a target that turns cold while its failure
// domain is out: the previous limit would overload it when the domain returns.
func TestDomainOutResetsTheLimit(t *testing.T) {
	h := newHarness(1, 10)
	target := &modelTarget{capacity: 10, latency: 5 * time.Millisecond}
	target.saturate(h, 30*time.Second)
	if limit := h.board().Load.Limit; limit < 5 {
		t.Fatalf("limit is %d before the failure domain is out, want a warm target", limit)
	}
	h.board().Self.DomainOut = true
	h.step(core.Tick{})
	h.board().Self.DomainOut = false
	h.step(core.Tick{})
	if limit := h.board().Load.Limit; limit != coldLimit {
		t.Errorf("limit is %d after the failure domain returned, want %d", limit, coldLimit)
	}
}

// TestUnusedCapacityLowersTheLimit covers a target that turns cold while it is
// lightly used: a burst must not meet the limit that was reached under load.
func TestUnusedCapacityLowersTheLimit(t *testing.T) {
	h := newHarness(1, 10)
	target := &modelTarget{capacity: 10, latency: 5 * time.Millisecond}
	target.saturate(h, 30*time.Second)
	warmLimit := h.board().Load.Limit
	for range 50 {
		h.arrive(core.RequestArrived{Method: "GET", HandedOver: true, Deadline: h.now.Add(time.Minute)})
		target.carryOut(h)
		for range 100 {
			h.now = h.now.Add(time.Millisecond)
			target.finish(h)
			target.carryOut(h)
		}
		h.step(core.Tick{})
	}
	if limit := h.board().Load.Limit; warmLimit < 5 || limit > 2 {
		t.Errorf("limit is %d after 5 s of one request at a time, %d under load before", limit, warmLimit)
	}
	// Under load the limit recovers quickly.
	target.saturate(h, 5*time.Second)
	if limit := h.board().Load.Limit; limit < warmLimit || target.shed > 0 {
		t.Errorf("limit is %d after 5 s of load, want %d; %d shed", limit, warmLimit, target.shed)
	}
}
