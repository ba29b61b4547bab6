package capacity

import (
	"fmt"
	"math"
)

// burst is a sudden change of many records, as one balancer sees it.
type burst struct {
	// records is the number of record changes.
	records float64
	// bytes is the least that a balancer receives: each change once, without
	// headers.
	bytes float64
	// processor is the most that all controllers and the packet path spend, in
	// seconds: each change comes alone, and every tick until the time in which
	// changes have to be in force brings one.
	processor float64
}

// burstOf returns the burst of nodes that change several times each.
func (e Estimate) burstOf(nodes, events float64) burst {
	records := nodes * events
	t := e.Slopes.Timing
	ticks := min(records, e.Budget.InForce/e.Protocol.TickInterval)
	processor := records*(t.MemberChange.Median+t.SetViews.Median) + ticks*t.WholeChange.Median
	return burst{records, records * e.Slopes.Frames.Member.Message, processor}
}

// burstCell judges how long the burst takes at the control budget.
func (e Estimate) burstCell(b burst) Cell {
	atBudget := b.bytes / e.Budget.Traffic
	figure := fmt.Sprintf("%.0f changes, at least %s to each balancer: %s at 7 KB/s, %s; up to %.0f times as much, once for each session",
		b.records, formatBytes(b.bytes), formatSeconds(atBudget), e.atSendLimit(b.bytes), e.peerSessions())
	c := Cell{Figure: figure, Mechanism: "`core/membership`, `core/dissemination`", Source: Computed}
	return c.limited("19 s at 7 KB/s", atBudget, e.Budget.InForce)
}

// burstProcessorCell judges the processor time.
func (e Estimate) burstProcessorCell(b burst) Cell {
	share := b.processor / e.Budget.InForce
	c := Cell{Figure: fmt.Sprintf("at most %s, %s over 19 s", formatSeconds(b.processor), formatShare(share)), Mechanism: "all controllers, `balancer`", Source: FromSlopes}
	return c.limited("4.4 %", share, e.Budget.Processor)
}

// atSendLimit tells how long one node takes to send the bytes.
func (e Estimate) atSendLimit(bytes float64) string {
	if bytes <= e.Protocol.SendBurst {
		return "in one burst at the send limit"
	}
	return formatSeconds((bytes-e.Protocol.SendBurst)/e.Protocol.SendLimit) + " at the send limit"
}

// burstCells returns the rows of starts and of mass events.
func (e Estimate) burstCells() map[string]Cell {
	nodes := float64(e.Plan.Nodes())
	domain := e.burstOf(nodes/float64(e.Plan.Domains), e.Protocol.EventsPerLoss)
	// The nodes of the other region refute their removal with one change each.
	region := e.burstOf(nodes/float64(e.Plan.Regions), 1)
	return map[string]Cell{
		"start.balancer": e.mapCell(e.Slopes.Frames.BalancerMap),
		"start.agent":    e.mapCell(e.Slopes.Frames.AgentMap),
		"start.views":    {Figure: spread(e.Slopes.Timing.FullMap, formatSeconds), Mechanism: "`core/routing`", Source: Measured},
		"domain.bytes":   e.burstCell(domain),
		"domain.views":   e.burstProcessorCell(domain),
		"domain.flows":   e.reopenCell(),
		"region.bytes":   e.burstCell(region),
		"region.views":   e.burstProcessorCell(region),
		"inforce.hops":   e.inForceCell(),
		"inforce.fleet":  {Figure: "-", Budget: "19 s", Mechanism: "all control packages", Source: NotMeasured},
	}
}

// mapCell judges how long a new node waits for its map.
func (e Estimate) mapCell(bytes float64) Cell {
	atBudget := bytes / e.Budget.Traffic
	figure := fmt.Sprintf("%s: %s at 7 KB/s, %s", formatBytes(bytes), formatSeconds(atBudget), e.atSendLimit(bytes))
	c := Cell{Figure: figure, Mechanism: "`core/dissemination`, `control`", Source: FromSlopes}
	return c.limited("19 s at 7 KB/s", atBudget, e.Budget.InForce)
}

// reopenCell is the placement of the lost flows at the agents that are left,
// if all callers come back at once.
func (e Estimate) reopenCell() Cell {
	left := float64(e.Plan.Domains - 1)
	flows := e.Plan.FlowsPerTarget() / left
	bytes := flows * e.Slopes.Placement.PerNewFlow
	atBudget := bytes / e.Budget.Traffic
	figure := fmt.Sprintf("%.0f flows and %s of placement out of each agent left: %s at 7 KB/s", flows, formatBytes(bytes), formatSeconds(atBudget))
	c := Cell{Figure: figure, Mechanism: "`core/directory`", Source: FromSlopes}
	return c.limited("19 s at 7 KB/s", atBudget, e.Budget.InForce)
}

// inForceCell sums the steps of a change from the store to the last agent. Each
// hop waits for a tick at most; the hops reach all balancers, then agents.
func (e Estimate) inForceCell() Cell {
	hops := math.Ceil(math.Log(float64(e.Plan.Balancers))/math.Log(e.peerSessions()-1)) + 1
	seconds := e.Slopes.Store.Notified.Median + hops*(e.Protocol.TickInterval+linkDelay)
	figure := fmt.Sprintf("%s over %.0f hops", formatSeconds(seconds), hops)
	c := Cell{Figure: figure, Mechanism: "`core/configuration`, `core/dissemination`", Source: Computed}
	return c.limited("19 s", seconds, e.Budget.InForce)
}

// linkDelay is the one-way time between failure domains, in seconds.
const linkDelay = 0.0015
