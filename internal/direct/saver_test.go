package direct

import (
	"net/netip"
	"reflect"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

func TestSavedFlowsRoundTrip(t *testing.T) {
	caller, _ := steering.EndpointOf(netip.MustParseAddrPort("100.64.0.1:1025"))
	address, _ := steering.EndpointOf(netip.MustParseAddrPort("198.18.0.1:443"))
	want := &steering.SavedFlows{
		Incarnation: 7, Final: true, Agents: 1100,
		Flows: []steering.SavedFlow{{
			Flow: steering.Flow{Caller: caller, Address: address}, Ack: 4_000_000_000, HalfOpen: true, NonIdempotent: true,
		}},
	}
	value, err := encodeSaved(want, store.FirstEra)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeSaved(value, store.FirstEra)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%s is decoded as %+v, error %v", value, got, err)
	}
}
