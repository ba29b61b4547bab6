package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// heartbeatAgent is an agent that receives heartbeats and is pinged for its status.
type heartbeatAgent struct {
	*steering.Agent
	now time.Time
}

func newHeartbeatAgent() *heartbeatAgent {
	a := &heartbeatAgent{now: time.Unix(1000, 0), Agent: steering.NewAgent(steering.AgentIdentity{
		Identity: steering.Identity{Node: "a", Domain: "d"}, Service: "s", HeartbeatInterval: heartbeatInterval,
	})}
	a.Step(a.now, &steering.PreviousRecord{})
	return a
}

func (a *heartbeatAgent) advance(d time.Duration) {
	for end := a.now.Add(d); a.now.Before(end); {
		a.now = a.now.Add(100 * time.Millisecond)
		a.Step(a.now, &steering.Tick{})
	}
}

func (a *heartbeatAgent) sendHeartbeat(incarnation, sequence int64) {
	a.Step(a.now, &steering.Heartbeat{Instance: "i", Service: "s", Domain: "d", Incarnation: incarnation, Sequence: sequence, Slots: 4})
}

// pingForRefusal returns why the agent refuses new flows, as it reports to a balancer.
func (a *heartbeatAgent) pingForRefusal() steering.Refusal {
	from := netip.MustParseAddrPort("10.0.0.2:7000")
	for _, e := range a.Step(a.now, &steering.MessageReceived{From: from, Message: steering.Message{Kind: steering.MessagePing}}) {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessagePong {
			return e.Message.Status.Refusal
		}
	}
	return steering.NotRefused
}

// verdictOn returns the agent's reply to a query for a flow of the caller's port.
func (a *heartbeatAgent) verdictOn(port uint16) steering.Verdict {
	flow := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, Address: routeAddress}
	from := netip.MustParseAddrPort("10.0.0.2:7000")
	for _, e := range a.Step(a.now, &steering.MessageReceived{From: from, Message: steering.Message{Kind: steering.MessageQuery, Flow: flow}}) {
		if e.Kind == steering.EffectSend && e.Message.Kind == steering.MessageReply {
			return e.Message.Verdict
		}
	}
	return steering.VerdictUnsure
}

// A target restarts after its host's clock was set back: its incarnation seems older
// than the previous one.
func TestRestartedTargetIsAcceptedAfterClockRollback(t *testing.T) {
	a := newHeartbeatAgent()
	for n := range int64(4) {
		a.sendHeartbeat(20_000, n+1)
		a.advance(heartbeatInterval)
	}
	for n := range int64(6) {
		a.sendHeartbeat(9_000, n+1)
		a.advance(heartbeatInterval)
	}
	if refusal := a.pingForRefusal(); refusal != steering.NotRefused || a.Record().Incarnation != 9_000 {
		t.Fatalf("after 3 s of heartbeats the agent refuses flows (%s), its target's incarnation is %d", refusal, a.Record().Incarnation)
	}
}

// Heartbeats of a target that has ended arrive late and all at once, while those of its
// successor have ceased.
func TestDelayedHeartbeatsOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	a := newHeartbeatAgent()
	for n := range int64(4) {
		a.sendHeartbeat(20_000, n+1)
		a.advance(heartbeatInterval)
	}
	a.advance(4 * heartbeatInterval)
	for n := range int64(6) {
		a.sendHeartbeat(9_000, n+1)
	}
	if got := a.Record().Incarnation; got != 20_000 {
		t.Fatalf("delayed heartbeats made %d the target's incarnation", got)
	}
	a.sendHeartbeat(20_000, 5)
	if refusal := a.pingForRefusal(); refusal != steering.NotRefused {
		t.Fatalf("the live target gets no flows: %s", refusal)
	}
}

// Delayed heartbeats of the previous incarnation arrive now and then among those of the
// current one.
func TestDelayedHeartbeatsAmongCurrentOnesAreIgnored(t *testing.T) {
	a := newHeartbeatAgent()
	for n := range int64(8) {
		a.sendHeartbeat(20_000, n+1)
		a.sendHeartbeat(9_000, n+100)
		if got := a.Record().Incarnation; got != 20_000 {
			t.Fatalf("delayed heartbeats made %d the target's incarnation", got)
		}
		a.advance(heartbeatInterval)
	}
}
