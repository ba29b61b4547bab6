package capacity

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/directory"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/placementpb"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

const (
	// agentsPerService is the candidates of the measured agent's service,
	// itself included.
	agentsPerService = 3
	// maxMeasuredFlows bounds the flows of the measured agent.
	maxMeasuredFlows = 200_000
	// registrationBatch is the flows of one registration message.
	registrationBatch = 24
)

var (
	openerPacket  = []byte{0xc0, 1, 2, 3} // the start of a QUIC Initial packet
	midFlowPacket = []byte{0x40, 1, 2, 3}
)

// errUnexpected reports that a measured node did not do what is measured.
var errUnexpected = errors.New("the measured node did not act as expected")

// agentNode is an agent that knows its service's other agents and all
// balancers.
type agentNode struct {
	*core.Node
	now   time.Time
	peers []model.Member
}

// newAgentNode returns an agent with a valid lease and settled views.
func newAgentNode(p Plan) *agentNode {
	self := agentRecord(p, 0, 1)
	self.Connections = maxMeasuredFlows
	board := core.NewBoard(self)
	board.Self.TargetAccepted = true
	board.Load.Limit = self.Slots
	board.Lease.ValidUntil = start.Add(24 * time.Hour)
	putServices(board, p, 1)
	board.Members.Put(self)
	a := &agentNode{now: start}
	for i := 1; i < agentsPerService; i++ {
		m := agentRecord(p, i, 1)
		a.peers = append(a.peers, m)
		board.Members.Put(m)
	}
	for i := range p.Balancers {
		board.Members.Put(balancerRecord(p, i))
	}
	options := directory.Options{MaxEntries: maxMeasuredFlows}
	a.Node = core.NewNode(board, 1, routing.New(), directory.New(options))
	a.Step(a.now, core.Tick{})
	a.now = a.now.Add(time.Minute)
	a.Step(a.now, core.Tick{})
	return a
}

// hold makes the agent hold n established flows.
func (a *agentNode) hold(n int) error {
	for i := range n {
		flow := flowKey(i)
		offer := &placementpb.Placement{Body: &placementpb.Placement_Offer{
			Offer: &placementpb.Offer{Flow: flowMessage(flow), Epoch: 1},
		}}
		a.Step(a.now, placementEvent(a.peers[0], offer))
		a.Step(a.now, core.FlowEstablished{Flow: flow})
	}
	if held := a.Board().Flows.Local; held != n {
		return fmt.Errorf("%w: it holds %d flows, not %d", errUnexpected, held, n)
	}
	return nil
}

// register makes the agent the home of n flows that a peer holds.
func (a *agentNode) register(n int) error {
	for first := 0; first < n; first += registrationBatch {
		a.Step(a.now, registration(a.peers[0], first, min(registrationBatch, n-first)))
	}
	if known := a.Board().Flows.DirectoryEntries; known != n {
		return fmt.Errorf("%w: it knows %d flows, not %d", errUnexpected, known, n)
	}
	return nil
}

// registration returns the message with which an agent registers n flows.
func registration(from model.Member, first, n int) core.Event {
	m := &placementpb.Register{Batch: 1}
	for i := range n {
		pb := flowMessage(flowKey(first + i))
		pb.Since, pb.Established = start.UnixNano(), true
		m.Flows = append(m.Flows, pb)
	}
	return placementEvent(from, &placementpb.Placement{Body: &placementpb.Placement_Register{Register: m}})
}

func flowMessage(flow model.FlowKey) *placementpb.Flow {
	caller, _ := flow.Caller.MarshalBinary() // never fails
	return &placementpb.Flow{Caller: caller}
}

// placementEvent returns the datagram that carries a placement message.
func placementEvent(from model.Member, m *placementpb.Placement) core.Event {
	m.From, m.Incarnation = string(from.Node), from.Incarnation
	payload, _ := proto.Marshal(m) // never fails: the names are valid UTF-8
	return core.DatagramReceived{
		From:    from.DataAddr,
		Header:  wire.Header{Kind: wire.KindPlacement, Service: serviceName(0).ID()},
		Payload: payload,
	}
}

// packetEvent returns a caller's datagram on its way to the flow's home.
func packetEvent(flow model.FlowKey, payload []byte) core.Event {
	header := wire.Header{Kind: wire.KindPacket, Service: flow.Service, Caller: flow.Caller}
	return core.DatagramReceived{Header: header, Payload: payload}
}
