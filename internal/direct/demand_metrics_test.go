package direct

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

func counterValues(scope tally.TestScope) map[string]int64 {
	out := make(map[string]int64)
	for id, c := range scope.Snapshot().Counters() {
		if c.Value() != 0 {
			out[id] = c.Value()
		}
	}
	return out
}

// Guards against counters that count a total twice, or go back when a service leaves the
// configuration and returns.
func TestDemandReporterReportsGrowth(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var counts []steering.DemandCount
	r := newDemandReporter(scope, func() []steering.DemandCount { return counts })
	for _, totals := range []uint64{3, 5, 1} {
		counts = []steering.DemandCount{{Service: "desk", Priority: 1, Asked: totals, Refused: map[string]uint64{"overload": totals}}}
		r.report()
	}
	counts = nil
	r.report()
	counts = []steering.DemandCount{{Service: "desk", Priority: 1, Asked: 4}}
	r.report()
	want := map[string]int64{"direct_demand_asked+priority=1,service=desk": 10, "direct_demand_refused+priority=1,reason=overload,service=desk": 6}
	if got := counterValues(scope); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("counters are %v, want %v", got, want)
	}
}

// Guards against metrics that grow with every service that operators ever declare.
func TestDemandReporterBoundsServices(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var counts []steering.DemandCount
	r := newDemandReporter(scope, func() []steering.DemandCount { return counts })
	const services = 3 * maxReportedServices
	for i := range services {
		counts = []steering.DemandCount{{Service: fmt.Sprintf("service-%d", i), Asked: 1}}
		r.report()
	}
	got := counterValues(scope)
	if len(got) != maxReportedServices+1 {
		t.Errorf("%d counters for %d services, want %d", len(got), services, maxReportedServices+1)
	}
	if n := got["direct_demand_asked+priority=0,service=other"]; n != services-maxReportedServices {
		t.Errorf("%d events of other services, want %d", n, services-maxReportedServices)
	}
}
