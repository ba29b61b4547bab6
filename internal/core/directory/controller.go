package directory

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/placementpb"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// Part is the name under which this package logs.
const Part = "directory"

// Controller is the directory controller of an agent. It writes the board's
// FlowSection.
type Controller struct {
	options    Options
	localFlows map[model.FlowKey]*localFlow
	entries    map[model.FlowKey]*entry
	// placements are the entries whose placement is in progress, a subset of
	// entries.
	placements map[model.FlowKey]*entry
	peerLoads  map[model.NodeID]peerLoad
	// provisionalPeers are agents that sent authenticated messages and have no
	// live member record of their present incarnation.
	provisionalPeers map[model.NodeID]provisionalPeer
	// leaseValid and leaseValidSince track the lease of this agent.
	leaseValid      bool
	leaseValidSince time.Time

	routeGeneration    uint64
	nextSweep          time.Time
	nextRegistration   time.Time
	lastBatch          uint64
	unconfirmedBatches map[uint64][]model.FlowKey
	probeTokens        int
	probeRefillAt      time.Time
	rankBuffer         []core.Candidate
}

// New returns a directory controller.
func New(o Options) *Controller {
	return &Controller{
		options:            o.withDefaults(),
		localFlows:         make(map[model.FlowKey]*localFlow),
		entries:            make(map[model.FlowKey]*entry),
		placements:         make(map[model.FlowKey]*entry),
		peerLoads:          make(map[model.NodeID]peerLoad),
		unconfirmedBatches: make(map[uint64][]model.FlowKey),

		provisionalPeers: make(map[model.NodeID]provisionalPeer),
	}
}

// Handle implements core.Controller.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	c.trackLease(t)
	switch ev := ev.(type) {
	case core.DatagramReceived:
		c.handleDatagram(t, ev)
	case core.FlowEstablished:
		c.markEstablished(t, ev.Flow)
	case core.FlowClosed:
		c.handleFlowClosed(t, ev.Flow)
	case core.EndpointClosed:
		c.releaseLocalFlows(t)
	case core.Tick:
		c.handleTick(t)
	}
	c.applyBoardChanges(t)
	t.Board.Flows.Local = len(c.localFlows)
	t.Board.Flows.DirectoryEntries = len(c.entries)
}

// view returns the view of this agent's own service, or nil.
func (c *Controller) view(t *core.Turn) *core.View {
	service := t.Board.Self.Member.Service
	if service == "" {
		return nil
	}
	return t.Board.Routes.Views[service.ID()]
}

// handleDatagram dispatches an authenticated datagram by kind.
func (c *Controller) handleDatagram(t *core.Turn, ev core.DatagramReceived) {
	self := &t.Board.Self
	if ev.Header.Kind != wire.KindPacket && ev.Header.Kind != wire.KindForward && ev.Header.Kind != wire.KindPlacement {
		return
	}
	if self.Member.Service == "" || ev.Header.Service != self.Member.Service.ID() {
		t.Emit(core.Count{Name: "datagram_wrong_service", Delta: 1})
		return
	}
	if self.DomainOut {
		t.Emit(core.Count{Name: "datagram_domain_out", Delta: 1})
		return
	}
	if ev.Header.Kind == wire.KindPlacement {
		c.handleMessage(t, ev)
		return
	}
	c.handleCallerDatagram(t, ev)
}

// handleCallerDatagram delivers or forwards a caller's datagram, or places its
// flow.
func (c *Controller) handleCallerDatagram(t *core.Turn, ev core.DatagramReceived) {
	flow := ev.Header.Flow()
	if _, ok := c.localFlows[flow]; ok {
		c.deliverLocally(t, flow, ev.Payload)
		return
	}
	if e, ok := c.entries[flow]; ok {
		c.handleDatagramOfEntry(t, flow, e, ev)
		return
	}
	if ev.Header.Kind == wire.KindForward {
		c.returnDatagram(t, flow, ev)
		return
	}
	c.handleUnknownFlow(t, flow, ev.Header.Hops, ev.Payload)
}

// returnDatagram sends a forwarded datagram back for placement, with the notice
// that this agent is not the flow's holder.
func (c *Controller) returnDatagram(t *core.Turn, flow model.FlowKey, ev core.DatagramReceived) {
	c.sendMessage(t, ev.From, flow, &placementpb.Placement{Body: &placementpb.Placement_Release{
		Release: &placementpb.Release{Flow: encodeFlow(flow)},
	}})
	c.forwardDatagram(t, ev.From, wire.KindPacket, flow, ev.Header.Hops, ev.Payload)
}

