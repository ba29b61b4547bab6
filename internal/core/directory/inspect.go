package directory

import (
	"cmp"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// LocalFlow describes a flow that the agent holds.
type LocalFlow struct {
	Flow        model.FlowKey
	Since       time.Time
	Established bool
	// Home is the agent that was told of the flow last.
	Home model.NodeID
	// LastSeen is when a datagram of the flow last arrived.
	LastSeen time.Time
}

// Entry describes what the agent knows of a flow as its home.
type Entry struct {
	// Holder is empty while the flow is being placed, here or at another home.
	Holder      model.NodeID
	Incarnation uint64
	Since       time.Time
	Established bool
}

// LocalFlows lists at most limit held flows, the oldest first.
func (c *Controller) LocalFlows(limit int) []LocalFlow {
	flows := make([]LocalFlow, 0, len(c.held))
	for flow, f := range c.held {
		flows = append(flows, describe(flow, f))
	}
	slices.SortFunc(flows, func(a, b LocalFlow) int {
		return cmp.Or(a.Since.Compare(b.Since), compareFlows(a.Flow, b.Flow))
	})
	return flows[:min(len(flows), limit)]
}

// LocalFlow describes one held flow.
func (c *Controller) LocalFlow(flow model.FlowKey) (LocalFlow, bool) {
	f, ok := c.held[flow]
	if !ok {
		return LocalFlow{}, false
	}
	return describe(flow, f), true
}

func describe(flow model.FlowKey, f *heldFlow) LocalFlow {
	return LocalFlow{Flow: flow, Since: f.since, Established: f.established, Home: f.home, LastSeen: f.lastSeen}
}

// LookupEntry describes the entry of a flow whose home the agent is.
func (c *Controller) LookupEntry(flow model.FlowKey) (Entry, bool) {
	e, ok := c.entries[flow]
	if !ok {
		return Entry{}, false
	}
	if e.phase != phaseHeld {
		return Entry{}, true
	}
	return Entry{Holder: e.holder, Incarnation: e.incarnation, Since: e.since, Established: e.established}, true
}
