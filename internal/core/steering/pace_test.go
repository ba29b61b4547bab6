package steering_test

import (
	"strings"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

const pacedSlots = 6

// pacedAgent is an agent with pacing, whose target sends heartbeats each 500 ms.
type pacedAgent struct {
	*limitedAgent
	t       *testing.T
	reports []steering.Report
}

// newPacedAgent returns an agent that has just started and knows no target.
func newPacedAgent(t *testing.T, now time.Time, pace bool) *pacedAgent {
	a := &pacedAgent{t: t, limitedAgent: &limitedAgent{
		Agent: steering.NewAgent(steering.AgentIdentity{Identity: steering.Identity{Node: "a", Domain: "d"}, Service: "s", HeartbeatInterval: heartbeatInterval, Pace: pace}),
		now:   now,
	}}
	a.step(&steering.PreviousRecord{})
	return a
}

func (a *pacedAgent) step(e steering.Event) {
	for _, effect := range a.Step(a.now, e) {
		if effect.Kind == steering.EffectReport {
			a.reports = append(a.reports, effect.Report)
		}
	}
}

// heartbeat sends a heartbeat of an incarnation, and stores the agent's record.
func (a *pacedAgent) heartbeat(incarnation, sequence int64, cold time.Duration) {
	a.step(&steering.Heartbeat{Instance: "i", Service: "s", Domain: "d", Incarnation: incarnation, Sequence: sequence, Slots: pacedSlots, ColdRemaining: cold})
	a.step(&steering.RecordStored{Incarnation: incarnation})
}

// startRequest opens a flow and sends a request on it.
func (a *pacedAgent) startRequest(objective time.Duration) steering.Flow {
	s := a.nextOpening()
	demand := steering.Demand{Objective: objective}
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessageOpen, Service: steering.ServiceIDOf("s"), Segment: s, Demand: demand}})
	a.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: s.Flow, Flags: steering.FlagOpen | steering.FlagAck}})
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{
		Kind: steering.MessageForward, Segment: steering.Segment{Flow: s.Flow, Flags: steering.FlagAck, Len: 100}, Demand: demand,
	}})
	return s.Flow
}

// endRequest makes the target answer or reset a request.
func (a *pacedAgent) endRequest(f steering.Flow, flags steering.Flags) {
	response := steering.Segment{Flow: f, Flags: flags}
	if !flags.Has(steering.FlagReset) {
		response.Len = 100
	}
	a.step(&steering.SegmentReceived{Segment: response})
}

// request sends a request that the target answers or resets after a time.
func (a *pacedAgent) request(objective, elapsed time.Duration, flags steering.Flags) {
	f := a.startRequest(objective)
	a.now = a.now.Add(elapsed)
	a.endRequest(f, flags)
}

// showObjective opens a flow of a route with an objective, of a service whose other targets
// answer.
func (a *pacedAgent) showObjective() {
	a.pingTypical(pacedRequestTime)
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{
		Kind: steering.MessageOpen, Service: steering.ServiceIDOf("s"), Segment: a.nextOpening(), Demand: steering.Demand{Objective: pacedObjective},
	}})
}

func (a *pacedAgent) pingTypical(typical time.Duration) {
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessagePing, TypicalRequestTime: typical}})
}

func (a *pacedAgent) wantConcurrency(want int, when string) {
	a.t.Helper()
	if got := a.Concurrency(a.now); got != want {
		a.t.Errorf("%s: concurrency %d, want %d", when, got, want)
	}
}

func (a *pacedAgent) reported(text string) (why string, found bool) {
	for _, r := range a.reports {
		if r.Text == text {
			return r.Why, true
		}
	}
	return "", false
}

var pacedStart = time.Unix(1000, 0)

const (
	pacedObjective   = 300 * time.Millisecond
	pacedRequestTime = 40 * time.Millisecond
)

// A target that replaces one that the agent knew, is cold or sends one of its first heartbeats
// must start with a third of its slots; an older one beside which the agent has restarted must
// have all. Load: one request at a time.
func TestStartOfTarget(t *testing.T) {
	for _, c := range []struct {
		name     string
		sequence int64
		cold     time.Duration
		want     int
	}{
		{"first heartbeats", 10, 0, 2},
		{"cold", 5000, 3 * time.Second, 2},
		{"agent restarted beside an old target", 11, 0, pacedSlots},
	} {
		a := newPacedAgent(t, pacedStart, true)
		a.heartbeat(7, c.sequence, c.cold)
		a.showObjective()
		a.wantConcurrency(c.want, c.name)
	}
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 5000, 0)
	a.showObjective()
	a.wantConcurrency(pacedSlots, "old target")
	a.now = a.now.Add(500 * time.Millisecond)
	a.heartbeat(8, 40, 0)
	a.wantConcurrency(2, "replaced")
}

