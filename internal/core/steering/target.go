package steering

import "time"

const (
	// missedHeartbeats is how many heartbeat intervals of silence make a target
	// unusable for new flows: two lost ones and a late one.
	missedHeartbeats = 3
	// registerPatience is how long an agent waits for its record to be written
	// before it admits flows without: a few calls to a healthy store.
	registerPatience = 300 * time.Millisecond
)

// heartbeatSlack is how late a heartbeat may be.
const heartbeatSlack = time.Second

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
	// ColdFor is how much longer the target stays cold.
	ColdFor time.Duration
}

// Deregistered says that a target is about to end.
type Deregistered struct{ Instance string }

// PreviousRecord is the agent's record as an earlier process left it in the
// store; Found is false if there was none. A record that can't be read is Found
// with lifetime 0.
type PreviousRecord struct {
	Found  bool
	Record AgentRecord
}

// earlier is what the store holds of the agent's earlier processes.
type earlier struct {
	// known is set once the store was read, spoilt if what it held can't be read.
	known, spoilt bool
	// lifetime is the target lifetime that was served last, 0 if none.
	lifetime int64
}

// neverServed reports whether no earlier process can have served the lifetime.
func (e earlier) neverServed(lifetime int64) bool {
	return e.known && !e.spoilt && e.lifetime != lifetime
}

// Registered reports that the record for a lifetime is in the store.
type Registered struct{ Incarnation int64 }

func (*Heartbeat) event()      {}
func (*Deregistered) event()   {}
func (*PreviousRecord) event() {}
func (*Registered) event()     {}

// targetSection is the target beside the agent.
type targetSection struct {
	known    bool
	gone     bool
	draining bool
	instance string
	service  ServiceID
	name     string
	lifetime int64
	sequence int64
	slots    int
	since    time.Time
	lastBeat time.Time
	interval time.Duration
	// coldUntil is when the target is warm.
	coldUntil time.Time
	// registered is the lifetime of the record in the store.
	registered int64
	// written is the lifetime of the record that this process has written.
	written int64
	earlier earlier
	// saved is the flows that an earlier process of this agent left, until they
	// are used.
	saved *SavedFlows
	// complete reports that the agent has seen every segment of the target's
	// lifetime.
	complete bool
	backward backward
}

// usable reports whether flows can be opened at the target.
func (t *targetSection) usable(now time.Time) bool {
	if !t.known || t.gone || now.Sub(t.lastBeat) > missedHeartbeats*t.interval {
		return false
	}
	return t.registered == t.lifetime || now.Sub(t.since) > registerPatience
}

// cold reports whether the target is in cold start.
func (t *targetSection) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// handleHeartbeat takes what the target says of itself, unless it is late.
func (a *Agent) handleHeartbeat(now time.Time, h *Heartbeat) {
	t := &a.target
	switch {
	case t.known && h.Incarnation < t.lifetime && !t.noteEarlier(now, h),
		t.known && h.Incarnation == t.lifetime && h.Sequence <= t.sequence:
		a.Counters.HeartbeatsIgnored.Add(1)
		a.report(Report{Text: "Heartbeat is out of date.", Node: h.Instance})
		return
	case !t.known || h.Incarnation != t.lifetime || h.Instance != t.instance:
		a.beginLifetime(now, h)
	}
	if h.Draining != t.draining {
		a.report(Report{Text: "Target's state changed.", Node: h.Instance, Why: stateName(h.Draining)})
	}
	t.sequence = h.Sequence
	t.draining = h.Draining
	t.slots = h.Slots
	t.lastBeat = now
	t.coldUntil = now.Add(h.ColdFor)
}

func stateName(draining bool) string {
	if draining {
		return "draining"
	}
	return "ready"
}

// beginLifetime takes a new process of the target. Its flows start empty.
func (a *Agent) beginLifetime(now time.Time, h *Heartbeat) {
	t := &a.target
	// Flows of a target that started under this process are all known.
	replaced := t.known
	complete := replaced || t.complete || t.earlier.neverServed(h.Incarnation)
	*t = targetSection{
		known: true, instance: h.Instance, name: h.Service, service: ServiceIDOf(h.Service),
		lifetime: h.Incarnation, since: now, interval: a.self.HeartbeatInterval,
		registered: t.registered, written: t.written, earlier: t.earlier, complete: complete, saved: t.saved,
	}
	if replaced {
		// The target can't be older than its heartbeats.
		age := time.Duration(h.Sequence)*a.self.HeartbeatInterval + heartbeatSlack
		a.endFlows(a.flows.endBefore(now.Add(-age)))
	}
	a.report(Report{Text: "Target is known.", Node: h.Instance, Why: h.Service, Incarnation: h.Incarnation})
	if h.Service != a.self.Service {
		a.report(Report{Text: "Target serves another service than the host is meant for.", Node: h.Instance, Why: h.Service})
	}
	a.useSaved(now)
	a.register()
}

// handlePreviousRecord learns which lifetime an earlier process served.
func (a *Agent) handlePreviousRecord(now time.Time, p *PreviousRecord) {
	t := &a.target
	if t.earlier.known {
		return
	}
	t.earlier = earlier{known: true, spoilt: p.Found && p.Record.Incarnation == 0}
	if p.Found {
		t.earlier.lifetime = p.Record.Incarnation
		t.registered = p.Record.Incarnation
	}
	if !t.known {
		return
	}
	t.complete = t.complete || t.earlier.neverServed(t.lifetime)
	a.register()
}

// register asks for the record of the current lifetime, once it is known what
// the store holds.
func (a *Agent) register() {
	t := &a.target
	if !t.earlier.known || t.written == t.lifetime {
		return
	}
	a.emit(Effect{Kind: EffectRegister, Record: a.Record()})
}

// Record returns the agent's record for its target's lifetime.
func (a *Agent) Record() AgentRecord {
	return AgentRecord{
		Node: a.self.Node, Domain: a.self.Domain, Service: a.target.name,
		Peer: a.self.Peer, Incarnation: a.target.lifetime,
	}
}

// HasTarget reports whether the agent's target lives, as far as it knows.
func (a *Agent) HasTarget(now time.Time) bool {
	return a.target.known && !a.target.gone && now.Sub(a.target.lastBeat) <= missedHeartbeats*a.target.interval
}

// TargetEnded reports whether the target has ended, as far as the agent knows. An
// agent that has not heard of its target yet does not know.
func (a *Agent) TargetEnded(now time.Time) bool {
	return a.target.known && !a.HasTarget(now)
}

// handleDeregistered notes the end of the target.
func (a *Agent) handleDeregistered(d *Deregistered) {
	if !a.target.known || d.Instance != a.target.instance {
		return
	}
	a.target.gone = true
	a.report(Report{Text: "Target is gone.", Node: d.Instance})
}

// watchTarget reports when the target falls silent.
func (a *Agent) watchTarget(now time.Time) {
	t := &a.target
	if !t.known || t.gone || t.lastBeat.IsZero() {
		return
	}
	limit := missedHeartbeats * t.interval
	if silence := now.Sub(t.lastBeat); silence > limit && silence <= limit+tickInterval {
		a.report(Report{Text: "Target is silent.", Node: t.instance, Age: silence})
	}
}
