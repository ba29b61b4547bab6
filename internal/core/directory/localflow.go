package directory

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/placementpb"
)

// sweepInterval is the interval at which entries and local flows are checked
// for expiry.
const sweepInterval = time.Second

// admitFlow makes this agent the holder of a flow.
func (c *Controller) admitFlow(t *core.Turn, flow model.FlowKey) {
	c.localFlows[flow] = &localFlow{since: t.Now}
	t.Emit(core.Count{Name: "flow_admitted", Delta: 1})
}

// deliverLocally delivers a datagram to the local end of a local flow. In mode
// flow, which has no handshake, that establishes the flow.
func (c *Controller) deliverLocally(t *core.Turn, flow model.FlowKey, payload []byte) {
	c.localFlows[flow].lastSeen = t.Now
	t.Emit(core.DeliverDatagram{Flow: flow, Payload: payload})
	if v := c.view(t); v != nil && v.Mode == model.ModeFlow {
		c.markEstablished(t, flow)
	}
}

func (c *Controller) deliverAllLocally(t *core.Turn, flow model.FlowKey, payloads [][]byte) {
	for _, payload := range payloads {
		c.deliverLocally(t, flow, payload)
	}
}

// markEstablished records that the flow's caller has completed its handshake.
// In mode request the home learns this from the type of the datagrams that it
// forwards; in mode flow the flow is registered again.
func (c *Controller) markEstablished(t *core.Turn, flow model.FlowKey) {
	f, ok := c.localFlows[flow]
	if !ok || f.established {
		return
	}
	f.established = true
	if v := c.view(t); v != nil && v.Mode == model.ModeFlow {
		f.confirmed = false
	}
}

// handleFlowClosed removes a flow that was closed at its local end and notifies
// its home.
func (c *Controller) handleFlowClosed(t *core.Turn, flow model.FlowKey) {
	f, ok := c.localFlows[flow]
	if !ok {
		return
	}
	delete(c.localFlows, flow)
	if addr, ok := c.agentAddress(t, f.home); ok && f.home != t.Board.Self.Member.Node {
		c.sendMessage(t, addr, flow, &placementpb.Placement{Body: &placementpb.Placement_Release{
			Release: &placementpb.Release{Flow: encodeFlow(flow)},
		}})
	}
}

// releaseLocalFlows removes the flows that have begun no handshake at the closed local
// endpoint, so that their homes place them at other agents.
func (c *Controller) releaseLocalFlows(t *core.Turn) {
	for _, flow := range sortedFlows(c.localFlows) {
		c.handleFlowClosed(t, flow)
	}
}

// dropLocalFlow closes a local flow that this agent must no longer serve.
func (c *Controller) dropLocalFlow(t *core.Turn, flow model.FlowKey, reason string) {
	delete(c.localFlows, flow)
	t.Emit(core.CloseFlow{Flow: flow, Reason: reason})
	t.Emit(core.Count{Name: "flow_dropped", Delta: 1})
}

// applyBoardChanges reacts to changes of the board's other sections.
func (c *Controller) applyBoardChanges(t *core.Turn) {
	if t.Board.Self.DomainOut && len(c.localFlows)+len(c.entries) > 0 {
		c.dropAllFlows(t)
	}
	if c.routeGeneration == t.Board.Routes.Generation {
		return
	}
	c.routeGeneration = t.Board.Routes.Generation
	c.removeStaleEntries(t)
	c.updateHomes(t)
}

// dropAllFlows closes every local flow and clears the directory: operators have
// taken the failure domain out.
func (c *Controller) dropAllFlows(t *core.Turn) {
	t.Emit(core.Log{Part: Part, Text: "Failure domain is out. Flows closed.", Fields: []any{"flows", len(c.localFlows)}})
	for _, flow := range sortedFlows(c.localFlows) {
		c.dropLocalFlow(t, flow, "failure domain out")
	}
	clear(c.entries)
	clear(c.placements)
}

// removeStaleEntries removes entries whose holder is gone or was replaced.
func (c *Controller) removeStaleEntries(t *core.Turn) {
	for flow, e := range c.entries {
		if e.phase != phasePlaced && e.phase != phaseYielded {
			continue
		}
		if agent, ok := c.lookupAgent(t, e.holder); !ok || agent.Incarnation != e.holderIncarnation {
			c.removeEntry(flow)
		}
	}
}

