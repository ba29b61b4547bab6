package claims

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// TestMain fixes the seed of the properties, unless one is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}

// TestKeysRunAtMostOnce sends every key several times through lost, repeated
// and reordered messages while one agent at a time is killed or paused.
func TestKeysRunAtMostOnce(t *testing.T) {
	answered, replayed, total := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 5).Draw(rt, "agents"),
			rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss"))
		f.runFor(f.upTo(15 * time.Second))
		for round := range rapid.IntRange(1, 3).Draw(rt, "rounds") {
			f.disturb()
			for k := range 20 {
				f.repeat(fmt.Sprint("key-", round, "-", k))
			}
			f.runFor(40 * time.Second)
		}
		for key, n := range f.ran {
			if n > 1 {
				rt.Fatalf("%s ran %d times", key, n)
			}
		}
		if len(f.faults) > 0 {
			rt.Fatal(f.faults)
		}
		for _, r := range f.requests {
			total++
			switch r.verdict {
			case "answered":
				answered++
			case "replayed":
				replayed++
			}
		}
	})
	t.Logf("of %d requests %d were answered and %d replayed", total, answered, replayed)
	if answered == 0 || replayed == 0 {
		t.Fatal("nothing was answered or replayed")
	}
}

// disturb takes one agent down at some time in the round.
func (f *fleet) disturb() {
	a := f.agents[f.rand.IntN(len(f.agents))]
	killed := f.rand.IntN(2) == 0
	f.after(f.upTo(8*time.Second), func() { f.fail(a, f.upTo(20*time.Second), killed) })
}

// repeat sends one key up to four times, to agents chosen at random.
func (f *fleet) repeat(key string) {
	for range 1 + f.rand.IntN(4) {
		f.after(f.upTo(12*time.Second), func() {
			a := f.agents[f.rand.IntN(len(f.agents))]
			if a.down {
				return
			}
			_, id := f.request(a, key)
			if f.rand.IntN(10) == 0 {
				f.after(f.upTo(50*time.Millisecond), func() { f.cancel(a, id) })
			}
		})
	}
}

// cancel gives a request up if it is in no attempt.
func (f *fleet) cancel(a *testAgent, id core.RequestID) {
	r := f.requests[requestName(a, id)]
	if r != nil && !r.attempt && r.verdict == "" {
		f.step(a, core.RequestCancelled{ID: id})
	}
}

// settledFleet returns a fleet whose views are stable, and a key whose ranked
// agents, owner first, are returned with it.
func settledFleet(t *testing.T, seed uint64) (*fleet, string, []*testAgent) {
	t.Helper()
	f := newFleet(seed, 5, 0)
	f.reliable = true
	f.runFor(2 * SettleWindow)
	key := fmt.Sprint("key-", seed)
	var order []*testAgent
	view := f.agents[0].node.Board().Routes.Views[service.ID()]
	for _, c := range routing.Rank(view, hashKey(service.ID(), key).placement(), nil) {
		i := slices.IndexFunc(f.agents, func(a *testAgent) bool { return a.name == c.Member.Node })
		order = append(order, f.agents[i])
	}
	return f, key, order
}

func (f *fleet) want(t *testing.T, r *testRequest, verdict string, ran int) {
	t.Helper()
	if r.verdict != verdict || f.ran[r.key] != ran {
		t.Fatalf("got %q after %d runs, want %q after %d", r.verdict, f.ran[r.key], verdict, ran)
	}
}

func TestRepetitionGetsTheStoredAnswer(t *testing.T) {
	f, key, order := settledFleet(t, 1)
	first, _ := f.request(order[3], key)
	f.runFor(time.Second)
	f.want(t, first, "answered", 1)
	for _, a := range order {
		again, _ := f.request(a, key)
		f.runFor(time.Second)
		if again.verdict != "replayed" && again.verdict != "answered" || f.ran[key] != 1 {
			t.Fatalf("got %q after %d runs", again.verdict, f.ran[key])
		}
	}
}

func TestHolderAndOwnerDie(t *testing.T) {
	f, key, order := settledFleet(t, 2)
	f.request(order[3], key)
	for range 500 {
		if f.ran[key] == 0 {
			f.runFor(time.Millisecond)
		}
	}
	f.fail(order[3], time.Hour, true)
	f.fail(order[0], time.Hour, true)
	f.runFor(2 * SettleWindow)
	again, _ := f.request(order[4], key)
	f.runFor(time.Second)
	f.want(t, again, "refused key-outcome-unknown", 1)
}

func TestNothingRunsBeforeAnotherAgentHasTheGrant(t *testing.T) {
	f, key, order := settledFleet(t, 3)
	f.blocked = func(from, to *testAgent) bool { return from == order[0] && to != order[3] }
	r, _ := f.request(order[3], key)
	f.runFor(30 * time.Second)
	f.want(t, r, "refused key-unsettled", 0)
}

func TestRecordsFollowTheOwner(t *testing.T) {
	f, key, order := settledFleet(t, 4)
	f.request(order[4], key)
	f.runFor(time.Second)
	for _, a := range order[:3] {
		f.fail(a, time.Hour, true)
		f.runFor(2 * SettleWindow)
	}
	again, _ := f.request(order[3], key)
	f.runFor(time.Second)
	f.want(t, again, "answered", 1) // the stored answer, from its holder
}

// narrow gives agents a view of only some of the candidates.
func (f *fleet) narrow(agents []*testAgent, seen ...*testAgent) {
	for _, a := range agents {
		view := *a.node.Board().Routes.Views[service.ID()]
		view.Candidates = slices.DeleteFunc(slices.Clone(view.Candidates), func(c core.Candidate) bool {
			return !slices.ContainsFunc(seen, func(s *testAgent) bool { return s.name == c.Member.Node })
		})
		view.Digest++
		a.node.Board().Routes.Views[service.ID()] = &view
	}
}

// TestOwnerThatWasCutOff lets an owner with an old view wake up after another
// one has taken over.
func TestOwnerThatWasCutOff(t *testing.T) {
	f, key, order := settledFleet(t, 5)
	old, stale, holder := order[0], order[4], order[2]
	old.cutOff = true
	f.runFor(detectTime)
	for _, a := range order[1:4] {
		f.see(a, old, model.StateDead)
	}
	f.runFor(2 * SettleWindow)
	first, _ := f.request(holder, key)
	f.runFor(time.Second)
	f.want(t, first, "answered", 1)
	f.narrow([]*testAgent{old, stale}, old, stale, holder)
	for _, cutOff := range []bool{true, false} {
		old.cutOff = cutOff
		f.runFor(time.Second)
		again, _ := f.request(stale, key)
		f.runFor(5 * time.Second)
		if f.ran[key] != 1 {
			t.Fatalf("%q after %d runs while cut off: %v", again.verdict, f.ran[key], cutOff)
		}
	}
}

// TestTwoOwnersAtOnce asks an old owner for a key while the new one probes it.
func TestTwoOwnersAtOnce(t *testing.T) {
	for seed := range uint64(300) {
		f, key, order := settledFleet(t, 100+seed)
		joined, old, stale := order[0], order[1], order[4]
		f.narrow([]*testAgent{old, stale}, old, order[3], stale)
		joined.node.Board().Routes.Views[service.ID()].ChangedAt = f.now
		f.request(order[2], key)
		f.after(f.upTo(100*time.Millisecond), func() { f.request(stale, key) })
		f.runFor(time.Second)
		if f.ran[key] > 1 {
			t.Fatalf("seed %d: ran %d times", seed, f.ran[key])
		}
	}
}
