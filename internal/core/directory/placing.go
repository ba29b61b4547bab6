package directory

import (
	"bytes"
	"cmp"
	"net/netip"
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/placementpb"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// place starts the placement of an unknown flow at its home.
func (c *Controller) place(t *core.Turn, v *core.View, flow model.FlowKey, payload []byte) {
	opener := opensFlow(v.Mode, payload)
	if !opener && !c.takeProbeToken(t) {
		t.Emit(core.Count{Name: "datagram_unknown_flow", Delta: 1})
		return
	}
	if len(c.entries) >= c.options.MaxEntries {
		t.Emit(core.Count{Name: "directory_full", Delta: 1})
		return
	}
	e := &entry{expires: t.Now.Add(placingTimeout)}
	c.entries[flow] = e
	c.placing[flow] = e
	c.keep(t, e, payload)
	if opener && c.settled(t, v) {
		c.startOffers(t, flow, e)
		return
	}
	c.startProbe(t, v, flow, e)
}

// opensFlow reports whether a datagram may be the first of a flow.
func opensFlow(mode model.Mode, payload []byte) bool {
	return mode == model.ModeFlow || wire.OpensQUIC(payload)
}

// keep stores a datagram until the flow is placed.
func (c *Controller) keep(t *core.Turn, e *entry, payload []byte) {
	if len(e.pending) >= maxPending {
		t.Emit(core.Count{Name: "datagram_pending_full", Delta: 1})
		return
	}
	e.pending = append(e.pending, bytes.Clone(payload))
	if v := c.view(t); v != nil && opensFlow(v.Mode, payload) {
		e.opens = true
	}
}

// takeProbeToken limits the searches for flows that nobody may know.
func (c *Controller) takeProbeToken(t *core.Turn) bool {
	if t.Now.After(c.probeRefill) {
		c.probeTokens = maxMidFlowProbes
		c.probeRefill = t.Now.Add(probeRefillInterval)
	}
	if c.probeTokens == 0 {
		return false
	}
	c.probeTokens--
	return true
}

// startProbe asks the other candidates for the flow's holder.
func (c *Controller) startProbe(t *core.Turn, v *core.View, flow model.FlowKey, e *entry) {
	e.phase = phaseProbing
	e.awaiting = make(map[model.NodeID]netip.AddrPort)
	c.ranked = routing.Rank(v, flow.Hash(), c.ranked[:0])
	for _, candidate := range c.ranked[:min(len(c.ranked), probeWidth+1)] {
		if candidate.Member.Node != t.Board.Self.Member.Node {
			e.awaiting[candidate.Member.Node] = candidate.Member.Data
		}
	}
	e.attempts = 0
	e.probed, e.answered = len(e.awaiting), 0
	c.sendProbes(t, flow, e)
}

func (c *Controller) sendProbes(t *core.Turn, flow model.FlowKey, e *entry) {
	if len(e.awaiting) == 0 {
		c.probed(t, flow, e)
		return
	}
	e.attempts++
	e.retryAt = t.Now.Add(c.options.RetryInterval)
	for _, node := range sortedNodes(e.awaiting) {
		c.send(t, e.awaiting[node], flow, &placementpb.Placement{Body: &placementpb.Placement_Probe{
			Probe: &placementpb.Probe{Flow: flowMessage(flow)},
		}})
	}
}

// probed ends a search in which no candidate knew a holder.
func (c *Controller) probed(t *core.Turn, flow model.FlowKey, e *entry) {
	if !e.opens {
		t.Emit(core.Count{Name: "datagram_unknown_flow", Delta: int64(len(e.pending))})
		c.remove(flow)
		return
	}
	c.startOffers(t, flow, e)
}

// startOffers lists the candidates that may admit the flow and offers it to
// the first.
func (c *Controller) startOffers(t *core.Turn, flow model.FlowKey, e *entry) {
	e.phase = phaseOffering
	e.awaiting = nil
	e.choices = c.choices(t, flow)
	c.offerNext(t, flow, e)
}

// choices orders the candidates for a new flow: the least loaded of a few
// random ones first, then the others by load.
func (c *Controller) choices(t *core.Turn, flow model.FlowKey) []target {
	v := c.view(t)
	if v == nil {
		return nil
	}
	c.ranked = routing.Rank(v, flow.Hash(), c.ranked[:0])
	var admitting []core.Candidate
	for _, candidate := range c.ranked[:min(len(c.ranked), placementWidth)] {
		if candidate.Admits && !c.loads[candidate.Member.Node].silentUntil.After(t.Now) {
			admitting = append(admitting, candidate)
		}
	}
	t.Rand.Shuffle(len(admitting), func(i, j int) { admitting[i], admitting[j] = admitting[j], admitting[i] })
	byLoad := func(a, b core.Candidate) int {
		return cmp.Compare(c.loadOf(t, a).ratio(), c.loadOf(t, b).ratio())
	}
	first := min(len(admitting), c.options.Choices)
	slices.SortStableFunc(admitting[:first], byLoad)
	if first > 0 {
		slices.SortStableFunc(admitting[1:], byLoad)
	}
	out := make([]target, 0, len(admitting))
	for _, candidate := range admitting {
		out = append(out, target{candidate.Member.Node, candidate.Member.Data})
	}
	return out
}

// loadOf returns the last known load of a candidate. One that has not
// reported yet counts as half loaded with its declared connections.
func (c *Controller) loadOf(t *core.Turn, candidate core.Candidate) peerLoad {
	if candidate.Member.Node == t.Board.Self.Member.Node {
		return c.load(t)
	}
	if l, ok := c.loads[candidate.Member.Node]; ok && !l.at.IsZero() {
		return l
	}
	return peerLoad{flows: 1, capacity: 1}
}

// offerNext offers the flow to the next candidate, or gives the flow up when
// every candidate has declined.
func (c *Controller) offerNext(t *core.Turn, flow model.FlowKey, e *entry) {
	for len(e.choices) > 0 {
		next := e.choices[0]
		e.choices = e.choices[1:]
		e.epoch++
		e.attempts = 0
		e.offered = next
		if next.node != t.Board.Self.Member.Node {
			c.sendOffer(t, flow, e)
			return
		}
		if c.load(t).capacity > 0 {
			c.remove(flow)
			c.hold(t, flow)
			c.deliverAll(t, flow, e.pending)
			return
		}
	}
	t.Emit(core.Count{Name: "flow_refused", Delta: 1})
	c.remove(flow)
}

func (c *Controller) sendOffer(t *core.Turn, flow model.FlowKey, e *entry) {
	e.attempts++
	e.retryAt = t.Now.Add(c.options.RetryInterval)
	c.send(t, e.offered.data, flow, &placementpb.Placement{Body: &placementpb.Placement_Offer{
		Offer: &placementpb.Offer{Flow: flowMessage(flow), Epoch: e.epoch},
	}})
}

// found ends a placement with a holder and passes on what was kept.
func (c *Controller) found(t *core.Turn, flow model.FlowKey, e *entry, holder model.NodeID, kind wire.Kind, p phase) {
	m, ok := c.member(t, holder)
	if !ok {
		return
	}
	delete(c.placing, flow)
	pending := e.pending
	e.phase = p
	e.holder = holder
	e.incarnation = m.Incarnation
	e.awaiting, e.choices, e.pending = nil, nil, nil
	for _, payload := range pending {
		c.forward(t, m.Data, kind, flow, 0, payload)
	}
}

// retry repeats what is unanswered and moves on from what stays silent.
func (c *Controller) retry(t *core.Turn, flow model.FlowKey, e *entry) {
	switch {
	case t.Now.After(e.expires):
		t.Emit(core.Count{Name: "placement_expired", Delta: 1})
		c.remove(flow)
	case t.Now.Before(e.retryAt):
	case e.phase == phaseProbing:
		c.retryProbe(t, flow, e)
	case e.phase == phaseOffering:
		c.retryOffer(t, flow, e)
	}
}

func (c *Controller) retryProbe(t *core.Turn, flow model.FlowKey, e *entry) {
	for node := range e.awaiting {
		if _, ok := c.addressOf(t, node); !ok {
			delete(e.awaiting, node)
		}
	}
	if e.attempts >= c.options.MaxAttempts && c.maySkipSilent(t, e) {
		clear(e.awaiting)
	}
	c.sendProbes(t, flow, e)
}

// maySkipSilent reports whether a search may end without the candidates that
// stay silent. In mode flow one of them may hold the flow, and nothing in the
// datagrams would tell, so the search waits until it answers or is removed. In
// mode request the flow is new to its caller; but a home to which less than half
// of the candidates answer may itself be the one that the others ignore.
func (c *Controller) maySkipSilent(t *core.Turn, e *entry) bool {
	v := c.view(t)
	return v != nil && v.Mode != model.ModeFlow && 2*e.answered >= e.probed
}

func (c *Controller) retryOffer(t *core.Turn, flow model.FlowKey, e *entry) {
	if e.attempts < c.options.MaxAttempts {
		c.sendOffer(t, flow, e)
		return
	}
	l := c.loads[e.offered.node]
	l.silentUntil = t.Now.Add(silentPenalty)
	c.loads[e.offered.node] = l
	c.offerNext(t, flow, e)
}
