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

// TestMain fixes the seed of the property tests, unless one is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}

// TestKeysRunAtMostOnce sends every key several times through lost, duplicated
// and reordered messages while one agent at a time is killed or paused.
func TestKeysRunAtMostOnce(t *testing.T) {
	completed, replayed, total := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 5).Draw(rt, "agents"),
			rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss"))
		f.runFor(f.randomDuration(15 * time.Second))
		for round := range rapid.IntRange(1, 3).Draw(rt, "rounds") {
			f.failRandomAgent()
			for k := range 20 {
				f.sendKeyRepeatedly(fmt.Sprint("key-", round, "-", k))
			}
			f.runFor(40 * time.Second)
		}
		for key, n := range f.runs {
			if n > 1 {
				rt.Fatalf("%s ran %d times", key, n)
			}
		}
		if len(f.violations) > 0 {
			rt.Fatal(f.violations)
		}
		for _, r := range f.requests {
			total++
			switch r.result {
			case "completed":
				completed++
			case "replayed":
				replayed++
			}
		}
	})
	t.Logf("of %d requests %d were completed and %d replayed", total, completed, replayed)
	if completed == 0 || replayed == 0 {
		t.Fatal("no request was completed, or none was replayed")
	}
}

// failRandomAgent takes one agent down at some time in the round.
func (f *fleet) failRandomAgent() {
	a := f.agents[f.rand.IntN(len(f.agents))]
	killed := f.rand.IntN(2) == 0
	f.schedule(f.randomDuration(8*time.Second), func() { f.takeDown(a, f.randomDuration(20*time.Second), killed) })
}

// sendKeyRepeatedly sends up to four requests with one key to random agents.
func (f *fleet) sendKeyRepeatedly(key string) {
	for range 1 + f.rand.IntN(4) {
		f.schedule(f.randomDuration(12*time.Second), func() {
			a := f.agents[f.rand.IntN(len(f.agents))]
			if a.down {
				return
			}
			_, id := f.sendRequest(a, key)
			if f.rand.IntN(10) == 0 {
				f.schedule(f.randomDuration(50*time.Millisecond), func() { f.cancelRequest(a, id) })
			}
		})
	}
}

// cancelRequest cancels a request unless an attempt is running.
func (f *fleet) cancelRequest(a *testAgent, id core.RequestID) {
	r := f.requests[requestName(a, id)]
	if r != nil && !r.attemptRunning && r.result == "" {
		f.step(a, core.RequestCancelled{ID: id})
	}
}

// settledFleet returns a fleet whose views are stable, a key, and the agents in
// the key's ranking order, owner first.
func settledFleet(t *testing.T, seed uint64) (*fleet, string, []*testAgent) {
	t.Helper()
	f := newFleet(seed, 5, 0)
	f.reliable = true
	f.runFor(2 * SettleWindow)
	key := fmt.Sprint("key-", seed)
	var ranked []*testAgent
	view := f.agents[0].node.Board().Routes.Views[service.ID()]
	for _, c := range routing.Rank(view, hashKey(service.ID(), key).rankingHash(), nil) {
		index := slices.IndexFunc(f.agents, func(a *testAgent) bool { return a.name == c.Member.Node })
		ranked = append(ranked, f.agents[index])
	}
	return f, key, ranked
}

func (f *fleet) checkResult(t *testing.T, r *testRequest, result string, runs int) {
	t.Helper()
	if r.result != result || f.runs[r.key] != runs {
		t.Fatalf("got %q after %d runs, want %q after %d", r.result, f.runs[r.key], result, runs)
	}
}

func TestRetryGetsStoredResponse(t *testing.T) {
	f, key, ranked := settledFleet(t, 1)
	first, _ := f.sendRequest(ranked[3], key)
	f.runFor(time.Second)
	f.checkResult(t, first, "completed", 1)
	for _, a := range ranked {
		retry, _ := f.sendRequest(a, key)
		f.runFor(time.Second)
		if retry.result != "replayed" && retry.result != "completed" || f.runs[key] != 1 {
			t.Fatalf("got %q after %d runs", retry.result, f.runs[key])
		}
	}
}

