package directory

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/placementpb"
)

// sweepInterval is how often entries and held flows are checked for expiry.
const sweepInterval = time.Second

// hold admits a flow at this agent.
func (c *Controller) hold(t *core.Turn, flow model.FlowKey) {
	c.held[flow] = &heldFlow{since: t.Now}
	t.Emit(core.Count{Name: "flow_admitted", Delta: 1})
}

// deliver hands a datagram to the local end of a held flow. In mode flow,
// which has no handshake, that establishes the flow.
func (c *Controller) deliver(t *core.Turn, flow model.FlowKey, payload []byte) {
	c.held[flow].lastSeen = t.Now
	t.Emit(core.Deliver{Flow: flow, Payload: payload})
	if v := c.view(t); v != nil && v.Mode == model.ModeFlow {
		c.established(t, flow)
	}
}

func (c *Controller) deliverAll(t *core.Turn, flow model.FlowKey, payloads [][]byte) {
	for _, payload := range payloads {
		c.deliver(t, flow, payload)
	}
}

// established notes that the flow's caller has completed its handshake. In mode
// request the home sees that by itself, from the kind of datagrams it passes on.
func (c *Controller) established(t *core.Turn, flow model.FlowKey) {
	f, ok := c.held[flow]
	if !ok || f.established {
		return
	}
	f.established = true
	if v := c.view(t); v != nil && v.Mode == model.ModeFlow {
		f.confirmed = false
	}
}

// closed forgets a flow that ended at its local end and tells its home.
func (c *Controller) closed(t *core.Turn, flow model.FlowKey) {
	f, ok := c.held[flow]
	if !ok {
		return
	}
	delete(c.held, flow)
	if data, ok := c.addressOf(t, f.home); ok && f.home != t.Board.Self.Member.Node {
		c.send(t, data, flow, &placementpb.Placement{Body: &placementpb.Placement_Release{
			Release: &placementpb.Release{Flow: flowMessage(flow)},
		}})
	}
}

// drop ends a held flow that must not go on here.
func (c *Controller) drop(t *core.Turn, flow model.FlowKey, reason string) {
	delete(c.held, flow)
	t.Emit(core.CloseFlow{Flow: flow, Reason: reason})
	t.Emit(core.Count{Name: "flow_dropped", Delta: 1})
}

// afterChange reacts to changes of the board's other sections.
func (c *Controller) afterChange(t *core.Turn) {
	if t.Board.Self.Out && len(c.held)+len(c.entries) > 0 {
		c.giveUp(t)
	}
	if c.routeGeneration == t.Board.Routes.Generation {
		return
	}
	c.routeGeneration = t.Board.Routes.Generation
	c.checkEntries(t)
	c.checkHomes(t)
}

// giveUp ends every flow: operators have taken the failure domain out.
func (c *Controller) giveUp(t *core.Turn) {
	t.Emit(core.Log{Part: Part, Text: "Failure domain is out. Flows given up.", Fields: []any{"flows", len(c.held)}})
	for _, flow := range sortedFlows(c.held) {
		c.drop(t, flow, "failure domain out")
	}
	clear(c.entries)
	clear(c.placing)
}

// checkEntries removes entries whose holder is gone or was replaced.
func (c *Controller) checkEntries(t *core.Turn) {
	for flow, e := range c.entries {
		if e.phase != phaseHeld && e.phase != phaseYielded {
			continue
		}
		if m, ok := c.member(t, e.holder); !ok || m.Incarnation != e.incarnation {
			c.remove(flow)
		}
	}
}

// checkHomes marks the held flows whose home has moved for registration.
func (c *Controller) checkHomes(t *core.Turn) {
	v := c.view(t)
	if v == nil {
		return
	}
	for flow, f := range c.held {
		home := routing.Home(v, flow.Hash())
		if home == nil {
			continue
		}
		if home.Member.Node != f.home || home.Member.Incarnation != f.homeIncarnation {
			f.home = home.Member.Node
			f.homeIncarnation = home.Member.Incarnation
			f.confirmed = false
			f.sent = time.Time{}
		}
	}
}

// tick retries placements, registers held flows and expires what is stale.
func (c *Controller) tick(t *core.Turn) {
	for _, flow := range sortedFlows(c.placing) {
		c.retry(t, flow, c.placing[flow])
	}
	if !t.Now.Before(c.registerAt) {
		c.registerAt = t.Now.Add(registerInterval)
		c.register(t)
	}
	if t.Now.Before(c.sweepAt) {
		return
	}
	c.sweepAt = t.Now.Add(sweepInterval)
	c.sweep(t)
}

// sweep expires entries that no holder renews and flows whose handshake never
// completed.
func (c *Controller) sweep(t *core.Turn) {
	for flow, e := range c.entries {
		if t.Now.After(e.expires) {
			c.remove(flow)
		}
	}
	for _, flow := range sortedFlows(c.held) {
		if f := c.held[flow]; !f.established && t.Now.Sub(f.since) > c.options.HandshakeTimeout {
			c.drop(t, flow, "handshake timeout")
		}
	}
	for node, s := range c.strangers {
		if t.Now.After(s.until) {
			delete(c.strangers, node)
		}
	}
	clear(c.batches)
}

// register sends due registrations to the homes of held flows, in batches.
func (c *Controller) register(t *core.Turn) {
	v := c.view(t)
	if v == nil || t.Board.Self.Out {
		return
	}
	due := make(map[model.NodeID][]model.FlowKey)
	for flow, f := range c.held {
		if c.registrationDue(t, v, flow, f) {
			f.sent = t.Now
			due[f.home] = append(due[f.home], flow)
		}
	}
	for _, home := range sortedNodes(due) {
		flows := due[home]
		slices.SortFunc(flows, compareFlows)
		for start := 0; start < len(flows); start += registerBatch {
			c.sendBatch(t, home, flows[start:min(len(flows), start+registerBatch)])
		}
	}
}

// registrationDue reports whether the flow's home must be told of it now.
func (c *Controller) registrationDue(t *core.Turn, v *core.View, flow model.FlowKey, f *heldFlow) bool {
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
	interval := registerRetry
	if f.confirmed {
		interval = c.options.RegisterInterval
	}
	return t.Now.Sub(f.sent) >= interval
}

func (c *Controller) sendBatch(t *core.Turn, home model.NodeID, flows []model.FlowKey) {
	data, ok := c.addressOf(t, home)
	if !ok {
		return
	}
	c.batch++
	c.batches[c.batch] = flows
	m := &placementpb.Register{Batch: c.batch}
	for _, flow := range flows {
		f := c.held[flow]
		pb := flowMessage(flow)
		pb.Since = f.since.UnixNano()
		pb.Established = f.established
		m.Flows = append(m.Flows, pb)
	}
	c.send(t, data, model.FlowKey{Service: flows[0].Service}, &placementpb.Placement{
		Body: &placementpb.Placement_Register{Register: m},
	})
}
