package steering

import (
	"cmp"
	"slices"
	"time"
)

// SavedFlow is an open flow as it is stored outside the agent's process.
type SavedFlow struct {
	Flow Flow
	// Ack is the caller's last acknowledgement. The sequence number of a reset has to
	// be near it.
	Ack uint32
	// HalfOpen reports that the handshake was not seen to complete: the flow may be open
	// at this target, at another one, or nowhere.
	HalfOpen bool
	// NonIdempotent reports that the flow's requests must not run twice.
	NonIdempotent bool
}

// SavedFlows holds the open flows of a target, as an agent's process saved them. If
// the target has ended, the agent resets these flows before their callers send another
// request. A search can't find that they are lost while another host is down, as its
// agent might be the holder.
type SavedFlows struct {
	Incarnation int64
	// Final reports that these are all flows of the target: they were saved at a
	// graceful shutdown, and no other process has registered since.
	Final bool
	// SavedAt is when they were saved, by the clock of AgentIdentity.StartedAt, and
	// SavedTime is the time of day then.
	SavedAt   time.Duration
	SavedTime time.Time
	// Agents is the last known number of agents.
	Agents uint16
	Flows  []SavedFlow
}

func (*SavedFlows) event() {}

// maxAckDrift is how many bytes a saved acknowledgement may lag before the flows are
// saved again: half of the error that is allowed in a reset's sequence number.
const maxAckDrift = 38_000

// maxSavedFlows bounds the saved flows of an agent: a third of the 1,560 flows of a
// target at the planned size, in a value of 32 KB.
const maxSavedFlows = 512

// SnapshotFlows returns the flows to save, in a fixed order: the open ones, or all
// flows if the agent is stopping and can hand them over. If there are too many, those of
// non-idempotent requests are preferred: a late reset costs their callers most.
func (a *Agent) SnapshotFlows(now time.Time) SavedFlows {
	if !a.target.known && a.target.savedFlows != nil {
		// No target is known yet: the flows are as the previous process saved them.
		out := *a.target.savedFlows
		out.Final = out.Final && a.stopping
		out.SavedAt, out.SavedTime = a.hostTime(now), now
		return out
	}
	out := SavedFlows{
		Incarnation: a.target.incarnation, Final: a.canHandOver(), SavedAt: a.hostTime(now), SavedTime: now,
		Agents: a.balancers.agentCount,
	}
	for f, local := range a.flows.byFlow {
		if out.Final || local.established && !local.closed {
			out.Flows = append(out.Flows, SavedFlow{Flow: f, Ack: local.callerAck, HalfOpen: !local.established, NonIdempotent: local.nonIdempotent})
		}
	}
	if !out.Final && len(out.Flows) > maxSavedFlows {
		slices.SortFunc(out.Flows, compareSavePriority)
		out.Flows = out.Flows[:maxSavedFlows]
	}
	sortSavedFlows(out.Flows)
	return out
}

// canHandOver reports whether the agent's flows are all flows of the target, and the next
// process can tell that no other one has served it in between.
func (a *Agent) canHandOver() bool {
	return a.stopping && a.target.knowsAllFlows() && a.target.writtenIncarnation != 0 && a.identity.StartedAt > 0
}

// hostTime returns a time by the clock of AgentIdentity.StartedAt, or one shortly before.
func (a *Agent) hostTime(now time.Time) time.Duration {
	return a.identity.StartedAt + now.Sub(a.startedAt)
}

// isHandedOver reports whether saved flows are still all flows of the target. If not, a
// process may have served the target between the hand-over and this process, during an
// outage of the store. After a restart of the host, its clock begins anew; then the target
// is another one too.
func (a *Agent) isHandedOver(s *SavedFlows) bool {
	age := a.identity.StartedAt - s.SavedAt
	return s.Final && s.SavedAt > 0 && age >= 0 && age < handOverValidity
}

// hostRestartedSince reports whether the host has restarted since a time of its clock, at
// which it had a time of day: its clock began anew, while the time of day went on. All
// processes of that time have ended then. It is false if the time is unknown.
func (a *Agent) hostRestartedSince(at time.Duration, timeOfDay time.Time) bool {
	if at <= 0 || a.identity.StartedAt <= 0 {
		return false
	}
	elapsed, elapsedOfDay := a.identity.StartedAt-at, a.startedAt.Sub(timeOfDay)
	return elapsed < 0 || (elapsed-elapsedOfDay).Abs() > maxTimeStep
}

// compareSavePriority orders flows of non-idempotent requests first, and flows of equal
// priority by their hash.
func compareSavePriority(x, y SavedFlow) int {
	switch {
	case x.NonIdempotent == y.NonIdempotent:
		return cmp.Compare(x.Flow.Hash(), y.Flow.Hash())
	case x.NonIdempotent:
		return -1
	}
	return 1
}

