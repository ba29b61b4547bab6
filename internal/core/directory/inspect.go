package directory

import (
	"cmp"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// LocalFlow describes a flow whose holder is the agent.
type LocalFlow struct {
	Flow        model.FlowKey
	Since       time.Time
	Established bool
	// Home is the agent with which the flow was last registered.
	Home model.NodeID
	// LastSeen is when the last datagram of the flow arrived.
	LastSeen time.Time
}

// Entry describes the directory entry that the agent, as home, keeps for a flow.
type Entry struct {
	// Holder is empty while the flow is being placed, here or at another home.
	Holder      model.NodeID
	Incarnation uint64
	Since       time.Time
	Established bool
}

// LocalFlows returns at most limit local flows, the oldest first.
func (c *Controller) LocalFlows(limit int) []LocalFlow {
	flows := make([]LocalFlow, 0, len(c.localFlows))
	for flow, f := range c.localFlows {
		flows = append(flows, describeLocalFlow(flow, f))
	}
	slices.SortFunc(flows, func(a, b LocalFlow) int {
		return cmp.Or(a.Since.Compare(b.Since), compareFlows(a.Flow, b.Flow))
	})
	return flows[:min(len(flows), limit)]
}

// LocalFlow describes the local flow with the given key.
func (c *Controller) LocalFlow(flow model.FlowKey) (LocalFlow, bool) {
	f, ok := c.localFlows[flow]
	if !ok {
		return LocalFlow{}, false
	}
	return describeLocalFlow(flow, f), true
}

func describeLocalFlow(flow model.FlowKey, f *localFlow) LocalFlow {
	return LocalFlow{Flow: flow, Since: f.since, Established: f.established, Home: f.home, LastSeen: f.lastSeen}
}

// LookupEntry describes the entry of a flow whose home is the agent.
func (c *Controller) LookupEntry(flow model.FlowKey) (Entry, bool) {
	e, ok := c.entries[flow]
	if !ok {
		return Entry{}, false
	}
	if e.phase != phasePlaced {
		return Entry{}, true
	}
	return Entry{Holder: e.holder, Incarnation: e.holderIncarnation, Since: e.since, Established: e.established}, true
}
