package steering

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// heartbeatTimeoutIntervals is the number of heartbeat intervals without a heartbeat
	// after which a target gets no new flows: two lost heartbeats and a late one.
	heartbeatTimeoutIntervals = 3
	// registerTimeout is how long an agent waits for its record to be written before it
	// admits flows without one: a few calls to a healthy store.
	registerTimeout = 300 * time.Millisecond
	// unrecordedSequence is the sequence number that a target's heartbeats must have reached
	// before an agent admits flows whose record could not be written. A later process that
	// first gets a heartbeat up to this number knows that no process has served the target
	// without a record. After a loss of power, up to three heartbeats are sent before the
	// agent listens.
	unrecordedSequence = 3
	// handOverValidity is how long after it was made the hand-over of an agent's process is
	// complete for one that starts. A process that could not register, which ends a
	// hand-over, admits no flows before it has run for that time: the one after it starts
	// too late for a hand-over from before. A restart takes about 0.6 s. A longer time
	// allows for slower ones, and delays new flows when agents start during an outage of the
	// store.
	handOverValidity = 800 * time.Millisecond
)

// maxHeartbeatDelay bounds the delay of a heartbeat.
const maxHeartbeatDelay = time.Second

// Heartbeat is a target's periodic report of its state.
type Heartbeat struct {
	// Instance names the target's process.
	Instance string
	Service  string
	// Address is the target's address, Domain its failure domain.
	Address netip.AddrPort
	Domain  string
	// Incarnation is the start of the target's process, in milliseconds since 1970
	// by its own clock.
	Incarnation int64
	// Sequence increases with each heartbeat of an incarnation.
	Sequence int64
	Draining bool
	Slots    int
	// ColdRemaining is the remaining time of the target's cold start.
	ColdRemaining time.Duration
}

// TargetDeregistered reports that a target is about to stop.
type TargetDeregistered struct{ Instance string }

// PreviousRecord is the record that an earlier process of the agent left in the store;
// Found is false if there was none. It is Incomplete if other incarnations may have been
// served since: the record can't be read, or the store may have lost a later one.
type PreviousRecord struct {
	Found  bool
	Record AgentRecord
	// WrittenAt is when the record was written, by the clock of AgentIdentity.StartedAt, 0 if
	// unknown. WrittenTime is the time of day then.
	WrittenAt   time.Duration
	WrittenTime time.Time
	// Others are the incarnations that the earlier process had served before the recorded
	// one: a target may turn out to live after another process has claimed its place.
	Others     []int64
	Incomplete bool
}

// storedRecord is what the store holds of the agent's earlier processes.
type storedRecord struct {
	// known is set once the store was read, incomplete as in PreviousRecord.
	known, incomplete bool
	// found reports that an earlier process has left a record.
	found bool
	// incarnation is the target incarnation that was last served, 0 if none; others are
	// those that its process had served before.
	incarnation int64
	others      []int64
	// sinceHostStart reports that an earlier process may have written the record since the
	// host's last start.
	sinceHostStart bool
}

// neverServed reports whether no process before the one that started at a time can have
// opened flows at the incarnation whose first heartbeat at that process had a sequence number:
// none served it without a record, and the processes that wrote records ended with the host's
// last run. A process that served another incarnation during the present run may have opened
// flows at this one before its first heartbeat, as both have the same address.
func (r storedRecord) neverServed(incarnation, firstSequence int64, startedAt time.Time) bool {
	switch {
	case !r.known || firstSequence > unrecordedSequence:
		return false
	case !r.found && r.incomplete:
		// On a host that was added after the store was restored there was no earlier
		// process. One whose record was lost has ended before this process started.
		return !time.UnixMilli(incarnation).Before(startedAt)
	case !r.found:
		return true
	}
	return !r.incomplete && !r.sinceHostStart && r.incarnation != incarnation && !slices.Contains(r.others, incarnation)
}

// RecordStored reports that the record for a target incarnation is in the store.
type RecordStored struct{ Incarnation int64 }

func (*Heartbeat) event()          {}
func (*TargetDeregistered) event() {}
func (*PreviousRecord) event()     {}
func (*RecordStored) event()       {}

