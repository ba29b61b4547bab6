package pacing

import "time"

const (
	// meanWeight is the weight of a new value in the mean.
	meanWeight = 0.1
	// minAnswers is the number of answers after which the mean counts. A target that starts
	// at a fifth of its speed is measured by its service until then.
	minAnswers = 20
	// bestWindow is the interval after which the best mean of the interval before it expires.
	// A target whose requests become longer for good is judged by them after two intervals.
	bestWindow = time.Minute
)

// bestMean is the lowest mean of request times in the present and the previous interval.
type bestMean struct {
	mean    time.Duration
	answers int
	// started is the start of the present interval. current and previous are the lowest
	// means of both, 0 if unknown.
	started           time.Time
	current, previous time.Duration
}

// rotate starts another interval if the present one is over. After an interval without
// answers, the last mean is the best knowledge.
func (b *bestMean) rotate(now time.Time) {
	elapsed := now.Sub(b.started)
	if elapsed < bestWindow {
		return
	}
	b.previous, b.current, b.started = b.current, 0, now
	if (elapsed >= 2*bestWindow || b.previous == 0) && b.answers >= minAnswers {
		b.previous = b.mean
	}
}

func (b *bestMean) add(now time.Time, elapsed time.Duration) {
	b.rotate(now)
	b.answers = min(b.answers+1, minAnswers)
	if b.answers == 1 {
		b.mean = elapsed
	}
	b.mean += time.Duration(meanWeight * float64(elapsed-b.mean))
	if b.answers >= minAnswers && (b.current == 0 || b.mean < b.current) {
		b.current = b.mean
	}
}

// get returns the best mean, 0 if unknown.
func (b *bestMean) get(now time.Time) time.Duration {
	b.rotate(now)
	if b.current == 0 || b.previous == 0 {
		return max(b.current, b.previous)
	}
	return min(b.current, b.previous)
}
