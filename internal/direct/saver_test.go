package direct

import (
	"math"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/revision"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

func TestSavedFlowsRoundTrip(t *testing.T) {
	caller, _ := steering.EndpointOf(netip.MustParseAddrPort("100.64.0.1:1025"))
	address, _ := steering.EndpointOf(netip.MustParseAddrPort("198.18.0.1:443"))
	want := &steering.SavedFlows{
		Incarnation: 7, Final: true, SavedAt: 90 * time.Minute, SavedTime: time.UnixMilli(1_700_000_000_123), Agents: 1100,
		Flows: []steering.SavedFlow{{
			Flow: steering.Flow{Caller: caller, Address: address}, Ack: 4_000_000_000, HalfOpen: true, NonIdempotent: true,
		}},
	}
	registration := revision.New(2, 17)
	value, err := encodeSaved(want, registration)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeSaved(value, registration)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%s is decoded as %+v, error %v", value, got, err)
	}
	for _, other := range []store.Revision{{}, revision.New(1, 17), revision.New(2, 18)} {
		if got, err := decodeSaved(value, other); err != nil || got.Final {
			t.Errorf("flows of registration %v are decoded as %+v, error %v, at registration %v", registration, got, err, other)
		}
	}
	old, err := decodeSaved([]byte(`{"lifetime":7,"final":true,"era":1,"flows":[]}`), store.Revision{})
	if err != nil || old.Final {
		t.Errorf("flows that an earlier version saved are decoded as %+v, error %v", old, err)
	}
}

// A hand-over is recognised whatever the store counts (review/15), and between versions of the
// nodes as far as earlier ones can write and read it.
func TestHandOverIsRecognisedAtAnyRevision(t *testing.T) {
	for _, registration := range []store.Revision{
		revision.New(1, 5), revision.New(2, 1<<44-1), revision.New(1, 1<<44), revision.New(1, 1<<53+1), revision.New(math.MaxUint64, math.MaxInt64),
	} {
		value, err := encodeSaved(&steering.SavedFlows{Incarnation: 7, Final: true}, registration)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decodeSaved(value, registration); err != nil || !got.Final {
			t.Errorf("flows of registration %v are decoded as %+v, error %v", registration, got, err)
		}
		next := revision.New(registration.Era(), registration.Number()-1)
		if got, err := decodeSaved(value, next); err != nil || got.Final {
			t.Errorf("flows of registration %v are final at registration %v, error %v", registration, next, err)
		}
	}
	earlier := []byte(`{"lifetime":7,"final":true,"registration":35184372088849,"flows":[]}`) // era 3, number 17
	if got, err := decodeSaved(earlier, revision.New(3, 17)); err != nil || !got.Final {
		t.Errorf("the hand-over of an earlier version is decoded as %+v, error %v", got, err)
	}
	if got, err := decodeSaved(earlier, revision.New(1, 35184372088849)); err != nil || got.Final {
		t.Errorf("the hand-over of an earlier version counts at a revision that it can't hold: %+v, error %v", got, err)
	}
}
