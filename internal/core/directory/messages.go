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

// send emits a placement message with this agent's name and load.
func (c *Controller) send(t *core.Turn, to netip.AddrPort, flow model.FlowKey, m *placementpb.Placement) {
	self := &t.Board.Self.Member
	load := c.load(t)
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

// message handles a placement message of another agent.
func (c *Controller) message(t *core.Turn, ev core.DatagramReceived) {
	var m placementpb.Placement
	if err := proto.Unmarshal(ev.Payload, &m); err != nil {
		t.Emit(core.Count{Name: "placement_malformed", Delta: 1})
		return
	}
	from, ok := c.sender(t, &m, ev.From)
	if probe := m.GetProbe(); !ok && probe != nil {
		c.postpone(t, ev, probe)
		return
	}
	if !ok {
		t.Emit(core.Count{Name: "placement_unknown_sender", Delta: 1})
		return
	}
	c.noteLoad(t, from.Node, m.Load)
	service := ev.Header.Service
	switch body := m.Body.(type) {
	case *placementpb.Placement_Offer:
		c.offer(t, from, service, body.Offer)
	case *placementpb.Placement_OfferReply:
		c.offerReply(t, from, service, body.OfferReply)
	case *placementpb.Placement_Register:
		c.registration(t, from, service, body.Register)
	case *placementpb.Placement_RegisterReply:
		c.registerReply(t, from, service, body.RegisterReply)
	case *placementpb.Placement_Probe:
		c.probe(t, from, service, body.Probe)
	case *placementpb.Placement_ProbeReply:
		c.probeReply(t, from, service, body.ProbeReply)
	case *placementpb.Placement_Release:
		c.release(from, service, body.Release)
	}
}

// sender returns the member that sent a message. The message is authenticated,
// so a sender whose record has not arrived, or that is wrongly held dead, is
// answered at the address it sent from. Messages of replaced instances, of
// members that left and from failure domains that are out are ignored.
func (c *Controller) sender(t *core.Turn, m *placementpb.Placement, from netip.AddrPort) (model.Member, bool) {
	node := model.NodeID(m.From)
	record, known := t.Board.Members.Records[node]
	switch {
	case known && (record.Incarnation > m.Incarnation || t.Board.Config.Current.DomainOut(record.Domain)):
		return model.Member{}, false
	case known && record.Incarnation == m.Incarnation && !record.Gone():
		return record, true
	case known && record.Incarnation == m.Incarnation && record.State == model.StateLeft:
		return model.Member{}, false
	}
	member := model.Member{Node: node, Role: model.RoleAgent, Incarnation: m.Incarnation, Data: from}
	c.strangers[node] = stranger{member: member, until: t.Now.Add(strangerTimeout)}
	return member, true
}

func (c *Controller) noteLoad(t *core.Turn, from model.NodeID, l *placementpb.Load) {
	held := c.loads[from]
	held.flows = int(l.GetFlows())
	held.capacity = int(l.GetCapacity())
	held.at = t.Now
	c.loads[from] = held
}

// offer admits or declines a flow that a home offers.
func (c *Controller) offer(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.Offer) {
	flow, ok := flowKey(service, m.Flow)
	if !ok {
		return
	}
	_, accepted := c.held[flow]
	e := c.entries[flow]
	elsewhere := e != nil && e.phase == phaseHeld && e.holder != from.Node
	if !accepted && !elsewhere && c.load(t).capacity > 0 {
		accepted = true
		c.remove(flow)
		c.hold(t, flow)
		c.confirmByReply(t, flow, from)
	}
	c.send(t, from.Data, flow, &placementpb.Placement{Body: &placementpb.Placement_OfferReply{
		OfferReply: &placementpb.OfferReply{Flow: m.Flow, Epoch: m.Epoch, Accepted: accepted},
	}})
}

// confirmByReply spares the first registration of an offered flow: the reply
// tells its home, which repeats the offer until a reply arrives.
func (c *Controller) confirmByReply(t *core.Turn, flow model.FlowKey, home model.Member) {
	f, v := c.held[flow], c.view(t)
	if v == nil {
		return
	}
	if best := routing.Home(v, flow.Hash()); best == nil || best.Member.Node != home.Node {
		return
	}
	f.home, f.homeIncarnation = home.Node, home.Incarnation
	f.confirmed = true
	f.sent = t.Now
}

// offerReply ends an offer, or moves on to the next candidate. The first
// acceptance that arrives wins, even if the home has moved on from its offer.
func (c *Controller) offerReply(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.OfferReply) {
	flow, ok := flowKey(service, m.Flow)
	if !ok {
		return
	}
	e := c.entries[flow]
	switch {
	case m.Accepted:
		if winner, ok := c.record(t, from, flow, &placementpb.Flow{Since: t.Now.UnixNano()}); !ok {
			c.reject(t, from, flow, winner)
		}
	case e != nil && e.phase == phaseOffering && e.epoch == m.Epoch && e.offered.node == from.Node:
		c.offerNext(t, flow, e)
	}
}

func (c *Controller) heldBy(flow model.FlowKey, node model.NodeID) bool {
	e := c.entries[flow]
	return e != nil && e.phase == phaseHeld && e.holder == node
}

// rejection names a flow that is another holder's.
func rejection(flow model.FlowKey, winner bool) *placementpb.Flow {
	pb := flowMessage(flow)
	pb.Established = winner
	return pb
}

// reject tells an agent that a flow is another holder's, and whether the flow
// is established there.
func (c *Controller) reject(t *core.Turn, to model.Member, flow model.FlowKey, winner bool) {
	c.send(t, to.Data, flow, &placementpb.Placement{Body: &placementpb.Placement_RegisterReply{
		RegisterReply: &placementpb.RegisterReply{Rejected: []*placementpb.Flow{rejection(flow, winner)}},
	}})
}

// registration records the flows that another agent holds.
func (c *Controller) registration(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.Register) {
	reply := &placementpb.RegisterReply{Batch: m.Batch}
	for _, pb := range m.Flows {
		flow, ok := flowKey(service, pb)
		if !ok {
			continue
		}
		if winner, ok := c.record(t, from, flow, pb); !ok {
			reply.Rejected = append(reply.Rejected, rejection(flow, winner))
		}
	}
	c.send(t, from.Data, model.FlowKey{Service: service}, &placementpb.Placement{
		Body: &placementpb.Placement_RegisterReply{RegisterReply: reply},
	})
}

// record takes one registration. It returns false if the flow is another
// agent's: the first holder known here keeps the flow, unless only the other
// has completed its handshake. It also returns whether the flow is established
// at the holder that keeps it.
func (c *Controller) record(t *core.Turn, from model.Member, flow model.FlowKey, pb *placementpb.Flow) (established, ok bool) {
	if f, ok := c.held[flow]; ok {
		if f.established || !pb.Established {
			return f.established, false
		}
		c.drop(t, flow, "held by another agent")
	}
	e := c.entries[flow]
	if e != nil && e.phase == phaseHeld && e.holder != from.Node {
		if e.established || !pb.Established {
			return e.established, false
		}
		if other, ok := c.member(t, e.holder); ok {
			c.reject(t, other, flow, true)
		}
	}
	if e == nil {
		if len(c.entries) >= c.options.MaxEntries {
			return pb.Established, true
		}
		e = &entry{}
		c.entries[flow] = e
	}
	e.since = time.Unix(0, pb.Since)
	e.established = e.phase == phaseHeld && e.established || pb.Established
	e.expires = t.Now.Add(3 * c.options.RegisterInterval)
	c.found(t, flow, e, from.Node, wire.KindForward, phaseHeld)
	return e.established, true
}

// registerReply confirms a batch and drops the flows that are another's. A
// flow that is established only here stays: the home has not heard of that yet.
func (c *Controller) registerReply(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.RegisterReply) {
	for _, pb := range m.Rejected {
		flow, ok := flowKey(service, pb)
		f := c.held[flow]
		if ok && f != nil && (pb.Established || !f.established) {
			c.drop(t, flow, "held by another agent")
		}
	}
	for _, flow := range c.batches[m.Batch] {
		if f := c.held[flow]; f != nil && f.home == from.Node {
			f.confirmed = true
		}
	}
	delete(c.batches, m.Batch)
}

// probe answers with the holder of a flow. An agent that knows none sends the
// flow's datagrams to the prober from now on, so that it cannot place the flow
// itself under an older view.
func (c *Controller) probe(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.Probe) {
	flow, ok := flowKey(service, m.Flow)
	if !ok {
		return
	}
	reply := c.answerProbe(t, from, flow)
	reply.Flow = m.Flow
	c.send(t, from.Data, flow, &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{ProbeReply: reply}})
}