// A service that starts whole, as after a loss of power, must have all slots at once: there is
// no other target to send to. Load: all callers return at the same time.
func TestServiceThatStartsWholeIsNotPaced(t *testing.T) {
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 1, 2*time.Second)
	f := a.startRequest(pacedObjective)
	a.wantConcurrency(pacedSlots, "no target has answered")
	a.now = a.now.Add(pacedRequestTime)
	a.endRequest(f, steering.FlagAck)
	a.pingTypical(pacedRequestTime)
	a.wantConcurrency(3, "others have answered")
}

// The limit must rise by one with each answer in the usual time, and the log must say when the
// ramp begins and ends. Load: five requests, one after the other, at a new target.
func TestRampOfNewTarget(t *testing.T) {
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 1, 0)
	a.pingTypical(pacedRequestTime)
	for i, want := range []int{3, 4, 5, 6, 6} {
		a.request(pacedObjective, pacedRequestTime, steering.FlagAck)
		if got := a.Concurrency(a.now); got != want {
			t.Errorf("after %d answers: concurrency %d, want %d", i+1, got, want)
		}
	}
	a.step(&steering.Tick{})
	if why, _ := a.reported("Concurrency is limited."); why != "new target; limit 2 of 6" {
		t.Errorf("the start is reported as %q", why)
	}
	if why, found := a.reported("Concurrency limit is back at the slots."); !found || why != "new target" {
		t.Errorf("the end is reported as %q, %v", why, found)
	}
	if got := a.View(a.now).Target.Concurrency; got != pacedSlots {
		t.Errorf("the view says %d", got)
	}
}

// A slow target and one that resets must get less at once, and the log must say why. Load:
// single requests.
func TestSlowAnswersAndResetsHalve(t *testing.T) {
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 5000, 0)
	a.pingTypical(pacedRequestTime)
	a.request(pacedObjective, pacedRequestTime, steering.FlagAck)
	a.request(pacedObjective, 5*pacedRequestTime, steering.FlagAck)
	a.wantConcurrency(pacedSlots, "after one slow answer")
	a.request(pacedObjective, 5*pacedRequestTime, steering.FlagAck)
	a.wantConcurrency(3, "after two slow answers")
	if why, _ := a.reported("Concurrency limit is halved."); why != "answers took 200ms, usual 40ms; limit 3 of 6" {
		t.Errorf("reported as %q", why)
	}
	a.request(pacedObjective, pacedRequestTime, steering.FlagReset)
	a.wantConcurrency(1, "after a reset")
	if last := a.reports[len(a.reports)-1]; !strings.HasPrefix(last.Why, "reset; limit 1 of 6") {
		t.Errorf("reported as %q", last.Why)
	}
}

// Without a declared objective, or when switched off, all slots must be used at once, and
// nothing is reported. Load: single requests at a new target, some slow, some reset.
func TestNoPacingWithoutObjectiveOrSwitch(t *testing.T) {
	for _, c := range []struct {
		name      string
		pace      bool
		objective time.Duration
	}{{"no objective", true, 0}, {"switched off", false, pacedObjective}} {
		a := newPacedAgent(t, pacedStart, c.pace)
		a.heartbeat(7, 1, 3*time.Second)
		a.pingTypical(pacedRequestTime)
		for i := range 6 {
			flags := steering.FlagAck
			if i%3 == 2 {
				flags = steering.FlagReset
			}
			a.request(c.objective, 5*pacedRequestTime, flags)
			a.wantConcurrency(pacedSlots, c.name)
		}
		for _, r := range a.reports {
			if strings.HasPrefix(r.Text, "Concurrency") {
				t.Errorf("%s: reported %q, %q", c.name, r.Text, r.Why)
			}
		}
	}
}

// The next agent beside a cold target must go on with the ramp; one beside a target that has
// become old meanwhile must not. Load: single requests; the agent restarts after the first.
func TestAgentRestartsInRamp(t *testing.T) {
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 1, 8*time.Second)
	a.pingTypical(pacedRequestTime)
	a.request(pacedObjective, pacedRequestTime, steering.FlagAck)
	a.wantConcurrency(3, "before the restart")
	next := newPacedAgent(t, a.now.Add(2*time.Second), true)
	next.heartbeat(7, 14, 5*time.Second)
	next.showObjective()
	next.wantConcurrency(2, "beside a cold target")
	next = newPacedAgent(t, a.now.Add(20*time.Second), true)
	next.heartbeat(7, 40, 0)
	next.showObjective()
	next.wantConcurrency(pacedSlots, "beside an old target")
}

