package steering

import (
	"errors"
	"time"
)

// Errors of heartbeats that do not describe the target beside the agent.
var (
	errOtherService  = errors.New("it names another service than the host is meant for")
	errOtherAddress  = errors.New("it names another address than that of the host's target")
	errOtherDomain   = errors.New("it names another failure domain than the host's")
	errStartInFuture = errors.New("it names a start in the future")
)

const (
	// maxStartAhead bounds how far a target's start may lie ahead of the agent's clock, which
	// may have been set back since.
	maxStartAhead = time.Hour
	// maxTimeStep bounds the steps by which the time of day of a host is set.
	maxTimeStep = time.Minute
	// aliveIntervals is the number of heartbeat intervals since its last heartbeat within
	// which a target may be alive although another process claims its place: it has missed
	// one heartbeat then.
	aliveIntervals = 1.5
)

// CheckHeartbeat returns why a heartbeat does not describe the target beside the agent, nil
// if it does. The platform says that other writers may send heartbeats, too.
func (a *Agent) CheckHeartbeat(now time.Time, h *Heartbeat) error {
	switch {
	case h.Service != a.identity.Service:
		return errOtherService
	case h.Address != a.identity.Target:
		return errOtherAddress
	case h.Domain != a.identity.Domain:
		return errOtherDomain
	case time.UnixMilli(h.Incarnation).After(now.Add(maxStartAhead)):
		return errStartInFuture
	}
	return nil
}

// replacedTarget is a target in whose place another process has sent a heartbeat, while it
// may still be alive. As long as that is uncertain its flows are not ended, and flows are
// only called absent that it does not hold either. Its next heartbeat refutes the other
// process, which then was no target.
type replacedTarget struct {
	// section is the state of the target when the other process's heartbeat came.
	section targetSection
	// maxAge bounds the age of the other process then.
	maxAge time.Duration
}

// refutedTarget is a process whose claim to be the target was refuted.
type refutedTarget struct {
	instance    string
	incarnation int64
}

// isSameProcess reports whether the known target sent a heartbeat.
func (t *targetSection) isSameProcess(h *Heartbeat) bool {
	return t.known && t.incarnation == h.Incarnation && t.instance == h.Instance
}

// mayBeAlive reports whether the target has sent a heartbeat within aliveIntervals.
func (a *Agent) mayBeAlive(now time.Time, t *targetSection) bool {
	return !t.deregistered && !a.isHeartbeatOverdue(now, t.lastHeartbeat)
}

// isHeartbeatOverdue reports whether a live target must have sent a heartbeat since a time:
// aliveIntervals have passed. The time while the agent was suspended does not count.
func (a *Agent) isHeartbeatOverdue(now, since time.Time) bool {
	if a.suspensions.resumedAt.After(since) {
		since = a.suspensions.resumedAt
	}
	return now.Sub(since) > time.Duration(aliveIntervals*float64(a.identity.HeartbeatInterval))
}

// isSavedTarget reports whether a heartbeat is of the target whose flows an earlier process
// saved, while another process has sent the first heartbeat to this one.
func (t *targetSection) isSavedTarget(h *Heartbeat) bool {
	return t.known && t.savedFlows != nil && t.savedFlows.Incarnation == h.Incarnation && h.Incarnation < t.incarnation
}

// startSavedTarget makes the target whose flows an earlier process saved the present one.
func (a *Agent) startSavedTarget(now time.Time, h *Heartbeat) {
	refuted := refutedTarget{a.target.instance, a.target.incarnation}
	a.target.known = false
	a.startIncarnation(now, h)
	a.target.refuted = refuted
}

// replaceTarget ends the flows of the known target, if any, in whose place another process has
// sent a heartbeat, or returns it if it may still be alive.
func (a *Agent) replaceTarget(now time.Time, h *Heartbeat) *replacedTarget {
	t := &a.target
	maxAge := a.maxTargetAge(now, h)
	switch {
	case !t.known:
		return nil
	case t.replaced != nil:
		t.replaced.maxAge = max(t.replaced.maxAge, maxAge)
		return t.replaced
	case a.mayBeAlive(now, t):
		a.flows.unansweredSince = time.Time{}
		return &replacedTarget{section: *t, maxAge: maxAge}
	}
	a.endFlowsBefore(now.Add(-maxAge))
	return nil
}

// refutes reports whether a heartbeat is the next one of a target that seemed replaced.
func (t *targetSection) refutes(h *Heartbeat) bool {
	return t.replaced != nil && t.replaced.section.isSameProcess(h) && h.Sequence > t.replaced.section.sequence
}

// isRefuted reports whether a heartbeat is of a process that was refuted, by a target that
// may still be alive.
func (a *Agent) isRefuted(now time.Time, h *Heartbeat) bool {
	t := &a.target
	return t.refuted == refutedTarget{h.Instance, h.Incarnation} && a.mayBeAlive(now, t)
}

// restoreReplaced makes the target that seemed replaced the present one again.
func (a *Agent) restoreReplaced(h *Heartbeat) {
	t := &a.target
	refuted := refutedTarget{t.instance, t.incarnation}
	written, previous, saved := t.writtenIncarnation, t.previous, t.savedFlows
	*t = t.replaced.section
	t.writtenIncarnation, t.previous, t.refuted = written, previous, refuted
	if saved != nil {
		t.savedFlows = saved
	}
	a.report(Report{Text: "Target lives. A heartbeat in its place is ignored.", Node: h.Instance, Why: refuted.instance, Incarnation: h.Incarnation})
	a.registerRecord()
}

// endReplaced ends the flows of a target that was replaced, beside this process or before it,
// once it has been silent for long enough.
func (a *Agent) endReplaced(now time.Time) {
	if r := a.target.replaced; r != nil && !a.mayBeAlive(now, &r.section) {
		a.target.replaced = nil
		a.endFlowsBefore(a.target.firstSeen.Add(-r.maxAge))
	}
	a.applySavedFlows(now)
}

// endFlowsBefore ends the flows on which the target has sent nothing since a time.
func (a *Agent) endFlowsBefore(since time.Time) {
	a.resetFlows(a.flows.removeInactive(since))
}

// knowsAllFlows reports whether the agent knows all flows of its target and, as long as it is
// uncertain which process that is, of both.
func (t *targetSection) knowsAllFlows() bool {
	if t.replaced != nil && t.replaced.section.complete == incomplete {
		return false
	}
	return t.complete != incomplete
}
