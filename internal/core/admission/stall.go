package admission

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// minStall is the delay of a tick from which the host counts as stalled.
const minStall = latencyNoise

// stallMeter measures how long the agent's process did not run although it was due, by
// the delay of its ticks. A target beside it did not run either: the time says nothing
// about the target's capacity.
type stallMeter struct {
	lastTick time.Time
	total    time.Duration
}

// recordTick records a tick.
func (m *stallMeter) recordTick(now time.Time) {
	m.total = m.stalled(now)
	m.lastTick = now
}

// stalled returns the total time of stalls so far. It includes a stall whose tick has not
// been handled yet.
func (m *stallMeter) stalled(now time.Time) time.Duration {
	if m.lastTick.IsZero() {
		return m.total
	}
	if late := now.Sub(m.lastTick) - core.TickInterval; late >= minStall {
		return m.total + late
	}
	return m.total
}

// stalledSince returns how long the host was stalled since the total was as given.
func (c *Controller) stalledSince(t *core.Turn, total time.Duration) time.Duration {
	return c.stalls.stalled(t.Now) - total
}

// runningTime returns how long a request has run, without the host's stalls.
func (c *Controller) runningTime(t *core.Turn, r *request) time.Duration {
	return t.Now.Sub(r.grantedAt) - c.stalledSince(t, r.stalledAtGrant)
}

// waitingTime returns how long a request has waited, without the host's stalls.
func (c *Controller) waitingTime(t *core.Turn, r *request) time.Duration {
	return t.Now.Sub(r.arrivedAt) - c.stalledSince(t, r.stalledAtArrival)
}