// postpone answers a prober that is no member here, or whose failure domain is
// out here: one of the two lags behind. Silence would let the prober place a flow
// that this agent may be placing as well.
func (c *Controller) postpone(t *core.Turn, ev core.DatagramReceived, probe *placementpb.Probe) {
	flow := model.FlowKey{Service: ev.Header.Service}
	c.send(t, ev.From, flow, &placementpb.Placement{Body: &placementpb.Placement_ProbeReply{
		ProbeReply: &placementpb.ProbeReply{Flow: probe.Flow, Later: true},
	}})
}

func (c *Controller) answerProbe(t *core.Turn, from model.Member, flow model.FlowKey) *placementpb.ProbeReply {
	self := t.Board.Self.Member.Node
	if c.held[flow] != nil {
		return &placementpb.ProbeReply{Holder: string(self)}
	}
	e := c.entries[flow]
	switch {
	case e == nil:
		e = &entry{}
		c.entries[flow] = e
	case e.phase == phaseHeld && e.holder != from.Node:
		return &placementpb.ProbeReply{Holder: string(e.holder)}
	case e.phase == phaseOffering, e.phase == phaseProbing && outranks(self, from.Node, flow):
		return &placementpb.ProbeReply{Holder: string(self), Placing: true}
	}
	e.expires = t.Now.Add(yieldedTimeout)
	c.found(t, flow, e, from.Node, wire.KindPacket, phaseYielded)
	return &placementpb.ProbeReply{}
}

