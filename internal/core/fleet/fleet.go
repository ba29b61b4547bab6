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

// ServiceName is the one service of a fleet.
const ServiceName model.ServiceName = "lease-desk"

const (
	// leaseLength and refreshInterval stand for the heartbeats of agents.
	leaseLength     = 3 * time.Second
	refreshInterval = time.Second
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
	// Delay is the one-way time of a datagram; Jitter is added at random.
	Delay, Jitter time.Duration
	// Loss and Duplication are the shares of datagrams lost and doubled.
	Loss, Duplication float64
	// Spread is the longest time until a change reaches a node.
	Spread time.Duration
	// Directory tunes the chosen strategy.
	Directory directory.Options
}

// Agent is one agent with the flows that its local end knows.
type Agent struct {
	Member      model.Member
	node        *core.Node
	connections map[model.FlowKey]bool
	// Down and Paused model a crash and a frozen process.
	Down, Paused bool
	backlog      []core.Event
}

// Balancer is one balancer with its view of the candidates.
type Balancer struct {
	node  *core.Node
	table map[model.FlowKey]model.NodeID
	Down  bool
}

// Fleet is a set of nodes in virtual time.
type Fleet struct {
	options   Options
	rand      *rand.Rand
	now       time.Time
	queue     eventQueue
	sequence  uint64
	Agents    []*Agent
	Balancers []*Balancer
	Flows     []*Flow
	byKey     map[model.FlowKey]*Flow
	byData    map[netip.AddrPort]*Agent
	config    *model.Config
	// Cost counts the traffic between agents.
	Cost Cost
	// Violations are the invariants that did not hold.
	Violations []string
}

// Cost is the traffic that the placement of flows adds.
type Cost struct {
	PlacementBytes, PlacementMessages, Forwards, Packets, Refused int64
}

// New returns a fleet whose nodes all know each other.
func New(o Options) *Fleet {
	f := &Fleet{
		options: o,
		rand:    rand.New(rand.NewPCG(o.Seed, 1)),
		now:     time.Unix(1_000_000, 0),
		byKey:   make(map[model.FlowKey]*Flow),
		byData:  make(map[netip.AddrPort]*Agent),
		config:  model.NewConfig(),
	}
	f.declare()
	for range o.Agents {
		f.addAgent()
	}
	for range o.Balancers {
		f.AddBalancer()
	}
	for _, a := range f.Agents {
		f.spread(a.Member, 0)
	}
	f.at(0, f.tick)
	return f
}

// declare sets the configuration: one service in all failure domains.
func (f *Fleet) declare() {
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

// addAgent starts an agent that nobody knows yet.
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
	f.start(a)
	f.Agents = append(f.Agents, a)
	f.byData[m.DataAddr] = a
	return a
}

// start gives the agent a new, empty process.
func (f *Fleet) start(a *Agent) {
	board := core.NewBoard(a.Member)
	board.Self.TargetAccepted = true
	board.Load.Limit = f.options.Slots
	board.Config.Current = f.config.Clone()
	board.Config.Generation++
	a.connections = make(map[model.FlowKey]bool)
	a.node = core.NewNode(board, f.rand.Uint64(), routing.New(), directory.New(f.options.Directory))
}

// AddBalancer starts a balancer that knows what the newest board knows.
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
	b := &Balancer{node: core.NewNode(board, f.rand.Uint64(), routing.New()), table: make(map[model.FlowKey]model.NodeID)}
	b.node.Step(f.now, core.Tick{})
	f.Balancers = append(f.Balancers, b)
	return b
}

// Now returns the virtual time since the fleet's start.
func (f *Fleet) Now() time.Duration {
	return f.now.Sub(time.Unix(1_000_000, 0))
}

// Run lets virtual time pass.
func (f *Fleet) Run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(scheduled)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// at runs a function after a time.
func (f *Fleet) at(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, scheduled{f.now.Add(d), f.sequence, run})
}

// tick feeds time to every agent and renews the leases of those that run.
func (f *Fleet) tick() {
	for _, a := range f.Agents {
		if a.Down || a.Paused {
			continue
		}
		if f.Now()%refreshInterval == 0 {
			a.node.Board().Lease.ValidUntil = f.now.Add(leaseLength)
		}
		f.step(a, core.Tick{})
	}
	f.at(core.TickInterval, f.tick)
}

// step feeds an event to an agent and carries out the effects.
func (f *Fleet) step(a *Agent, ev core.Event) {
	if a.Down {
		return
	}
	if a.Paused {
		a.backlog = append(a.backlog, ev)
		return
	}
	for _, e := range a.node.Step(f.now, ev) {
		f.carryOut(a, e)
	}
}

func (f *Fleet) carryOut(a *Agent, e core.Effect) {
	switch e := e.(type) {
	case core.SendDatagram:
		f.countCost(e)
		f.transmit(a.Member.DataAddr, e.To, e.Header, append([]byte(nil), e.Payload...))
	case core.DeliverDatagram:
		f.deliver(a, e.Flow, e.Payload)
	case core.CloseFlow:
		f.closeLocal(a, e.Flow)
	case core.Count:
		if e.Name == "flow_refused" {
			f.Cost.Refused++
		}
	}
}

// closeLocal ends a flow at the agent's decision. The flow is given up if
// operators have taken the agent's failure domain out.
func (f *Fleet) closeLocal(a *Agent, key model.FlowKey) {
	delete(a.connections, key)
	if fl := f.byKey[key]; fl.Target == a && a.node.Board().Self.DomainOut {
		f.end(fl, "failure domain out")
	}
}

func (f *Fleet) countCost(e core.SendDatagram) {
	if e.Header.Kind == wire.KindPlacement {
		f.Cost.PlacementMessages++
		f.Cost.PlacementBytes += int64(wire.HeaderSize + len(e.Payload))
		return
	}
	f.Cost.Forwards++
}

// transmit delivers a datagram late, twice or not at all.
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
		f.at(delay, func() {
			if a := f.byData[to]; a != nil {
				f.receive(a, from, h, payload)
			}
		})
	}
}

func (f *Fleet) receive(a *Agent, from netip.AddrPort, h wire.Header, payload []byte) {
	if f.options.Strategy != StrategyHome {
		if !a.Down && !a.Paused {
			f.deliverStateless(a, h.Flow(), payload)
		}
		return
	}
	f.step(a, core.DatagramReceived{Header: h, Payload: payload, From: from})
}
