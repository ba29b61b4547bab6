package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// start is the time at which the measured nodes start.
var start = time.Unix(1_000_000, 0)

const (
	slotsPerTarget       = 10
	connectionsPerTarget = 2000
)

func serviceName(i int) model.ServiceName {
	return model.ServiceName(fmt.Sprintf("service-%04d", i))
}

func domainName(i int) model.DomainName {
	return model.DomainName(fmt.Sprintf("om-north-%d", i))
}

// serviceObject returns a service that all failure domains may serve.
func serviceObject(p Plan, i int) model.Object {
	s := &model.Service{
		Name: serviceName(i), Mode: model.ModeRequest, Targets: []string{string(serviceName(i)) + "-*"},
		MaxSlots: slotsPerTarget, MaxConnections: connectionsPerTarget,
		IdleTimeout: time.Minute, RequestTimeout: 10 * time.Second,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 100, byte(i >> 8), byte(i)}), 4433),
	}
	for d := range p.Domains {
		s.Domains = append(s.Domains, domainName(d))
	}
	return model.Object{Key: model.ObjectKey{Kind: model.KindService, Name: string(s.Name)}, Version: uint64(i + 1), Service: s}
}

// agentRecord returns the i-th agent, its target serving one of the services.
func agentRecord(p Plan, i, services int) model.Member {
	m := nodeRecord(fmt.Sprintf("agent-%04d", i), model.RoleAgent, i)
	m.Domain = domainName(i % p.Domains)
	m.Service = serviceName(i % services)
	m.Target = model.TargetName(fmt.Sprintf("%s-%04d", m.Service, i))
	m.Slots, m.Connections = slotsPerTarget, connectionsPerTarget
	return m
}

func balancerRecord(p Plan, i int) model.Member {
	m := nodeRecord(fmt.Sprintf("balancer-%04d", i), model.RoleBalancer, 1<<15+i)
	m.Domain = domainName(i % p.Domains)
	return m
}

func nodeRecord(name string, role model.Role, i int) model.Member {
	addr := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return model.Member{
		Node: model.NodeID(name), Role: role, State: model.StateAlive,
		Incarnation: uint64(start.UnixNano()), Revision: 2,
		DataAddr: netip.AddrPortFrom(addr, 7000), ControlAddr: netip.AddrPortFrom(addr, 7001), AdminAddr: netip.AddrPortFrom(addr, 7002),
	}
}

// balancerNode returns a balancer that knows a fleet of this size, with its
// views built.
func balancerNode(p Plan, targets, services int) *core.Node {
	board := core.NewBoard(balancerRecord(p, 0))
	putServices(board, p, services)
	for i := range targets {
		board.Members.Put(agentRecord(p, i, services))
	}
	n := core.NewNode(board, 1, routing.New())
	n.Step(start, core.Tick{})
	return n
}

// putServices puts the services into a board's configuration.
func putServices(b *core.Board, p Plan, services int) {
	for i := range services {
		o := serviceObject(p, i)
		b.Config.Current.Merge(o.Version, []model.Object{o})
	}
	b.Config.Generation++
}

// flowKey returns the i-th caller's flow to the first service.
func flowKey(i int) model.FlowKey {
	addr := netip.AddrFrom4([4]byte{192, 168, byte(i >> 16), byte(i >> 8)})
	return model.FlowKey{Caller: netip.AddrPortFrom(addr, uint16(20_000+i&0xff)), Service: serviceName(0).ID()}
}
