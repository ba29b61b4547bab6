package steering

import "time"

const (
	// backwardBeats is how many heartbeats of a lifetime that seems to lie before
	// the known one show that it is the newer one: late ones of a target that has
	// ended come seldom.
	backwardBeats = 3
	// backwardSpacing is the least part of the heartbeat interval between these:
	// late ones come all at once.
	backwardSpacing = 0.5
)

// backward is the heartbeats of a lifetime that lies before the known one. The
// clock of the target's host may have been set back before the target started.
type backward struct {
	lifetime, sequence int64
	beats              int
	last               time.Time
}

// noteEarlier notes a heartbeat of a lifetime that lies before the known one. It
// reports whether the target has started again nevertheless: the known lifetime must
// have fallen silent.
func (t *targetSection) noteEarlier(now time.Time, h *Heartbeat) bool {
	b := &t.backward
	silent := now.Sub(t.lastBeat) > missedHeartbeats*t.interval
	if h.Incarnation != b.lifetime || !silent && !t.gone {
		*b = backward{lifetime: h.Incarnation, sequence: h.Sequence, last: now}
		return false
	}
	spaced := now.Sub(b.last) >= time.Duration(backwardSpacing*float64(t.interval))
	if h.Sequence > b.sequence && spaced {
		b.beats++
		b.last = now
	}
	b.sequence = max(b.sequence, h.Sequence)
	return b.beats >= backwardBeats
}
