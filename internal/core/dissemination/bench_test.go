package dissemination_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/control"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/configuration"
	"amaranthwheel.example/amaranthwheel/internal/core/dissemination"
	"amaranthwheel.example/amaranthwheel/internal/core/lifecycle"
	"amaranthwheel.example/amaranthwheel/internal/core/membership"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Planned deployment size.
const (
	plannedServices  = 1900
	plannedBalancers = 610
	plannedAgents    = 5500
)

var benchStart = time.Unix(1_800_000_000, 0)

// newBenchNode returns a balancer with a session to balancer-1, from which
// receiveMessage delivers messages.
func newBenchNode() *core.Node {
	self := model.Member{
		Node: balancerID(0), Role: model.RoleBalancer, State: model.StateAlive, ControlAddr: address(balancerID(0)),
	}
	n := core.NewNode(core.NewBoard(self), 1,
		lifecycle.New(lifecycle.Options{}),
		membership.New(membership.Options{}),
		configuration.New(configuration.Options{}),
		dissemination.New(dissemination.Options{}),
	)
	n.Step(benchStart, core.SessionOpened{Member: benchMember(balancerID(1), model.RoleBalancer, 0)})
	return n
}

func benchMember(id model.NodeID, role model.Role, revision uint64) model.Member {
	m := model.Member{
		Node: id, Role: role, Incarnation: uint64(benchStart.UnixNano()), Revision: revision,
		State: model.StateAlive, Domain: "domain-1", DataAddr: address(id), ControlAddr: address(id),
	}
	if role == model.RoleAgent {
		m.Service, m.Target, m.Slots, m.Connections = "service-1", model.TargetName("target-"+id), 10, 2000
	}
	return m
}

func benchMembers(balancers, agents int) []model.Member {
	var out []model.Member
	for i := range balancers {
		out = append(out, benchMember(balancerID(i+1), model.RoleBalancer, 0))
	}
	for i := range agents {
		out = append(out, benchMember(agentID(i), model.RoleAgent, 0))
	}
	return out
}

func benchObjects(services int) []model.Object {
	out := make([]model.Object, services)
	for i := range out {
		out[i] = serviceObject(model.ServiceName(fmt.Sprintf("service-%d", i)), 10)
		out[i].Version = 1
	}
	return out
}

func receiveMessage(n *core.Node, m core.Message) {
	n.Step(benchStart, core.MessageReceived{From: balancerID(1), Message: m})
}

// newFullNode returns a balancer that holds the configuration and the members of
// the planned deployment.
func newFullNode() *core.Node {
	n := newBenchNode()
	receiveMessage(n, core.Delta{ConfigVersion: 1, Objects: benchObjects(plannedServices)})
	receiveMessage(n, core.Delta{Members: benchMembers(plannedBalancers-1, plannedAgents)})
	n.Step(benchStart, core.Tick{})
	return n
}

func BenchmarkApplyConfigDelta(b *testing.B) {
	n := newFullNode()
	b.ReportAllocs()
	version := uint64(1)
	for b.Loop() {
		o := serviceObject("service-7", 10)
		o.Version = version + 1
		receiveMessage(n, core.Delta{Since: version, ConfigVersion: version + 1, Objects: []model.Object{o}})
		version++
	}
}

func BenchmarkApplyMemberDelta(b *testing.B) {
	n := newFullNode()
	b.ReportAllocs()
	revision := uint64(0)
	for b.Loop() {
		revision++
		receiveMessage(n, core.Delta{Members: []model.Member{benchMember(agentID(9), model.RoleAgent, revision)}})
		n.Step(benchStart, core.Tick{}) // recomputes the watched nodes
	}
}

func BenchmarkSteadyTick(b *testing.B) {
	n := newFullNode()
	b.ReportAllocs()
	now := benchStart
	for b.Loop() {
		now = now.Add(core.TickInterval)
		n.Step(now, core.Tick{})
	}
}

func BenchmarkApplyFullState(b *testing.B) {
	objects, members := benchObjects(plannedServices), benchMembers(plannedBalancers-1, plannedAgents)
	config := core.Delta{ConfigVersion: 1, Objects: objects}
	records := core.Delta{Members: members}
	b.ReportMetric(float64(encodedSize(b, config)), "config-bytes")
	b.ReportMetric(float64(encodedSize(b, records)), "member-bytes")
	b.ReportAllocs()
	for b.Loop() {
		n := newBenchNode()
		receiveMessage(n, config)
		receiveMessage(n, records)
		n.Step(benchStart, core.Tick{})
	}
}

func encodedSize(b *testing.B, m core.Message) int {
	size, err := control.MessageSize(m)
	if err != nil {
		b.Fatal(err)
	}
	return size
}

// BenchmarkMemory reports the heap that a balancer uses per member and per
// service, as slopes between two sizes.
func BenchmarkMemory(b *testing.B) {
	const small, large = 500, 5500
	heapBytes := func(agents, services int) float64 {
		n := newBenchNode()
		receiveMessage(n, core.Delta{ConfigVersion: 1, Objects: benchObjects(services)})
		receiveMessage(n, core.Delta{Members: benchMembers(0, agents)})
		n.Step(benchStart, core.Tick{})
		bytes := heapInUse()
		runtime.KeepAlive(n)
		return bytes
	}
	for b.Loop() {
		base := heapBytes(small, small)
		b.ReportMetric((heapBytes(large, small)-base)/(large-small), "bytes/member")
		b.ReportMetric((heapBytes(small, large)-base)/(large-small), "bytes/service")
	}
}

// heapInUse returns the live heap in bytes.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
