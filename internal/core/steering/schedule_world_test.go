package steering_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// worldPlaces is the number of requests that a target of the world gets at once: its slots and
// a third of them, rounded up.
const worldPlaces = targetSlots + 2

// newCrowdedWorld returns a world of one target with 40 open flows that all send a request
// at the same time: eight times its slots.
func newCrowdedWorld(t *testing.T) (*world, []*caller) {
	t.Helper()
	w, callers := newSteadyWorldOf(t, 21, steering.Demand{Priority: 2, Objective: time.Second, Timeout: 3 * time.Second}, 2, 1, 0)
	for range 40 {
		callers = append(callers, w.open())
		w.run(60 * time.Millisecond)
	}
	w.run(time.Second)
	requireResponses(t, callers, 1)
	w.agents[0].target.maxDistinctInFlight = 0
	for _, c := range callers {
		w.sendRequest(c)
	}
	w.run(20 * time.Millisecond)
	if kept := w.agents[0].core.Counters.RequestsKept.Load(); kept != 40-worldPlaces {
		t.Fatalf("%d requests wait, want %d", kept, 40-worldPlaces)
	}
	return w, callers
}

// All flows send a request at once. The target never has more than its places, and each request
// is answered, although callers send copies of those that wait.
func TestRequestsBeyondThePlacesWaitAtTheAgent(t *testing.T) {
	w, callers := newCrowdedWorld(t)
	w.run(time.Second)
	requireResponses(t, callers, 2)
	if got := w.agents[0].target.maxDistinctInFlight; got != worldPlaces {
		t.Errorf("the target had up to %d requests at once, want %d", got, worldPlaces)
	}
	requireAllReleased(t, w)
}

// requireAllReleased fails the test unless each kept request was delivered, and once only.
func requireAllReleased(t *testing.T, w *world) {
	t.Helper()
	c := &w.agents[0].core.Counters
	if kept, released := c.RequestsKept.Load(), c.RequestsReleased.Load(); kept != 40-worldPlaces || released != kept {
		t.Errorf("%d requests were kept and %d released, want %d", kept, released, 40-worldPlaces)
	}
}

// An agent is killed while requests wait: their segments are lost with it, their callers send
// them again, and no flow is reset.
func TestKeptRequestsSurviveTheDeathOfTheirAgent(t *testing.T) {
	w, callers := newCrowdedWorld(t)
	a := w.agents[0]
	a.up, a.killedAt = false, w.now
	w.run(50 * time.Millisecond)
	w.startAgent(a)
	w.run(4 * time.Second)
	requireResponses(t, callers, 2)
	requireNoResets(t, callers)
}

// An agent is stopped as planned while requests wait: it delivers them, and no flow is reset.
func TestKeptRequestsSurviveAPlannedRestartOfTheirAgent(t *testing.T) {
	w, callers := newCrowdedWorld(t)
	a := w.agents[0]
	stopAgent(w, a)
	if got, want := a.target.requests, 2*len(callers); got != want {
		t.Errorf("the target got %d requests, want all %d", got, want)
	}
	w.run(10 * time.Millisecond)
	w.startAgent(a)
	w.run(4 * time.Second)
	requireResponses(t, callers, 2)
	requireNoResets(t, callers)
}

// A balancer is killed while requests that it forwarded wait: they stay and are answered without
// another copy of the caller.
func TestKeptRequestsSurviveTheDeathOfTheirBalancer(t *testing.T) {
	w, callers := newCrowdedWorld(t)
	w.balancers[0].up = false
	w.run(time.Second)
	requireResponses(t, callers, 2)
	requireNoResets(t, callers)
	requireAllReleased(t, w)
}

// The target crashes while requests wait: its successor gets none of them, and the callers learn
// that their flows have ended.
func TestKeptRequestsDoNotReachTheNextTarget(t *testing.T) {
	w, callers := newCrowdedWorld(t)
	a := w.agents[0]
	a.target.up = false
	w.schedule(300*time.Millisecond, func() { w.startTarget(a) })
	w.run(5 * time.Second)
	if got := a.target.requests; got != 0 {
		t.Errorf("the new target ran %d requests of flows of its predecessor", got)
	}
	for _, c := range callers {
		if c.responses < 2 && !c.reset {
			t.Errorf("flow %s ended with its target and was not reset", c.flow)
		}
	}
}

// Under any sequence of faults, no flow of a live target is reset and none is sent to other
// targets only, also while requests wait: two targets have twice as many flows as places.
func TestRandomFaultsWithObjective(t *testing.T) {
	testRandomFaults(t, steering.Demand{Priority: 2, Objective: time.Second, Timeout: 3 * time.Second}, 2)
}
