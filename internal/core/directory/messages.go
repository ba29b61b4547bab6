package directory

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/placementpb"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// sendMessage sends a placement message with this agent's name and load.
func (c *Controller) sendMessage(t *core.Turn, to netip.AddrPort, flow model.FlowKey, m *placementpb.Placement) {
	self := &t.Board.Self.Member
	load := c.localLoad(t)
	m.From = string(self.Node)
	m.Incarnation = self.Incarnation
	m.Load = &placementpb.Load{Flows: uint32(load.flows), Capacity: uint32(load.capacity)}
	payload, err := proto.Marshal(m)
	if err != nil {
		t.Emit(core.Count{Name: "placement_encode_failed", Delta: 1})
		return
	}
	t.Emit(core.SendDatagram{
		To:      to,
		Header:  wire.Header{Kind: wire.KindPlacement, Service: flow.Service, Caller: flow.Caller},
		Payload: payload,
	})
}

// handleMessage decodes a placement message of another agent and dispatches it.
func (c *Controller) handleMessage(t *core.Turn, ev core.DatagramReceived) {
	var m placementpb.Placement
	if err := proto.Unmarshal(ev.Payload, &m); err != nil {
		t.Emit(core.Count{Name: "placement_malformed", Delta: 1})
		return
	}
	from, ok := c.identifySender(t, &m, ev.From)
	if probe := m.GetProbe(); !ok && probe != nil {
		c.postponeProber(t, ev, probe)
		return
	}
	if !ok {
		t.Emit(core.Count{Name: "placement_unknown_sender", Delta: 1})
		return
	}
	c.recordPeerLoad(t, from.Node, m.Load)
	service := ev.Header.Service
	switch body := m.Body.(type) {
	case *placementpb.Placement_Offer:
		c.handleOffer(t, from, service, body.Offer)
	case *placementpb.Placement_OfferReply:
		c.handleOfferReply(t, from, service, body.OfferReply)
	case *placementpb.Placement_Register:
		c.handleRegister(t, from, service, body.Register)
	case *placementpb.Placement_RegisterReply:
		c.handleRegisterReply(t, from, service, body.RegisterReply)
	case *placementpb.Placement_Probe:
		c.handleProbe(t, from, service, body.Probe)
	case *placementpb.Placement_ProbeReply:
		c.handleProbeReply(t, from, service, body.ProbeReply)
	case *placementpb.Placement_Release:
		c.handleRelease(from, service, body.Release)
	}
}

// identifySender returns the member that sent a message. The message is
// authenticated, so a sender whose record has not arrived, or that is wrongly
// recorded as dead, gets replies at its source address. Messages of replaced
// instances, of members that left and from failure domains that are out are
// ignored.
func (c *Controller) identifySender(t *core.Turn, message *placementpb.Placement, source netip.AddrPort) (model.Member, bool) {
	node := model.NodeID(message.From)
	record, known := t.Board.Members.Records[node]
	switch {
	case known && (record.Incarnation > message.Incarnation || t.Board.Config.Current.DomainOut(record.Domain)):
		return model.Member{}, false
	case known && record.Incarnation == message.Incarnation && !record.Gone():
		return record, true
	case known && record.Incarnation == message.Incarnation && record.State == model.StateLeft:
		return model.Member{}, false
	}
	member := model.Member{Node: node, Role: model.RoleAgent, Incarnation: message.Incarnation, DataAddr: source}
	c.provisionalPeers[node] = provisionalPeer{member: member, expiresAt: t.Now.Add(provisionalPeerTimeout)}
	return member, true
}

func (c *Controller) recordPeerLoad(t *core.Turn, from model.NodeID, reported *placementpb.Load) {
	load := c.peerLoads[from]
	load.flows = int(reported.GetFlows())
	load.capacity = int(reported.GetCapacity())
	load.reportedAt = t.Now
	c.peerLoads[from] = load
}

// handleOffer accepts or declines a flow that a home offers.
func (c *Controller) handleOffer(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.Offer) {
	flow, ok := decodeFlow(service, m.Flow)
	if !ok {
		return
	}
	_, accepted := c.localFlows[flow]
	e := c.entries[flow]
	hasOtherHolder := e != nil && e.phase == phasePlaced && e.holder != from.Node
	if !accepted && !hasOtherHolder && c.localLoad(t).capacity > 0 {
		accepted = true
		c.removeEntry(flow)
		c.admitFlow(t, flow)
		c.confirmRegistrationByReply(t, flow, from)
	}
	c.sendMessage(t, from.DataAddr, flow, &placementpb.Placement{Body: &placementpb.Placement_OfferReply{
		OfferReply: &placementpb.OfferReply{Flow: m.Flow, Epoch: m.Epoch, Accepted: accepted},
	}})
}

