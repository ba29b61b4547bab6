package steering

import "time"

// maxColdOpenings bounds the memory of the limiter.
const maxColdOpenings = 1024

// coldLimiter bounds the openings at a cold target in any second, or in the time of
// one opening at a rate below one a second.
type coldLimiter struct {
	// openings is the times of the last openings, oldest first.
	openings []time.Time
}

// allows reports whether another opening keeps the rate. A rate of 0 means that
// operators declared none.
func (l *coldLimiter) allows(now time.Time, perSecond float32) bool {
	if perSecond <= 0 {
		return true
	}
	window := time.Second
	if perSecond < 1 {
		window = time.Duration(float32(time.Second) / perSecond)
	}
	l.forget(now.Add(-window))
	return len(l.openings) < min(max(int(perSecond), 1), maxColdOpenings)
}

// take notes an opening.
func (l *coldLimiter) take(now time.Time) {
	if len(l.openings) == maxColdOpenings {
		l.openings = l.openings[:copy(l.openings, l.openings[1:])]
	}
	l.openings = append(l.openings, now)
}

// forget drops the openings before the time.
func (l *coldLimiter) forget(before time.Time) {
	n := 0
	for n < len(l.openings) && l.openings[n].Before(before) {
		n++
	}
	if n > 0 {
		l.openings = l.openings[:copy(l.openings, l.openings[n:])]
	}
}
