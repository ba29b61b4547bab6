package capacity

import (
	"fmt"

	"amaranthwheel.example/amaranthwheel/internal/configstore"
)

// balancerCells returns the rows of a balancer.
func (e Estimate) balancerCells() map[string]Cell {
	m, f, t := e.Slopes.Memory, e.Slopes.Frames, e.Slopes.Timing
	sessions := e.agentSessions() + e.peerSessions()
	watched := e.agentSessions() + e.Protocol.Watchers
	ownWatchers := e.Protocol.Watchers * e.Protocol.HeartbeatsPerSecond
	beats := watched * e.Protocol.HeartbeatsPerSecond
	heartbeats := messages(ownWatchers, beats, f.Heartbeat.Stream).plus(messages(beats, ownWatchers, f.Ack.Stream))
	digests := e.digestTraffic(sessions, e.peerSessions())
	idle := e.sessionTraffic(sessions)
	members := messages(e.memberChanges()*e.peerSessions(), e.memberChanges()*e.peerSessions(), f.Member.Stream)
	config := messages(e.configChanges()*e.peerSessions(), e.configChanges()*e.peerSessions(), f.Object.Stream)
	all := heartbeats.plus(digests).plus(idle).plus(members).plus(config)

	views := m.BalancerTargets.At(float64(e.Plan.Targets))
	sockets := m.BalancerSockets.At(float64(e.Plan.Services))
	sessionMemory := sessions * m.Sessions.PerUnit()
	records := m.AgentRecords.Median
	live := views + sockets + sessionMemory + records

	handled := 2*(beats+ownWatchers) + (sessions+e.peerSessions())/e.Protocol.DigestInterval
	messageTime := handled * f.Heartbeat.Processor / 2
	changeTime := e.memberChanges()*(t.WholeChange.Median+t.SetViews.Median) + e.configChanges()*(t.ConfigChange.Median+t.SetViews.Median)
	return map[string]Cell{
		"balancer.flows":     {Figure: formatBytes(max(0, m.BalancerFlows.PerUnit())) + " a flow", Mechanism: "`balancer`, `core/routing`", Source: Measured},
		"balancer.views":     e.memoryCell(views, "`core`, `core/routing`", Measured),
		"balancer.peers":     e.memoryCell(records, "`core`", Measured),
		"balancer.sockets":   e.memoryCell(sockets, "`balancer`", Measured),
		"balancer.sessions":  e.memoryCell(sessionMemory, "`control`, `core/topology`", Computed),
		"balancer.memory":    e.memoryCell(garbageFactor*live, "all of these", Computed),
		"balancer.kernel":    {Figure: "-", Mechanism: "`balancer`", Source: NotMeasured, Budget: "64 MB"},
		"balancer.heartbeat": e.trafficCell(heartbeats, "`core/membership`, `control`", Computed),
		"balancer.digest":    e.trafficCell(digests, "`core/dissemination`, `control`", Computed),
		"balancer.idle":      e.trafficCell(idle, "`control` (yamux)", Computed),
		"balancer.members":   e.trafficCell(members, "`core/membership`, `core/dissemination`", Computed),
		"balancer.config":    e.trafficCell(config, "`core/configuration`, `core/dissemination`", Computed),
		"balancer.traffic":   e.trafficCell(all, "all of these", Computed),
		"balancer.messages":  e.processorCell(messageTime, "`control`", Computed),
		"balancer.changes":   e.processorCell(changeTime, "all controllers, `balancer`", FromSlopes),
		"balancer.ticks":     e.processorCell(t.Quiet.Median, "all controllers of a balancer", Measured),
		"balancer.processor": e.processorCell(messageTime+changeTime+t.Quiet.Median, "all of these", Computed),
		"balancer.packet": {
			Figure:    fmt.Sprintf("%s; %.1f times the hash alone, %.1f times a flow table", spread(t.Route, formatSeconds), ratio(t.Route, t.HashOnly), ratio(t.Route, t.TableLookup)),
			Mechanism: "`balancer`, `core/routing`, `wire`", Source: Measured,
		},
	}
}

// ratio returns a sample's median over another's, 0 if that is not known.
func ratio(a, b Sample) float64 {
	if b.Median == 0 {
		return 0
	}
	return a.Median / b.Median
}

