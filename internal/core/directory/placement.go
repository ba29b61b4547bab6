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

// startPlacement starts the placement of an unknown flow at its home.
func (c *Controller) startPlacement(t *core.Turn, v *core.View, flow model.FlowKey, payload []byte) {
	mayOpen := mayOpenFlow(v.Mode, payload)
	if !mayOpen && !c.takeProbeToken(t) {
		t.Emit(core.Count{Name: "datagram_unknown_flow", Delta: 1})
		return
	}
	if len(c.entries) >= c.options.MaxEntries {
		t.Emit(core.Count{Name: "directory_full", Delta: 1})
		return
	}
	e := &entry{expiresAt: t.Now.Add(placementTimeout)}
	c.entries[flow] = e
	c.placements[flow] = e
	c.queueDatagram(t, e, payload)
	if mayOpen && c.isSettled(t, v) {
		c.startOffering(t, flow, e)
		return
	}
	c.startProbing(t, v, flow, e)
}

// mayOpenFlow reports whether a datagram may be the first of a flow.
func mayOpenFlow(mode model.Mode, payload []byte) bool {
	return mode == model.ModeFlow || wire.IsQUICInitial(payload)
}

// queueDatagram queues a datagram until the flow is placed.
func (c *Controller) queueDatagram(t *core.Turn, e *entry, payload []byte) {
	if len(e.pending) >= maxPendingDatagrams {
		t.Emit(core.Count{Name: "datagram_pending_full", Delta: 1})
		return
	}
	e.pending = append(e.pending, bytes.Clone(payload))
	if v := c.view(t); v != nil && mayOpenFlow(v.Mode, payload) {
		e.hasOpening = true
	}
}

// takeProbeToken limits the rate of searches for flows that may have no holder.
func (c *Controller) takeProbeToken(t *core.Turn) bool {
	if t.Now.After(c.probeRefillAt) {
		c.probeTokens = maxMidFlowProbes
		c.probeRefillAt = t.Now.Add(probeRefillInterval)
	}
	if c.probeTokens == 0 {
		return false
	}
	c.probeTokens--
	return true
}

// startProbing queries the other candidates for the flow's holder.
func (c *Controller) startProbing(t *core.Turn, v *core.View, flow model.FlowKey, e *entry) {
	e.phase = phaseProbing
	e.awaitingReply = make(map[model.NodeID]netip.AddrPort)
	c.rankBuffer = routing.Rank(v, flow.Hash(), c.rankBuffer[:0])
	for _, candidate := range c.rankBuffer[:min(len(c.rankBuffer), maxProbeCandidates+1)] {
		if candidate.Member.Node != t.Board.Self.Member.Node {
			e.awaitingReply[candidate.Member.Node] = candidate.Member.DataAddr
		}
	}
	e.attempts = 0
	e.candidatesProbed, e.emptyReplies = len(e.awaitingReply), 0
	c.sendProbes(t, flow, e)
}

func (c *Controller) sendProbes(t *core.Turn, flow model.FlowKey, e *entry) {
	if len(e.awaitingReply) == 0 {
		c.finishProbing(t, flow, e)
		return
	}
	e.attempts++
	e.retryAt = t.Now.Add(c.options.RetryInterval)
	for _, node := range sortedNodes(e.awaitingReply) {
		c.sendMessage(t, e.awaitingReply[node], flow, &placementpb.Placement{Body: &placementpb.Placement_Probe{
			Probe: &placementpb.Probe{Flow: encodeFlow(flow)},
		}})
	}
}

// finishProbing completes a search in which no candidate knew a holder.
func (c *Controller) finishProbing(t *core.Turn, flow model.FlowKey, e *entry) {
	if !e.hasOpening {
		t.Emit(core.Count{Name: "datagram_unknown_flow", Delta: int64(len(e.pending))})
		c.removeEntry(flow)
		return
	}
	c.startOffering(t, flow, e)
}

// startOffering selects the candidates that may admit the flow and offers it to
// the first.
func (c *Controller) startOffering(t *core.Turn, flow model.FlowKey, e *entry) {
	e.phase = phaseOffering
	e.awaitingReply = nil
	e.remaining = c.orderCandidates(t, flow)
	c.offerToNextCandidate(t, flow, e)
}

// orderCandidates returns the candidates for a new flow: the least loaded of a
// few random ones first, then the others by load.
func (c *Controller) orderCandidates(t *core.Turn, flow model.FlowKey) []candidateAddr {
	v := c.view(t)
	if v == nil {
		return nil
	}
	c.rankBuffer = routing.Rank(v, flow.Hash(), c.rankBuffer[:0])
	var admitting []core.Candidate
	for _, candidate := range c.rankBuffer[:min(len(c.rankBuffer), maxPlacementCandidates)] {
		if candidate.AcceptsNewFlows && !c.peerLoads[candidate.Member.Node].unresponsiveUntil.After(t.Now) {
			admitting = append(admitting, candidate)
		}
	}
	t.Rand.Shuffle(len(admitting), func(i, j int) { admitting[i], admitting[j] = admitting[j], admitting[i] })
	byLoad := func(a, b core.Candidate) int {
		return cmp.Compare(c.candidateLoad(t, a).utilization(), c.candidateLoad(t, b).utilization())
	}
	sampled := min(len(admitting), c.options.Choices)
	slices.SortStableFunc(admitting[:sampled], byLoad)
	if sampled > 0 {
		slices.SortStableFunc(admitting[1:], byLoad)
	}
	ordered := make([]candidateAddr, 0, len(admitting))
	for _, candidate := range admitting {
		ordered = append(ordered, candidateAddr{candidate.Member.Node, candidate.Member.DataAddr})
	}
	return ordered
}

