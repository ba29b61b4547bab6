package steering

import "time"

const (
	// pauseLimit is the time without a step after which a process takes itself for
	// suspended: two ticks of an agent, many of a balancer.
	suspensionThreshold = time.Second
	// pauseBacklog is how long it then handles what its sockets had kept.
	backlogDuration = 50 * time.Millisecond
)

// pauseWatch notices that the process was suspended.
type suspensionDetector struct{ lastStep, resumedAt time.Time }

// note notes a step and returns how long the process was suspended before it, 0 if
// it was not.
func (p *suspensionDetector) recordStep(now time.Time) time.Duration {
	pause := now.Sub(p.lastStep)
	first := p.lastStep.IsZero()
	p.lastStep = now
	if first || pause <= suspensionThreshold {
		return 0
	}
	p.resumedAt = now
	return pause
}

// stale reports whether opening segments may be as old as a suspension: their
// callers have repeated them on other ways, or given up.
func (p *suspensionDetector) inBacklog(now time.Time) bool {
	return !p.resumedAt.IsZero() && now.Sub(p.resumedAt) < backlogDuration
}

func suspensionReport(pause time.Duration) Report {
	return Report{Text: "Process was suspended.", Age: pause}
}
