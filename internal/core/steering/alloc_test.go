package steering_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// openFlow returns a world with one open flow and the agent that holds it.
func openFlow(t testing.TB) (*world, *caller, *agentNode) {
	t.Helper()
	w := newWorld(t, 1)
	w.addAgent("a")
	w.addBalancer("a")
	w.run(2 * time.Second)
	c := w.open()
	w.run(2 * time.Second)
	if c.responses != 1 {
		t.Fatal("the flow did not open")
	}
	return w, c, w.agents[0]
}

func callerSegment(c *caller) steering.Segment {
	return steering.Segment{Flow: c.flow, Flags: steering.FlagAck, Seq: 1, Ack: c.ack}
}

// A segment of an open flow must cost no garbage: balancers have a twentieth of
// a core.
func TestOpenFlowsCostNoAllocation(t *testing.T) {
	w, c, a := openFlow(t)
	b := w.balancers[0]
	received := &steering.SegmentReceived{Segment: callerSegment(c)}
	if n := testing.AllocsPerRun(1000, func() { b.core.Step(w.now, received) }); n != 0 {
		t.Errorf("a balancer allocates %v times a segment", n)
	}
	message := &steering.MessageReceived{From: b.addr, Message: steering.Message{Kind: steering.MessageForward, Segment: callerSegment(c)}}
	if n := testing.AllocsPerRun(1000, func() { a.core.Step(w.now, message) }); n != 0 {
		t.Errorf("an agent allocates %v times a segment of the caller", n)
	}
	answer := &steering.SegmentReceived{Segment: steering.Segment{Flow: c.flow, Flags: steering.FlagAck, Seq: 2, Len: 100}}
	if n := testing.AllocsPerRun(1000, func() { a.core.Step(w.now, answer) }); n != 0 {
		t.Errorf("an agent allocates %v times a segment of the target", n)
	}
}

func BenchmarkBalancerCarries(b *testing.B) {
	w, c, _ := openFlow(b)
	e := &steering.SegmentReceived{Segment: callerSegment(c)}
	b.ReportAllocs()
	for b.Loop() {
		w.balancers[0].core.Step(w.now, e)
	}
}

func BenchmarkAgentDelivers(b *testing.B) {
	w, c, a := openFlow(b)
	e := &steering.MessageReceived{From: w.balancers[0].addr, Message: steering.Message{Kind: steering.MessageForward, Segment: callerSegment(c)}}
	b.ReportAllocs()
	for b.Loop() {
		a.core.Step(w.now, e)
	}
}
