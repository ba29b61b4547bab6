package steering

import "time"

const (
	// coldWindow is the span in which openings at a cold target are counted.
	coldWindow = time.Second
	// maxColdOpenings bounds the memory of the limiter.
	maxColdOpenings = 1024
)

// coldLimiter bounds the openings at a cold target in any second.
type coldLimiter struct {
	// openings is the times of the openings in the last second, oldest first.
	openings []time.Time
}

// allows reports whether another opening keeps the rate. A rate of 0 means that
// operators declared none.
func (l *coldLimiter) allows(now time.Time, perSecond float32) bool {
	if perSecond <= 0 {
		return true
	}
	l.trim(now)
	return len(l.openings) < min(max(int(perSecond), 1), maxColdOpenings)
}

// take notes an opening.
func (l *coldLimiter) take(now time.Time) {
	l.trim(now)
	if len(l.openings) < maxColdOpenings {
		l.openings = append(l.openings, now)
	}
}

func (l *coldLimiter) trim(now time.Time) {
	n := 0
	for n < len(l.openings) && now.Sub(l.openings[n]) > coldWindow {
		n++
	}
	if n > 0 {
		l.openings = l.openings[:copy(l.openings, l.openings[n:])]
	}
}
