package steerwire_test

import (
	"reflect"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/steerwire"
)

// rawSegment returns a segment with undecoded bytes.
func rawSegment(raw []byte) (steering.Segment, error) { return steering.Segment{Raw: raw}, nil }

var flow = steering.Flow{
	Caller:  steering.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001},
	Address: steering.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
}

func TestMessagesRoundTrip(t *testing.T) {
	segment := steering.Segment{Raw: []byte("segment")}
	for _, m := range []steering.Message{
		{Kind: steering.MessageOpen, Service: 7, NonIdempotent: true, Segment: segment},
		{Kind: steering.MessageOpen, Service: 7, SingleRequest: true, Segment: segment},
		{Kind: steering.MessageForward, Segment: segment},
		{Kind: steering.MessageProbe, Segment: segment},
		{Kind: steering.MessageTrial, Segment: segment},
		{Kind: steering.MessageRefused, Refusal: steering.RefusedCold, Segment: segment},
		{Kind: steering.MessageMissed, Verdict: steering.VerdictAbsent, Segment: segment},
		{Kind: steering.MessageHeld, Flow: flow},
		{Kind: steering.MessageQuery, Flow: flow, Ack: 9},
		{Kind: steering.MessageReply, Flow: flow, Verdict: steering.VerdictTried, MemberRevision: 12, Agents: 600},
		{Kind: steering.MessagePing, Limits: steering.Limits{Revision: 3, MemberRevision: 4, DomainOut: true, ColdOpensPerSecond: 2.5}, ConfirmedAge: 1234 * time.Millisecond, Unlisted: true, Agents: 600},
		{Kind: steering.MessagePing, ListSettled: true, Agents: 600},
		{Kind: steering.MessagePong, Status: steering.Status{
			Incarnation: 1, Service: 2, Refusal: steering.RefusedBusy, Slots: 3, InFlight: 4, RequestsPerSecond: 5, Flows: 6, Revision: 7, Balancers: 8, SingleRequestLimit: 9,
			ConfirmedAge: steering.MaxConfirmedAge,
		}},
	} {
		got, err := steerwire.Decode(steerwire.Append(nil, &m), rawSegment)
		if err != nil {
			t.Errorf("kind %d: %v", m.Kind, err)
			continue
		}
		if !reflect.DeepEqual(got, m) {
			t.Errorf("decoded %+v, want %+v", got, m)
		}
	}
}

func TestInvalidDatagramsAreRejected(t *testing.T) {
	ping := steerwire.Append(nil, &steering.Message{Kind: steering.MessagePing})
	otherVersion := append([]byte{}, ping...)
	otherVersion[0]++
	unknownKind := append([]byte{}, ping...)
	unknownKind[1] = 200
	for _, raw := range [][]byte{nil, ping[:5], ping[:len(ping)-1], otherVersion, unknownKind} {
		if m, err := steerwire.Decode(raw, rawSegment); err == nil {
			t.Errorf("decoded % x to %+v", raw, m)
		}
	}
}

// Nodes of earlier versions send no age of a confirmation.
func TestMessagesWithoutConfirmedAgeAreDecoded(t *testing.T) {
	for _, kind := range []steering.MessageKind{steering.MessagePing, steering.MessagePong} {
		raw := steerwire.Append(nil, &steering.Message{Kind: kind})
		m, err := steerwire.Decode(raw[:len(raw)-2], rawSegment)
		if err != nil || m.ConfirmedAge+m.Status.ConfirmedAge != steering.MaxConfirmedAge {
			t.Errorf("kind %d: decoded %+v, error %v", kind, m, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(steerwire.Append(nil, &steering.Message{Kind: steering.MessageQuery, Flow: flow}))
	f.Add(steerwire.Append(nil, &steering.Message{Kind: steering.MessagePong}))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = steerwire.Decode(raw, rawSegment) // must not panic
	})
}
