package steering

import (
	"cmp"
	"slices"
	"time"
)

// SavedFlow is an open flow as it is kept outside the agent's process.
type SavedFlow struct {
	Flow Flow
	// Ack is what the caller acknowledged last. A reset has to lie near it.
	Ack uint32
	// Opening reports that the handshake was not seen to end: the flow may be
	// open here, at another target, or nowhere.
	Opening bool
	// NonIdempotent reports that the flow's requests must not be repeated.
	NonIdempotent bool
}

// SavedFlows is the open flows of a target, as an agent's process left them. After
// the end of the target its callers learn from them that a flow is gone before
// they send a request into it. No search can tell them as long as another host
// stays dark: its agent might hold the flow.
type SavedFlows struct {
	Incarnation int64
	// Final reports that these are all flows of the target: they were saved as
	// the process stopped, and no other has run since.
	Final bool
	// Agents is the number of agents that balancers knew.
	Agents uint16
	Flows  []SavedFlow
}

func (*SavedFlows) event() {}

// ackDrift is how far a saved acknowledgement may lag before the flows are saved
// again, in bytes: half of what a reset may be off.
const ackDrift = 38_000

// maxSaved bounds the saved flows of an agent: a third of the 1,560 flows of a
// target at the planned size, in a value of 32 KB.
const maxSaved = 512

// Saved returns the flows to save, in a fixed order: the open ones, or all of an
// agent that has stopped and knew all. If there are too many, those of
// unrepeatable requests go first: their callers lose most by a late answer.
func (a *Agent) Saved() SavedFlows {
	if !a.target.known && a.target.saved != nil {
		// Nothing has happened since: they are as the last process left them.
		return *a.target.saved
	}
	out := SavedFlows{Incarnation: a.target.lifetime, Final: a.stopping && a.target.complete, Agents: a.askers.agents}
	for f, held := range a.flows.byFlow {
		if out.Final || held.open && !held.closed {
			out.Flows = append(out.Flows, SavedFlow{Flow: f, Ack: held.ack, Opening: !held.open, NonIdempotent: held.unrepeatable})
		}
	}
	if !out.Final && len(out.Flows) > maxSaved {
		slices.SortFunc(out.Flows, byUrgency)
		out.Flows = out.Flows[:maxSaved]
	}
	sortSaved(out.Flows)
	return out
}

// byUrgency puts flows of unrepeatable requests first, in a fixed order.
func byUrgency(x, y SavedFlow) int {
	switch {
	case x.NonIdempotent == y.NonIdempotent:
		return cmp.Compare(x.Flow.Hash(), y.Flow.Hash())
	case x.NonIdempotent:
		return -1
	}
	return 1
}

func sortSaved(flows []SavedFlow) {
	slices.SortFunc(flows, func(x, y SavedFlow) int { return cmp.Compare(x.Flow.Hash(), y.Flow.Hash()) })
}

// Covers reports whether the saved flows are still good for what is now.
func (s *SavedFlows) Covers(now *SavedFlows) bool {
	if s.Incarnation != now.Incarnation || s.Final != now.Final || s.Agents < now.Agents || len(s.Flows) != len(now.Flows) {
		return false
	}
	for i := range s.Flows {
		if s.Flows[i].Flow != now.Flows[i].Flow || now.Flows[i].Ack-s.Flows[i].Ack > ackDrift {
			return false
		}
	}
	return true
}

// restore takes the flows that an earlier process left. Until the target is known
// they are taken for held: it returns what it does not hold.
func (a *Agent) restore(now time.Time, s *SavedFlows) {
	a.target.saved = s
	a.askers.agents = max(a.askers.agents, s.Agents)
	if !a.target.known {
		a.flows.hold(now, s.Flows)
		a.target.complete = s.Final
	}
	a.useSaved(now)
}

// useSaved takes the flows of the target's lifetime for held, and ends those
// of an earlier one.
func (a *Agent) useSaved(now time.Time) {
	s := a.target.saved
	if s == nil || !a.target.known {
		return
	}
	a.target.saved = nil
	switch {
	case s.Incarnation == a.target.lifetime:
		a.flows.hold(now, s.Flows)
		a.target.complete = a.target.complete || s.Final
	case s.Incarnation < a.target.lifetime:
		a.endFlows(a.flows.endSaved(s.Flows))
	}
}

// endFlows tells callers that flows have ended with their target.
func (a *Agent) endFlows(flows []SavedFlow) {
	if len(flows) > 0 {
		a.report(Report{Text: "Flows ended with their target.", Flow: flows[0].Flow, Count: len(flows), Incarnation: a.target.lifetime})
	}
	for _, f := range flows {
		a.Counters.ResetEnded.Add(1)
		a.emit(Effect{Kind: EffectReset, Flow: f.Flow, Seq: f.Ack})
	}
}