// targetSection holds the state of the target beside the agent.
type targetSection struct {
	known        bool
	deregistered bool
	draining     bool
	instance     string
	service      ServiceID
	name         string
	incarnation  int64
	sequence     int64
	// firstSequence is that of the incarnation's first heartbeat at this process.
	firstSequence int64
	// notBefore is a time before which the incarnation has not started.
	notBefore         time.Time
	slots             int
	firstSeen         time.Time
	lastHeartbeat     time.Time
	heartbeatInterval time.Duration
	// coldUntil is when the target's cold start ends.
	coldUntil time.Time
	// writtenIncarnation is the target incarnation of the record that this process has
	// written, 0 if it has not registered.
	writtenIncarnation int64
	previous           storedRecord
	// savedFlows is the flows that an earlier process of this agent saved, until they
	// are applied. savedSinceHostStart reports that they were saved since the host's last
	// start.
	savedFlows          *SavedFlows
	savedSinceHostStart bool
	// complete is why the agent knows all flows of the target's incarnation, if it does.
	complete completeness
	// absent reports that no target runs: see handleProbed. lastProbe is when the
	// target's address was last probed.
	absent    bool
	lastProbe time.Time
	rollback  clockRollback
	// replaced is the target that this one seems to have replaced, until that is certain.
	// refuted is a process that seemed to have replaced this target.
	replaced *replacedTarget
	refuted  refutedTarget
}

// isTargetUsable reports whether flows can be opened at the target.
func (a *Agent) isTargetUsable(now time.Time) bool {
	t := &a.target
	if !t.known || t.deregistered || now.Sub(t.lastHeartbeat) > heartbeatTimeoutIntervals*t.heartbeatInterval {
		return false
	}
	return t.writtenIncarnation == t.incarnation || a.mayServeUnrecorded(now)
}

// mayServeUnrecorded reports whether flows can be opened at the target although its record
// could not be written: later processes can tell that they may have been.
func (a *Agent) mayServeUnrecorded(now time.Time) bool {
	t := &a.target
	if t.writtenIncarnation == 0 && now.Sub(a.startedAt) <= handOverValidity {
		return false
	}
	// If the store has not even answered the first read, there is no write to wait for.
	waited := !t.previous.known || now.Sub(t.firstSeen) > registerTimeout
	return waited && t.sequence >= unrecordedSequence
}

// isCold reports whether the target is in cold start.
func (t *targetSection) isCold(now time.Time) bool { return now.Before(t.coldUntil) }

// handleHeartbeat updates the target's state, unless the heartbeat is out of date or not the
// target's.
func (a *Agent) handleHeartbeat(now time.Time, h *Heartbeat) {
	if err := a.CheckHeartbeat(now, h); err != nil {
		a.ignoreHeartbeat(h, err.Error())
		return
	}
	t := &a.target
	switch {
	case t.refutes(h):
		a.restoreReplaced(h)
	case t.isSavedTarget(h):
		a.startSavedTarget(now, h)
	case t.isSameProcess(h):
		if h.Sequence <= t.sequence {
			a.ignoreHeartbeat(h, "out of date")
			return
		}
	case t.known && h.Incarnation < t.incarnation && !t.recordEarlierHeartbeat(now, h):
		a.ignoreHeartbeat(h, "an earlier target's")
		return
	case a.isRefuted(now, h):
		a.ignoreHeartbeat(h, "the target lives")
		return
	default:
		a.startIncarnation(now, h)
	}
	if h.Draining != t.draining {
		a.report(Report{Text: "Target's state changed.", Node: h.Instance, Why: targetStateName(h.Draining)})
	}
	t.sequence = h.Sequence
	t.draining = h.Draining
	t.slots = h.Slots
	t.lastHeartbeat = now
	t.coldUntil = now.Add(h.ColdRemaining)
	a.paceHeartbeat(now, h)
}

func (a *Agent) ignoreHeartbeat(h *Heartbeat, why string) {
	a.Counters.HeartbeatsIgnored.Add(1)
	a.report(Report{Text: "Heartbeat is ignored.", Node: h.Instance, Why: why, Incarnation: h.Incarnation})
}

func targetStateName(draining bool) string {
	if draining {
		return "draining"
	}
	return "ready"
}

// startIncarnation replaces the target's state by that of a new process, which has no
// flows yet.
func (a *Agent) startIncarnation(now time.Time, h *Heartbeat) {
	t := &a.target
	complete := a.completenessOf(now, h)
	replaced := a.replaceTarget(now, h)
	*t = targetSection{
		known: true, instance: h.Instance, name: h.Service, service: ServiceIDOf(h.Service),
		incarnation: h.Incarnation, firstSequence: h.Sequence, notBefore: now.Add(-a.maxTargetAge(now, h)),
		firstSeen: now, heartbeatInterval: a.identity.HeartbeatInterval,
		writtenIncarnation: t.writtenIncarnation, previous: t.previous, savedFlows: t.savedFlows, replaced: replaced,
	}
	a.restartHealth()
	a.markComplete(complete)
	a.report(Report{Text: "Target is known.", Node: h.Instance, Why: h.Service, Incarnation: h.Incarnation})
	a.applySavedFlows(now)
	a.registerRecord()
}

