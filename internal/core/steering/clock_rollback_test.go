package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// beatenAgent is an agent that hears heartbeats and is asked for its status.
type beatenAgent struct {
	*steering.Agent
	now time.Time
}

func newBeatenAgent() *beatenAgent {
	a := &beatenAgent{now: time.Unix(1000, 0), Agent: steering.NewAgent(steering.AgentIdentity{
		Identity: steering.Identity{Node: "a", Domain: "d"}, Service: "s", HeartbeatInterval: heartbeatInterval,
	})}
	a.Step(a.now, &steering.PreviousRecord{})
	return a
}

func (a *beatenAgent) pass(d time.Duration) {
	for end := a.now.Add(d); a.now.Before(end); {
		a.now = a.now.Add(100 * time.Millisecond)
		a.Step(a.now, &steering.Tick{})
	}
}

func (a *beatenAgent) beat(lifetime, sequence int64) {
	a.Step(a.now, &steering.Heartbeat{Instance: "i", Service: "s", Incarnation: lifetime, Sequence: sequence, Slots: 4})
}

// refusal returns why the agent opens no flows.
func (a *beatenAgent) refusal() steering.Refusal {
	from := netip.MustParseAddrPort("10.0.0.2:7000")
	for _, e := range a.Step(a.now, &steering.MessageReceived{From: from, Message: steering.Message{Kind: steering.MessagePing}}) {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessagePong {
			return e.Message.Status.Refusal
		}
	}
	return steering.NotRefused
}

// A target starts again after its host's clock was set back: its lifetime seems to
// lie before the last one.
func TestTargetWhoseClockWentBackIsUsed(t *testing.T) {
	a := newBeatenAgent()
	for n := range int64(4) {
		a.beat(20_000, n+1)
		a.pass(heartbeatInterval)
	}
	for n := range int64(6) {
		a.beat(9_000, n+1)
		a.pass(heartbeatInterval)
	}
	if why := a.refusal(); why != steering.NotRefused || a.Record().Incarnation != 9_000 {
		t.Fatalf("after 3 s of heartbeats the agent refuses flows (%s), its target's lifetime is %d", why, a.Record().Incarnation)
	}
}

// Heartbeats of a target that has ended come late and all at once, while the one
// that has taken its place is silent.
func TestLateHeartbeatsOfAnEarlierTargetAreIgnored(t *testing.T) {
	a := newBeatenAgent()
	for n := range int64(4) {
		a.beat(20_000, n+1)
		a.pass(heartbeatInterval)
	}
	a.pass(4 * heartbeatInterval)
	for n := range int64(6) {
		a.beat(9_000, n+1)
	}
	if got := a.Record().Incarnation; got != 20_000 {
		t.Fatalf("late heartbeats made lifetime %d the target's", got)
	}
	a.beat(20_000, 5)
	if why := a.refusal(); why != steering.NotRefused {
		t.Fatalf("the target that lives gets no flows: %s", why)
	}
}

// The target lives, and heartbeats of the one before it still come now and then.
func TestLateHeartbeatsBesideLiveOnesAreIgnored(t *testing.T) {
	a := newBeatenAgent()
	for n := range int64(8) {
		a.beat(20_000, n+1)
		a.beat(9_000, n+100)
		if got := a.Record().Incarnation; got != 20_000 {
			t.Fatalf("late heartbeats made lifetime %d the target's", got)
		}
		a.pass(heartbeatInterval)
	}
}
