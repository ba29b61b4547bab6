package admission

import (
	"time"
)

const (
	// coldLimit is the concurrent requests that a target gets whose capacity
	// is unknown.
	coldLimit = 1
	// growthLatency is how many times the baseline an answer may take for the
	// limit to grow.
	growthLatency = 1.5
	// slowLatency is how many times the baseline an answer takes that counts
	// as slow.
	slowLatency = 4
	// latencyNoise is added to all latency bounds.
	latencyNoise = 10 * time.Millisecond
	// slowAnswers is how many slow answers in a row tell that a target has
	// turned cold. A single one may be due to the request.
	slowAnswers = 3
	// baselineWeight is the weight of a new latency in the moving baseline.
	baselineWeight = 1.0 / 32
	// minHold is how long the limit rests after a fall. The limit that led to
	// the fall is tried again after a time that doubles with each fall, from
	// minHold up to maxHold.
	minHold = 500 * time.Millisecond
	maxHold = 8 * time.Second
	// unusedAfter is how long capacity beyond the use stands. A target may turn
	// cold unnoticed while it is lightly used, and a burst would then find out.
	unusedAfter = 2 * time.Second
	// staleAfter is how long a limit stands without any answer.
	staleAfter = 30 * time.Second
)

// limiter learns how many concurrent requests the target bears.
type limiter struct {
	slots int // hard limit
	limit int // concurrent requests now, at most slots

	baseline  time.Duration // moving average of latencies, 0 before the first
	successes int           // at the current limit, with the limit in use
	slow      int           // slow answers in a row
	rest      time.Time     // no growth before
	ceiling   int           // greatest limit since the last fall known to be borne
	hold      time.Duration // wait before the ceiling is exceeded
	holdUntil time.Time
	confirmed time.Time // last answer

	peak      int       // most requests running at once since peakSince
	peakSince time.Time // start of the window of peak
}

// setSlots sets the hard limit.
func (l *limiter) setSlots(slots int) {
	l.slots = max(slots, 0)
	l.limit = min(l.limit, l.slots)
	if l.limit < coldLimit {
		l.limit = min(coldLimit, l.slots)
	}
}

// reset forgets what was learnt, for a new target or instance.
func (l *limiter) reset() {
	*l = limiter{slots: l.slots, limit: min(coldLimit, l.slots)}
}

// cold reports whether the target may bear more than the limit.
func (l *limiter) cold() bool { return l.limit < l.slots }

// fall sets the limit to the cold floor after a sign of overload.
func (l *limiter) fall(now time.Time) {
	fallen := l.limit
	l.limit = min(coldLimit, l.slots)
	l.successes, l.slow = 0, 0
	if now.Before(l.rest) {
		return // a request that was in flight at the last fall
	}
	l.ceiling = max(fallen-1, coldLimit)
	l.hold = min(max(2*l.hold, minHold), maxHold)
	l.holdUntil = now.Add(l.hold)
	l.rest = now.Add(minHold)
}

// mayGrow reports whether the target may be tried with one request more.
func (l *limiter) mayGrow(now time.Time) bool {
	if l.limit >= l.slots {
		return false
	}
	return l.limit < l.ceiling || !now.Before(l.holdUntil)
}

// success counts an answer in good time with the limit in use. As many of them
// as the limit allows at a time confirm it, and raise it.
func (l *limiter) success(now time.Time) {
	l.successes++
	if l.successes < l.limit {
		return
	}
	l.successes = 0
	if l.limit > l.ceiling {
		l.ceiling = l.limit
		l.hold /= 2
	}
	if l.mayGrow(now) {
		l.limit++
	}
}

// answered learns from an answer. Full reports that the limit was in use when
// the request was sent.
func (l *limiter) answered(now time.Time, latency time.Duration, full bool) {
	l.confirmed = now
	if l.isSlow(latency) {
		l.slowAnswer(now, latency)
		return
	}
	l.slow = 0
	calm := l.baseline == 0 || latency <= bound(l.baseline, growthLatency)
	l.learn(latency)
	if full && calm && !now.Before(l.rest) {
		l.success(now)
	}
}

// slowAnswer counts a slow answer; several in a row are a fall. The baseline
// follows them, so that a target that stays slower is probed again.
func (l *limiter) slowAnswer(now time.Time, latency time.Duration) {
	l.learn(min(latency, bound(l.baseline, slowLatency)))
	l.successes = 0
	l.slow++
	if l.slow >= min(slowAnswers, l.limit) {
		l.fall(now)
	}
}

// cutShort learns from an attempt that was ended before the answer.
func (l *limiter) cutShort(now time.Time, age time.Duration) {
	if l.isSlow(age) {
		l.slowAnswer(now, age)
	}
}

// isSlow reports whether a latency is far above the baseline.
func (l *limiter) isSlow(latency time.Duration) bool {
	return l.baseline > 0 && latency > bound(l.baseline, slowLatency)
}

func (l *limiter) learn(latency time.Duration) {
	if l.baseline == 0 {
		l.baseline = latency
		return
	}
	l.baseline += time.Duration(float64(latency-l.baseline) * baselineWeight)
}

// waiting learns from the ages of the requests that run now.
func (l *limiter) waiting(now time.Time, slowRunning int) {
	if slowRunning > 0 && l.slow+slowRunning >= min(slowAnswers, l.limit) && l.limit > coldLimit {
		l.fall(now)
	}
}

// use notes the requests that run now.
func (l *limiter) use(running int) { l.peak = max(l.peak, running) }

// trim lowers the limit to one above what was used of late, as congestion window
// validation does (RFC 7661). Growth up to the ceiling takes only good answers.
func (l *limiter) trim(now time.Time) {
	if now.Sub(l.peakSince) < unusedAfter {
		return
	}
	if used := max(l.peak+1, coldLimit); l.limit > used {
		l.limit = used
		l.successes = 0
	}
	l.peak, l.peakSince = 0, now
}

// expire halves a limit that no answer has confirmed for long: an idle target
// may have turned cold.
func (l *limiter) expire(now time.Time) {
	if l.limit <= coldLimit || now.Sub(l.confirmed) < staleAfter {
		return
	}
	l.limit = max(l.limit/2, coldLimit)
	l.successes = 0
	l.confirmed = now
}

// bound returns the latency that is a multiple of the baseline.
func bound(baseline time.Duration, factor float64) time.Duration {
	return time.Duration(float64(baseline)*factor) + latencyNoise
}
