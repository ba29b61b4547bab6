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

// TestMain fixes the seed of the properties, unless one is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	flag.Parse()
	os.Exit(m.Run())
}

// tracked is what a test knows of one request.
type tracked struct {
	handedOver bool
	deadline   time.Time
	granted    bool
	slot       bool // counts as in flight
	attempt    bool // an attempt is running
	peer       model.NodeID
	mayHaveRun bool
	ended      bool
	peers      []model.NodeID
}

// order feeds events at random and checks every effect.
type order struct {
	*rapid.T
	*bench
	slots    int
	requests map[core.RequestID]*tracked
	inFlight int
}

func TestInvariantsHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := &order{T: rt, bench: newBench(rapid.Uint64().Draw(rt, "seed"), 3), slots: 3, requests: make(map[core.RequestID]*tracked)}
		for range rapid.IntRange(50, 300).Draw(rt, "events") {
			o.now = o.now.Add(time.Duration(o.rand.IntN(60)) * time.Millisecond)
			o.randomEvent()
			o.check()
		}
		o.windDown()
	})
}

func (o *order) randomEvent() {
	self := &o.board().Self
	switch n := o.rand.IntN(20); {
	case n < 8:
		handedOver := o.rand.IntN(4) == 0
		id := o.lastID + 1
		deadline := o.now.Add(time.Duration(o.rand.IntN(2000)) * time.Millisecond)
		o.requests[id] = &tracked{handedOver: handedOver, deadline: deadline}
		o.arrive(core.RequestArrived{Method: "POST", HandedOver: handedOver, Replayable: o.rand.IntN(4) > 0, Deadline: deadline})
	case n < 14:
		o.endAttempt(core.RequestOutcome(1 + o.rand.IntN(int(core.OutcomeAborted))))
	case n < 17:
		o.step(core.Tick{})
	case n == 17:
		o.cancelOne()
	case n == 18:
		o.slots = o.rand.IntN(6)
		o.announce(o.slots, string(rune('0'+o.rand.IntN(2))))
	default:
		self.Stopping, self.DomainOut = o.rand.IntN(4) == 0, o.rand.IntN(6) == 0
	}
}

// pick returns a random request that is in the given condition.
func (o *order) pick(in func(*tracked) bool) (core.RequestID, *tracked) {
	var ids []core.RequestID
	for id, r := range o.requests {
		if in(r) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, nil
	}
	slices.Sort(ids)
	id := ids[o.rand.IntN(len(ids))]
	return id, o.requests[id]
}

// endAttempt ends an attempt, or closes the connection of an ended one.
func (o *order) endAttempt(outcome core.RequestOutcome) {
	if id, r := o.pick(func(r *tracked) bool { return r.slot && !(r.attempt && r.peer == "") }); r != nil && o.rand.IntN(2) == 0 {
		r.slot = false
		o.inFlight--
		o.step(core.TargetConnectionClosed{ID: id})
		return
	}
	id, r := o.pick(func(r *tracked) bool { return r.attempt })
	if r == nil {
		return
	}
	r.attempt = false
	r.mayHaveRun = r.mayHaveRun || !outcome.NotRun()
	r.ended = outcome == core.OutcomeCompleted || outcome == core.OutcomeAborted
	latency := time.Duration(1+o.rand.IntN(100)) * time.Millisecond
	if r.peer == "" {
		o.step(core.AttemptFinished{ID: id, Outcome: outcome, Status: 200, Latency: latency})
	} else {
		o.step(core.HandOverFinished{ID: id, Peer: r.peer, Outcome: outcome, Status: 200})
	}
}

// cancelOne cancels a request that waits or whose grant or hand-over has not
// been carried out.
func (o *order) cancelOne() {
	id, r := o.pick(func(r *tracked) bool { return !r.ended })
	if r == nil {
		return
	}
	if r.attempt && r.peer == "" {
		r.slot = false
		o.inFlight--
	}
	r.ended, r.attempt = true, false
	o.step(core.RequestCancelled{ID: id})
}

// check checks the effects of the last event.
func (o *order) check() {
	for _, e := range o.take() {
		r := o.requests[e.RequestID()]
		if r.ended || r.attempt || r.mayHaveRun && !isUnknown(e) {
			o.Fatalf("%T%+v after %+v", e, e, *r)
		}
		switch e := e.(type) {
		case core.GrantRequest:
			o.checkGrant(r)
		case core.HandOver:
			o.checkHandOver(e, r)
		case core.RefuseRequest:
			r.ended = true
		}
	}
	if got := o.board().Load.InFlight; got != o.inFlight {
		o.Fatalf("in flight %d, want %d", got, o.inFlight)
	}
	if o.board().Load.Limit > o.slots {
		o.Fatalf("limit %d above %d slots", o.board().Load.Limit, o.slots)
	}
}

