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
	// HalfOpen reports that the handshake was not seen to end: the flow may be
	// open here, at another target, or nowhere.
	HalfOpen bool
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
const maxAckDrift = 38_000

// maxSaved bounds the saved flows of an agent: a third of the 1,560 flows of a
// target at the planned size, in a value of 32 KB.
const maxSavedFlows = 512

// SnapshotFlows returns the flows to save, in a fixed order: the open ones, or all of an
// agent that has stopped and knew all. If there are too many, those of
// unrepeatable requests go first: their callers lose most by a late answer.
func (a *Agent) SnapshotFlows() SavedFlows {
	if !a.target.known && a.target.savedFlows != nil {
		// Nothing has happened since: they are as the last process left them.
		return *a.target.savedFlows
	}
	out := SavedFlows{Incarnation: a.target.incarnation, Final: a.stopping && a.target.complete, Agents: a.balancers.agentCount}
	for f, held := range a.flows.byFlow {
		if out.Final || held.established && !held.closed {
			out.Flows = append(out.Flows, SavedFlow{Flow: f, Ack: held.callerAck, HalfOpen: !held.established, NonIdempotent: held.nonIdempotent})
		}
	}
	if !out.Final && len(out.Flows) > maxSavedFlows {
		slices.SortFunc(out.Flows, compareSavePriority)
		out.Flows = out.Flows[:maxSavedFlows]
	}
	sortSavedFlows(out.Flows)
	return out
}

// byUrgency puts flows of unrepeatable requests first, in a fixed order.
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

// IsUpToDate reports whether the saved flows are still good for what is now.
func (s *SavedFlows) IsUpToDate(now *SavedFlows) bool {
	if s.Incarnation != now.Incarnation || s.Final != now.Final || s.Agents < now.Agents || len(s.Flows) != len(now.Flows) {
		return false
	}
	for i := range s.Flows {
		if s.Flows[i].Flow != now.Flows[i].Flow || now.Flows[i].Ack-s.Flows[i].Ack > maxAckDrift {
			return false
		}
	}
	return true
}

// restore takes the flows that an earlier process left. Until the target is known
// they are taken for held: it returns what it does not hold.
func (a *Agent) restoreSavedFlows(now time.Time, s *SavedFlows) {
	a.target.savedFlows = s
	a.balancers.agentCount = max(a.balancers.agentCount, s.Agents)
	if !a.target.known {
		a.flows.addSaved(now, s.Flows)
		a.target.complete = s.Final
	}
	a.applySavedFlows(now)
}

// useSaved takes the flows of the target's lifetime for held, and ends those
// of an earlier one.
func (a *Agent) applySavedFlows(now time.Time) {
	s := a.target.savedFlows
	if s == nil || !a.target.known {
		return
	}
	a.target.savedFlows = nil
	switch {
	case s.Incarnation == a.target.incarnation:
		a.flows.addSaved(now, s.Flows)
		a.target.complete = a.target.complete || s.Final
	case s.Incarnation < a.target.incarnation:
		a.resetFlows(a.flows.removeSaved(s.Flows))
	}
}

// endFlows tells callers that flows have ended with their target.
func (a *Agent) resetFlows(flows []SavedFlow) {
	if len(flows) > 0 {
		a.report(Report{Text: "Flows ended with their target.", Flow: flows[0].Flow, Count: len(flows), Lifetime: a.target.incarnation})
	}
	for _, f := range flows {
		a.Counters.ResetEnded.Add(1)
		a.emit(Effect{Kind: EffectReset, Flow: f.Flow, Seq: f.Ack})
	}
}
