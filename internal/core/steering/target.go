package steering

import "time"

const (
	// missedHeartbeats is how many heartbeat intervals of silence make a target
	// unusable for new flows: two lost ones and a late one.
	heartbeatTimeoutIntervals = 3
	// registerPatience is how long an agent waits for its record to be written
	// before it admits flows without: a few calls to a healthy store.
	registerTimeout = 300 * time.Millisecond
)

// heartbeatSlack is how late a heartbeat may be.
const maxHeartbeatDelay = time.Second

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	// Instance names the target's process.
	Instance string
	Service  string
	// Incarnation is the start of the target's process, in milliseconds since 1970
	// by its own clock.
	Incarnation int64
	// Sequence rises with each heartbeat of a lifetime.
	Sequence int64
	Draining bool
	Slots    int
	// ColdRemaining is how much longer the target stays cold.
	ColdRemaining time.Duration
}

// TargetDeregistered says that a target is about to end.
type TargetDeregistered struct{ Instance string }

// PreviousRecord is the agent's record as an earlier process left it in the
// store; Found is false if there was none. A record that can't be read is Found
// with lifetime 0.
type PreviousRecord struct {
	Found  bool
	Record AgentRecord
}

// earlier is what the store holds of the agent's earlier processes.
type storedRecord struct {
	// known is set once the store was read, spoilt if what it held can't be read.
	known, unreadable bool
	// lifetime is the target lifetime that was served last, 0 if none.
	incarnation int64
}

// neverServed reports whether no earlier process can have served the lifetime.
func (e storedRecord) neverServed(lifetime int64) bool {
	return e.known && !e.unreadable && e.incarnation != lifetime
}

// RecordStored reports that the record for a lifetime is in the store.
type RecordStored struct{ Incarnation int64 }

func (*Heartbeat) event()          {}
func (*TargetDeregistered) event() {}
func (*PreviousRecord) event()     {}
func (*RecordStored) event()       {}

// targetSection is the target beside the agent.
type targetSection struct {
	known             bool
	deregistered      bool
	draining          bool
	instance          string
	service           ServiceID
	name              string
	incarnation       int64
	sequence          int64
	slots             int
	firstSeen         time.Time
	lastHeartbeat     time.Time
	heartbeatInterval time.Duration
	// coldUntil is when the target is warm.
	coldUntil time.Time
	// registered is the lifetime of the record in the store.
	storedIncarnation int64
	// written is the lifetime of the record that this process has written.
	writtenIncarnation int64
	previous           storedRecord
	// saved is the flows that an earlier process of this agent left, until they
	// are used.
	savedFlows *SavedFlows
	// complete reports that the agent has seen every segment of the target's
	// lifetime.
	complete bool
	rollback clockRollback
}

// usable reports whether flows can be opened at the target.
func (t *targetSection) isUsable(now time.Time) bool {
	if !t.known || t.deregistered || now.Sub(t.lastHeartbeat) > heartbeatTimeoutIntervals*t.heartbeatInterval {
		return false
	}
	return t.storedIncarnation == t.incarnation || now.Sub(t.firstSeen) > registerTimeout
}

// cold reports whether the target is in cold start.
func (t *targetSection) isCold(now time.Time) bool { return now.Before(t.coldUntil) }

// handleHeartbeat takes what the target says of itself, unless it is late.
func (a *Agent) handleHeartbeat(now time.Time, h *Heartbeat) {
	t := &a.target
	switch {
	case t.known && h.Incarnation < t.incarnation && !t.recordEarlierHeartbeat(now, h),
		t.known && h.Incarnation == t.incarnation && h.Sequence <= t.sequence:
		a.Counters.HeartbeatsIgnored.Add(1)
		a.report(Report{Text: "Heartbeat is out of date.", Node: h.Instance})
		return
	case !t.known || h.Incarnation != t.incarnation || h.Instance != t.instance:
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
}

func targetStateName(draining bool) string {
	if draining {
		return "draining"
	}
	return "ready"
}

// beginLifetime takes a new process of the target. Its flows start empty.
func (a *Agent) startIncarnation(now time.Time, h *Heartbeat) {
	t := &a.target
	// Flows of a target that started under this process are all known.
	replaced := t.known
	complete := replaced || t.complete || t.previous.neverServed(h.Incarnation)
	*t = targetSection{
		known: true, instance: h.Instance, name: h.Service, service: ServiceIDOf(h.Service),
		incarnation: h.Incarnation, firstSeen: now, heartbeatInterval: a.identity.HeartbeatInterval,
		storedIncarnation: t.storedIncarnation, writtenIncarnation: t.writtenIncarnation, previous: t.previous, complete: complete, savedFlows: t.savedFlows,
	}
	if replaced {
		// The target can't be older than its heartbeats.
		age := time.Duration(h.Sequence)*a.identity.HeartbeatInterval + maxHeartbeatDelay
		a.resetFlows(a.flows.removeInactive(now.Add(-age)))
	}
	a.report(Report{Text: "Target is known.", Node: h.Instance, Why: h.Service, Lifetime: h.Incarnation})
	if h.Service != a.identity.Service {
		a.report(Report{Text: "Target serves another service than the host is meant for.", Node: h.Instance, Why: h.Service})
	}
	a.applySavedFlows(now)
	a.registerRecord()
}

// handlePreviousRecord learns which lifetime an earlier process served.
func (a *Agent) handlePreviousRecord(now time.Time, p *PreviousRecord) {
	t := &a.target
	if t.previous.known {
		return
	}
	t.previous = storedRecord{known: true, unreadable: p.Found && p.Record.Lifetime == 0}
	if p.Found {
		t.previous.incarnation = p.Record.Lifetime
		t.storedIncarnation = p.Record.Lifetime
	}
	if !t.known {
		return
	}
	t.complete = t.complete || t.previous.neverServed(t.incarnation)
	a.registerRecord()
}

// register asks for the record of the current lifetime, once it is known what
// the store holds.
func (a *Agent) registerRecord() {
	t := &a.target
	if !t.previous.known || t.writtenIncarnation == t.incarnation {
		return
	}
	a.emit(Effect{Kind: EffectRegister, Record: a.Record()})
}

// Record returns the agent's record for its target's lifetime.
func (a *Agent) Record() AgentRecord {
	return AgentRecord{
		Node: a.identity.Node, Domain: a.identity.Domain, Service: a.target.name,
		Peer: a.identity.Peer, Lifetime: a.target.incarnation,
	}
}

// HasLiveTarget reports whether the agent's target lives, as far as it knows.
func (a *Agent) HasLiveTarget(now time.Time) bool {
	return a.target.known && !a.target.deregistered && now.Sub(a.target.lastHeartbeat) <= heartbeatTimeoutIntervals*a.target.heartbeatInterval
}

// TargetEnded reports whether the target has ended, as far as the agent knows. An
// agent that has not heard of its target yet does not know.
func (a *Agent) TargetEnded(now time.Time) bool {
	return a.target.known && !a.HasLiveTarget(now)
}

// handleDeregistered notes the end of the target.
func (a *Agent) handleDeregistered(d *TargetDeregistered) {
	if !a.target.known || d.Instance != a.target.instance {
		return
	}
	a.target.deregistered = true
	a.report(Report{Text: "Target is gone.", Node: d.Instance})
}

// watchTarget reports when the target falls silent.
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