// isUnknown reports whether the effect tells the caller that the outcome is
// unknown.
func isUnknown(e core.RequestEffect) bool {
	refusal, ok := e.(core.RefuseRequest)
	return ok && !refusal.NotRun
}

func (o *order) checkGrant(r *tracked) {
	o.inFlight++
	if r.granted || !o.now.Before(r.deadline) || o.inFlight > o.board().Load.Limit || !o.board().Self.AcceptsNewWork() {
		o.Fatalf("granted %+v with %d in flight, load %+v", *r, o.inFlight, o.board().Load)
	}
	r.granted, r.slot, r.attempt = true, true, true
}

func (o *order) checkHandOver(e core.HandOver, r *tracked) {
	if r.handedOver || e.To == "self" || slices.Contains(r.peers, e.To) || o.board().Self.DomainOut {
		o.Fatalf("handed over to %s: %+v", e.To, *r)
	}
	r.attempt, r.peer = true, e.To
	r.peers = append(r.peers, e.To)
	if len(r.peers) > maxHandOvers {
		o.Fatalf("handed over %d times", len(r.peers))
	}
}

// windDown ends all attempts and lets all deadlines pass: no slot and no
// request may be left.
func (o *order) windDown() {
	for range 10 * len(o.requests) {
		o.endAttempt(core.OutcomeUnknown)
		o.check()
	}
	o.now = o.now.Add(time.Minute)
	o.step(core.Tick{})
	o.check()
	if load := o.board().Load; load.InFlight != 0 || load.Queued != 0 {
		o.Fatalf("left over: %+v", load)
	}
	if id, r := o.pick(func(r *tracked) bool { return !r.ended }); r != nil {
		o.Fatalf("request %d has no verdict: %+v", id, *r)
	}
}

func TestColdTargetGetsWhatItBears(t *testing.T) {
	b, m := newBench(1, 10), &modelTarget{bears: 1, latency: 20 * time.Millisecond}
	phase := func(what string, bears int, d time.Duration) (served, shed int) {
		m.bears, m.peak, m.served, m.shed = bears, 0, 0, 0
		m.run(b, d)
		t.Logf("%s: bears %d, %d served, %d shed, limit %d", what, bears, m.served, m.shed, b.board().Load.Limit)
		return m.served, m.shed
	}
	if served, shed := phase("cold for 30 s", 1, 30*time.Second); shed > 12 || served < 1000 {
		t.Errorf("cold: %d served, %d shed", served, shed)
	}
	if _, shed := phase("warm", 10, 30*time.Second); shed > 0 || b.board().Load.Limit != 10 {
		t.Errorf("warm: %d shed, limit %d", shed, b.board().Load.Limit)
	}
	if _, shed := phase("cold again for 200 ms", 1, 200*time.Millisecond); shed > 10 || b.board().Load.Limit != 1 {
		t.Errorf("cold again: %d shed, limit %d", shed, b.board().Load.Limit)
	}
	if _, shed := phase("bears less than its slots", 4, time.Minute); shed > 30 {
		t.Errorf("bears less: %d shed", shed)
	}
	b.announce(10, "2")
	if got := b.board().Load.Limit; got != coldLimit {
		t.Errorf("limit %d after the target's restart", got)
	}
}

func TestSlowAnswersLowerTheLimit(t *testing.T) {
	b, m := newBench(1, 10), &modelTarget{bears: 10, latency: 20 * time.Millisecond}
	m.run(b, 10*time.Second)
	before := b.board().Load.Limit
	m.latency = 2 * time.Second
	m.run(b, 500*time.Millisecond)
	if got := b.board().Load.Limit; before != 10 || got != coldLimit {
		t.Fatalf("limit %d fell to %d", before, got)
	}
}

// TestImpatientCallersDoNotLowerTheLimit ends attempts by deadlines that are
// shorter than the target's usual latency.
func TestImpatientCallersDoNotLowerTheLimit(t *testing.T) {
	b, m := newBench(1, 10), &modelTarget{bears: 10, latency: 20 * time.Millisecond}
	m.run(b, 10*time.Second)
	for len(m.running) > 0 {
		b.now = b.now.Add(time.Millisecond)
		m.finish(b)
		m.carryOut(b)
	}
	for range 5 {
		id := b.arrive(core.RequestArrived{Method: "GET", Deadline: b.now.Add(5 * time.Millisecond)})
		b.now = b.now.Add(6 * time.Millisecond)
		b.step(core.AttemptFinished{ID: id, Outcome: core.OutcomeUnknown})
		b.step(core.TargetConnectionClosed{ID: id})
	}
	if got := b.board().Load.Limit; got != 10 {
		t.Fatalf("the limit fell to %d", got)
	}
}