// A heartbeat of another process must not leave the target that lives with a part of its
// slots. Load: none.
func TestRefutedProcessDoesNotPaceTarget(t *testing.T) {
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 5000, 0)
	a.showObjective()
	a.heartbeat(9, 1, 0)
	a.now = a.now.Add(100 * time.Millisecond)
	a.heartbeat(7, 5001, 0)
	a.wantConcurrency(pacedSlots, "after the target's next heartbeat")
}

// The limit of an idle target must rise with the ticks, and not by the time for which the
// host was frozen. Load: none.
func TestIdleRiseAndFrozenHost(t *testing.T) {
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 1, 0)
	a.showObjective()
	a.now = a.now.Add(10 * time.Second)
	a.step(&steering.Tick{})
	a.pingTypical(pacedRequestTime)
	a.wantConcurrency(2, "after a freeze of 10 s")
	a.now = a.now.Add(500 * time.Millisecond)
	a.step(&steering.Tick{})
	a.wantConcurrency(4, "after 500 ms")
	a.now = a.now.Add(500 * time.Millisecond)
	a.step(&steering.Tick{})
	a.wantConcurrency(pacedSlots, "after 1 s")
}

// Answers that a freeze of the host delayed must not count as slow. Load: four requests on
// four flows at the time of the freeze.
func TestAnswersAfterFreezeAreNotSlow(t *testing.T) {
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 5000, 0)
	a.pingTypical(pacedRequestTime)
	var flows []steering.Flow
	for range 4 {
		flows = append(flows, a.startRequest(pacedObjective))
	}
	a.now = a.now.Add(3 * time.Second)
	for _, f := range flows {
		a.endRequest(f, steering.FlagAck)
	}
	a.wantConcurrency(pacedSlots, "after a freeze of 3 s")
}

// A typical request time must expire, so that a target is not judged by its service of long
// ago. Load: single requests at twenty times the typical time.
func TestTypicalRequestTimeExpires(t *testing.T) {
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 5000, 0)
	a.pingTypical(10 * time.Millisecond)
	for range 12 {
		a.now = a.now.Add(500 * time.Millisecond)
		a.step(&steering.Tick{})
	}
	for range 4 {
		a.request(pacedObjective, 200*time.Millisecond, steering.FlagAck)
	}
	a.wantConcurrency(pacedSlots, "after slow answers with an expired typical time")
}

// Misdirected segments of other services' routes must not switch pacing on. Load: one opening
// and one forwarded segment of another target.
func TestMisdirectedSegmentsDoNotPaceTarget(t *testing.T) {
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 1, 0)
	demand := steering.Demand{Objective: pacedObjective}
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessageOpen, Service: steering.ServiceIDOf("other"), Segment: a.nextOpening(), Demand: demand}})
	forwarded := a.nextOpening()
	forwarded.Flags = steering.FlagAck
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{Kind: steering.MessageForward, Segment: forwarded, Demand: demand}})
	a.wantConcurrency(pacedSlots, "after misdirected segments")
}

// Errors within 1.6 ms must not raise the limit of a target that takes 40 ms. Load: single requests
// at a target of which two slow answers have halved the limit.
func TestFastErrorsDoNotRaiseLimit(t *testing.T) {
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 5000, 0)
	a.pingTypical(pacedRequestTime)
	for range 32 {
		a.request(pacedObjective, pacedRequestTime, steering.FlagAck)
	}
	a.pingTypical(pacedRequestTime)
	for range 2 {
		a.request(pacedObjective, 5*pacedRequestTime, steering.FlagAck)
	}
	a.wantConcurrency(3, "after two slow answers")
	for range 3 {
		a.request(pacedObjective, 1600*time.Microsecond, steering.FlagAck)
	}
	a.wantConcurrency(3, "after three errors")
}

// A flow that its target resets while no request runs must not halve the limit. Load: flows that
// are opened and get no request.
func TestResetsWithoutRequestDoNotHalve(t *testing.T) {
	a := newPacedAgent(t, pacedStart, true)
	a.heartbeat(7, 5000, 0)
	a.pingTypical(pacedRequestTime)
	s := a.nextOpening()
	a.step(&steering.MessageReceived{From: balancerPeer, Message: steering.Message{
		Kind: steering.MessageOpen, Service: steering.ServiceIDOf("s"), Segment: s, Demand: steering.Demand{Objective: pacedObjective},
	}})
	a.step(&steering.SegmentReceived{Segment: steering.Segment{Flow: s.Flow, Flags: steering.FlagOpen | steering.FlagAck}})
	a.endRequest(s.Flow, steering.FlagReset)
	a.wantConcurrency(pacedSlots, "after the reset of an idle flow")
}
