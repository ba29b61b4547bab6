package admission

import (
	"time"
)

const (
	// coldLimit is the limit for a target of unknown capacity.
	coldLimit = 1
	// growthLatencyFactor is the multiple of the baseline up to which a response
	// lets the limit grow.
	growthLatencyFactor = 1.5
	// slowLatencyFactor is the multiple of the baseline above which a response
	// counts as slow.
	slowLatencyFactor = 4
	// latencyNoise is added to all latency bounds.
	latencyNoise = 10 * time.Millisecond
	// slowResponseThreshold is the number of consecutive slow responses after
	// which the target counts as cold. A single one may be due to the request.
	slowResponseThreshold = 3
	// baselineWeight is the weight of a new latency in the moving baseline.
	baselineWeight = 1.0 / 32
	// minProbeDelay is the time without growth after a back-off. The limit that
	// led to the back-off is tried again after a time that doubles with each
	// back-off, from minProbeDelay up to maxProbeDelay.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 8 * time.Second
	// usageWindow is how long unused capacity stays in the limit. A target that
	// is lightly used may turn cold unnoticed, and a burst would overload it.
	usageWindow = 2 * time.Second
	// staleLimitTimeout is how long a limit stands without any response.
	staleLimitTimeout = 30 * time.Second
)

// limiter is an adaptive limit of the target's concurrent requests.
type limiter struct {
	slots int // hard limit
	limit int // concurrent requests now, at most slots

	baseline       time.Duration // moving average of latencies, 0 before the first
	successes      int           // at the current limit, with the limit in use
	slowInRow      int           // consecutive slow responses
	noGrowthBefore time.Time
	provenLimit    int           // greatest limit confirmed since the last back-off
	probeDelay     time.Duration // wait before the limit exceeds provenLimit
	probeAt        time.Time     // when the limit may exceed provenLimit
	lastResponse   time.Time

	peak      int       // peak concurrency since peakSince
	peakSince time.Time // start of the usage window
}

// setSlots sets the hard limit.
func (l *limiter) setSlots(slots int) {
	l.slots = max(slots, 0)
	l.limit = min(l.limit, l.slots)
	if l.limit < coldLimit {
		l.limit = min(coldLimit, l.slots)
	}
}

// reset returns to the cold limit, for a new target or instance.
func (l *limiter) reset() {
	*l = limiter{slots: l.slots, limit: min(coldLimit, l.slots)}
}

// isCold reports whether the target may have more capacity than the limit.
func (l *limiter) isCold() bool { return l.limit < l.slots }

// backOff sets the limit to coldLimit after a sign of overload.
func (l *limiter) backOff(now time.Time) {
	previous := l.limit
	l.limit = min(coldLimit, l.slots)
	l.successes, l.slowInRow = 0, 0
	if now.Before(l.noGrowthBefore) {
		return // a request that was in flight at the last back-off
	}
	l.provenLimit = max(previous-1, coldLimit)
	l.probeDelay = min(max(2*l.probeDelay, minProbeDelay), maxProbeDelay)
	l.probeAt = now.Add(l.probeDelay)
	l.noGrowthBefore = now.Add(minProbeDelay)
}

// canGrow reports whether the limit may be raised by one.
func (l *limiter) canGrow(now time.Time) bool {
	if l.limit >= l.slots {
		return false
	}
	return l.limit < l.provenLimit || !now.Before(l.probeAt)
}

// recordSuccess counts a response in good time to a request sent at the limit.
// As many of them as the limit confirm the limit, and raise it.
func (l *limiter) recordSuccess(now time.Time) {
	l.successes++
	if l.successes < l.limit {
		return
	}
	l.successes = 0
	if l.limit > l.provenLimit {
		l.provenLimit = l.limit
		l.probeDelay /= 2
	}
	if l.canGrow(now) {
		l.limit++
	}
}

// observeResponse updates the limit from a response. The parameter atLimit
// reports that the limit was reached when the request was sent.
func (l *limiter) observeResponse(now time.Time, latency time.Duration, atLimit bool) {
	l.lastResponse = now
	if l.isSlow(latency) {
		l.recordSlowResponse(now, latency)
		return
	}
	l.slowInRow = 0
	inTime := l.baseline == 0 || latency <= latencyBound(l.baseline, growthLatencyFactor)
	l.updateBaseline(latency)
	if atLimit && inTime && !now.Before(l.noGrowthBefore) {
		l.recordSuccess(now)
	}
}

// recordSlowResponse counts a slow response; several in a row cause a back-off.
// The baseline follows them, so that the limit of a target that stays slower
// grows again.
func (l *limiter) recordSlowResponse(now time.Time, latency time.Duration) {
	l.updateBaseline(min(latency, latencyBound(l.baseline, slowLatencyFactor)))
	l.successes = 0
	l.slowInRow++
	if l.slowInRow >= min(slowResponseThreshold, l.limit) {
		l.backOff(now)
	}
}

// observeAborted updates the limit from an attempt that ended before the
// response.
func (l *limiter) observeAborted(now time.Time, age time.Duration) {
	if l.isSlow(age) {
		l.recordSlowResponse(now, age)
	}
}

// expectedWait returns how long a request behind others is expected to wait for a slot, 0
// if no latency is known.
func (l *limiter) expectedWait(ahead int) time.Duration {
	return l.baseline * time.Duration(ahead+1) / time.Duration(max(l.limit, 1))
}

// isSlow reports whether a latency is far above the baseline.
func (l *limiter) isSlow(latency time.Duration) bool {
	return l.baseline > 0 && latency > latencyBound(l.baseline, slowLatencyFactor)
}

func (l *limiter) updateBaseline(latency time.Duration) {
	if l.baseline == 0 {
		l.baseline = latency
		return
	}
	l.baseline += time.Duration(float64(latency-l.baseline) * baselineWeight)
}

// observeRunning updates the limit from the number of running requests that are
// already slow.
func (l *limiter) observeRunning(now time.Time, slowRunning int) {
	if slowRunning > 0 && l.slowInRow+slowRunning >= min(slowResponseThreshold, l.limit) && l.limit > coldLimit {
		l.backOff(now)
	}
}

// recordUsage records the number of running requests.
func (l *limiter) recordUsage(running int) { l.peak = max(l.peak, running) }

// trimUnused lowers the limit to one above the recent peak, as congestion window
// validation does (RFC 7661). Growth up to provenLimit needs only responses in
// good time.
func (l *limiter) trimUnused(now time.Time) {
	if now.Sub(l.peakSince) < usageWindow {
		return
	}
	if used := max(l.peak+1, coldLimit); l.limit > used {
		l.limit = used
		l.successes = 0
	}
	l.peak, l.peakSince = 0, now
}

// expireStale halves a limit that no response has confirmed for
// staleLimitTimeout: an idle target may have turned cold.
func (l *limiter) expireStale(now time.Time) {
	if l.limit <= coldLimit || now.Sub(l.lastResponse) < staleLimitTimeout {
		return
	}
	l.limit = max(l.limit/2, coldLimit)
	l.successes = 0
	l.lastResponse = now
}

// latencyBound returns a multiple of the baseline, plus latencyNoise.
func latencyBound(baseline time.Duration, factor float64) time.Duration {
	return time.Duration(float64(baseline)*factor) + latencyNoise
}