// outranks reports whether node a is a better home for the flow than b.
func outranks(a, b model.NodeID, flow model.FlowKey) bool {
	hash := flow.Hash()
	return routing.Score(routing.Seed(a), hash) > routing.Score(routing.Seed(b), hash)
}

// probeReply ends a search, or counts one candidate that knows no holder.
func (c *Controller) probeReply(t *core.Turn, from model.Member, service model.ServiceID, m *placementpb.ProbeReply) {
	flow, ok := flowKey(service, m.Flow)
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
		e.attempts = 0 // the candidate is not silent; it is asked until it agrees
	case holder == "" || holder == t.Board.Self.Member.Node:
		if _, ok := e.awaiting[from.Node]; ok {
			e.answered++
		}
		delete(e.awaiting, from.Node)
		if len(e.awaiting) == 0 {
			c.probed(t, flow, e)
		}
	case m.Placing:
		e.expires = t.Now.Add(yieldedTimeout)
		c.found(t, flow, e, holder, wire.KindPacket, phaseYielded)
	default:
		e.expires = t.Now.Add(3 * c.options.RegisterInterval)
		c.found(t, flow, e, holder, wire.KindForward, phaseHeld)
	}
}

// release forgets an entry whose holder no longer has the flow.
func (c *Controller) release(from model.Member, service model.ServiceID, m *placementpb.Release) {
	if flow, ok := flowKey(service, m.Flow); ok && c.heldBy(flow, from.Node) {
		c.remove(flow)
	}
}

func flowMessage(flow model.FlowKey) *placementpb.Flow {
	caller, err := flow.Caller.MarshalBinary()
	if err != nil {
		return &placementpb.Flow{}
	}
	return &placementpb.Flow{Caller: caller}
}

func flowKey(service model.ServiceID, m *placementpb.Flow) (model.FlowKey, bool) {
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
