package steering

import "time"

const (
	// unknownWorkTime is taken for the mean time of a request before one was
	// seen.
	unknownWorkTime = 100 * time.Millisecond
	// workWeight is the weight of a new work time in the mean.
	workWeight = 0.1
)

func (s *flowSection) setExpected(f *flow, expected bool) {
	if f.expected == expected {
		return
	}
	f.expected = expected
	if expected {
		s.expected++
	} else {
		s.expected--
	}
}

func (s *flowSection) setBusy(f *flow, busy bool) {
	if f.busy == busy {
		return
	}
	f.busy = busy
	if busy {
		s.busy++
	} else {
		s.busy--
	}
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
		if s.workTime == 0 {
			s.workTime = took
		}
		s.workTime += time.Duration(workWeight * float64(took-s.workTime))
	}
	s.setExpected(f, false)
	s.setBusy(f, false)
	return took, ended
}

// perSecond returns the requests that the target finishes in a second with all
// slots in use.
func (s *flowSection) perSecond(slots int) int {
	workTime := s.workTime
	if workTime <= 0 {
		workTime = unknownWorkTime
	}
	return int(float64(slots) / workTime.Seconds())
}
