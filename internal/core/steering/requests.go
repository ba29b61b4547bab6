package steering

import "time"

const (
	// defaultRequestTime is the assumed mean duration of a request until one was
	// measured.
	defaultRequestTime = 100 * time.Millisecond
	// ewmaWeight is the weight of a new value in the mean.
	ewmaWeight = 0.1
	// cheapRequestRatio bounds the duration of a cheap request relative to that of
	// others: the three more that a slot admits then take no longer than one other.
	cheapRequestRatio = 1.0 / 3
)

// ewmaDuration is an exponentially weighted moving average, 0 before the first value.
type ewmaDuration time.Duration

func (m *ewmaDuration) add(d time.Duration) {
	if *m == 0 {
		*m = ewmaDuration(d)
	}
	*m += ewmaDuration(ewmaWeight * float64(d-time.Duration(*m)))
}

// singleRequestsAreCheap reports whether requests on single-request flows are known to
// take far less time than others.
func (s *flowSection) singleRequestsAreCheap() bool {
	singleRequest, other := s.classRequestTimes[classSingleRequest], s.classRequestTimes[classOther]
	return singleRequest > 0 && float64(singleRequest) <= cheapRequestRatio*float64(other)
}

// recentOpening is a flow and the time of its opening.
type recentOpening struct {
	flow     *localFlow
	openedAt time.Time
}

// expireAwaitedRequests frees the capacity of flows whose first request has not
// arrived in time. After a power outage, many callers abandon flows while their opening
// segments are queued.
func (s *flowSection) expireAwaitedRequests(now time.Time) {
	n := 0
	for n < len(s.recentOpenings) && now.Sub(s.recentOpenings[n].openedAt) > firstRequestTimeout {
		if f := s.recentOpenings[n].flow; f.awaitingRequest {
			f.awaitingRequest = false
			s.setBusy(f, false)
		}
		n++
	}
	if n > 0 {
		s.recentOpenings = s.recentOpenings[:copy(s.recentOpenings, s.recentOpenings[n:])]
	}
}

// setBusy records whether a request of the flow is in flight. If none is, none is running or
// kept either.
func (s *flowSection) setBusy(f *localFlow, busy bool) {
	if !busy {
		s.discardKept(f, discardedFlowEnded)
		s.setRunning(f, false)
	}
	if f.busy != busy {
		s.busy += countOf(busy) - countOf(f.busy)
		setCountedFlag(&f.busy, busy, &s.inFlight[f.priority])
	}
}

// setRunning records whether the target runs a request of the flow.
func (s *flowSection) setRunning(f *localFlow, running bool) {
	if f.running != running {
		s.runningTotal += countOf(running) - countOf(f.running)
		setCountedFlag(&f.running, running, &s.running[f.priority])
	}
}

// countOf returns 1 if a flag is set, and 0 otherwise.
func countOf(flag bool) int {
	if flag {
		return 1
	}
	return 0
}

// setCountedFlag sets a flag to a value and updates the number of flags that are set.
func setCountedFlag(flag *bool, value bool, count *int) {
	switch {
	case *flag == value:
	case value:
		*count++
	default:
		*count--
	}
	*flag = value
}

// startRequest records that a request has arrived.
func (s *flowSection) startRequest(now time.Time, f *localFlow) {
	f.awaitingRequest = false
	s.setBusy(f, true)
	f.health.counted = false
	f.requestStart, f.deliveredAt = now, time.Time{}
}

// startRunning records that a request is delivered to the target.
func (s *flowSection) startRunning(now time.Time, f *localFlow) {
	s.setRunning(f, true)
	f.deliveredAt, f.slotShare = now, 1
	if s.runningTotal <= s.slots {
		return
	}
	// Requests without an objective are not kept, so that the target's queue is of unknown
	// length and order.
	f.slotShare = 0
	if f.objective > 0 {
		f.slotShare = float64(s.slots) / float64(s.runningTotal)
	}
}

// finishRequest records that the target has begun to respond. If a request was running
// or queued, it returns how long that took. While a request is kept, the target's data
// belongs to an earlier one.
func (s *flowSection) finishRequest(now time.Time, f *localFlow) (elapsed time.Duration, finished bool) {
	if f.kept != nil {
		return 0, false
	}
	finished = f.busy && !f.awaitingRequest
	if finished {
		elapsed = now.Sub(f.requestStart)
	}
	if finished && f.slotShare > 0 && !f.health.implausible {
		served := time.Duration(float64(now.Sub(f.deliveredAt)) * f.slotShare)
		s.meanRequestTime.add(served)
		s.classRequestTimes[classFor(f.singleRequest)].add(served)
	}
	f.awaitingRequest = false
	s.setBusy(f, false)
	return elapsed, finished
}

// requestsPerSecond returns the number of requests that the target finishes in a
// second with all slots in use.
func (s *flowSection) requestsPerSecond(slots int) int {
	requestTime := time.Duration(s.meanRequestTime)
	if requestTime <= 0 {
		requestTime = defaultRequestTime
	}
	return int(float64(slots) / requestTime.Seconds())
}
