package steering

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/requestqueue"
)

// checkAdmission returns why the agent refuses a new flow without an objective now, or
// NotRefused if it admits one.
func (a *Agent) checkAdmission(now time.Time, service ServiceID, class flowClass) Refusal {
	return a.checkOpening(now, service, class, Demand{}, nil)
}

// isBusy reports whether the target has too many requests in flight for a new flow. With an
// objective, the flow's first request has to be expected within half of what remains, and the
// limit does not apply if it can go before waiting requests of lower priorities.
func (a *Agent) isBusy(class flowClass, demand Demand) bool {
	if demand.Objective <= 0 {
		return a.flows.busy >= a.target.slots*a.requestLimitPerSlot(class)
	}
	ahead := a.flows.ahead(demand.Priority)
	return !a.capacity().Admits(ahead, demand.Objective) || a.flows.busy >= a.target.slots*maxRequestsPerSlot && ahead >= a.flows.busy
}

// isLoaded reports whether an offered flow would delay requests of lower priorities beyond the
// usual limit. Its balancer looks for a less loaded agent first: otherwise some targets get
// queues while others have room.
func (a *Agent) isLoaded(demand Demand, offer *Message) bool {
	return offer != nil && demand.Objective > 0 && !offer.MayDelay && a.flows.busy >= a.target.slots*maxRequestsPerSlot
}

// capacity returns what the target can run.
func (a *Agent) capacity() requestqueue.Capacity {
	return requestqueue.Capacity{Concurrency: a.concurrency(), RequestTime: time.Duration(a.flows.meanRequestTime)}
}

// ahead returns the number of in-flight requests that a new one of the priority waits for:
// those of the same or a higher priority, and all that the target runs.
func (s *flowSection) ahead(priority uint8) int {
	n := 0
	for p := range NumPriorities {
		if p <= int(priority) {
			n += s.inFlight[p]
		} else {
			n += s.running[p]
		}
	}
	return n
}

func (s *flowSection) aheadByPriority() (ahead [NumPriorities]uint16) {
	for p := range ahead {
		ahead[p] = uint16(min(s.ahead(uint8(p)), 1<<16-1))
	}
	return ahead
}

// limitPriority returns the priority that nodes distinguish.
func limitPriority(priority uint8) uint8 { return min(priority, NumPriorities-1) }

// setOpeningDemand sets the demand of a flow from its opening, whose objective is what
// remains of it.
func (f *localFlow) setOpeningDemand(now time.Time, d Demand) {
	f.priority, f.objective = limitPriority(d.Priority), d.Objective
	if d.Objective > 0 {
		f.firstDeadline = now.Add(d.Objective)
	}
}

// updateDemand updates the demand of a flow from that of a forwarded segment, whose objective
// is the full one. The larger objective applies, as the opening carried what remained.
func (s *flowSection) updateDemand(f *localFlow, d Demand) {
	if d.Objective <= 0 {
		return
	}
	f.objective = max(f.objective, d.Objective)
	priority := limitPriority(d.Priority)
	if priority == f.priority {
		return
	}
	s.inFlight[f.priority] -= countOf(f.busy)
	s.inFlight[priority] += countOf(f.busy)
	s.running[f.priority] -= countOf(f.running)
	s.running[priority] += countOf(f.running)
	f.priority = priority
	if f.kept != nil {
		s.waiting.SetPriority(f, priority)
	}
}