// handleDatagramOfEntry forwards a datagram of a flow that has another holder,
// or queues it while the flow is being placed.
func (c *Controller) handleDatagramOfEntry(t *core.Turn, flow model.FlowKey, e *entry, ev core.DatagramReceived) {
	switch e.phase {
	case phasePlaced, phaseYielded:
		addr, ok := c.agentAddress(t, e.holder)
		if !ok {
			c.removeEntry(flow)
			c.handleUnknownFlow(t, flow, ev.Header.Hops, ev.Payload)
			return
		}
		kind := wire.KindForward
		if e.phase == phaseYielded {
			kind = wire.KindPacket
		}
		if v := c.view(t); v != nil && !mayOpenFlow(v.Mode, ev.Payload) {
			e.established = true
		}
		c.forwardDatagram(t, addr, kind, flow, ev.Header.Hops, ev.Payload)
	default:
		c.queueDatagram(t, e, ev.Payload)
	}
}

// handleUnknownFlow handles a datagram of a flow that is neither local nor in
// the directory: the home places the flow, other agents forward to the home.
func (c *Controller) handleUnknownFlow(t *core.Turn, flow model.FlowKey, hops uint8, payload []byte) {
	v := c.view(t)
	if v == nil {
		t.Emit(core.Count{Name: "datagram_no_view", Delta: 1})
		return
	}
	home := routing.Home(v, flow.Hash())
	if home == nil {
		t.Emit(core.Count{Name: "datagram_no_candidate", Delta: 1})
		return
	}
	if home.Member.Node != t.Board.Self.Member.Node {
		c.forwardDatagram(t, home.Member.DataAddr, wire.KindPacket, flow, hops, payload)
		return
	}
	if !t.Board.Lease.Valid(t.Now) {
		t.Emit(core.Count{Name: "datagram_lease_lapsed", Delta: 1})
		return
	}
	c.startPlacement(t, v, flow, payload)
}

// forwardDatagram forwards a caller's datagram to another agent, up to the hop
// limit.
func (c *Controller) forwardDatagram(t *core.Turn, to netip.AddrPort, kind wire.Kind, flow model.FlowKey, hops uint8, payload []byte) {
	if hops >= wire.MaxHops {
		t.Emit(core.Count{Name: "datagram_hop_limit", Delta: 1})
		return
	}
	t.Emit(core.SendDatagram{
		To:      to,
		Header:  wire.Header{Kind: kind, Hops: hops + 1, Service: flow.Service, Caller: flow.Caller},
		Payload: payload,
	})
}

// lookupAgent returns the record of an agent that may be a holder.
func (c *Controller) lookupAgent(t *core.Turn, node model.NodeID) (model.Member, bool) {
	record, ok := t.Board.Members.Records[node]
	if ok && t.Board.Config.Current.DomainOut(record.Domain) {
		return model.Member{}, false
	}
	if ok && !record.Gone() {
		return record, true
	}
	peer, ok := c.provisionalPeers[node]
	return peer.member, ok && t.Now.Before(peer.expiresAt)
}

// agentAddress returns the data address of an agent that may be a holder.
func (c *Controller) agentAddress(t *core.Turn, node model.NodeID) (netip.AddrPort, bool) {
	agent, ok := c.lookupAgent(t, node)
	return agent.DataAddr, ok
}

// trackLease records when this agent regains its lease. While the lease was
// lapsed, the agent may have been removed and its homes moved without a trace
// in its own view.
func (c *Controller) trackLease(t *core.Turn) {
	valid := t.Board.Lease.Valid(t.Now)
	if valid && !c.leaseValid {
		c.leaseValidSince = t.Now
	}
	c.leaseValid = valid
}

// isSettled reports whether every holder has had time to register its flows
// with this agent as their home.
func (c *Controller) isSettled(t *core.Turn, v *core.View) bool {
	window := c.options.SettleWindow
	return t.Now.Sub(v.ChangedAt) >= window && t.Now.Sub(c.leaseValidSince) >= window
}

// localLoad returns the load that this agent reports to its peers.
func (c *Controller) localLoad(t *core.Turn) peerLoad {
	load := peerLoad{flows: len(c.localFlows), reportedAt: t.Now}
	if !t.Board.Self.AcceptsNewWork() || !t.Board.Lease.Valid(t.Now) {
		return load
	}
	load.capacity = max(0, connectionLimit(t.Board)-len(c.localFlows))
	return load
}

// connectionLimit returns the number of flows that the target accepts now. A
// cold target's connections are limited in the same proportion as its slots.
func connectionLimit(b *core.Board) int {
	connections := b.Self.Member.Connections
	slots := b.Self.Member.Slots
	if slots <= 0 || b.Load.Limit >= slots {
		return connections
	}
	return max(1, connections*b.Load.Limit/slots)
}

func (c *Controller) removeEntry(flow model.FlowKey) {
	delete(c.entries, flow)
	delete(c.placements, flow)
}
