package steering_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// A target restarts and sends its first heartbeat an interval later. Until then its agent opens
// flows at it under the incarnation before. None may be reset, whatever happens to the agent
// before that heartbeat, or if nothing does (review/13).
func TestFlowsOpenedBeforeTheFirstHeartbeatSurvive(t *testing.T) {
	for name, disturb := range map[string]func(w *world, a *agentNode){
		"agent killed":            killAndRestart,
		"agent killed after save": func(w *world, a *agentNode) { w.saveFlows(a); killAndRestart(w, a) },
		"agent stopped": func(w *world, a *agentNode) {
			stopAgent(w, a)
			w.run(200 * time.Millisecond)
			w.startAgent(a)
		},
		"agent killed twice":               killTwice,
		"agent stopped, then killed":       func(w *world, a *agentNode) { stopAgent(w, a); killTwice(w, a) },
		"agent killed while store is away": killInOutage,
		"agent not disturbed":              func(*world, *agentNode) {},
		"balancers killed":                 restartBalancers,
		"agent and balancers killed": func(w *world, a *agentNode) {
			restartBalancers(w, a)
			killAndRestart(w, a)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := newSteadyWorld(t, 40, 2, 3, 0)
			w.firstHeartbeatDelay = heartbeatInterval
			a := w.agents[0]
			a.target.up = false
			w.run(200 * time.Millisecond)
			w.startTarget(a)
			callers := openFlowsUntil(w, 400*time.Millisecond)
			requireFlowsAt(t, a, callers)
			disturb(w, a)
			w.run(6 * time.Second)
			w.sendRequests(callers, 4*time.Second)
			requireNoResets(t, callers)
		})
	}
}

// killAndRestart kills the process of an agent and starts the next one.
func killAndRestart(w *world, a *agentNode) {
	a.up, a.killedAt = false, w.now
	w.run(100 * time.Millisecond)
	w.startAgent(a)
}

func killTwice(w *world, a *agentNode) {
	killAndRestart(w, a)
	w.run(20 * time.Millisecond)
	killAndRestart(w, a)
}

// killInOutage kills the process of an agent while the store is away for a second.
func killInOutage(w *world, a *agentNode) {
	w.storeUnreachable = true
	w.schedule(time.Second, func() { w.storeUnreachable = false })
	killAndRestart(w, a)
}

// restartBalancers kills the processes of all balancers and starts the next ones.
func restartBalancers(w *world, _ *agentNode) {
	for _, b := range w.balancers {
		b.up = false
	}
	w.run(50 * time.Millisecond)
	for _, b := range w.balancers {
		w.startBalancer(b)
	}
}

// openFlowAt opens a flow at the target of an agent.
func openFlowAt(a *heartbeatAgent, port uint16) {
	flow := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, Address: routeAddress}
	message := func(kind steering.MessageKind, flags steering.Flags) {
		a.Step(a.now, &steering.MessageReceived{From: balancerPeer, Message: steering.Message{
			Kind: kind, Service: steering.ServiceIDOf("s"), Segment: steering.Segment{Flow: flow, Flags: flags, Ack: 1},
		}})
	}
	message(steering.MessageOpen, steering.FlagOpen)
	a.Step(a.now, &steering.SegmentReceived{Segment: steering.Segment{Flow: flow, Flags: steering.FlagOpen | steering.FlagAck}})
	message(steering.MessageForward, steering.FlagAck)
}

// An agent is suspended after it has opened a flow at a restarted target, and handles the
// target's first heartbeat seconds later. The flow is the live target's (review/13).
func TestFlowOpenedBeforeASuspensionAndTheFirstHeartbeatSurvives(t *testing.T) {
	a := startAgentProcess(time.Hour)
	a.Step(a.now, &steering.PreviousRecord{})
	a.sendHeartbeat(endedIncarnation, 40)
	a.Step(a.now, &steering.RecordStored{Incarnation: endedIncarnation})
	a.advance(400 * time.Millisecond)
	started := a.now.UnixMilli()
	a.advance(100 * time.Millisecond)
	openFlowAt(a, 1)
	a.now = a.now.Add(6 * time.Second)
	a.sendHeartbeat(started, 1)
	a.advance(4 * heartbeatInterval)
	if got := a.verdictOn(1); got != steering.VerdictHeld {
		t.Errorf("verdict %s on a flow of the live target, want held", got)
	}
}

