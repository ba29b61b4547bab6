package steering_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// newWorldWithOpenFlow returns a world with one open flow, its caller and its holder.
func newWorldWithOpenFlow(t testing.TB) (*world, *caller, *agentNode) {
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

// A segment of an open flow must not allocate: a balancer has a twentieth of a core.
func TestSegmentsOfOpenFlowsDoNotAllocate(t *testing.T) {
	w, c, a := newWorldWithOpenFlow(t)
	b := w.balancers[0]
	inbound := &steering.SegmentReceived{Segment: callerSegment(c)}
	if n := testing.AllocsPerRun(1000, func() { b.core.Step(w.now, inbound) }); n != 0 {
		t.Errorf("a balancer allocates %v times per segment", n)
	}
	forwarded := &steering.MessageReceived{From: b.addr, Message: steering.Message{Kind: steering.MessageForward, Segment: callerSegment(c)}}
	if n := testing.AllocsPerRun(1000, func() { a.core.Step(w.now, forwarded) }); n != 0 {
		t.Errorf("an agent allocates %v times per segment of the caller", n)
	}
	response := &steering.SegmentReceived{Segment: steering.Segment{Flow: c.flow, Flags: steering.FlagAck, Seq: 2, Len: 100}}
	if n := testing.AllocsPerRun(1000, func() { a.core.Step(w.now, response) }); n != 0 {
		t.Errorf("an agent allocates %v times per segment of the target", n)
	}
}

func BenchmarkBalancerForwardsSegment(b *testing.B) {
	w, c, _ := newWorldWithOpenFlow(b)
	e := &steering.SegmentReceived{Segment: callerSegment(c)}
	b.ReportAllocs()
	for b.Loop() {
		w.balancers[0].core.Step(w.now, e)
	}
}

func BenchmarkAgentDeliversSegment(b *testing.B) {
	w, c, a := newWorldWithOpenFlow(b)
	e := &steering.MessageReceived{From: w.balancers[0].addr, Message: steering.Message{Kind: steering.MessageForward, Segment: callerSegment(c)}}
	b.ReportAllocs()
	for b.Loop() {
		a.core.Step(w.now, e)
	}
}
