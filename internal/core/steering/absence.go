package steering

import "time"

// absenceTimeoutIntervals is the number of heartbeat intervals without a heartbeat since
// the agent's start after which the agent probes whether a target runs at all.
const absenceTimeoutIntervals = 3

// TargetProbed is the result of an attempt to connect to the target's address.
type TargetProbed struct {
	// Refused reports that no process listens there.
	Refused bool
}

func (*TargetProbed) event() {}

// probeMissingTarget requests a probe if no target has shown itself since the agent's
// start. After a loss of power, targets that were draining do not return, but their
// agents do: as long as these can't rule out flows of the earlier target, no search for
// a lost flow ends, and its caller waits until its deadline.
func (a *Agent) probeMissingTarget(now time.Time) {
	t := &a.target
	since := a.startedAt
	if t.lastProbe.After(since) {
		since = t.lastProbe
	}
	if t.known || t.absent || now.Sub(since) < absenceTimeoutIntervals*a.identity.HeartbeatInterval {
		return
	}
	t.lastProbe = now
	a.emit(Effect{Kind: EffectProbe})
}

// handleProbed concludes that no target runs if its address refuses connections, it has
// sent no heartbeat for several intervals, and no segment either. A target that starts
// later has no flows yet.
func (a *Agent) handleProbed(now time.Time, e *TargetProbed) {
	t := &a.target
	if !e.Refused || t.known || t.absent || a.flows.anyResponded() {
		return
	}
	t.absent, t.savedFlows = true, nil
	a.report(Report{Text: "No target runs on the host.", Node: a.identity.Node, Age: now.Sub(a.startedAt)})
	a.markComplete(completeAfterAbsence)
	if t.previous.incarnation != 0 {
		a.emit(Effect{Kind: EffectUnregister}) // an earlier process may have left a record
	}
	a.resetFlows(a.flows.removeInactive(now))
}
