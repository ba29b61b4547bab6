package pacing

import "time"

const (
	// startDivisor is the part of the slots with which a new or recovered target starts:
	// one in three, rounded up.
	startDivisor = 3
	// riseRatio bounds the time of an answer that raises the limit, as a multiple of the
	// usual time. Requests wait for one other at most within the target then.
	riseRatio = 2
	// slowRatio is the multiple of the usual time above which an answer is slow.
	slowRatio = 3
	// slowInRow is the number of consecutive slow answers that halve the limit. With a tail
	// of 3% of slow requests, two in a row come about once in a thousand answers.
	slowInRow = 2
	// idleRiseInterval is the time without waiting requests that raises the limit by one.
	idleRiseInterval = 250 * time.Millisecond
	// defaultRequestTime is the assumed time of a request while the usual one is unknown.
	defaultRequestTime = 100 * time.Millisecond
	// maxStepGap is the time between two steps above which the host was frozen. Agents step
	// at least every 500 ms.
	maxStepGap = 750 * time.Millisecond
)

// Limiter is the number of requests in flight up to which a target gets new flows. The zero
// value has no slots; SetSlots sets them.
type Limiter struct {
	slots, limit int
	best         bestMean
	// slow counts consecutive slow answers.
	slow int
	// decreasedAt is when the limit was last halved or set to its start. Answers to requests
	// that were delivered before do not show how the target copes with the lower limit.
	decreasedAt time.Time
	// idleSince is the start of the current idle interval.
	idleSince time.Time
	// lastStep is the time of the last step, resumedAt the end of the last gap between steps.
	lastStep, resumedAt time.Time
}

// Limit returns the number of requests that may run at once, at least 1 if there are slots.
func (l *Limiter) Limit() int { return l.limit }

// SetSlots sets the slots of the target. A limit that was at the slots stays there.
func (l *Limiter) SetSlots(slots int) {
	full := l.limit == l.slots
	l.slots = max(slots, 0)
	if full {
		l.limit = l.slots
		return
	}
	l.setLimit(l.limit)
}

func (l *Limiter) setLimit(limit int) { l.limit = min(max(limit, 1), l.slots) }

// Restart sets the limit to its start: the target is new or has recovered.
func (l *Limiter) Restart(now time.Time) {
	l.setLimit((l.slots + startDivisor - 1) / startDivisor)
	l.slow, l.decreasedAt, l.idleSince = 0, now, now
}

// TakeSlots sets the limit to the slots: the target is not new.
func (l *Limiter) TakeSlots() { l.limit, l.slow = l.slots, 0 }

// Advance records a step. Waiting reports that requests have waited since the last step; time
// without any raises the limit.
func (l *Limiter) Advance(now time.Time, waiting bool) {
	gap := now.Sub(l.lastStep)
	if frozen := !l.lastStep.IsZero() && gap > maxStepGap; frozen {
		l.resumedAt, l.slow = now, 0
		waiting = true // the target may not have run either
	}
	l.lastStep = now
	if waiting || l.limit >= l.slots {
		l.idleSince = now
		return
	}
	if n := now.Sub(l.idleSince) / idleRiseInterval; n > 0 {
		l.setLimit(l.limit + int(min(n, time.Duration(l.slots))))
		l.idleSince = l.idleSince.Add(n * idleRiseInterval)
	}
}

// Answered records that the target has answered a request that was delivered elapsed ago.
// Typical is the typical request time of the service, 0 if unknown. It reports whether the
// limit was halved.
func (l *Limiter) Answered(now time.Time, elapsed, typical time.Duration) (halved bool) {
	delivered := now.Add(-elapsed)
	if delivered.Before(l.resumedAt) {
		return false // the time includes a freeze
	}
	usual := l.Usual(now, typical)
	l.best.add(now, elapsed)
	switch {
	case usual == 0 || elapsed <= riseRatio*usual:
		l.slow = 0
		l.setLimit(l.limit + 1)
	case elapsed <= slowRatio*usual:
		l.slow = 0
	case !delivered.Before(l.decreasedAt):
		l.slow++
		if l.slow >= slowInRow {
			return l.halve(now)
		}
	}
	return false
}

// Reset records that the target has reset a flow instead of answering a request. It reports
// whether the limit was halved.
func (l *Limiter) Reset(now time.Time, typical time.Duration) (halved bool) {
	requestTime := l.Usual(now, typical)
	if requestTime == 0 {
		requestTime = defaultRequestTime
	}
	if now.Sub(l.decreasedAt) < requestTime {
		return false
	}
	return l.halve(now)
}

// halve halves the limit, and reports whether it was above its minimum.
func (l *Limiter) halve(now time.Time) bool {
	before := l.limit
	l.setLimit(l.limit / 2)
	l.slow, l.decreasedAt, l.idleSince = 0, now, now
	return l.limit < before
}

// Usual returns the usual time of a request: the larger of the target's best mean and the
// typical time of the service, 0 if both are unknown.
func (l *Limiter) Usual(now time.Time, typical time.Duration) time.Duration {
	return max(l.best.get(now), typical)
}
