package steering

import "time"

const (
	// pauseLimit is the time without a step after which a process takes itself for
	// suspended: two ticks of an agent, many of a balancer.
	pauseLimit = time.Second
	// pauseBacklog is how long it then handles what its sockets had kept.
	pauseBacklog = 50 * time.Millisecond
)

// pauseWatch notices that the process was suspended.
type pauseWatch struct{ lastStep, woke time.Time }

// note notes a step and returns how long the process was suspended before it, 0 if
// it was not.
func (p *pauseWatch) note(now time.Time) time.Duration {
	pause := now.Sub(p.lastStep)
	first := p.lastStep.IsZero()
	p.lastStep = now
	if first || pause <= pauseLimit {
		return 0
	}
	p.woke = now
	return pause
}

// stale reports whether opening segments may be as old as a suspension: their
// callers have repeated them on other ways, or given up.
func (p *pauseWatch) stale(now time.Time) bool {
	return !p.woke.IsZero() && now.Sub(p.woke) < pauseBacklog
}

func pauseReport(pause time.Duration) Report {
	return Report{Text: "Process was suspended.", Age: pause}
}
