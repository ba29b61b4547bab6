package steering

import "time"

const (
	// backwardBeats is how many heartbeats of a lifetime that seems to lie before
	// the known one show that it is the newer one: late ones of a target that has
	// ended come seldom.
	minRollbackHeartbeats = 3
	// backwardSpacing is the least part of the heartbeat interval between these:
	// late ones come all at once.
	minRollbackSpacing = 0.5
)

// backward is the heartbeats of a lifetime that lies before the known one. The
// clock of the target's host may have been set back before the target started.
type clockRollback struct {
	incarnation, sequence int64
	heartbeats            int
	lastHeartbeat         time.Time
}

// noteEarlier notes a heartbeat of a lifetime that lies before the known one. It
// reports whether the target has started again nevertheless: the known lifetime must
// have fallen silent.
func (t *targetSection) recordEarlierHeartbeat(now time.Time, h *Heartbeat) bool {
	b := &t.rollback
	silent := now.Sub(t.lastHeartbeat) > heartbeatTimeoutIntervals*t.heartbeatInterval
	if h.Incarnation != b.incarnation || !silent && !t.deregistered {
		*b = clockRollback{incarnation: h.Incarnation, sequence: h.Sequence, lastHeartbeat: now}
		return false
	}
	spaced := now.Sub(b.lastHeartbeat) >= time.Duration(minRollbackSpacing*float64(t.heartbeatInterval))
	if h.Sequence > b.sequence && spaced {
		b.heartbeats++
		b.lastHeartbeat = now
	}
	b.sequence = max(b.sequence, h.Sequence)
	return b.heartbeats >= minRollbackHeartbeats
}
