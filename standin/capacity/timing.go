package capacity

import (
	"errors"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/placementpb"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// Timing is processor time in seconds for one operation.
type Timing struct {
	// HashOnly and TableLookup are the baselines of Route: the flow's hash, and a
	// lookup in a flow table, each with the header.
	HashOnly, TableLookup Sample
	// Route is a balancer's decision for one datagram with its header.
	Route Sample
	// MemberChange, ConfigChange and FullMap are a balancer's views after one
	// record or one object changed, and from nothing.
	MemberChange, ConfigChange, FullMap Sample
	// Quiet is the share of a core that all controllers of a balancer take
	// without changes; WholeChange is one changed record with the tick after it.
	Quiet, WholeChange Sample
	// SetViews is the packet path's taking of new views.
	SetViews Sample
	// NewFlowHome and NewFlowHolder are the placement of a flow at its home and
	// at the agent that admits it.
	NewFlowHome, NewFlowHolder Sample
	// DatagramHome and DatagramHolder are a datagram from the middle of a flow.
	DatagramHome, DatagramHolder Sample
	// Registration is one registered flow in a full batch, at its home.
	Registration Sample
	// Tick is the passing of time at an agent that holds its mean of flows.
	Tick Sample
}

// Iterations of the measurements.
const (
	manyIterations = 20_000
	someIterations = 500
	fewIterations  = 10
	// tableFlows is the size of the flow table of the baseline.
	tableFlows = 100_000
)

// timed returns the processor time of one of n calls, in seconds. It includes
// the garbage collection that the calls cause.
func timed(n int, call func(i int)) Sample {
	call(0) // not timed: caches and buffers grow
	s, _ := repeat(func() (float64, error) {
		begin := processorTime()
		for i := range n {
			call(i)
		}
		return (processorTime() - begin).Seconds() / float64(n), nil
	})
	return s
}

// measureTiming measures all operations.
func measureTiming(p Plan) (Timing, error) {
	var t Timing
	timePackets(p, &t)
	timeChanges(p, &t)
	if err := timeSetViews(p, &t); err != nil {
		return t, err
	}
	if err := timeWholeBalancer(p, &t); err != nil {
		return t, err
	}
	return t, timeAgent(p, &t)
}

// routePacket is what a balancer's packet path decides: the home's view and
// the header. It returns the address to send to.
func routePacket(view *core.View, keys wire.Keys, buf []byte, flow model.FlowKey) model.NodeID {
	home := routing.Home(view, flow.Hash())
	header := wire.Header{Kind: wire.KindPacket, Service: flow.Service, Caller: flow.Caller, ViewDigest: view.Digest}
	keys.Encode(buf, &header, len(buf)-wire.HeaderSize)
	return home.Member.Node
}

func timePackets(p Plan, t *Timing) {
	keys := wire.NewKeys([][]byte{[]byte("secret")})
	buf := make([]byte, wire.MaxDatagramSize)
	header := wire.Header{Kind: wire.KindPacket}
	table := make(map[model.FlowKey]uint64, tableFlows)
	for i := range tableFlows {
		table[flowKey(i)] = uint64(i)
	}
	encode := func(flow model.FlowKey, view uint64) {
		header.Service, header.Caller, header.ViewDigest = flow.Service, flow.Caller, view
		keys.Encode(buf, &header, len(buf)-wire.HeaderSize)
	}
	t.HashOnly = timed(manyIterations, func(i int) {
		flow := flowKey(i)
		encode(flow, flow.Hash())
	})
	t.TableLookup = timed(manyIterations, func(i int) {
		flow := flowKey(i)
		encode(flow, table[flow])
	})
	views := balancerNode(p, p.Targets, p.Services).Board().Routes.Views
	t.Route = timed(manyIterations, func(i int) {
		flow := flowKey(i)
		routePacket(views[flow.Service], keys, buf, flow)
	})
}

func timeChanges(p Plan, t *Timing) {
	n := balancerNode(p, p.Targets, p.Services)
	board := n.Board()
	m := agentRecord(p, 7, p.Services)
	t.MemberChange = timed(someIterations, func(int) {
		m.Revision++
		m.State = model.StateAlive + model.MemberState(m.Revision%2)
		board.Members.Put(m)
		n.Step(start, core.Tick{})
	})
	version := uint64(p.Services)
	t.ConfigChange = timed(fewIterations, func(int) {
		version++
		o := serviceObject(p, 7)
		o.Version = version
		o.Service.MaxSlots = int(version)
		board.Config.Current.Merge(version, []model.Object{o})
		board.Config.Generation++
		n.Step(start, core.Tick{})
	})
	t.FullMap = timed(fewIterations, func(int) {
		board.Routes.Views = make(map[model.ServiceID]*core.View)
		core.NewNode(board, 1, routing.New()).Step(start, core.Tick{})
	})
}

// timeSetViews passes views to a packet path whose sockets are open.
func timeSetViews(p Plan, t *Timing) error {
	views := balancerNode(p, p.Targets, p.Services).Board().Routes.Views
	f := newForwarder()
	defer f.Close()
	err := f.SetViews(views)
	if err != nil {
		return err
	}
	t.SetViews = timed(someIterations, func(int) { err = errors.Join(err, f.SetViews(views)) })
	return err
}

func timeAgent(p Plan, t *Timing) error {
	home := newAgentNode(p)
	t.NewFlowHome = timeNewFlow(home)
	if err := home.register(someIterations); err != nil {
		return err
	}
	t.DatagramHome = timed(manyIterations, func(i int) {
		home.Step(home.now, packetEvent(flowKey(i%someIterations), midFlowPacket))
	})
	batch := registration(home.peers[0], 0, registrationBatch)
	t.Registration = timed(someIterations, func(int) { home.Step(home.now, batch) })
	t.Registration.scale(1.0 / registrationBatch)

	held := int(p.FlowsPerTarget())
	holder := newAgentNode(p)
	if err := holder.hold(held); err != nil {
		return err
	}
	t.DatagramHolder = timed(manyIterations, func(i int) {
		holder.Step(holder.now, packetEvent(flowKey(i%held), midFlowPacket))
	})
	t.Tick = timed(someIterations, func(int) {
		holder.now = holder.now.Add(core.TickInterval)
		holder.Step(holder.now, core.Tick{})
	})
	t.NewFlowHolder = timeAdmission(holder, held)
	return nil
}

// timeNewFlow places and releases flows whose home the agent is.
func timeNewFlow(a *agentNode) Sample {
	next := 0
	return timed(someIterations, func(int) {
		var flow model.FlowKey
		flow, next = homeOf(a, a.Board().Self.Member.Node, next)
		for _, e := range a.Step(a.now, packetEvent(flow, openerPacket)) {
			sent, ok := e.(core.SendDatagram)
			if !ok {
				continue
			}
			peer := a.peers[0]
			if sent.To == a.peers[1].DataAddr {
				peer = a.peers[1]
			}
			accept := &placementpb.OfferReply{Flow: flowMessage(flow), Epoch: 1, Accepted: true}
			a.Step(a.now, placementEvent(peer, &placementpb.Placement{Body: &placementpb.Placement_OfferReply{OfferReply: accept}}))
			release := &placementpb.Release{Flow: flowMessage(flow)}
			a.Step(a.now, placementEvent(peer, &placementpb.Placement{Body: &placementpb.Placement_Release{Release: release}}))
		}
		a.Step(a.now, core.FlowClosed{Flow: flow})
	})
}

// timeAdmission admits and closes flows that a peer offers.
func timeAdmission(a *agentNode, first int) Sample {
	return timed(someIterations, func(i int) {
		flow := flowKey(first + i)
		offer := &placementpb.Offer{Flow: flowMessage(flow), Epoch: 1}
		a.Step(a.now, placementEvent(a.peers[0], &placementpb.Placement{Body: &placementpb.Placement_Offer{Offer: offer}}))
		a.Step(a.now, core.FlowEstablished{Flow: flow})
		a.Step(a.now, core.FlowClosed{Flow: flow})
	})
}

// scale multiplies the figures.
func (s *Sample) scale(factor float64) {
	s.Median *= factor
	s.Least *= factor
	s.Most *= factor
}
