package steering

import "time"

const (
	// unknownWorkTime is taken for the mean time of a request before one was
	// seen.
	unknownWorkTime = 100 * time.Millisecond
	// workWeight is the weight of a new work time in the mean.
	workWeight = 0.1
	// cheapShare is the part of the others' time that a request may take to be cheap:
	// the three that a slot bears more take no longer than one of the others.
	cheapShare = 1.0 / 3
)

// meanTime is a mean in which newer times weigh more, 0 before the first.
type meanTime time.Duration

func (m *meanTime) add(d time.Duration) {
	if *m == 0 {
		*m = meanTime(d)
	}
	*m += meanTime(workWeight * float64(d-time.Duration(*m)))
}

// briefAreCheap reports whether requests on flows of their own are known to take far
// less time than others.
func (s *flowSection) briefAreCheap() bool {
	brief, other := s.workTimes[classSingleRequest], s.workTimes[classOther]
	return brief > 0 && float64(brief) <= cheapShare*float64(other)
}

// opening is a flow that was opened at a time.
type opening struct {
	flow *flow
	at   time.Time
}

// giveUpExpected frees the places of flows whose callers have not gone on. Load: after
// a loss of power many callers leave while their openings wait.
func (s *flowSection) giveUpExpected(now time.Time) {
	n := 0
	for n < len(s.openings) && now.Sub(s.openings[n].at) > expectTimeout {
		if f := s.openings[n].flow; f.expected {
			s.setExpected(f, false)
			s.setBusy(f, false)
		}
		n++
	}
	if n > 0 {
		s.openings = s.openings[:copy(s.openings, s.openings[n:])]
	}
}

func (s *flowSection) setExpected(f *flow, expected bool) {
	setCounted(&f.expected, expected, &s.expected)
}

func (s *flowSection) setBusy(f *flow, busy bool) { setCounted(&f.busy, busy, &s.busy) }

// setCounted sets a mark and keeps the number of those that are set.
func setCounted(mark *bool, to bool, count *int) {
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
func (s *flowSection) beginWork(now time.Time, f *flow) {
	if f.busy && !f.expected {
		return // more of the same request
	}
	s.setExpected(f, false)
	s.setBusy(f, true)
	f.workBegan, f.sole = now, s.busy-s.expected <= s.slots
}

// endWork notes that the target has begun to answer, and returns how long a
// request took that ended thereby.
func (s *flowSection) endWork(now time.Time, f *flow) (took time.Duration, ended bool) {
	ended = f.busy && !f.expected
	if ended {
		took = now.Sub(f.workBegan)
	}
	if ended && f.sole {
		s.workTime.add(took)
		s.workTimes[classFor(f.brief)].add(took)
	}
	s.setExpected(f, false)
	s.setBusy(f, false)
	return took, ended
}

// perSecond returns the requests that the target finishes in a second with all
// slots in use.
func (s *flowSection) perSecond(slots int) int {
	workTime := time.Duration(s.workTime)
	if workTime <= 0 {
		workTime = unknownWorkTime
	}
	return int(float64(slots) / workTime.Seconds())
}
