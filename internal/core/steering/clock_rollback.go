package steering

import "time"

const (
	// minRollbackHeartbeats is how many heartbeats of an incarnation that seems older
	// than the known one show that it is the newer one: delayed heartbeats of a target
	// that has ended are few.
	minRollbackHeartbeats = 3
	// minRollbackSpacing is the minimum time between these, as a fraction of the
	// heartbeat interval: delayed heartbeats arrive all at once.
	minRollbackSpacing = 0.5
)

// clockRollback counts the heartbeats of an incarnation that seems older than the known
// one. The clock of the target's host may have been set back before the target started.
type clockRollback struct {
	incarnation, sequence int64
	heartbeats            int
	lastHeartbeat         time.Time
}

// recordEarlierHeartbeat records a heartbeat of an incarnation that seems older than the
// known one. It reports whether the target has nevertheless restarted, which requires
// that the known incarnation sends no heartbeats any more.
func (t *targetSection) recordEarlierHeartbeat(now time.Time, h *Heartbeat) bool {
	rollback := &t.rollback
	silent := now.Sub(t.lastHeartbeat) > heartbeatTimeoutIntervals*t.heartbeatInterval
	if h.Incarnation != rollback.incarnation || !silent && !t.deregistered {
		*rollback = clockRollback{incarnation: h.Incarnation, sequence: h.Sequence, lastHeartbeat: now}
		return false
	}
	spaced := now.Sub(rollback.lastHeartbeat) >= time.Duration(minRollbackSpacing*float64(t.heartbeatInterval))
	if h.Sequence > rollback.sequence && spaced {
		rollback.heartbeats++
		rollback.lastHeartbeat = now
	}
	rollback.sequence = max(rollback.sequence, h.Sequence)
	return rollback.heartbeats >= minRollbackHeartbeats
}
