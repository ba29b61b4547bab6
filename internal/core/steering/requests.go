package steering

import "time"

const (
	// unknownWorkTime is taken for the mean time of a request before one was
	// seen.
	defaultRequestTime = 100 * time.Millisecond
	// workWeight is the weight of a new work time in the mean.
	ewmaWeight = 0.1
	// cheapShare is the part of the others' time that a request may take to be cheap:
	// the three that a slot bears more take no longer than one of the others.
	cheapRequestRatio = 1.0 / 3
)

// meanTime is a mean in which newer times weigh more, 0 before the first.
type ewmaDuration time.Duration

func (m *ewmaDuration) add(d time.Duration) {
	if *m == 0 {
		*m = ewmaDuration(d)
	}
	*m += ewmaDuration(ewmaWeight * float64(d-time.Duration(*m)))
}

// briefAreCheap reports whether requests on flows of their own are known to take far
// less time than others.
func (s *flowSection) singleRequestsAreCheap() bool {
	brief, other := s.classRequestTimes[classBrief], s.classRequestTimes[classOther]
	return brief > 0 && float64(brief) <= cheapRequestRatio*float64(other)
}

// opening is a flow that was opened at a time.
type recentOpening struct {
	flow     *localFlow
	openedAt time.Time
}

// giveUpExpected frees the places of flows whose callers have not gone on. Load: after
// a loss of power many callers leave while their openings wait.
func (s *flowSection) expireAwaitedRequests(now time.Time) {
	n := 0
	for n < len(s.recentOpenings) && now.Sub(s.recentOpenings[n].openedAt) > firstRequestTimeout {
		if f := s.recentOpenings[n].flow; f.awaitingRequest {
			s.setAwaitingRequest(f, false)
			s.setBusy(f, false)
		}
		n++
	}
	if n > 0 {
		s.recentOpenings = s.recentOpenings[:copy(s.recentOpenings, s.recentOpenings[n:])]
	}
}

func (s *flowSection) setAwaitingRequest(f *localFlow, expected bool) {
	setCountedFlag(&f.awaitingRequest, expected, &s.awaitingRequest)
}

func (s *flowSection) setBusy(f *localFlow, busy bool) { setCountedFlag(&f.busy, busy, &s.busy) }

// setCounted sets a mark and keeps the number of those that are set.
func setCountedFlag(mark *bool, to bool, count *int) {
	switch {
	case *mark == to:
	case to:
		*count++
	default:
		*count--
	}
	*mark = to
}

// beginWork notes that the caller has sent a request.
func (s *flowSection) startRequest(now time.Time, f *localFlow) {
	if f.busy && !f.awaitingRequest {
		return // more of the same request
	}
	s.setAwaitingRequest(f, false)
	s.setBusy(f, true)
	f.requestStart, f.uncontended = now, s.busy-s.awaitingRequest <= s.slots
}

// endWork notes that the target has begun to answer, and returns how long a
// request took that ended thereby.
func (s *flowSection) finishRequest(now time.Time, f *localFlow) (took time.Duration, ended bool) {
	ended = f.busy && !f.awaitingRequest
	if ended {
		took = now.Sub(f.requestStart)
	}
	if ended && f.uncontended {
		s.meanRequestTime.add(took)
		s.classRequestTimes[classFor(f.singleRequest)].add(took)
	}
	s.setAwaitingRequest(f, false)
	s.setBusy(f, false)
	return took, ended
}

// perSecond returns the requests that the target finishes in a second with all
// slots in use.
func (s *flowSection) requestsPerSecond(slots int) int {
	workTime := time.Duration(s.meanRequestTime)
	if workTime <= 0 {
		workTime = defaultRequestTime
	}
	return int(float64(slots) / workTime.Seconds())
}
