package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/directory"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// ServiceName is the only service of a fleet.
const ServiceName model.ServiceName = "lease-desk"

const (
	// leaseDuration and renewInterval replace the heartbeats of agents.
	leaseDuration = 3 * time.Second
	renewInterval = time.Second
)

// Options describes a fleet and its faults.
type Options struct {
	Seed      uint64
	Strategy  Strategy
	Mode      model.Mode
	Agents    int
	Domains   int
	Balancers int
	Slots     int
	// Connections is the flow limit of one target.
	Connections int
	// Delay is the one-way delay of a datagram; up to Jitter is added at random.
	Delay, Jitter time.Duration
	// Loss and Duplication are the shares of datagrams lost and duplicated.
	Loss, Duplication float64
	// MaxPropagationDelay is the longest time until a change reaches a node.
	MaxPropagationDelay time.Duration
	// Directory configures the directory controllers of StrategyHome.
	Directory directory.Options
}

// Agent is one agent with the connections of its target.
type Agent struct {
	Member      model.Member
	node        *core.Node
	connections map[model.FlowKey]bool
	// Down is set while the process is stopped, Paused while it is suspended.
	Down, Paused bool
	backlog      []core.Event
}

// Balancer is one balancer, with the flow table of StrategyFlowTable.
type Balancer struct {
	node      *core.Node
	flowTable map[model.FlowKey]model.NodeID
	Down      bool
}

// Fleet is a simulated cluster in virtual time.
type Fleet struct {
	options     Options
	rand        *rand.Rand
	now         time.Time
	queue       eventQueue
	sequence    uint64
	Agents      []*Agent
	Balancers   []*Balancer
	Flows       []*Flow
	flowByKey   map[model.FlowKey]*Flow
	agentByAddr map[netip.AddrPort]*Agent
	config      *model.Config
	// Cost counts the datagrams sent.
	Cost Cost
	// Violations describe the invariants that were violated.
	Violations []string
}

// Cost counts the datagrams that callers send (Packets), those that agents send
// each other to place and forward flows, and the flows refused.
type Cost struct {
	PlacementBytes, PlacementMessages, Forwards, Packets, Refused int64
}

// New returns a fleet in which all nodes know each other.
func New(o Options) *Fleet {
	f := &Fleet{
		options:     o,
		rand:        rand.New(rand.NewPCG(o.Seed, 1)),
		now:         time.Unix(1_000_000, 0),
		flowByKey:   make(map[model.FlowKey]*Flow),
		agentByAddr: make(map[netip.AddrPort]*Agent),
		config:      model.NewConfig(),
	}
	f.initConfig()
	for range o.Agents {
		f.addAgent()
	}
	for range o.Balancers {
		f.AddBalancer()
	}
	for _, a := range f.Agents {
		f.propagate(a.Member, 0)
	}
	f.schedule(0, f.tickAgents)
	return f
}

// initConfig sets the configuration: one service in all failure domains.
func (f *Fleet) initConfig() {
	service := &model.Service{
		Name: ServiceName, Mode: f.options.Mode, Targets: []string{"*"},
		MaxSlots: f.options.Slots, MaxConnections: f.options.Connections,
	}
	for i := range f.options.Domains {
		service.Domains = append(service.Domains, domainName(i))
	}
	f.config.Version = 1
	key := model.ObjectKey{Kind: model.KindService, Name: string(ServiceName)}
	f.config.Objects[key] = model.Object{Key: key, Version: 1, Service: service}
}

func domainName(i int) model.DomainName {
	return model.DomainName(fmt.Sprintf("domain-%d", i))
}

// addAgent starts an agent whose record no other node has yet.
func (f *Fleet) addAgent() *Agent {
	i := len(f.Agents)
	m := model.Member{
		Node: model.NodeID(fmt.Sprintf("agent-%d", i)), Role: model.RoleAgent,
		Incarnation: uint64(f.now.UnixNano()), State: model.StateAlive,
		Domain: domainName(i % f.options.Domains), Service: ServiceName,
		Target:   model.TargetName(fmt.Sprintf("target-%d", i)),
		DataAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		Slots:    f.options.Slots, Connections: f.options.Connections,
	}
	a := &Agent{Member: m}
	f.startProcess(a)
	f.Agents = append(f.Agents, a)
	f.agentByAddr[m.DataAddr] = a
	return a
}

// startProcess starts a process of the agent, without flows.
func (f *Fleet) startProcess(a *Agent) {
	board := core.NewBoard(a.Member)
	board.Self.TargetAccepted = true
	board.Load.Limit = f.options.Slots
	board.Config.Current = f.config.Clone()
	board.Config.Generation++
	a.connections = make(map[model.FlowKey]bool)
	a.node = core.NewNode(board, f.rand.Uint64(), routing.New(), directory.New(f.options.Directory))
}

