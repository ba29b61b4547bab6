package steering

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "amaranthwheel.example/amaranthwheel/internal/fixedseed"
)

// countersAgent drives an agent with random events and checks what it counts.
type countersAgent struct {
	*Agent
	now         time.Time
	incarnation int64
	sequence    int64
	seq         map[Flow]uint32
	// targetSeq is the sequence number of the target's last response on a flow.
	targetSeq map[Flow]uint32
	// unlimited is set while requests may run that were delivered regardless of the places.
	unlimited bool
	// shift is added to the priorities of the routes.
	shift int
}

const (
	countersSlots = 3
	countersFlows = 12
)

// demandOf returns the demand of the route to which a numbered flow belongs: the last two have
// no objective.
func (a *countersAgent) demandOf(n int) Demand {
	if n >= countersFlows-2 {
		return Demand{}
	}
	return Demand{Priority: uint8((n + a.shift) % NumPriorities), Objective: time.Duration(50+100*n) * time.Millisecond}
}

func countersFlow(n int) Flow {
	return Flow{Caller: Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: uint16(n)}, Address: Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: uint16(1000 + n)}}
}

func (a *countersAgent) heartbeat() {
	a.sequence++
	a.Step(a.now, &Heartbeat{Instance: "i", Service: "s", Domain: "d", Incarnation: a.incarnation, Sequence: a.sequence, Slots: countersSlots})
	a.Step(a.now, &RecordStored{Incarnation: a.incarnation})
}

// forward passes a segment of a flow's caller to the agent.
func (a *countersAgent) forward(n int, s Segment) {
	s.Flow, s.Flags, s.Ack = countersFlow(n), s.Flags|FlagAck, 1
	from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n % 3)}), 7000)
	a.Step(a.now, &MessageReceived{From: from, Message: Message{Kind: MessageForward, Demand: a.demandOf(n), Segment: s}})
}

// check compares the counters with a scan of the flows.
func (a *countersAgent) check(t *rapid.T) {
	s := &a.flows
	var busy, running, kept, withObjective int
	var inFlight, runningBy [NumPriorities]int
	for f, local := range s.byFlow {
		busy += countOf(local.busy)
		running += countOf(local.running)
		inFlight[local.priority] += countOf(local.busy)
		runningBy[local.priority] += countOf(local.running)
		withObjective += countOf(local.running && local.objective > 0)
		if local.running && !local.busy {
			t.Fatalf("flow %v runs a request and is not busy", f)
		}
		if local.closed && local.busy && local.objective > 0 {
			t.Fatalf("flow %v is closed and busy", f)
		}
		if local.kept == nil {
			continue
		}
		kept++
		if !local.busy || local.running || local.objective == 0 {
			t.Fatalf("flow %v has a kept request: busy %t, running %t, objective %v", f, local.busy, local.running, local.objective)
		}
		if n := len(local.kept.segments); n == 0 || n > maxKeptSegments {
			t.Fatalf("flow %v has %d kept segments", f, n)
		}
	}
	if busy != s.busy || inFlight != s.inFlight || running != s.runningTotal || runningBy != s.running || kept != s.waiting.Len() {
		t.Fatalf("counted busy %d %v, running %d %v, waiting %d; the flows have %d %v, %d %v, %d",
			s.busy, s.inFlight, s.runningTotal, s.running, s.waiting.Len(), busy, inFlight, running, runningBy, kept)
	}
	a.unlimited = a.unlimited && (a.target.deregistered || running > a.places())
	if withObjective > a.places() && !a.unlimited {
		t.Fatalf("%d requests with an objective run in %d places", withObjective, a.places())
	}
	if kept > 0 && running < a.places() {
		t.Fatalf("%d requests wait while %d of %d places are taken", kept, running, a.places())
	}
}