// agentCells returns the rows of an agent.
func (e Estimate) agentCells() map[string]Cell {
	m, f, t := e.Slopes.Memory, e.Slopes.Frames, e.Slopes.Timing
	sessions := e.Protocol.Watchers
	beats := sessions * e.Protocol.HeartbeatsPerSecond
	heartbeats := messages(beats, 0, f.Heartbeat.Stream).plus(messages(0, beats, f.Ack.Stream))
	followed := e.memberChanges() * float64(e.Plan.Balancers) / float64(e.Plan.Nodes()) * sessions
	control := heartbeats.plus(e.digestTraffic(0, sessions)).plus(e.sessionTraffic(sessions)).
		plus(messages(0, followed, f.Member.Stream))
	placement := traffic{e.Slopes.Placement.PerAgent, e.Slopes.Placement.PerAgent}

	held := e.Plan.FlowsPerTarget()
	elsewhere := held * (agentsPerService - 1) / agentsPerService
	flowMemory := held*m.AgentHeld.PerUnit() + elsewhere*m.AgentEntries.PerUnit()
	records := m.AgentRecords.Median
	sessionMemory := sessions * m.Sessions.PerUnit()

	placementTime := e.Plan.NewFlowsPerTarget()*(t.NewFlowHome.Median+t.NewFlowHolder.Median) + elsewhere/60*t.Registration.Median
	tickTime := t.Tick.Median / e.Protocol.TickInterval
	messageTime := (2*beats + sessions/e.Protocol.DigestInterval) * f.Heartbeat.Processor / 2
	return map[string]Cell{
		"agent.flows":     e.memoryCell(flowMemory, "`core/directory`", FromSlopes),
		"agent.records":   e.memoryCell(records, "`core`", Measured),
		"agent.sessions":  e.memoryCell(sessionMemory, "`control`", Computed),
		"agent.memory":    e.memoryCell(garbageFactor*(flowMemory+records+sessionMemory), "all of these", Computed),
		"agent.quic":      dataMemory(held, m.Connections, "`agent/front`"),
		"agent.relay":     dataMemory(held, m.Relayed, "`agent/relay`"),
		"agent.placement": e.trafficCell(placement, "`core/directory`", Measured),
		"agent.newflow":   {Figure: formatBytes(e.Slopes.Placement.PerNewFlow) + " a flow", Mechanism: "`core/directory`", Source: Measured},
		"agent.register":  {Figure: formatBytes(e.Slopes.Placement.PerHeldFlow) + " a flow and minute", Mechanism: "`core/directory`", Source: Measured},
		"agent.control":   e.trafficCell(control, "`core/membership`, `core/dissemination`, `control`", Computed),
		"agent.traffic":   e.trafficCell(placement.plus(control), "all of these", Computed),
		"agent.newtime":   e.processorCell(placementTime, "`core/directory`", FromSlopes),
		"agent.ticks":     e.processorCell(tickTime, "`core/directory`", FromSlopes),
		"agent.messages":  e.processorCell(messageTime, "`control`", Computed),
		"agent.packet": {
			Figure:    formatSeconds(t.DatagramHome.Median) + " at the home, " + formatSeconds(t.DatagramHolder.Median) + " at the holder",
			Mechanism: "`core/directory`", Source: Measured,
		},
		"agent.requests": {Figure: "-", Mechanism: "`core/admission`, `agent/front`", Source: NotMeasured},
	}
}

// dataMemory is the memory of an agent's flows outside of control.
func dataMemory(flows float64, perFlow Slope, mechanism string) Cell {
	return Cell{Figure: formatBytes(flows*perFlow.PerUnit()) + " for the mean of held flows", Mechanism: mechanism, Source: FromSlopes}
}

// clientCells returns the rows of amaranthctl.
func (e Estimate) clientCells() map[string]Cell {
	s := e.Slopes.Store
	return map[string]Cell{
		"client.state":     {Figure: "none between commands", Mechanism: "`configstore`", Source: Computed},
		"client.calls":     {Figure: fmt.Sprintf("%.1f store calls a change", s.CallsPerChange), Mechanism: "`configstore`", Source: Measured},
		"client.processor": {Figure: spread(s.CompareSeconds, formatSeconds) + " to compare and check", Mechanism: "`declare`", Source: Measured},
		"client.load":      {Figure: formatSeconds(s.LoadSeconds) + " with the stand-in's share", Mechanism: "`configstore`, `store`", Source: Measured},
		"client.memory":    {Figure: formatBytes(s.ClientMemory.Median), Mechanism: "`declare`, `model`", Source: Measured},
	}
}

// historyRecords is the changes that the store keeps.
const historyRecords = configstore.HistoryLimit

// storeCells returns the rows of the store.
func (e Estimate) storeCells() map[string]Cell {
	s := e.Slopes.Store
	operators := e.configChanges() * s.CallsPerChange
	readers := e.Protocol.StoreReaders * (e.configChanges()*s.CallsPerReader + s.CallsPerWatch/e.Protocol.WatchAge)
	polls := 1 / e.Protocol.StorePollSpacing
	balancerRestarts := e.Plan.RestartsPerDay * float64(e.Plan.Balancers) / float64(e.Plan.Nodes()) / secondsPerDay
	calls := operators + readers + polls + balancerRestarts
	writes := e.configChanges() * s.WritesPerChange
	rate := func(v float64) string { return fmt.Sprintf("%.2f calls/s", v) }
	return map[string]Cell{
		"store.objects":   {Figure: fmt.Sprintf("%d keys, %s", e.Plan.Services, formatBytes(s.LoadBytes)), Mechanism: "`configstore`", Source: Measured},
		"store.history":   {Figure: formatBytes(historyRecords * s.RecordBytes), Mechanism: "`configstore`", Source: FromSlopes},
		"store.operators": {Figure: rate(operators), Mechanism: "`configstore`", Source: FromSlopes},
		"store.readers":   {Figure: rate(readers) + fmt.Sprintf(" and %.0f waiting watches", e.Protocol.StoreReaders), Mechanism: "`core/configuration`, `configstore`", Source: Computed},
		"store.polls":     {Figure: rate(polls + balancerRestarts), Mechanism: "`core/configuration`", Source: Computed},
		"store.calls":     Cell{Figure: rate(calls) + fmt.Sprintf(" and %.0f waiting watches", e.Protocol.StoreReaders), Mechanism: "all of these", Source: Computed}.limited("2,000 reads/s", calls+e.Protocol.StoreReaders, e.Limits.ReadsPerSecond),
		"store.writes":    Cell{Figure: fmt.Sprintf("%.3f writes/s", writes), Mechanism: "`configstore`", Source: FromSlopes}.limited("several hundred/s", writes, e.Limits.WritesPerSecond),
		"store.notified":  Cell{Figure: spread(s.Notified, formatSeconds), Mechanism: "`configstore`, `store`", Source: Measured}.limited("19 s", s.Notified.Most, e.Budget.InForce),
	}
}