// TestMisleadingAnnouncementIsHarmless announces 100 slots of a target that
// bears 3.
func TestMisleadingAnnouncementIsHarmless(t *testing.T) {
	b, m := newBench(1, 100), &modelTarget{bears: 3, latency: 20 * time.Millisecond}
	m.run(b, time.Minute)
	t.Logf("%d served, %d shed, at most %d at a time", m.served, m.shed, m.peak)
	if m.peak > 4 || m.shed > m.served/100 {
		t.Fatalf("%d served, %d shed, at most %d at a time", m.served, m.shed, m.peak)
	}
}

// TestBudgetBoundsRetries lets the target and all peers shed every second
// request, then all.
func TestBudgetBoundsRetries(t *testing.T) {
	for _, shedOf := range []int{2, 1} {
		b := newBench(1, 10)
		attempts, requests := 0, 2000
		for i := range requests {
			b.now = b.now.Add(5 * time.Millisecond)
			b.arrive(core.RequestArrived{Method: "GET", Replayable: true, Deadline: b.now.Add(time.Second)})
			attempts += b.answerAll(i%shedOf == 0)
		}
		factor := float64(attempts) / float64(requests)
		t.Logf("one of %d shed: %.3f attempts a request", shedOf, factor)
		if factor > 1+budgetRatio+0.01 {
			t.Errorf("one of %d shed: %.3f attempts a request", shedOf, factor)
		}
	}
}

// answerAll ends attempts until none is left and returns how many there were.
func (b *bench) answerAll(shed bool) (attempts int) {
	outcome := core.OutcomeCompleted
	if shed {
		outcome = core.OutcomeShed
	}
	for effects := b.take(); len(effects) > 0; effects = b.take() {
		for _, e := range effects {
			switch e := e.(type) {
			case core.GrantRequest:
				attempts++
				b.step(core.AttemptFinished{ID: e.ID, Outcome: outcome, Status: 200, Latency: time.Millisecond})
				b.step(core.TargetConnectionClosed{ID: e.ID})
			case core.HandOver:
				attempts++
				b.step(core.HandOverFinished{ID: e.ID, Peer: e.To, Outcome: outcome, Status: 200})
			}
		}
	}
	return attempts
}

// TestDrainHandsOverEverything checks that a drain is not held up by the
// budget.
func TestDrainHandsOverEverything(t *testing.T) {
	b := newBench(1, 10)
	b.board().Self.Stopping = true
	for i := range 500 {
		b.arrive(core.RequestArrived{Method: "POST", Deadline: b.now.Add(time.Second)})
		effects := b.take()
		if _, ok := effects[0].(core.HandOver); !ok {
			t.Fatalf("request %d: %T", i, effects[0])
		}
	}
}

// TestDomainOutForgetsTheLimit covers a target that turns cold while its failure
// domain is out: the limit learnt before would let it fall over at the return.
func TestDomainOutForgetsTheLimit(t *testing.T) {
	b := newBench(1, 10)
	target := &modelTarget{bears: 10, latency: 5 * time.Millisecond}
	target.run(b, 30*time.Second)
	if limit := b.board().Load.Limit; limit < 5 {
		t.Fatalf("the limit is %d before the failure domain is out, want a warm target", limit)
	}
	b.board().Self.DomainOut = true
	b.step(core.Tick{})
	b.board().Self.DomainOut = false
	b.step(core.Tick{})
	if limit := b.board().Load.Limit; limit != coldLimit {
		t.Errorf("the limit is %d after the failure domain came back, want %d", limit, coldLimit)
	}
}

// TestUnusedCapacityIsNotTrusted covers a target that turns cold while it is
// lightly used: a burst must not find the limit that was learnt under load.
func TestUnusedCapacityIsNotTrusted(t *testing.T) {
	b := newBench(1, 10)
	target := &modelTarget{bears: 10, latency: 5 * time.Millisecond}
	target.run(b, 30*time.Second)
	learnt := b.board().Load.Limit
	for range 50 {
		b.arrive(core.RequestArrived{Method: "GET", HandedOver: true, Deadline: b.now.Add(time.Minute)})
		target.carryOut(b)
		for range 100 {
			b.now = b.now.Add(time.Millisecond)
			target.finish(b)
			target.carryOut(b)
		}
		b.step(core.Tick{})
	}
	if limit := b.board().Load.Limit; learnt < 5 || limit > 2 {
		t.Errorf("the limit is %d after 5 s of one request at a time, %d under load before", limit, learnt)
	}
	// The load comes back: the limit is soon what it was.
	target.run(b, 5*time.Second)
	if limit := b.board().Load.Limit; limit < learnt || target.shed > 0 {
		t.Errorf("the limit is %d after 5 s of load, want %d; %d shed", limit, learnt, target.shed)
	}
}