// A counter that drifts would refuse openings, or keep requests, for good. After any events the
// counters are what the flows have, no place is exceeded or left free while requests wait, and
// nothing is left once all flows have expired.
func TestCountersMatchTheFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &countersAgent{now: time.Unix(1000, 0), incarnation: 7, seq: make(map[Flow]uint32), targetSeq: make(map[Flow]uint32), Agent: NewAgent(AgentIdentity{
			Identity: Identity{Node: "a", Domain: "d"}, Service: "s", HeartbeatInterval: 500 * time.Millisecond,
		})}
		a.Step(a.now, &PreviousRecord{})
		a.heartbeat()
		anyFlow := rapid.IntRange(0, countersFlows-1)
		data := func(n int, flags Flags, advance bool) {
			f := countersFlow(n)
			if advance {
				a.seq[f] += 100
			}
			a.forward(n, Segment{Flags: flags, Seq: 1 + a.seq[f], Len: 100})
		}
		// crowd lets all flows, which open if they have not, send a request.
		crowd := func() {
			for n := range countersFlows {
				a.Step(a.now, &SegmentReceived{Segment: Segment{Flow: countersFlow(n), Flags: FlagAck, Seq: 1 + a.targetSeq[countersFlow(n)]}})
				data(n, 0, true)
			}
		}
		crowd()
		fromTarget := func(t *rapid.T, flags Flags, length int) {
			f := countersFlow(anyFlow.Draw(t, "flow"))
			a.Step(a.now, &SegmentReceived{Segment: Segment{Flow: f, Flags: flags, Seq: 1 + a.targetSeq[f], Len: length}})
		}
		answer := func(t *rapid.T) {
			f := countersFlow(anyFlow.Draw(t, "flow"))
			a.targetSeq[f]++
			a.Step(a.now, &SegmentReceived{Segment: Segment{Flow: f, Flags: FlagAck, Seq: a.targetSeq[f], Len: 1}})
		}
		actions := map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				n := anyFlow.Draw(t, "flow")
				a.Step(a.now, &MessageReceived{From: netip.MustParseAddrPort("10.1.0.1:7000"), Message: Message{
					Kind: MessageOpen, Service: ServiceIDOf("s"), Demand: a.demandOf(n), LastResort: rapid.Bool().Draw(t, "last resort"),
					SingleRequest: rapid.Bool().Draw(t, "single"), Segment: Segment{Flow: countersFlow(n), Flags: FlagOpen},
				}})
			},
			"accept":       func(t *rapid.T) { fromTarget(t, FlagOpen|FlagAck, 0) },
			"answer":       answer,
			"target close": func(t *rapid.T) { fromTarget(t, FlagAck|FlagClose, 0) },
			"target reset": func(t *rapid.T) { fromTarget(t, FlagReset, 0) },
			"more answers": answer,
			"repeat answer": func(t *rapid.T) {
				f := countersFlow(anyFlow.Draw(t, "flow"))
				a.Step(a.now, &SegmentReceived{Segment: Segment{Flow: f, Flags: FlagAck, Seq: a.targetSeq[f], Len: 1}})
			},
			"ping": func(t *rapid.T) {
				typical := time.Duration(rapid.SampledFrom([]int{0, 1, 20, 1000}).Draw(t, "typical ms")) * time.Millisecond
				a.Step(a.now, &MessageReceived{From: netip.MustParseAddrPort("10.1.0.1:7000"), Message: Message{Kind: MessagePing, TypicalRequestTime: typical}})
			},
			"crowd":       func(*rapid.T) { crowd() },
			"data":        func(t *rapid.T) { data(anyFlow.Draw(t, "flow"), 0, true) },
			"copy":        func(t *rapid.T) { data(anyFlow.Draw(t, "flow"), 0, false) },
			"data, close": func(t *rapid.T) { data(anyFlow.Draw(t, "flow"), FlagClose, rapid.Bool().Draw(t, "new")) },
			"window": func(t *rapid.T) {
				n := anyFlow.Draw(t, "flow")
				for range maxKeptSegments + 2 {
					data(n, 0, true)
				}
			},
			"acknowledge": func(t *rapid.T) { a.forward(anyFlow.Draw(t, "flow"), Segment{Seq: 1}) },
			"close":       func(t *rapid.T) { a.forward(anyFlow.Draw(t, "flow"), Segment{Flags: FlagClose, Seq: 1}) },
			"reset":       func(t *rapid.T) { a.forward(anyFlow.Draw(t, "flow"), Segment{Flags: FlagReset, Seq: 1}) },
			"returned": func(t *rapid.T) {
				a.Step(a.now, &SegmentReturned{Segment: Segment{Flow: countersFlow(anyFlow.Draw(t, "flow")), Flags: FlagAck}})
			},
			"time": func(t *rapid.T) {
				a.now = a.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 1, 20, 20, 110, 110, 600, 600, 5100, 16_000}).Draw(t, "ms")) * time.Millisecond)
				a.Step(a.now, &Tick{})
			},
			"change priorities": func(*rapid.T) { a.shift++ },
			"heartbeat":         func(*rapid.T) { a.heartbeat() },
			"replace": func(t *rapid.T) {
				a.now = a.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1000}).Draw(t, "silence")) * time.Millisecond)
				a.incarnation, a.sequence = a.incarnation+1, 0
				a.heartbeat()
			},
			"deregister": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "deregister") == 0 {
					a.unlimited = true
					a.Step(a.now, &TargetDeregistered{Instance: "i"})
				}
			},
			"": func(t *rapid.T) { a.check(t) },
		}
		for range 4 {
			t.Repeat(actions)
		}
		a.now = a.now.Add(80 * time.Second)
		a.Step(a.now, &Tick{})
		a.check(t)
		if s := &a.flows; len(s.byFlow) != 0 || s.busy != 0 || s.waiting.Len() != 0 || s.aheadByPriority() != [NumPriorities]uint16{} {
			t.Fatalf("after 80 s, %d flows are left, %d busy, %d waiting, ahead %v", len(s.byFlow), s.busy, s.waiting.Len(), s.aheadByPriority())
		}
	})
}
