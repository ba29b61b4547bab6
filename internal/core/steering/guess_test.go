package steering_test

import (
	"net/netip"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// sentTo returns the receivers of messages of a kind, and the sequence numbers of their segments.
func sentTo(effects []steering.Effect, kind steering.MessageKind) (peers []netip.AddrPort, seqs []uint32) {
	for _, e := range effects {
		if e.Kind == steering.EffectSend && e.Message.Kind == kind {
			peers, seqs = append(peers, e.To), append(seqs, e.Message.Segment.Seq)
		}
	}
	return peers, seqs
}

// A request of two segments reaches a balancer that does not know the flow, and the agent that
// it probes first is not the holder. The second segment must follow the first one, whether the
// next agent has confirmed the flow by then or not. It was dropped, and its caller sent it again
// after 200 ms (vrts-suva quiet-1: 27 of 1,713 submissions late).
func TestAllSegmentsOfARequestFollowTheFlow(t *testing.T) {
	for name, confirmed := range map[string]bool{"while probing": false, "once held": true} {
		t.Run(name, func(t *testing.T) {
			b := newQueueingBalancer(3)
			flow := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 9}, Address: routeAddress}
			segment := func(seq uint32) steering.Segment {
				return steering.Segment{Flow: flow, Flags: steering.FlagAck, Seq: seq, Ack: 1, Len: 100}
			}
			missed := func(from netip.AddrPort, s steering.Segment) []steering.Effect {
				return b.Step(b.now, &steering.MessageReceived{From: from, Message: steering.Message{
					Kind: steering.MessageMissed, Verdict: steering.VerdictAbsent, Segment: s,
				}})
			}
			first, _ := sentTo(b.Step(b.now, &steering.SegmentReceived{Segment: segment(1)}), steering.MessageProbe)
			second, _ := sentTo(b.Step(b.now, &steering.SegmentReceived{Segment: segment(101)}), steering.MessageProbe)
			if len(first) != 1 || len(second) != 1 || first[0] != second[0] {
				t.Fatalf("the segments are probed at %v and %v, want one agent", first, second)
			}
			next, _ := sentTo(missed(first[0], segment(1)), steering.MessageProbe)
			if len(next) != 1 || next[0] == first[0] {
				t.Fatalf("the first segment is probed next at %v", next)
			}
			kind := steering.MessageProbe
			if confirmed {
				kind = steering.MessageForward
				b.Step(b.now, &steering.MessageReceived{From: next[0], Message: steering.Message{Kind: steering.MessageHeld, Flow: flow}})
			}
			peers, seqs := sentTo(missed(first[0], segment(101)), kind)
			if len(peers) != 1 || peers[0] != next[0] || seqs[0] != 101 {
				t.Errorf("the second segment goes to %v (%v), want %v", peers, seqs, next[0])
			}
		})
	}
}

// Segments that follow a flow must not go round between agents of which none holds it, also if one
// confirmed the flow and has lost it since: each of three probed agents gets each segment at most
// once more than before the loss, then all agents are queried.
func TestSegmentsOfALostFlowDoNotCirculate(t *testing.T) {
	for name, confirmAt := range map[string]int{"never held": -1, "lost after the first probe": 0, "lost after the third": 2} {
		t.Run(name, func(t *testing.T) {
			b := newQueueingBalancer(6)
			flow := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 9}, Address: routeAddress}
			var pending []steering.Effect
			add := func(effects []steering.Effect) {
				for _, e := range effects {
					if e.Kind == steering.EffectSend && (e.Message.Kind == steering.MessageProbe || e.Message.Kind == steering.MessageForward) {
						pending = append(pending, e)
					}
				}
			}
			const segments = 3
			for i := range segments {
				add(b.Step(b.now, &steering.SegmentReceived{Segment: steering.Segment{Flow: flow, Flags: steering.FlagAck, Seq: uint32(1 + 100*i), Ack: 1, Len: 100}}))
			}
			n := 0
			for ; len(pending) > 0; n++ {
				if n > 2*3*segments {
					t.Fatalf("more than %d messages with %d segments", n-1, segments)
				}
				e := pending[0]
				pending = pending[1:]
				if n == confirmAt {
					add(b.Step(b.now, &steering.MessageReceived{From: e.To, Message: steering.Message{Kind: steering.MessageHeld, Flow: flow}}))
				}
				add(b.Step(b.now, &steering.MessageReceived{From: e.To, Message: steering.Message{
					Kind: steering.MessageMissed, Verdict: steering.VerdictAbsent, Segment: e.Message.Segment,
				}}))
			}
			if n < 3 {
				t.Errorf("%d messages, want the segments at three agents", n)
			}
		})
	}
}