func TestOutcomeUnknownAfterHolderAndOwnerDie(t *testing.T) {
	f, key, ranked := settledFleet(t, 2)
	f.sendRequest(ranked[3], key)
	for range 500 {
		if f.runs[key] == 0 {
			f.runFor(time.Millisecond)
		}
	}
	f.takeDown(ranked[3], time.Hour, true)
	f.takeDown(ranked[0], time.Hour, true)
	f.runFor(2 * SettleWindow)
	retry, _ := f.sendRequest(ranked[4], key)
	f.runFor(time.Second)
	f.checkResult(t, retry, "refused key-outcome-unknown", 1)
}

func TestRequestWaitsForReplicatedGrant(t *testing.T) {
	f, key, ranked := settledFleet(t, 3)
	f.isBlocked = func(from, to *testAgent) bool { return from == ranked[0] && to != ranked[3] }
	r, _ := f.sendRequest(ranked[3], key)
	f.runFor(30 * time.Second)
	f.checkResult(t, r, "refused key-unsettled", 0)
}

func TestRecordsMoveToNewOwner(t *testing.T) {
	f, key, ranked := settledFleet(t, 4)
	f.sendRequest(ranked[4], key)
	f.runFor(time.Second)
	for _, a := range ranked[:3] {
		f.takeDown(a, time.Hour, true)
		f.runFor(2 * SettleWindow)
	}
	retry, _ := f.sendRequest(ranked[3], key)
	f.runFor(time.Second)
	f.checkResult(t, retry, "completed", 1) // the stored response, from its holder
}

// restrictViews limits the candidates in the views of some agents.
func (f *fleet) restrictViews(agents []*testAgent, candidates ...*testAgent) {
	for _, a := range agents {
		view := *a.node.Board().Routes.Views[service.ID()]
		view.Candidates = slices.DeleteFunc(slices.Clone(view.Candidates), func(c core.Candidate) bool {
			return !slices.ContainsFunc(candidates, func(s *testAgent) bool { return s.name == c.Member.Node })
		})
		view.Digest++
		a.node.Board().Routes.Views[service.ID()] = &view
	}
}

// TestIsolatedOwnerDoesNotGrantAgain guards against a second run: an owner that
// lost its lease returns with an outdated view after another owner has granted
// the key.
func TestIsolatedOwnerDoesNotGrantAgain(t *testing.T) {
	f, key, ranked := settledFleet(t, 5)
	oldOwner, stale, holder := ranked[0], ranked[4], ranked[2]
	oldOwner.leaseLost = true
	f.runFor(detectionTime)
	for _, a := range ranked[1:4] {
		f.updateMember(a, oldOwner, model.StateDead)
	}
	f.runFor(2 * SettleWindow)
	first, _ := f.sendRequest(holder, key)
	f.runFor(time.Second)
	f.checkResult(t, first, "completed", 1)
	f.restrictViews([]*testAgent{oldOwner, stale}, oldOwner, stale, holder)
	for _, leaseLost := range []bool{true, false} {
		oldOwner.leaseLost = leaseLost
		f.runFor(time.Second)
		retry, _ := f.sendRequest(stale, key)
		f.runFor(5 * time.Second)
		if f.runs[key] != 1 {
			t.Fatalf("%q after %d runs with the lease lost: %v", retry.result, f.runs[key], leaseLost)
		}
	}
}

// TestConcurrentOwnersGrantOnce queries an owner with an outdated view for a
// key while the new owner probes it.
func TestConcurrentOwnersGrantOnce(t *testing.T) {
	for seed := range uint64(300) {
		f, key, ranked := settledFleet(t, 100+seed)
		joined, oldOwner, stale := ranked[0], ranked[1], ranked[4]
		f.restrictViews([]*testAgent{oldOwner, stale}, oldOwner, ranked[3], stale)
		joined.node.Board().Routes.Views[service.ID()].ChangedAt = f.now
		f.sendRequest(ranked[2], key)
		f.schedule(f.randomDuration(100*time.Millisecond), func() { f.sendRequest(stale, key) })
		f.runFor(time.Second)
		if f.runs[key] > 1 {
			t.Fatalf("seed %d: ran %d times", seed, f.runs[key])
		}
	}
}
