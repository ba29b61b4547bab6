package direct

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
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
	registration := store.NewRevision(2, 17)
	value, err := encodeSaved(want, registration)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeSaved(value, registration)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%s is decoded as %+v, error %v", value, got, err)
	}
	for _, other := range []store.Revision{0, store.NewRevision(1, 17), registration + 1} {
		if got, err := decodeSaved(value, other); err != nil || got.Final {
			t.Errorf("flows of registration %d are decoded as %+v, error %v, at registration %d", registration, got, err, other)
		}
	}
	old, err := decodeSaved([]byte(`{"lifetime":7,"final":true,"era":1,"flows":[]}`), 0)
	if err != nil || old.Final {
		t.Errorf("flows that an earlier version saved are decoded as %+v, error %v", old, err)
	}
}
