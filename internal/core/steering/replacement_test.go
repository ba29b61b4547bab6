package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// liveIncarnation is the start time of the live target.
const liveIncarnation = 900_000

// claimedAgent is an agent whose target holds an open flow, on which nothing was sent for some
// seconds.
type claimedAgent struct {
	*heartbeatAgent
	flow     steering.Flow
	sequence int64
	resets   int
	sinceHB  time.Duration
}

func newClaimedAgent() *claimedAgent {
	a := &claimedAgent{
		heartbeatAgent: startAgentProcess(time.Hour),
		flow:           steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1}, Address: routeAddress},
	}
	a.Step(a.now, &steering.PreviousRecord{})
	a.beat()
	a.Step(a.now, &steering.RecordStored{Incarnation: liveIncarnation})
	a.Step(a.now, &steering.SegmentReceived{Segment: steering.Segment{Flow: a.flow, Flags: steering.FlagAck, Len: 10}})
	a.run(5*time.Second, true)
	return a
}

// liveHeartbeat returns a heartbeat of the live target.
func liveHeartbeat(sequence int64) *steering.Heartbeat {
	return &steering.Heartbeat{Instance: "i", Service: "s", Domain: "d", Incarnation: liveIncarnation, Sequence: sequence, Slots: 4}
}

// claim returns the first heartbeat of another process that claims the place of the live
// target and has just started.
func (a *claimedAgent) claim() *steering.Heartbeat {
	return &steering.Heartbeat{Instance: "j", Service: "s", Domain: "d", Incarnation: a.now.UnixMilli(), Sequence: 1, Slots: 9}
}

// handle passes an event to the agent and counts the resets.
func (a *claimedAgent) handle(e steering.Event) {
	for _, effect := range a.Step(a.now, e) {
		switch effect.Kind {
		case steering.EffectReset:
			a.resets++
		case steering.EffectRegister:
			a.Step(a.now, &steering.RecordStored{Incarnation: effect.Record.Incarnation})
		}
	}
}

// beat sends a heartbeat of the live target.
func (a *claimedAgent) beat() {
	a.sequence++
	a.sinceHB = 0
	a.handle(liveHeartbeat(a.sequence))
}

// run advances the time, in which the target lives or not.
func (a *claimedAgent) run(d time.Duration, alive bool) {
	const step = 50 * time.Millisecond
	for end := a.now.Add(d); a.now.Before(end); {
		a.now = a.now.Add(step)
		a.sinceHB += step
		if alive && a.sinceHB >= heartbeatInterval {
			a.beat()
		}
		a.handle(&steering.Tick{})
	}
}

// requireFlow checks that the agent still holds the flow and opens others.
func (a *claimedAgent) requireFlow(t *testing.T) {
	t.Helper()
	if a.resets > 0 {
		t.Errorf("%d flows of the live target were reset", a.resets)
	}
	if got := a.verdictOn(1); got != steering.VerdictHeld {
		t.Errorf("verdict %s on a flow of the live target, want held", got)
	}
	if got := a.pingForRefusal(); got != steering.NotRefused {
		t.Errorf("the live target gets no flows: %s", got)
	}
	if got := a.Record().Incarnation; got != liveIncarnation {
		t.Errorf("the target's incarnation is %d", got)
	}
}

// A heartbeat of another writer, which differs from the target's in one field, must neither
// end the flows of the live target nor keep it from getting new ones (review/5).
func TestHeartbeatOfAnotherWriterChangesNothing(t *testing.T) {
	for name, change := range map[string]func(*steering.Heartbeat){
		"service":         func(h *steering.Heartbeat) { h.Service = "not-named-anywhere" },
		"address":         func(h *steering.Heartbeat) { h.Address = netip.MustParseAddrPort("10.0.0.77:80") },
		"domain":          func(h *steering.Heartbeat) { h.Domain = "elsewhere" },
		"start in future": func(h *steering.Heartbeat) { h.Incarnation = 1 << 50 },
	} {
		t.Run(name, func(t *testing.T) {
			a := newClaimedAgent()
			h := a.claim()
			change(h)
			if a.CheckHeartbeat(a.now, h) == nil {
				t.Error("the heartbeat is accepted")
			}
			a.handle(h)
			a.requireFlow(t)
			for range 10 {
				h.Sequence++
				a.handle(h)
				a.run(heartbeatInterval/2, true)
				a.requireFlow(t)
			}
		})
	}
}

