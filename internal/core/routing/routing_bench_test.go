package routing_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Size of the planned fleet.
const (
	plannedServices = 1_900
	plannedTargets  = 5_500
	plannedDomains  = 5
)

func serviceName(i int) model.ServiceName {
	return model.ServiceName(fmt.Sprintf("service-%04d", i))
}

func domainName(i int) model.DomainName {
	return model.DomainName(fmt.Sprintf("domain-%d", i%plannedDomains))
}

// newService returns a service that every failure domain may serve.
func newService(i int) *model.Service {
	s := &model.Service{
		Name: serviceName(i), Mode: model.ModeRequest, Targets: []string{"*"}, MaxSlots: 10, MaxConnections: 2000,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(i >> 8), byte(i)}), 443),
	}
	for d := range plannedDomains {
		s.Domains = append(s.Domains, domainName(d))
	}
	return s
}

// newAgent returns the i-th agent of a fleet that spreads its targets evenly
// over the services.
func newAgent(i, services int) model.Member {
	return model.Member{
		Node: model.NodeID(fmt.Sprintf("agent-%04d", i)), Role: model.RoleAgent, Incarnation: 1,
		State: model.StateAlive, Domain: domainName(i), Service: serviceName(i % services),
		Target: model.TargetName(fmt.Sprintf("target-%04d", i)), Slots: 10, Connections: 2000,
		DataAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
	}
}

// newBoard returns the board of a balancer that knows the whole fleet.
func newBoard(services, targets int) *core.Board {
	b := core.NewBoard(model.Member{Node: "balancer-0", Role: model.RoleBalancer})
	for i := range services {
		key := model.ObjectKey{Kind: model.KindService, Name: string(serviceName(i))}
		b.Config.Current.Objects[key] = model.Object{Key: key, Version: 1, Service: newService(i)}
	}
	b.Config.Generation++
	for i := range targets {
		m := newAgent(i, services)
		b.Members.Records[m.Node] = m
	}
	b.Members.Generation++
	return b
}

var startTime = time.Unix(1000, 0)

// newBalancerNode returns a balancer's node whose views are built.
func newBalancerNode(services, targets int) *core.Node {
	n := core.NewNode(newBoard(services, targets), 1, routing.New())
	n.Step(startTime, core.Tick{})
	return n
}

// BenchmarkMemberChange measures the update of the views after one member's
// record changed.
func BenchmarkMemberChange(b *testing.B) {
	n := newBalancerNode(plannedServices, plannedTargets)
	members := &n.Board().Members
	m := newAgent(7, plannedServices)
	b.ReportAllocs()
	for b.Loop() {
		m.Revision++
		m.State = model.StateAlive + model.MemberState(m.Revision%2)
		members.Put(m)
		n.Step(startTime, core.Tick{})
	}
}

// BenchmarkConfigChange measures the update of the views after one
// configuration object changed.
func BenchmarkConfigChange(b *testing.B) {
	n := newBalancerNode(plannedServices, plannedTargets)
	config := &n.Board().Config
	key := model.ObjectKey{Kind: model.KindService, Name: string(serviceName(7))}
	version := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		version++
		s := newService(7)
		s.Address = netip.AddrPortFrom(s.Address.Addr(), uint16(version%2)+443)
		config.Current.Merge(version, []model.Object{{Key: key, Version: version, Service: s}})
		config.Generation++
		n.Step(startTime, core.Tick{})
	}
}

// BenchmarkFullMap measures the build of all views at a node that has just
// received the whole configuration and every member.
func BenchmarkFullMap(b *testing.B) {
	board := newBoard(plannedServices, plannedTargets)
	b.ReportAllocs()
	for b.Loop() {
		board.Routes.Views = make(map[model.ServiceID]*core.View)
		core.NewNode(board, 1, routing.New()).Step(startTime, core.Tick{})
	}
}

// BenchmarkHome measures the lookup of a flow's home, and for comparison the
// hash of the flow alone and a lookup in a flow table of 100,000 flows.
func BenchmarkHome(b *testing.B) {
	flows := make([]model.FlowKey, 1024)
	for i := range flows {
		flows[i] = benchFlow(i)
	}
	b.Run("hash-only", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			_ = flows[i%len(flows)].Hash()
		}
	})
	b.Run("flow-table", func(b *testing.B) {
		table := make(map[model.FlowKey]model.NodeID)
		for i := range 100_000 {
			table[benchFlow(i)] = "agent"
		}
		for i := 0; b.Loop(); i++ {
			_ = table[flows[i%len(flows)]]
		}
	})
	for _, candidates := range []int{3, 7, 30, 300} {
		b.Run(fmt.Sprintf("candidates-%d", candidates), func(b *testing.B) {
			v := newBalancerNode(1, candidates).Board().Routes.Views[serviceName(0).ID()]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_ = routing.Home(v, flows[i%len(flows)].Hash())
			}
		})
	}
}

func benchFlow(i int) model.FlowKey {
	addr := netip.AddrFrom4([4]byte{192, 168, byte(i >> 16), byte(i >> 8)})
	return model.FlowKey{Caller: netip.AddrPortFrom(addr, uint16(20000+i&0xff)), Service: serviceName(0).ID()}
}