// maxTargetAge bounds the age of the process of the target that sent a heartbeat. The
// heartbeat's sequence number, which may count from 0, bounds it unless the heartbeat was
// delayed for longer or the agent was suspended; the start time bounds it unless the host's
// clock was set back since.
func (a *Agent) maxTargetAge(now time.Time, h *Heartbeat) time.Duration {
	bySequence := time.Duration(h.Sequence+1)*a.identity.HeartbeatInterval + maxHeartbeatDelay
	return max(bySequence, now.Sub(time.UnixMilli(h.Incarnation)))
}

// completenessOf returns why the agent knows all flows of an incarnation from its heartbeat
// that is the first at this process, if it does.
func (a *Agent) completenessOf(now time.Time, h *Heartbeat) completeness {
	t := &a.target
	switch {
	case now.Sub(a.startedAt) >= a.maxTargetAge(now, h):
		return completeFromStart
	case t.absent, !t.known && t.complete == completeByHandOver:
		return t.complete // of any process at the target's address
	case t.previous.neverServed(h.Incarnation, h.Sequence, a.startedAt):
		return completeAsUnserved
	}
	return incomplete
}

// handlePreviousRecord records which incarnation an earlier process served.
func (a *Agent) handlePreviousRecord(now time.Time, e *PreviousRecord) {
	t := &a.target
	if t.previous.known {
		return
	}
	t.previous = storedRecord{known: true, incomplete: e.Incomplete, found: e.Found}
	if e.Found {
		t.previous.incarnation, t.previous.others = e.Record.Incarnation, e.Others
		// Steps of the time of day may add up since the record was written; flows are saved
		// more often.
		t.previous.sinceHostStart = t.savedSinceHostStart || !a.hostRestartedSince(e.WrittenAt, e.WrittenTime)
	}
	a.report(Report{Text: "Record of the earlier process is known.", Node: a.identity.Node, Why: recordState(e), Incarnation: e.Record.Incarnation})
	if !t.known {
		return
	}
	if t.previous.neverServed(t.incarnation, t.firstSequence, a.startedAt) {
		a.markComplete(completeAsUnserved)
	}
	a.registerRecord()
}

// recordState describes an earlier process's record for log lines.
func recordState(e *PreviousRecord) string {
	switch {
	case e.Incomplete:
		return "incomplete"
	case e.Found:
		return "found"
	}
	return "none"
}

// registerRecord requests that the record of the current incarnation is written, once
// the previous record is known.
func (a *Agent) registerRecord() {
	t := &a.target
	if !t.previous.known || t.writtenIncarnation == t.incarnation {
		return
	}
	a.emit(Effect{Kind: EffectRegister, Record: a.Record()})
}

// Record returns the agent's record for its target's current incarnation.
func (a *Agent) Record() AgentRecord {
	return AgentRecord{
		Node: a.identity.Node, Domain: a.identity.Domain, Service: a.target.name,
		Peer: a.identity.Peer, Incarnation: a.target.incarnation,
	}
}

// HasLiveTarget reports whether the target sends heartbeats and is not deregistered.
func (a *Agent) HasLiveTarget(now time.Time) bool {
	return a.target.known && !a.target.deregistered && now.Sub(a.target.lastHeartbeat) <= heartbeatTimeoutIntervals*a.target.heartbeatInterval
}

// HasTarget reports whether a target has sent a heartbeat since the agent's start.
func (a *Agent) HasTarget() bool { return a.target.known }

// TargetEnded reports whether a known target has deregistered or sends no heartbeats
// any more, or no target runs.
func (a *Agent) TargetEnded(now time.Time) bool {
	return a.target.absent || a.target.known && !a.HasLiveTarget(now)
}

// handleDeregistered records that the target is about to stop, and deletes the agent's
// record. If the host then fails or is removed before its agent has stopped in a planned
// way, a listed agent that never replies would keep every search from ending.
func (a *Agent) handleDeregistered(d *TargetDeregistered) {
	if !a.target.known || d.Instance != a.target.instance {
		return
	}
	a.target.deregistered = true
	a.flows.discardAll()
	a.emit(Effect{Kind: EffectUnregister})
	a.report(Report{Text: "Target is gone.", Node: d.Instance})
}

// reportSilentTarget reports that the target's heartbeats have just ceased.
func (a *Agent) reportSilentTarget(now time.Time) {
	t := &a.target
	if !t.known || t.deregistered || t.lastHeartbeat.IsZero() {
		return
	}
	limit := heartbeatTimeoutIntervals * t.heartbeatInterval
	if silence := now.Sub(t.lastHeartbeat); silence > limit && silence <= limit+tickInterval {
		a.report(Report{Text: "Target is silent.", Node: t.instance, Age: silence})
	}
}