func sortSavedFlows(flows []SavedFlow) {
	slices.SortFunc(flows, func(x, y SavedFlow) int { return cmp.Compare(x.Flow.Hash(), y.Flow.Hash()) })
}

// IsUpToDate reports whether the saved flows need not be replaced by the current ones. A
// hand-over is always written, as its time counts.
func (s *SavedFlows) IsUpToDate(current *SavedFlows) bool {
	if s.Incarnation != current.Incarnation || s.Final || current.Final || s.Agents != current.Agents || len(s.Flows) != len(current.Flows) {
		return false
	}
	for i := range s.Flows {
		if s.Flows[i].Flow != current.Flows[i].Flow || current.Flows[i].Ack-s.Flows[i].Ack > maxAckDrift {
			return false
		}
	}
	return true
}

// restoreSavedFlows restores the flows that an earlier process saved. Until the target
// is known they count as open: the target returns segments of flows that it does not
// hold.
func (a *Agent) restoreSavedFlows(now time.Time, s *SavedFlows) {
	a.balancers.agentCount = max(a.balancers.agentCount, s.Agents)
	s.Final = a.isHandedOver(s)
	if a.target.absent {
		a.resetFlows(a.flows.removeSaved(s.Flows))
		return
	}
	a.target.savedFlows = s
	a.target.savedSinceHostStart = s.SavedAt > 0 && !a.hostRestartedSince(s.SavedAt, s.SavedTime)
	a.report(Report{Text: "Saved flows were read.", Node: a.identity.Node, Why: savedState(s), Count: len(s.Flows), Incarnation: s.Incarnation})
	if !a.target.known {
		a.flows.addSaved(now, a.lastHeld(s), s.Flows)
		a.markHandedOver(s)
	}
	a.applySavedFlows(now)
}

// applySavedFlows adds the saved flows if they may be of the target's current incarnation,
// and resets them if they are of an earlier one that has ended.
func (a *Agent) applySavedFlows(now time.Time) {
	s := a.target.savedFlows
	if s == nil || !a.target.known || s.Incarnation < a.target.incarnation && !a.savedTargetEnded(now, s) {
		return
	}
	a.target.savedFlows = nil
	switch {
	case s.Incarnation == a.target.incarnation:
		a.flows.addSaved(now, a.lastHeld(s), s.Flows)
		a.markHandedOver(s)
	case s.Incarnation < a.target.incarnation && a.targetStartedSince(s):
		a.resetFlows(a.flows.removeSaved(s.Flows))
	case s.Incarnation < a.target.incarnation:
		// Some may have been opened at the present incarnation before its first heartbeat.
		a.flows.addSaved(now, a.lastHeld(s), s.Flows)
	}
}

// lastHeld returns the last time at which a target may have held saved flows.
func (a *Agent) lastHeld(s *SavedFlows) time.Time {
	if s.SavedAt <= 0 {
		return a.startedAt
	}
	return a.startedAt.Add(min(s.SavedAt-a.identity.StartedAt, 0))
}

// targetStartedSince reports whether the present target has started since flows were saved,
// and so holds none of them.
func (a *Agent) targetStartedSince(s *SavedFlows) bool {
	return a.hostRestartedSince(s.SavedAt, s.SavedTime) || a.lastHeld(s).Before(a.target.notBefore)
}

// savedTargetEnded reports whether the target whose flows were saved has ended, if another
// one has sent a heartbeat.
func (a *Agent) savedTargetEnded(now time.Time, s *SavedFlows) bool {
	return a.isHeartbeatOverdue(now, a.startedAt) || a.hostRestartedSince(s.SavedAt, s.SavedTime)
}

// savedState describes saved flows for log lines.
func savedState(s *SavedFlows) string {
	if s.Final {
		return "all flows"
	}
	return "open flows"
}

// markHandedOver records that the saved flows are all flows of the target, if they are.
func (a *Agent) markHandedOver(s *SavedFlows) {
	if s.Final {
		a.markComplete(completeByHandOver)
	}
}

// resetFlows resets flows that have ended with their target.
func (a *Agent) resetFlows(flows []SavedFlow) {
	if len(flows) > 0 {
		a.report(Report{Text: "Flows ended with their target.", Flow: flows[0].Flow, Count: len(flows), Incarnation: a.target.incarnation})
	}
	for _, f := range flows {
		a.Counters.ResetEnded.Add(1)
		a.emit(Effect{Kind: EffectReset, Flow: f.Flow, Seq: f.Ack})
	}
}