// confirmRegistrationByReply saves the first registration of an offered flow:
// the reply to the offer informs the home, which resends the offer until a
// reply arrives.
func (c *Controller) confirmRegistrationByReply(t *core.Turn, flow model.FlowKey, home model.Member) {
	f, v := c.localFlows[flow], c.view(t)
	if v == nil {
		return
	}
	if currentHome := routing.Home(v, flow.Hash()); currentHome == nil || currentHome.Member.Node != home.Node {
		return
	}
	f.home, f.homeIncarnation = home.Node, home.Incarnation
	f.confirmed = true
	f.registrationSentAt = t.Now
}

// handleOfferReply records the holder, or offers the flow to the next
// candidate. The first acceptance that arrives wins, even if the home has
// offered the flow to another candidate since.
func (c *Controller) handleOfferReply(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.OfferReply) {
	flow, ok := decodeFlow(service, m.Flow)
	if !ok {
		return
	}
	e := c.entries[flow]
	switch {
	case m.Accepted:
		if established, ok := c.recordHolder(t, from, flow, &placementpb.Flow{Since: t.Now.UnixNano()}); !ok {
			c.sendRejection(t, from, flow, established)
		}
	case e != nil && e.phase == phaseOffering && e.epoch == m.Epoch && e.offeredTo.node == from.Node:
		c.offerToNextCandidate(t, flow, e)
	}
}

func (c *Controller) isHolder(flow model.FlowKey, node model.NodeID) bool {
	e := c.entries[flow]
	return e != nil && e.phase == phasePlaced && e.holder == node
}

// rejectedFlow encodes a flow that has another holder, and whether the flow is
// established there.
func rejectedFlow(flow model.FlowKey, established bool) *placementpb.Flow {
	pb := encodeFlow(flow)
	pb.Established = established
	return pb
}

// sendRejection notifies an agent that a flow has another holder, and whether
// the flow is established there.
func (c *Controller) sendRejection(t *core.Turn, to model.Member, flow model.FlowKey, established bool) {
	c.sendMessage(t, to.DataAddr, flow, &placementpb.Placement{Body: &placementpb.Placement_RegisterReply{
		RegisterReply: &placementpb.RegisterReply{Rejected: []*placementpb.Flow{rejectedFlow(flow, established)}},
	}})
}

// handleRegister records another agent as the holder of the flows it registers.
func (c *Controller) handleRegister(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.Register) {
	reply := &placementpb.RegisterReply{Batch: m.Batch}
	for _, pb := range m.Flows {
		flow, ok := decodeFlow(service, pb)
		if !ok {
			continue
		}
		if established, ok := c.recordHolder(t, from, flow, pb); !ok {
			reply.Rejected = append(reply.Rejected, rejectedFlow(flow, established))
		}
	}
	c.sendMessage(t, from.DataAddr, model.FlowKey{Service: service}, &placementpb.Placement{
		Body: &placementpb.Placement_RegisterReply{RegisterReply: reply},
	})
}

// recordHolder records one registration. It returns false if the flow has
// another holder: the first holder known here keeps the flow, unless the flow
// is established only at the registering one. It also returns whether the flow
// is established at the holder that keeps it.
func (c *Controller) recordHolder(t *core.Turn, from model.Member, flow model.FlowKey, registered *placementpb.Flow) (established, ok bool) {
	if f, ok := c.localFlows[flow]; ok {
		if f.established || !registered.Established {
			return f.established, false
		}
		c.dropLocalFlow(t, flow, "held by another agent")
	}
	e := c.entries[flow]
	if e != nil && e.phase == phasePlaced && e.holder != from.Node {
		if e.established || !registered.Established {
			return e.established, false
		}
		if previous, ok := c.lookupAgent(t, e.holder); ok {
			c.sendRejection(t, previous, flow, true)
		}
	}
	if e == nil {
		if len(c.entries) >= c.options.MaxEntries {
			return registered.Established, true
		}
		e = &entry{}
		c.entries[flow] = e
	}
	e.since = time.Unix(0, registered.Since)
	e.established = e.phase == phasePlaced && e.established || registered.Established
	e.expiresAt = t.Now.Add(3 * c.options.RegisterInterval)
	c.setHolder(t, flow, e, from.Node, wire.KindForward, phasePlaced)
	return e.established, true
}

// handleRegisterReply confirms a batch and drops the flows that have another
// holder. A flow that is established only here stays: its home does not know
// that yet.
func (c *Controller) handleRegisterReply(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.RegisterReply) {
	for _, pb := range m.Rejected {
		flow, ok := decodeFlow(service, pb)
		f := c.localFlows[flow]
		if ok && f != nil && (pb.Established || !f.established) {
			c.dropLocalFlow(t, flow, "held by another agent")
		}
	}
	for _, flow := range c.unconfirmedBatches[m.Batch] {
		if f := c.localFlows[flow]; f != nil && f.home == from.Node {
			f.confirmed = true
		}
	}
	delete(c.unconfirmedBatches, m.Batch)
}

