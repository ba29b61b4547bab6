package direct

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

const (
	// maxReportedServices bounds the services with counters of their own, and so the number
	// of metrics that a process ever exports: a scope never forgets a tag.
	maxReportedServices = 64
	// otherServices is the tag of all further services.
	otherServices = "other"
)

// demandReporter reports the totals by service and priority as counters with tags.
type demandReporter struct {
	scope    tally.Scope
	counts   func() []steering.DemandCount
	services map[string]bool
	// reported holds the totals that were last reported, for the services in force.
	reported map[demandKey]steering.DemandCount
}

type demandKey struct {
	service  string
	priority uint8
}

func newDemandReporter(scope tally.Scope, counts func() []steering.DemandCount) *demandReporter {
	return &demandReporter{scope: scope, counts: counts, services: make(map[string]bool), reported: make(map[demandKey]steering.DemandCount)}
}

// report adds the growth of the totals since the last call to the counters.
func (r *demandReporter) report() {
	reported := make(map[demandKey]steering.DemandCount)
	for _, c := range r.counts() {
		key := demandKey{c.Service, c.Priority}
		last := r.reported[key]
		reported[key] = c
		tags := map[string]string{"service": r.serviceTag(c.Service), "priority": strconv.Itoa(int(c.Priority))}
		scope := r.scope.Tagged(tags)
		scope.Counter("direct_demand_asked").Inc(growth(last.Asked, c.Asked))
		scope.Counter("direct_demand_admitted").Inc(growth(last.Admitted, c.Admitted))
		scope.Counter("direct_demand_queued").Inc(growth(last.Queued, c.Queued))
		scope.Counter("direct_demand_reoffered").Inc(growth(last.Reoffered, c.Reoffered))
		scope.Counter("direct_demand_late").Inc(growth(last.Late, c.Late))
		for reason, n := range c.Refused {
			scope.Tagged(map[string]string{"reason": reason}).Counter("direct_demand_refused").Inc(growth(last.Refused[reason], n))
		}
	}
	r.reported = reported
}

// growth returns the growth of a total, which starts at 0 again when its service has left the
// configuration and returned.
func growth(last, total uint64) int64 {
	if total < last {
		last = 0
	}
	return int64(total - last)
}

// serviceTag returns the tag of a service.
func (r *demandReporter) serviceTag(service string) string {
	if !r.services[service] {
		if len(r.services) >= maxReportedServices {
			return otherServices
		}
		r.services[service] = true
	}
	return service
}

// demandCounts returns the core's totals by service and priority.
func (n *node) demandCounts() []steering.DemandCount {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.DemandCounts()
}
