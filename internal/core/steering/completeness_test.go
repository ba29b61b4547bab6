package steering_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// Start times of a target that ended and of the one in its place.
const (
	endedIncarnation   = 10_000
	currentIncarnation = 20_000
)

// recordOf returns what the store holds of an agent that last registered an incarnation.
func recordOf(incarnation int64) *steering.PreviousRecord {
	return &steering.PreviousRecord{Found: true, Record: steering.AgentRecord{Node: "a", Incarnation: incarnation}}
}

// newRestartedAgent returns the process of an agent that finds a record in the store.
func newRestartedAgent(e *steering.PreviousRecord) *heartbeatAgent {
	a := &heartbeatAgent{now: time.Unix(1000, 0), Agent: steering.NewAgent(steering.AgentIdentity{
		Identity: steering.Identity{Node: "a", Domain: "d"}, Service: "s", HeartbeatInterval: heartbeatInterval,
	})}
	a.Step(a.now, e)
	return a
}

// admitsUnregistered reports whether an agent admits flows at a target that replaces another
// one while the store is down, by the time of its heartbeat after the last of a number.
func admitsUnregistered(heartbeats int64) bool {
	a := newRestartedAgent(recordOf(endedIncarnation))
	a.sendHeartbeat(endedIncarnation, 40)
	a.Step(a.now, &steering.RecordStored{Incarnation: endedIncarnation})
	for n := range heartbeats {
		a.sendHeartbeat(currentIncarnation, n+1)
		for range 10 {
			a.advance(heartbeatInterval / 10)
			if a.pingForRefusal() == steering.NotRefused {
				return true
			}
		}
	}
	return false
}

// A target restarts while the store is down, its agent opens flows there and is stopped: the
// next process must not take the entry of the target before for a proof that nobody has
// served this one (review/1).
func TestTargetServedDuringAnOutageIsNotTakenForUnserved(t *testing.T) {
	for heartbeats := int64(1); heartbeats <= 8; heartbeats++ {
		admitted := admitsUnregistered(heartbeats)
		next := newRestartedAgent(recordOf(endedIncarnation))
		next.sendHeartbeat(currentIncarnation, heartbeats+1)
		if got := next.verdictOn(1); admitted && got != steering.VerdictUnsure {
			t.Errorf("after %d heartbeats to a process that opened flows without the store the next one says %s, want unsure", heartbeats, got)
		}
	}
	if !admitsUnregistered(8) {
		t.Error("the agent opens no flows as long as the store is down")
	}
}

// Agents and targets start together after a loss of power, and a target's first heartbeats
// find no agent yet: the agent must still know that nobody has served the target, or
// searches for lost flows do not end.
func TestTargetIsCompleteThoughItsFirstHeartbeatsWereLost(t *testing.T) {
	for sequence := int64(1); sequence <= 3; sequence++ {
		a := newRestartedAgent(recordOf(endedIncarnation))
		a.sendHeartbeat(currentIncarnation, sequence)
		if got := a.verdictOn(1); got != steering.VerdictAbsent {
			t.Errorf("verdict %s on a flow of a target that was first heard at heartbeat %d, want absent", got, sequence)
		}
	}
}

// The events of review/1 among several agents: flows that were opened at a restarted target
// while the store was down pause during the restart of its agent.
func TestPausedFlowsSurviveAnAgentsRestartAfterTheirTargetsRestartInAnOutage(t *testing.T) {
	w, _ := newSteadyWorld(t, 31, 2, 3, 0)
	a := w.agents[0]
	w.storeUnreachable = true
	a.target.up = false
	w.run(300 * time.Millisecond)
	w.startTarget(a)
	callers := openFlowsUntil(w, 2300*time.Millisecond)
	stopAgent(w, a)
	w.run(500 * time.Millisecond)
	w.startAgent(a)
	w.run(1500 * time.Millisecond)
	w.storeUnreachable = false
	w.run(5 * time.Second)
	requireFlowsAt(t, a, callers)
	w.sendRequests(callers, 4*time.Second)
	requireNoResets(t, callers)
}

// openFlowsUntil opens a flow every 20 ms for a time.
func openFlowsUntil(w *world, d time.Duration) []*caller {
	var callers []*caller
	for end := w.now.Add(d); w.now.Before(end); {
		callers = append(callers, w.open())
		w.run(20 * time.Millisecond)
	}
	return callers
}

// requireFlowsAt checks that the target beside an agent holds some of the flows.
func requireFlowsAt(t *testing.T, a *agentNode, callers []*caller) {
	t.Helper()
	for _, c := range callers {
		if c.holder == a.target && c.holderIsAlive() {
			return
		}
	}
	t.Fatalf("no flow was opened at %s", a.name)
}

// An agent restarts beside a target that an earlier process has served. A delayed heartbeat of
// the target before comes first, then one of the present target: that it replaces the other one
// does not prove that it started while this process ran.
func TestTargetAfterADelayedHeartbeatOfAnEarlierOneIsNotComplete(t *testing.T) {
	a := newRestartedAgent(recordOf(currentIncarnation))
	a.sendHeartbeat(endedIncarnation, 90)
	a.advance(heartbeatInterval)
	a.sendHeartbeat(currentIncarnation, 40)
	if got := a.verdictOn(1); got != steering.VerdictUnsure {
		t.Errorf("verdict %s on a flow that an earlier process may have opened, want unsure", got)
	}
}

// A target restarts beside a running agent, whose first heartbeats from it are lost. The agent
// knows all of its flows.
func TestTargetThatStartedBesideARunningAgentIsComplete(t *testing.T) {
	a := newRestartedAgent(recordOf(endedIncarnation))
	for n := range int64(20) {
		a.sendHeartbeat(endedIncarnation, n+40)
		a.advance(heartbeatInterval)
	}
	a.advance(6 * heartbeatInterval)
	a.sendHeartbeat(currentIncarnation, 5)
	if got := a.verdictOn(1); got != steering.VerdictAbsent {
		t.Errorf("verdict %s on a flow that the target can't hold, want absent", got)
	}
}
