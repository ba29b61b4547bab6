package steering

import "time"

const (
	// suspensionThreshold is the time without a step after which a process is taken to
	// have been suspended: two ticks of an agent, many of a balancer.
	suspensionThreshold = time.Second
	// backlogDuration is how long the process then handles what was queued in its
	// sockets.
	backlogDuration = 50 * time.Millisecond
)

// suspensionDetector detects that the process was suspended.
type suspensionDetector struct{ lastStep, resumedAt time.Time }

// recordStep records a step and returns how long the process was suspended before it,
// 0 if it was not.
func (d *suspensionDetector) recordStep(now time.Time) time.Duration {
	gap := now.Sub(d.lastStep)
	first := d.lastStep.IsZero()
	d.lastStep = now
	if first || gap <= suspensionThreshold {
		return 0
	}
	d.resumedAt = now
	return gap
}

// inBacklog reports whether opening segments may have been queued during a suspension.
// Their callers have retransmitted them through other balancers, or abandoned the flow.
func (d *suspensionDetector) inBacklog(now time.Time) bool {
	return !d.resumedAt.IsZero() && now.Sub(d.resumedAt) < backlogDuration
}

func suspensionReport(suspended time.Duration) Report {
	return Report{Text: "Process was suspended.", Age: suspended}
}