// The first heartbeat of a target comes late, when its agent's process has been replaced. It
// proves nothing, as the store's record names the target (review/11).
func TestLateFirstHeartbeatDoesNotProveATargetUnserved(t *testing.T) {
	for sequence := int64(0); sequence <= 3; sequence++ {
		for _, ranFor := range []time.Duration{0, 5 * time.Second} {
			a := startAgentProcess(time.Hour)
			started := a.now.Add(-3 * time.Second).UnixMilli()
			a.Step(a.now, recordOf(started))
			a.advance(ranFor)
			a.sendHeartbeat(started, sequence)
			if got := a.verdictOn(1); got != steering.VerdictUnsure {
				t.Errorf("verdict %s after heartbeat %d to a process that has run for %v, want unsure", got, sequence, ranFor)
			}
		}
	}
}

// An agent restarts within one run of its host and finds the record of another target. Its
// predecessor may have opened flows at the present target before any heartbeat.
func TestRecordOfAnotherTargetDoesNotProveATargetUnserved(t *testing.T) {
	for sequence := int64(0); sequence <= 3; sequence++ {
		for name, writtenAt := range map[string]time.Duration{"in this run of the host": time.Hour, "at an unknown time": 0} {
			a := startAgentProcess(time.Hour + time.Minute)
			e := recordOf(endedIncarnation)
			e.WrittenAt, e.WrittenTime = writtenAt, a.now.Add(-time.Minute)
			a.Step(a.now, e)
			a.sendHeartbeat(a.now.UnixMilli()-300, sequence)
			if got := a.verdictOn(1); got != steering.VerdictUnsure {
				t.Errorf("verdict %s after heartbeat %d and a record that was written %s, want unsure", got, sequence, name)
			}
		}
	}
}

// The time of day was set by two minutes since an agent registered, which looks as if the host
// had started since. Flows that it saved shortly before it ended show that the host runs on.
func TestSavedFlowsShowThatTheHostRunsOn(t *testing.T) {
	for name, saved := range map[string]bool{"flows saved": true, "no flows saved": false} {
		a := startAgentProcess(3 * time.Hour)
		if saved {
			a.Step(a.now, &steering.SavedFlows{Incarnation: endedIncarnation, SavedAt: 3*time.Hour - 5*time.Second, SavedTime: a.now.Add(-5 * time.Second)})
		}
		e := recordOf(endedIncarnation)
		e.WrittenAt, e.WrittenTime = time.Hour, a.now.Add(-2*time.Hour-2*time.Minute)
		a.Step(a.now, e)
		a.sendHeartbeat(a.now.UnixMilli()-300, 1)
		want := steering.VerdictAbsent
		if saved {
			want = steering.VerdictUnsure
		}
		if got := a.verdictOn(1); got != want {
			t.Errorf("%s: verdict %s, want %s", name, got, want)
		}
	}
}

// A target starts while its agent runs, which has not read the store. The agent knows all of
// the target's flows, also if the first heartbeats were lost.
func TestTargetThatStartedBesideAnAgentWithoutTheStoreIsComplete(t *testing.T) {
	a := startAgentProcess(time.Hour)
	a.advance(8 * heartbeatInterval)
	a.sendHeartbeat(a.now.Add(-time.Second).UnixMilli(), 3)
	if got := a.verdictOn(1); got != steering.VerdictAbsent {
		t.Errorf("verdict %s on a flow that the target can't hold, want absent", got)
	}
}
