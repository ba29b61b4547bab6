package steerwire_test

import (
	"encoding/binary"
	"math"
	"reflect"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/revision"
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
		{Kind: steering.MessageOpen, Service: 7, NonIdempotent: true, LastResort: true, MayDelay: true, Demand: steering.Demand{Priority: 1, Objective: 320 * time.Millisecond}, Segment: segment},
		{Kind: steering.MessageForward, Segment: segment},
		{Kind: steering.MessageForward, Demand: steering.Demand{Priority: 3, Objective: 10 * time.Millisecond}, Segment: segment},
		{Kind: steering.MessageProbe, Segment: segment},
		{Kind: steering.MessageTrial, Segment: segment},
		{Kind: steering.MessageRefused, Refusal: steering.RefusedCold, Segment: segment},
		{Kind: steering.MessageMissed, Verdict: steering.VerdictAbsent, Segment: segment},
		{Kind: steering.MessageHeld, Flow: flow},
		{Kind: steering.MessageQuery, Flow: flow, Ack: 9},
		{Kind: steering.MessageReply, Flow: flow, Verdict: steering.VerdictTried, MemberRevision: revision.New(1, 12), Agents: 600},
		{Kind: steering.MessagePing, Limits: steering.Limits{Revision: revision.New(1, 3), MemberRevision: revision.New(7, 4), DomainOut: true, ColdOpensPerSecond: 2.5}, ConfirmedAge: 1234 * time.Millisecond, TypicalRequestTime: 47 * time.Millisecond, Unlisted: true, Agents: 600},
		{Kind: steering.MessagePing, ListSettled: true, Agents: 600},
		{Kind: steering.MessagePong, Status: steering.Status{
			Incarnation: 1, Service: 2, Refusal: steering.RefusedBusy, Slots: 3, InFlight: 4, RequestsPerSecond: 5, Flows: 6, Revision: revision.New(1, 7), Balancers: 8, SingleRequestLimit: 9,
			ConfirmedAge: steering.MaxConfirmedAge, Ahead: [steering.NumPriorities]uint16{1, 2, 3, 4}, RequestTime: 30 * time.Millisecond, Concurrency: 2,
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

func FuzzDecode(f *testing.F) {
	f.Add(steerwire.Append(nil, &steering.Message{Kind: steering.MessageQuery, Flow: flow}))
	f.Add(steerwire.Append(nil, &steering.Message{Kind: steering.MessagePong}))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = steerwire.Decode(raw, rawSegment) // must not panic
	})
}

// The remaining objective decides whether a target's queue is short enough. Rounding must
// not make a request wait for clearly longer than declared, or refuse it too early.
func TestObjectivesAreRoundedByLittle(t *testing.T) {
	for _, d := range []time.Duration{15 * time.Millisecond, 250 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond, 8 * time.Second} {
		m := steering.Message{Kind: steering.MessageForward, Demand: steering.Demand{Objective: d}}
		got, err := steerwire.Decode(steerwire.Append(nil, &m), rawSegment)
		if err != nil {
			t.Fatal(err)
		}
		if ratio := float64(got.Demand.Objective) / float64(d); ratio < 0.9 || ratio > 1.1 {
			t.Errorf("objective %v is decoded as %v", d, got.Demand.Objective)
		}
	}
}

// Nodes of two versions run side by side during an update. Earlier versions send no age of
// a confirmation, or nothing after it.
func TestMessagesOfEarlierVersionsAreDecoded(t *testing.T) {
	const age, typicalRequestTime, demand = 2, 2, 12
	confirmed := 1234 * time.Millisecond
	for _, tt := range []struct {
		message steering.Message
		added   int
	}{
		{steering.Message{Kind: steering.MessagePing, Agents: 5, ConfirmedAge: confirmed, TypicalRequestTime: time.Second}, typicalRequestTime},
		{steering.Message{Kind: steering.MessagePong, Status: steering.Status{Slots: 5, ConfirmedAge: confirmed, RequestTime: time.Second, Concurrency: 3}}, demand},
	} {
		raw := steerwire.Append(nil, &tt.message)
		for missing, wantAge := range map[int]time.Duration{tt.added: confirmed, tt.added + age: steering.MaxConfirmedAge} {
			want := tt.message
			want.TypicalRequestTime, want.Status.RequestTime, want.Status.Concurrency = 0, 0, 0
			if want.Kind == steering.MessagePing {
				want.ConfirmedAge = wantAge
			} else {
				want.Status.ConfirmedAge = wantAge
			}
			got, err := steerwire.Decode(raw[:len(raw)-missing], rawSegment)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("kind %d without %d bytes: decoded %+v, error %v, want %+v", want.Kind, missing, got, err, want)
			}
		}
	}
}

