package capacity

import (
	"net/netip"
	"runtime"

	"amaranthwheel.example/amaranthwheel/internal/balancer"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// Memory is live memory in bytes: heap after garbage collection, and stacks.
type Memory struct {
	// BalancerTargets is a balancer's records, configuration and views by
	// targets; services grow in proportion.
	BalancerTargets Slope
	// BalancerFlows is what a balancer keeps after routing flows.
	BalancerFlows Slope
	// BalancerSockets is a balancer's sockets for callers by services.
	BalancerSockets Slope
	// AgentHeld and AgentEntries are an agent's flows that it holds, and those
	// whose home it is.
	AgentHeld, AgentEntries Slope
	// AgentRecords is what an agent knows of others.
	AgentRecords Sample
	// Sessions is one end of a control session.
	Sessions Slope
	// Connections is an agent's end of a QUIC connection, Relayed its socket
	// of an opaque flow. Both carry callers' data.
	Connections, Relayed Slope
}

var (
	flowCounts    = []int{1_000, 10_000, 100_000}
	targetCounts  = []int{55, 550, 5_500}
	serviceCounts = []int{19, 190, 1_900}
	sessionCounts = []int{10, 50, 100}
	callerCounts  = []int{50, 200, 800}
)

// liveBytes returns the process's live heap and stacks, in bytes.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// growth returns what the result of build keeps alive, in bytes.
func growth[T any](build func() (T, error)) (float64, error) {
	before := liveBytes()
	kept, err := build()
	after := liveBytes()
	runtime.KeepAlive(kept)
	return after - before, err
}

// measureMemory measures all slopes of memory.
func measureMemory(p Plan) (Memory, error) {
	var m Memory
	steps := []struct {
		into    *Slope
		units   []int
		measure func(int) (float64, error)
	}{
		{&m.BalancerTargets, targetCounts, func(n int) (float64, error) { return balancerTargets(p, n) }},
		{&m.BalancerFlows, flowCounts, func(n int) (float64, error) { return balancerFlows(p, n) }},
		{&m.BalancerSockets, serviceCounts, func(n int) (float64, error) { return balancerSockets(p, n) }},
		{&m.AgentHeld, flowCounts, func(n int) (float64, error) { return agentFlows(p, n, (*agentNode).hold) }},
		{&m.AgentEntries, flowCounts, func(n int) (float64, error) { return agentFlows(p, n, (*agentNode).register) }},
		{&m.Sessions, sessionCounts, sessionMemory},
		{&m.Connections, callerCounts, quicConnections},
		{&m.Relayed, callerCounts, relayedFlows},
	}
	var err error
	for _, s := range steps {
		if *s.into, err = slope(s.units, s.measure); err != nil {
			return m, err
		}
	}
	m.AgentRecords, err = repeat(func() (float64, error) {
		return growth(func() (*agentNode, error) { return newAgentNode(p), nil })
	})
	return m, err
}

func balancerTargets(p Plan, targets int) (float64, error) {
	services := max(1, targets*p.Services/p.Targets)
	return growth(func() (any, error) { return balancerNode(p, targets, services), nil })
}

// balancerFlows routes the flows as the packet path does.
func balancerFlows(p Plan, flows int) (float64, error) {
	n := balancerNode(p, agentsPerService, 1)
	keys := wire.NewKeys([][]byte{[]byte("secret")})
	buf := make([]byte, wire.MaxDatagramSize)
	view := n.Board().Routes.Views[serviceName(0).ID()]
	return growth(func() (any, error) {
		for i := range flows {
			routePacket(view, keys, buf, flowKey(i))
		}
		return n, nil
	})
}

// balancerSockets returns the memory of the sockets of the services.
func balancerSockets(p Plan, services int) (float64, error) {
	views := balancerNode(p, services, services).Board().Routes.Views
	f := newForwarder()
	defer f.Close()
	return growth(func() (any, error) { return f, f.SetViews(views) })
}

// newForwarder returns a balancer's packet path without services.
func newForwarder() *balancer.Forwarder {
	return balancer.NewForwarder(wire.NewKeys([][]byte{[]byte("secret")}), netip.Addr{})
}

func agentFlows(p Plan, flows int, fill func(*agentNode, int) error) (float64, error) {
	a := newAgentNode(p)
	return growth(func() (any, error) { return a, fill(a, flows) })
}

// homeOf returns a flow whose home is the node, starting the search at the
// i-th flow.
func homeOf(a *agentNode, node model.NodeID, i int) (model.FlowKey, int) {
	view := a.Board().Routes.Views[serviceName(0).ID()]
	for ; ; i++ {
		if flow := flowKey(i); routing.Home(view, flow.Hash()).Member.Node == node {
			return flow, i + 1
		}
	}
}
