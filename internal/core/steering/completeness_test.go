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

// recordBeforeHostStart returns what the store holds of an agent that last registered an
// incarnation before the host's last start.
func recordBeforeHostStart(incarnation int64) *steering.PreviousRecord {
	e := recordOf(incarnation)
	e.WrittenAt, e.WrittenTime = 10*time.Hour, time.Unix(990, 0)
	return e
}

// newRestartedAgent returns the process of an agent that finds a record in the store.
func newRestartedAgent(e *steering.PreviousRecord) *heartbeatAgent {
	a := startAgentProcess(0)
	a.Step(a.now, e)
	return a
}

// startAgentProcess starts the process of an agent at a time of the host's clock.
func startAgentProcess(startedAt time.Duration) *heartbeatAgent {
	a := &heartbeatAgent{now: time.Unix(1000, 0), Agent: steering.NewAgent(steering.AgentIdentity{
		Identity: steering.Identity{Node: "a", Domain: "d"}, Service: "s", StartedAt: startedAt, HeartbeatInterval: heartbeatInterval,
	})}
	a.Step(a.now, &steering.Tick{})
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
		a := startAgentProcess(time.Minute)
		a.Step(a.now, recordBeforeHostStart(endedIncarnation))
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
	started := a.now.UnixMilli()
	a.advance(6 * heartbeatInterval)
	a.sendHeartbeat(started, 5)
	if got := a.verdictOn(1); got != steering.VerdictAbsent {
		t.Errorf("verdict %s on a flow that the target can't hold, want absent", got)
	}
}

// The events of review/4 among several agents: an agent hands its flows over, and its next
// process opens flows during an outage of the store and is stopped within it. The third
// process must not take the hand-over of the first one for all flows.
func TestPausedFlowsSurviveTwoRestartsOfAnAgentAroundAnOutage(t *testing.T) {
	w, _ := newSteadyWorld(t, 32, 2, 3, 0)
	a := w.agents[0]
	stopAgent(w, a)
	w.storeUnreachable = true
	w.run(500 * time.Millisecond)
	w.startAgent(a)
	w.run(1300 * time.Millisecond)
	callers := openFlowsUntil(w, 1100*time.Millisecond)
	stopAgent(w, a)
	w.run(500 * time.Millisecond)
	w.startAgent(a)
	w.run(time.Second)
	w.storeUnreachable = false
	w.run(5 * time.Second)
	requireFlowsAt(t, a, callers)
	w.sendRequests(callers, 4*time.Second)
	requireNoResets(t, callers)
}

// handOver returns the flows that an agent's process hands over when it is stopped at a time of
// the host's clock.
func handOver(stoppedAt time.Duration) *steering.SavedFlows {
	return &steering.SavedFlows{Incarnation: currentIncarnation, Final: true, SavedAt: stoppedAt}
}

const (
	// handedOverAt is when the first process handed its flows over.
	handedOverAt = time.Hour
	// downtime is how long a restart of an agent takes.
	downtime = 300 * time.Millisecond
)

// runUnregistered runs the process of an agent that can't register for a time, and reports
// whether it admitted flows.
func runUnregistered(d time.Duration, hasRead bool) (admitted bool) {
	a := startAgentProcess(handedOverAt + downtime)
	if hasRead {
		a.Step(a.now, handOver(handedOverAt))
		a.Step(a.now, recordOf(currentIncarnation))
	}
	for end := a.now.Add(d); a.now.Before(end); {
		a.sendHeartbeat(currentIncarnation, 100+a.now.UnixMilli())
		admitted = admitted || a.pingForRefusal() == steering.NotRefused
		a.advance(100 * time.Millisecond)
	}
	return admitted
}

// An agent's process can't register, for as long as it runs. If it admits flows, the process
// after it must not take the hand-over from before it for all flows (review/4), also if the
// hand-over was read before the store went away.
func TestHandOverEndsBeforeAnUnregisteredProcessServes(t *testing.T) {
	for _, hasRead := range []bool{false, true} {
		served := false
		for d := 100 * time.Millisecond; d <= 4*time.Second; d += 100 * time.Millisecond {
			admitted := runUnregistered(d, hasRead)
			served = served || admitted
			next := startAgentProcess(handedOverAt + downtime + d)
			next.Step(next.now, handOver(handedOverAt))
			next.Step(next.now, recordOf(currentIncarnation))
			next.sendHeartbeat(currentIncarnation, 1<<40)
			if got := next.verdictOn(1); admitted && got != steering.VerdictUnsure {
				t.Errorf("verdict %s after a process that opened flows for %v without registering, want unsure", got, d)
			}
		}
		if !served {
			t.Error("the agent opens no flows as long as the store is down")
		}
	}
}

// A process that starts soon after the hand-over knows all flows of the target; one that starts
// later or on a restarted host, whose clock begins anew, does not.
func TestHandOverIsCompleteForTheNextProcess(t *testing.T) {
	for startedAt, want := range map[time.Duration]steering.Verdict{
		handedOverAt + downtime:             steering.VerdictAbsent,
		handedOverAt + 700*time.Millisecond: steering.VerdictAbsent,
		handedOverAt + 3*time.Second:        steering.VerdictUnsure,
		handedOverAt - time.Minute:          steering.VerdictUnsure,
		0:                                   steering.VerdictUnsure,
	} {
		a := startAgentProcess(startedAt)
		a.Step(a.now, handOver(handedOverAt))
		a.Step(a.now, recordOf(currentIncarnation))
		a.sendHeartbeat(currentIncarnation, 100)
		if got := a.verdictOn(1); got != want {
			t.Errorf("verdict %s after a start at %v and a hand-over at %v, want %s", got, startedAt, handedOverAt, want)
		}
	}
}

// An agent without a clock of its host hands nothing over as complete, nor does one that has
// not registered.
func TestOnlyARegisteredAgentWithAHostClockHandsOver(t *testing.T) {
	for _, test := range []struct {
		name       string
		startedAt  time.Duration
		registered bool
		want       bool
	}{
		{"registered", time.Hour, true, true},
		{"not registered", time.Hour, false, false},
		{"no clock", 0, true, false},
	} {
		a := startAgentProcess(test.startedAt)
		a.Step(a.now, &steering.PreviousRecord{})
		a.sendHeartbeat(currentIncarnation, 1)
		if test.registered {
			a.Step(a.now, &steering.RecordStored{Incarnation: currentIncarnation})
		}
		a.advance(2 * time.Second)
		a.Step(a.now, &steering.Stop{})
		got := a.SnapshotFlows(a.now)
		if got.Final != test.want || got.Final && got.SavedAt != test.startedAt+2*time.Second {
			t.Errorf("%s: the flows are %+v, want final %v", test.name, got, test.want)
		}
	}
}