// revisionsBeyondPacking do not fit in the field that nodes of earlier versions read.
var revisionsBeyondPacking = []revision.Revision{
	revision.New(1, 1<<44), revision.New(1, 1<<53+1), revision.New(1, math.MaxInt64),
	revision.New(1<<19+1, 1), revision.New(math.MaxUint64, math.MaxInt64), revision.New(0, 5),
}

// messagesWithRevisions returns a message of each kind that holds revisions, with one of them or
// all the same.
func messagesWithRevisions(r revision.Revision) []steering.Message {
	return []steering.Message{
		{Kind: steering.MessageReply, Flow: flow, Verdict: steering.VerdictAbsent, MemberRevision: r, Agents: 600},
		{Kind: steering.MessagePing, Limits: steering.Limits{Revision: r, MemberRevision: revision.New(1, 7)}, TypicalRequestTime: time.Second},
		{Kind: steering.MessagePing, Limits: steering.Limits{Revision: revision.New(2, 7), MemberRevision: r}, ListSettled: true},
		{Kind: steering.MessagePing, Limits: steering.Limits{Revision: r, MemberRevision: r}},
		{Kind: steering.MessagePong, Status: steering.Status{Revision: r, RequestTime: time.Second, Concurrency: 3}},
	}
}

// Revisions of any size survive between nodes (review/15).
func TestHighRevisionsRoundTrip(t *testing.T) {
	for _, r := range revisionsBeyondPacking {
		for _, m := range messagesWithRevisions(r) {
			raw := steerwire.Append(nil, &m)
			got, err := steerwire.Decode(raw, rawSegment)
			if err != nil || !reflect.DeepEqual(got, m) {
				t.Errorf("decoded %+v, error %v, want %+v", got, err, m)
			}
			if _, err := steerwire.Decode(raw[:len(raw)-1], rawSegment); err == nil {
				t.Errorf("kind %d with a truncated revision is accepted", m.Kind)
			}
		}
	}
}

// Nodes of earlier versions read revisions that fit as before, and take others for none.
func TestEarlierVersionsReadRevisionsThatFit(t *testing.T) {
	const pingRevision, statusRevision, replyRevision = 8, 8 + 23, 8 + 16
	offsets := map[steering.MessageKind]int{
		steering.MessagePing: pingRevision, steering.MessagePong: statusRevision, steering.MessageReply: replyRevision,
	}
	packed := func(r revision.Revision, m int) uint64 {
		message := messagesWithRevisions(r)[m]
		return binary.BigEndian.Uint64(steerwire.Append(nil, &message)[offsets[message.Kind]:])
	}
	for _, m := range []int{0, 1, 4} {
		if got, want := packed(revision.New(3, 1<<44-1), m), uint64(2<<44+1<<44-1); got != want {
			t.Errorf("message %d: an earlier version reads %d, want %d", m, got, want)
		}
		for _, r := range revisionsBeyondPacking {
			if got := packed(r, m); got != 0 {
				t.Errorf("message %d: an earlier version reads %d for %v, want 0", m, got, r)
			}
		}
	}
	short, long := messagesWithRevisions(revision.New(1, 9))[3], messagesWithRevisions(revision.New(1, 1<<44))[3]
	if got := len(steerwire.Append(nil, &long)) - len(steerwire.Append(nil, &short)); got != 32 {
		t.Errorf("two revisions that do not fit take %d more bytes, want 32", got)
	}
}
