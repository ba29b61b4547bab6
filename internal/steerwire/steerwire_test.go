package steerwire_test

import (
	"reflect"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/steerwire"
)

// keep decodes a segment to its bytes only.
func keep(raw []byte) (steering.Segment, error) { return steering.Segment{Raw: raw}, nil }

var flow = steering.Flow{
	Caller:  steering.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001},
	Address: steering.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
}

func TestMessagesSurviveTheWire(t *testing.T) {
	segment := steering.Segment{Raw: []byte("segment")}
	for _, m := range []steering.Message{
		{Kind: steering.MessageOpen, Service: 7, Unrepeatable: true, Segment: segment},
		{Kind: steering.MessageOpen, Service: 7, Brief: true, Segment: segment},
		{Kind: steering.MessageCarry, Segment: segment},
		{Kind: steering.MessageGuess, Segment: segment},
		{Kind: steering.MessageTry, Segment: segment},
		{Kind: steering.MessageRefused, Refusal: steering.RefusedCold, Segment: segment},
		{Kind: steering.MessageMissed, Verdict: steering.VerdictAbsent, Segment: segment},
		{Kind: steering.MessageHeld, Flow: flow},
		{Kind: steering.MessageQuery, Flow: flow, Ack: 9},
		{Kind: steering.MessageAnswer, Flow: flow, Verdict: steering.VerdictTried, MemberRevision: 12, Agents: 600},
		{Kind: steering.MessagePing, Limits: steering.Limits{Revision: 3, MemberRevision: 4, DomainOut: true, ColdPerSecond: 2.5}, Unlisted: true, Agents: 600},
		{Kind: steering.MessagePing, Informed: true, Agents: 600},
		{Kind: steering.MessagePong, Status: steering.Status{
			Epoch: 1, Service: 2, Refusal: steering.RefusedBusy, Slots: 3, Busy: 4, PerSecond: 5, Flows: 6, Revision: 7, Balancers: 8, BriefPerSlot: 9,
		}},
	} {
		got, err := steerwire.Decode(steerwire.Append(nil, &m), keep)
		if err != nil {
			t.Errorf("kind %d: %v", m.Kind, err)
			continue
		}
		if !reflect.DeepEqual(got, m) {
			t.Errorf("decoded %+v, want %+v", got, m)
		}
	}
}

func TestForeignDatagramsAreRejected(t *testing.T) {
	ping := steerwire.Append(nil, &steering.Message{Kind: steering.MessagePing})
	other := append([]byte{}, ping...)
	other[0]++
	unknown := append([]byte{}, ping...)
	unknown[1] = 200
	for _, raw := range [][]byte{nil, ping[:5], ping[:len(ping)-1], other, unknown} {
		if m, err := steerwire.Decode(raw, keep); err == nil {
			t.Errorf("decoded % x to %+v", raw, m)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(steerwire.Append(nil, &steering.Message{Kind: steering.MessageQuery, Flow: flow}))
	f.Add(steerwire.Append(nil, &steering.Message{Kind: steering.MessagePong}))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = steerwire.Decode(raw, keep) // must not panic
	})
}