// handleProbe replies with the holder of a flow. An agent that knows none
// forwards the flow's datagrams to the prober from now on, so that it cannot
// place the flow itself under an older view.
func (c *Controller) handleProbe(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.Probe) {
	flow, ok := decodeFlow(service, m.Flow)
	if !ok {
		return
	}
	reply := c.decideProbeReply(t, from, flow)
	reply.Flow = m.Flow
	c.sendMessage(t, from.DataAddr, flow, &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{ProbeReply: reply}})
}

// postponeProber replies "later" to a prober that is no member here, or whose
// failure domain is out here: one of the two nodes lags behind. Without a reply
// the prober could place a flow that this agent may be placing as well.
func (c *Controller) postponeProber(t *core.Turn, ev core.DatagramReceived, probe *placementpb.Probe) {
	flow := model.FlowKey{Service: ev.Header.Service}
	c.sendMessage(t, ev.From, flow, &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{
		ProbeReply: &placementpb.ProbeReply{Flow: probe.Flow, Later: true},
	}})
}

func (c *Controller) decideProbeReply(t *core.Turn, from model.Member, flow model.FlowKey) *placementpb.ProbeReply {
	self := t.Board.Self.Member.Node
	if c.localFlows[flow] != nil {
		return &placementpb.ProbeReply{Holder: string(self)}
	}
	e := c.entries[flow]
	switch {
	case e == nil:
		e = &entry{}
		c.entries[flow] = e
	case e.phase == phasePlaced && e.holder != from.Node:
		return &placementpb.ProbeReply{Holder: string(e.holder)}
	case e.phase == phaseOffering, e.phase == phaseProbing && outranks(self, from.Node, flow):
		return &placementpb.ProbeReply{Holder: string(self), Placing: true}
	}
	e.expiresAt = t.Now.Add(yieldTimeout)
	c.setHolder(t, flow, e, from.Node, wire.KindPacket, phaseYielded)
	return &placementpb.ProbeReply{}
}

// outranks reports whether node a is a better home for the flow than b.
func outranks(a, b model.NodeID, flow model.FlowKey) bool {
	hash := flow.Hash()
	return routing.Score(routing.Seed(a), hash) > routing.Score(routing.Seed(b), hash)
}

// handleProbeReply completes a search, or counts one candidate that knows no
// holder.
func (c *Controller) handleProbeReply(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.ProbeReply) {
	flow, ok := decodeFlow(service, m.Flow)
	if !ok {
		return
	}
	e := c.entries[flow]
	if e == nil || e.phase != phaseProbing {
		return
	}
	holder := model.NodeID(m.Holder)
	switch {
	case m.Later:
		e.attempts = 0 // the candidate responds; it is probed until it agrees
	case holder == "" || holder == t.Board.Self.Member.Node:
		if _, ok := e.awaitingReply[from.Node]; ok {
			e.emptyReplies++
		}
		delete(e.awaitingReply, from.Node)
		if len(e.awaitingReply) == 0 {
			c.finishProbing(t, flow, e)
		}
	case m.Placing:
		e.expiresAt = t.Now.Add(yieldTimeout)
		c.setHolder(t, flow, e, holder, wire.KindPacket, phaseYielded)
	default:
		e.expiresAt = t.Now.Add(3 * c.options.RegisterInterval)
		c.setHolder(t, flow, e, holder, wire.KindForward, phasePlaced)
	}
}

// handleRelease removes an entry whose holder no longer has the flow.
func (c *Controller) handleRelease(from model.Member, service model.ServiceID, m *placementpb.Release) {
	if flow, ok := decodeFlow(service, m.Flow); ok && c.isHolder(flow, from.Node) {
		c.removeEntry(flow)
	}
}

func encodeFlow(flow model.FlowKey) *placementpb.Flow {
	caller, err := flow.Caller.MarshalBinary()
	if err != nil {
		return &placementpb.Flow{}
	}
	return &placementpb.Flow{Caller: caller}
}

func decodeFlow(service model.ServiceID, m *placementpb.Flow) (model.FlowKey, bool) {
	var caller netip.AddrPort
	if m == nil || caller.UnmarshalBinary(m.Caller) != nil || !caller.IsValid() {
		return model.FlowKey{}, false
	}
	return model.FlowKey{Caller: caller, Service: service}, true
}

// sortedFlows returns the keys of a map in an order that does not vary between
// runs.
func sortedFlows[V any](m map[model.FlowKey]V) []model.FlowKey {
	return slices.SortedFunc(maps.Keys(m), compareFlows)
}

func compareFlows(a, b model.FlowKey) int {
	return cmp.Or(a.Caller.Compare(b.Caller), cmp.Compare(a.Service, b.Service))
}

// sortedNodes returns the keys of a map in order.
func sortedNodes[V any](m map[model.NodeID]V) []model.NodeID {
	return slices.Sorted(maps.Keys(m))
}