// A heartbeat that differs from the target's in its identity or start time only could be a
// restarted target's, until the live one's next heartbeat.
func TestLiveTargetRefutesAnotherProcessAtOnce(t *testing.T) {
	for name, change := range map[string]func(*steering.Heartbeat){
		"identity and start": func(*steering.Heartbeat) {},
		"start":              func(h *steering.Heartbeat) { h.Instance = "i" },
		"identity":           func(h *steering.Heartbeat) { h.Incarnation = liveIncarnation; h.Sequence = 500 },
	} {
		for _, claims := range []int{1, 8} {
			t.Run(name, func(t *testing.T) {
				a := newClaimedAgent()
				h := a.claim()
				change(h)
				for range claims {
					a.handle(h)
					if a.resets > 0 {
						t.Fatalf("%d flows of the live target were reset", a.resets)
					}
					a.beat()
					a.requireFlow(t)
					h.Sequence++
					a.run(heartbeatInterval/2, true)
				}
				a.run(5*time.Second, true)
				a.requireFlow(t)
			})
		}
	}
}

// An agent that is unsure of its target's flows must not become sure of them by another
// process's heartbeat.
func TestAnotherProcessMakesNoFlowAbsent(t *testing.T) {
	a := &claimedAgent{heartbeatAgent: startAgentProcess(time.Hour), sequence: 40}
	a.handle(recordOf(liveIncarnation))
	a.beat()
	a.run(5*time.Second, true)
	a.handle(a.claim())
	if got := a.verdictOn(2); got != steering.VerdictUnsure {
		t.Errorf("verdict %s on a flow that an earlier process may have opened, want unsure", got)
	}
}

// A target restarts: the flows of the one before end as soon as it has missed a heartbeat, and
// the new one gets flows at once.
func TestFlowsEndOnceTheReplacedTargetIsSilent(t *testing.T) {
	for _, silence := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
		a := newClaimedAgent()
		a.beat()
		a.run(silence, false)
		a.handle(a.claim())
		if got := a.pingForRefusal(); got != steering.NotRefused {
			t.Errorf("%v after a heartbeat of the target before, the restarted one gets no flows: %s", silence, got)
		}
		a.run(max(0, 2*heartbeatInterval-silence), false)
		if a.resets != 1 {
			t.Errorf("%d flows were reset %v after the last heartbeat of their target, want 1", a.resets, max(silence, 2*heartbeatInterval))
		}
	}
}

// While the agent is suspended it gets no heartbeats. The first one that it then reads is
// another process's; the live target's follows.
func TestSuspendedAgentDoesNotTakeItsTargetForSilent(t *testing.T) {
	a := newClaimedAgent()
	a.now = a.now.Add(4 * time.Second)
	a.handle(a.claim())
	a.run(100*time.Millisecond, false)
	a.beat()
	a.requireFlow(t)
}

// An agent restarts, and the first heartbeat that it gets is another process's. The flows that
// were saved for its live target must not be reset.
func TestSavedFlowsOutlastAnotherProcessesFirstHeartbeat(t *testing.T) {
	a := &claimedAgent{heartbeatAgent: startAgentProcess(2 * time.Hour), sequence: 40}
	flow := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1}, Address: routeAddress}
	a.handle(&steering.SavedFlows{Incarnation: liveIncarnation, Flows: []steering.SavedFlow{{Flow: flow}}})
	a.handle(recordOf(liveIncarnation))
	a.handle(a.claim())
	a.run(heartbeatInterval/2, false)
	a.beat()
	a.requireFlow(t)
	a.run(5*time.Second, true)
	a.requireFlow(t)
}

// A target turns out to live after another process has claimed its place and was registered:
// the entry in the store names both, so that no later process takes one for unserved.
func TestNoIncarnationOfAnEarlierProcessCountsAsUnserved(t *testing.T) {
	const other = liveIncarnation + 1
	e := recordOf(liveIncarnation)
	e.Others = []int64{other}
	a := startAgentProcess(time.Hour)
	a.Step(a.now, e)
	a.sendHeartbeat(other, 3)
	if got := a.verdictOn(1); got != steering.VerdictUnsure {
		t.Errorf("verdict %s on a flow that an earlier process may have opened, want unsure", got)
	}
}
