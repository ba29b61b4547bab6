package steering

import "time"

// maxRecordedOpenings bounds the memory of the limiter.
const maxRecordedOpenings = 1024

// coldStartLimiter bounds the openings at a cold target in any second, or, at a rate
// below one a second, in the time between two openings.
type coldStartLimiter struct {
	// openings holds the times of the last openings, oldest first.
	openings []time.Time
}

// allows reports whether another opening stays within the rate. A rate of 0 means that
// operators declared none.
func (l *coldStartLimiter) allows(now time.Time, perSecond float32) bool {
	if perSecond <= 0 {
		return true
	}
	window := time.Second
	if perSecond < 1 {
		window = time.Duration(float32(time.Second) / perSecond)
	}
	l.discardBefore(now.Add(-window))
	return len(l.openings) < min(max(int(perSecond), 1), maxRecordedOpenings)
}

// recordOpening records the time of an opening.
func (l *coldStartLimiter) recordOpening(now time.Time) {
	if len(l.openings) == maxRecordedOpenings {
		l.openings = l.openings[:copy(l.openings, l.openings[1:])]
	}
	l.openings = append(l.openings, now)
}

// discardBefore discards the openings before the time.
func (l *coldStartLimiter) discardBefore(before time.Time) {
	n := 0
	for n < len(l.openings) && l.openings[n].Before(before) {
		n++
	}
	if n > 0 {
		l.openings = l.openings[:copy(l.openings, l.openings[n:])]
	}
}
