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

// Part is the log prefix of this package.
const Part = "directory"

// Controller writes the board's FlowSection. It runs on agents.
type Controller struct {
	options Options
	held    map[model.FlowKey]*heldFlow
	entries map[model.FlowKey]*entry
	// placing are the entries with retries due, a subset of entries.
	placing map[model.FlowKey]*entry
	loads   map[model.NodeID]peerLoad
	// strangers are agents that sent authenticated messages while the members
	// do not name them, or name them dead.
	strangers map[model.NodeID]stranger
	// leaseHeld and leaseRegained follow the lease of this agent.
	leaseHeld     bool
	leaseRegained time.Time

	routeGeneration uint64
	sweepAt         time.Time
	registerAt      time.Time
	batch           uint64
	batches         map[uint64][]model.FlowKey
	probeTokens     int
	probeRefill     time.Time
	ranked          []core.Candidate
}

// New returns a directory controller.
func New(o Options) *Controller {
	return &Controller{
		options: o.withDefaults(),
		held:    make(map[model.FlowKey]*heldFlow),
		entries: make(map[model.FlowKey]*entry),
		placing: make(map[model.FlowKey]*entry),
		loads:   make(map[model.NodeID]peerLoad),
		batches: make(map[uint64][]model.FlowKey),

		strangers: make(map[model.NodeID]stranger),
	}
}

// Handle decides about datagrams, flows that end and the passing of time.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	c.watchLease(t)
	switch ev := ev.(type) {
	case core.DatagramReceived:
		c.datagram(t, ev)
	case core.FlowEstablished:
		c.established(t, ev.Flow)
	case core.FlowClosed:
		c.closed(t, ev.Flow)
	case core.Tick:
		c.tick(t)
	}
	c.afterChange(t)
	t.Board.Flows.Local = len(c.held)
	t.Board.Flows.DirectoryEntries = len(c.entries)
}

// view returns the candidates of this agent's own service, or nil.
func (c *Controller) view(t *core.Turn) *core.View {
	service := t.Board.Self.Member.Service
	if service == "" {
		return nil
	}
	return t.Board.Routes.Views[service.ID()]
}

// datagram dispatches an authenticated datagram by kind.
func (c *Controller) datagram(t *core.Turn, ev core.DatagramReceived) {
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
		c.message(t, ev)
		return
	}
	c.packet(t, ev)
}

// packet carries a caller's datagram towards the holder of its flow.
func (c *Controller) packet(t *core.Turn, ev core.DatagramReceived) {
	flow := ev.Header.Flow()
	if _, ok := c.held[flow]; ok {
		c.deliver(t, flow, ev.Payload)
		return
	}
	if e, ok := c.entries[flow]; ok {
		c.packetOfEntry(t, flow, e, ev)
		return
	}
	if ev.Header.Kind == wire.KindForward {
		c.bounce(t, flow, ev)
		return
	}
	c.unknown(t, flow, ev.Header.Hops, ev.Payload)
}

// bounce tells the sender of a forwarded datagram that this agent does not
// hold the flow, and returns the datagram for placement.
func (c *Controller) bounce(t *core.Turn, flow model.FlowKey, ev core.DatagramReceived) {
	c.send(t, ev.From, flow, &placementpb.Placement{Body: &placementpb.Placement_Release{
		Release: &placementpb.Release{Flow: flowMessage(flow)},
	}})
	c.forward(t, ev.From, wire.KindPacket, flow, ev.Header.Hops, ev.Payload)
}

// packetOfEntry handles a datagram of a flow that another agent holds or that
// is being placed.
func (c *Controller) packetOfEntry(t *core.Turn, flow model.FlowKey, e *entry, ev core.DatagramReceived) {
	switch e.phase {
	case phaseHeld, phaseYielded:
		data, ok := c.addressOf(t, e.holder)
		if !ok {
			c.remove(flow)
			c.unknown(t, flow, ev.Header.Hops, ev.Payload)
			return
		}
		kind := wire.KindForward
		if e.phase == phaseYielded {
			kind = wire.KindPacket
		}
		if v := c.view(t); v != nil && !opensFlow(v.Mode, ev.Payload) {
			e.established = true
		}
		c.forward(t, data, kind, flow, ev.Header.Hops, ev.Payload)
	default:
		c.keep(t, e, ev.Payload)
	}
}

// unknown handles a datagram of a flow that this agent knows nothing of.
func (c *Controller) unknown(t *core.Turn, flow model.FlowKey, hops uint8, payload []byte) {
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
		c.forward(t, home.Member.DataAddr, wire.KindPacket, flow, hops, payload)
		return
	}
	if !t.Board.Lease.Valid(t.Now) {
		t.Emit(core.Count{Name: "datagram_lease_lapsed", Delta: 1})
		return
	}
	c.place(t, v, flow, payload)
}

// forward passes a caller's datagram to another agent, unless it has been
// passed too often.
func (c *Controller) forward(t *core.Turn, to netip.AddrPort, kind wire.Kind, flow model.FlowKey, hops uint8, payload []byte) {
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

// member returns the record of an agent that may hold flows.
func (c *Controller) member(t *core.Turn, node model.NodeID) (model.Member, bool) {
	m, ok := t.Board.Members.Records[node]
	if ok && t.Board.Config.Current.DomainOut(m.Domain) {
		return model.Member{}, false
	}
	if ok && !m.Gone() {
		return m, true
	}
	s, ok := c.strangers[node]
	return s.member, ok && t.Now.Before(s.until)
}

// addressOf returns the data address of an agent that may hold flows.
func (c *Controller) addressOf(t *core.Turn, node model.NodeID) (netip.AddrPort, bool) {
	m, ok := c.member(t, node)
	return m.DataAddr, ok
}

// watchLease notes when this agent gets its lease back. It may have been
// removed and its homes moved meanwhile, without a trace in its own view.
func (c *Controller) watchLease(t *core.Turn) {
	valid := t.Board.Lease.Valid(t.Now)
	if valid && !c.leaseHeld {
		c.leaseRegained = t.Now
	}
	c.leaseHeld = valid
}

// settled reports whether every holder has had time to register its flows
// with this agent as their home.
func (c *Controller) settled(t *core.Turn, v *core.View) bool {
	window := c.options.SettleWindow
	return t.Now.Sub(v.ChangedAt) >= window && t.Now.Sub(c.leaseRegained) >= window
}

// load returns what this agent reports to its peers.
func (c *Controller) load(t *core.Turn) peerLoad {
	l := peerLoad{flows: len(c.held), at: t.Now}
	if !t.Board.Self.AcceptsNewWork() || !t.Board.Lease.Valid(t.Now) {
		return l
	}
	l.capacity = max(0, connectionLimit(t.Board)-len(c.held))
	return l
}

// connectionLimit returns the flows that the target bears now. A cold target
// bears the share of its connections that it bears of its slots.
func connectionLimit(b *core.Board) int {
	connections := b.Self.Member.Connections
	slots := b.Self.Member.Slots
	if slots <= 0 || b.Load.Limit >= slots {
		return connections
	}
	return max(1, connections*b.Load.Limit/slots)
}

func (c *Controller) remove(flow model.FlowKey) {
	delete(c.entries, flow)
	delete(c.placing, flow)
}