// updateHomes marks the local flows whose home has moved for registration.
func (c *Controller) updateHomes(t *core.Turn) {
	v := c.view(t)
	if v == nil {
		return
	}
	for flow, f := range c.localFlows {
		home := routing.Home(v, flow.Hash())
		if home == nil {
			continue
		}
		if home.Member.Node != f.home || home.Member.Incarnation != f.homeIncarnation {
			f.home = home.Member.Node
			f.homeIncarnation = home.Member.Incarnation
			f.confirmed = false
			f.registrationSentAt = time.Time{}
		}
	}
}

// handleTick retries placements, registers local flows and sweeps expired
// state.
func (c *Controller) handleTick(t *core.Turn) {
	for _, flow := range sortedFlows(c.placements) {
		c.retryPlacement(t, flow, c.placements[flow])
	}
	if !t.Now.Before(c.nextRegistration) {
		c.nextRegistration = t.Now.Add(registrationBatchInterval)
		c.sendRegistrations(t)
	}
	if t.Now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = t.Now.Add(sweepInterval)
	c.sweepExpired(t)
}

// sweepExpired removes entries that no holder renews, flows whose handshake
// never completed, and provisional peers that sent no further message.
func (c *Controller) sweepExpired(t *core.Turn) {
	for flow, e := range c.entries {
		if t.Now.After(e.expiresAt) {
			c.removeEntry(flow)
		}
	}
	for _, flow := range sortedFlows(c.localFlows) {
		if f := c.localFlows[flow]; !f.established && t.Now.Sub(f.since) > c.options.HandshakeTimeout {
			c.dropLocalFlow(t, flow, "handshake timeout")
		}
	}
	for node, peer := range c.provisionalPeers {
		if t.Now.After(peer.expiresAt) {
			delete(c.provisionalPeers, node)
		}
	}
	clear(c.unconfirmedBatches)
}

// sendRegistrations sends due registrations to the homes of local flows, in
// batches.
func (c *Controller) sendRegistrations(t *core.Turn) {
	v := c.view(t)
	if v == nil || t.Board.Self.DomainOut {
		return
	}
	due := make(map[model.NodeID][]model.FlowKey)
	for flow, f := range c.localFlows {
		if c.isRegistrationDue(t, v, flow, f) {
			f.registrationSentAt = t.Now
			due[f.home] = append(due[f.home], flow)
		}
	}
	for _, home := range sortedNodes(due) {
		flows := due[home]
		slices.SortFunc(flows, compareFlows)
		for start := 0; start < len(flows); start += maxRegistrationFlows {
			c.sendRegistrationBatch(t, home, flows[start:min(len(flows), start+maxRegistrationFlows)])
		}
	}
}

// isRegistrationDue reports whether the flow must be registered with its home
// now.
func (c *Controller) isRegistrationDue(t *core.Turn, v *core.View, flow model.FlowKey, f *localFlow) bool {
	if f.home == "" {
		home := routing.Home(v, flow.Hash())
		if home == nil {
			return false
		}
		f.home = home.Member.Node
		f.homeIncarnation = home.Member.Incarnation
	}
	if f.home == t.Board.Self.Member.Node {
		return false
	}
	interval := registrationRetryInterval
	if f.confirmed {
		interval = c.options.RegisterInterval
	}
	return t.Now.Sub(f.registrationSentAt) >= interval
}

func (c *Controller) sendRegistrationBatch(t *core.Turn, home model.NodeID, flows []model.FlowKey) {
	addr, ok := c.agentAddress(t, home)
	if !ok {
		return
	}
	c.lastBatch++
	c.unconfirmedBatches[c.lastBatch] = flows
	m := &placementpb.Register{Batch: c.lastBatch}
	for _, flow := range flows {
		f := c.localFlows[flow]
		pb := encodeFlow(flow)
		pb.Since = f.since.UnixNano()
		pb.Established = f.established
		m.Flows = append(m.Flows, pb)
	}
	c.sendMessage(t, addr, model.FlowKey{Service: flows[0].Service}, &placementpb.Placement{
		Body: &placementpb.Placement_Register{Register: m},
	})
}