// candidateLoad returns the last known load of a candidate. One that has not
// reported yet counts as half loaded.
func (c *Controller) candidateLoad(t *core.Turn, candidate core.Candidate) peerLoad {
	if candidate.Member.Node == t.Board.Self.Member.Node {
		return c.localLoad(t)
	}
	if load, ok := c.peerLoads[candidate.Member.Node]; ok && !load.reportedAt.IsZero() {
		return load
	}
	return peerLoad{flows: 1, capacity: 1}
}

// offerToNextCandidate offers the flow to the next candidate, or refuses the
// flow when every candidate has declined.
func (c *Controller) offerToNextCandidate(t *core.Turn, flow model.FlowKey, e *entry) {
	for len(e.remaining) > 0 {
		next := e.remaining[0]
		e.remaining = e.remaining[1:]
		e.epoch++
		e.attempts = 0
		e.offeredTo = next
		if next.node != t.Board.Self.Member.Node {
			c.sendOffer(t, flow, e)
			return
		}
		if c.localLoad(t).capacity > 0 {
			c.removeEntry(flow)
			c.admitFlow(t, flow)
			c.deliverAllLocally(t, flow, e.pending)
			return
		}
	}
	t.Emit(core.Count{Name: "flow_refused", Delta: 1})
	c.removeEntry(flow)
}

func (c *Controller) sendOffer(t *core.Turn, flow model.FlowKey, e *entry) {
	e.attempts++
	e.retryAt = t.Now.Add(c.options.RetryInterval)
	c.sendMessage(t, e.offeredTo.addr, flow, &placementpb.Placement{Body: &placementpb.Placement_Offer{
		Offer: &placementpb.Offer{Flow: encodeFlow(flow), Epoch: e.epoch},
	}})
}

// setHolder moves an entry to phasePlaced or phaseYielded and forwards its
// pending datagrams to the holder or the other home.
func (c *Controller) setHolder(t *core.Turn, flow model.FlowKey, e *entry, holder model.NodeID, kind wire.Kind, newPhase phase) {
	agent, ok := c.lookupAgent(t, holder)
	if !ok {
		return
	}
	delete(c.placements, flow)
	pending := e.pending
	e.phase = newPhase
	e.holder = holder
	e.holderIncarnation = agent.Incarnation
	e.awaitingReply, e.remaining, e.pending = nil, nil, nil
	for _, payload := range pending {
		c.forwardDatagram(t, agent.DataAddr, kind, flow, 0, payload)
	}
}

// retryPlacement resends outstanding probes and offers, and abandons a
// placement that has expired.
func (c *Controller) retryPlacement(t *core.Turn, flow model.FlowKey, e *entry) {
	switch {
	case t.Now.After(e.expiresAt):
		t.Emit(core.Count{Name: "placement_expired", Delta: 1})
		c.removeEntry(flow)
	case t.Now.Before(e.retryAt):
	case e.phase == phaseProbing:
		c.retryProbing(t, flow, e)
	case e.phase == phaseOffering:
		c.retryOffer(t, flow, e)
	}
}

func (c *Controller) retryProbing(t *core.Turn, flow model.FlowKey, e *entry) {
	for node := range e.awaitingReply {
		if _, ok := c.agentAddress(t, node); !ok {
			delete(e.awaitingReply, node)
		}
	}
	if e.attempts >= c.options.MaxAttempts && c.canSkipUnresponsive(t, e) {
		clear(e.awaitingReply)
	}
	c.sendProbes(t, flow, e)
}

// canSkipUnresponsive reports whether a search may complete without the
// candidates that do not reply. In mode flow one of them may be the holder,
// which the datagrams do not show, so the search waits until it replies or is
// removed. In mode request the caller is opening a new flow; but a home that
// gets replies from less than half of the candidates may itself be the one that
// the others ignore.
func (c *Controller) canSkipUnresponsive(t *core.Turn, e *entry) bool {
	v := c.view(t)
	return v != nil && v.Mode != model.ModeFlow && 2*e.emptyReplies >= e.candidatesProbed
}

func (c *Controller) retryOffer(t *core.Turn, flow model.FlowKey, e *entry) {
	if e.attempts < c.options.MaxAttempts {
		c.sendOffer(t, flow, e)
		return
	}
	load := c.peerLoads[e.offeredTo.node]
	load.unresponsiveUntil = t.Now.Add(unresponsiveBackoff)
	c.peerLoads[e.offeredTo.node] = load
	c.offerToNextCandidate(t, flow, e)
}