// AddBalancer starts a balancer that has the current configuration and the
// records of all running agents.
func (f *Fleet) AddBalancer() *Balancer {
	board := core.NewBoard(model.Member{Node: model.NodeID(fmt.Sprintf("balancer-%d", len(f.Balancers))), Role: model.RoleBalancer})
	board.Config.Current = f.config.Clone()
	board.Config.Generation++
	for _, a := range f.Agents {
		if !a.Down {
			board.Members.Records[a.Member.Node] = a.Member
		}
	}
	board.Members.Generation++
	b := &Balancer{node: core.NewNode(board, f.rand.Uint64(), routing.New()), flowTable: make(map[model.FlowKey]model.NodeID)}
	b.node.Step(f.now, core.Tick{})
	f.Balancers = append(f.Balancers, b)
	return b
}

// Now returns the virtual time elapsed since the fleet was created.
func (f *Fleet) Now() time.Duration {
	return f.now.Sub(time.Unix(1_000_000, 0))
}

// Run advances virtual time and runs the functions that fall due.
func (f *Fleet) Run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(scheduledFunc)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// schedule runs a function after a delay.
func (f *Fleet) schedule(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, scheduledFunc{f.now.Add(d), f.sequence, run})
}

// tickAgents sends a tick to every running agent and renews its lease.
func (f *Fleet) tickAgents() {
	for _, a := range f.Agents {
		if a.Down || a.Paused {
			continue
		}
		if f.Now()%renewInterval == 0 {
			a.node.Board().Lease.ValidUntil = f.now.Add(leaseDuration)
		}
		f.stepAgent(a, core.Tick{})
	}
	f.schedule(core.TickInterval, f.tickAgents)
}

// stepAgent handles an event at an agent and applies the effects. Events of a
// paused agent are queued.
func (f *Fleet) stepAgent(a *Agent, ev core.Event) {
	if a.Down {
		return
	}
	if a.Paused {
		a.backlog = append(a.backlog, ev)
		return
	}
	for _, e := range a.node.Step(f.now, ev) {
		f.applyEffect(a, e)
	}
}

func (f *Fleet) applyEffect(a *Agent, e core.Effect) {
	switch e := e.(type) {
	case core.SendDatagram:
		f.countDatagram(e)
		f.transmit(a.Member.DataAddr, e.To, e.Header, append([]byte(nil), e.Payload...))
	case core.DeliverDatagram:
		f.deliverDatagram(a, e.Flow, e.Payload)
	case core.CloseFlow:
		f.closeConnection(a, e.Flow)
	case core.Count:
		if e.Name == "flow_refused" {
			f.Cost.Refused++
		}
	}
}

// closeConnection closes the target's connection of a flow that the agent ends.
// The flow is abandoned if it belongs to this target and operators have taken the
// agent's failure domain out of service.
func (f *Fleet) closeConnection(a *Agent, key model.FlowKey) {
	delete(a.connections, key)
	if fl := f.flowByKey[key]; fl.Target == a && a.node.Board().Self.DomainOut {
		f.failFlow(fl, "failure domain out")
	}
}

func (f *Fleet) countDatagram(e core.SendDatagram) {
	if e.Header.Kind == wire.KindPlacement {
		f.Cost.PlacementMessages++
		f.Cost.PlacementBytes += int64(wire.HeaderSize + len(e.Payload))
		return
	}
	f.Cost.Forwards++
}

// transmit delivers a datagram after a delay; it may be lost or duplicated.
func (f *Fleet) transmit(from, to netip.AddrPort, h wire.Header, payload []byte) {
	copies := 1
	if f.rand.Float64() < f.options.Duplication {
		copies++
	}
	for range copies {
		if f.rand.Float64() < f.options.Loss {
			continue
		}
		delay := f.options.Delay
		if f.options.Jitter > 0 {
			delay += time.Duration(f.rand.Int64N(int64(f.options.Jitter)))
		}
		f.schedule(delay, func() {
			if a := f.agentByAddr[to]; a != nil {
				f.receiveDatagram(a, from, h, payload)
			}
		})
	}
}

func (f *Fleet) receiveDatagram(a *Agent, from netip.AddrPort, h wire.Header, payload []byte) {
	if f.options.Strategy != StrategyHome {
		if !a.Down && !a.Paused {
			f.deliverToBaseline(a, h.Flow(), payload)
		}
		return
	}
	f.stepAgent(a, core.DatagramReceived{Header: h, Payload: payload, From: from})
}
