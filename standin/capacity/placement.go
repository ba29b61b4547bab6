package capacity

import (
	"fmt"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/fleet"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Placement is the traffic that the placement of flows adds, headers of IP and
// UDP included, in a fleet in virtual time without faults.
type Placement struct {
	// PerNewFlow is the bytes for one new flow; PerHeldFlow the bytes for each
	// held flow and minute.
	PerNewFlow, PerHeldFlow float64
	// PerAgent is the bytes a second that one agent sends at the planned
	// number of flows. It receives as much from the other agents.
	PerAgent float64
}

const (
	// settleTime is longer than homes take to trust their view.
	settleTime = 30 * time.Second
	// packetInterval is the time between datagrams of one flow.
	packetInterval = 20 * time.Second
	// slopeFlows is the flows of the slopes.
	slopeFlows = 300
	// idleMinutes is how long their registrations are counted.
	idleMinutes = 10
	// observed is how long the traffic at the planned size is counted.
	observed = time.Minute
)

// measurePlacement runs the fleets.
func measurePlacement(p Plan) (Placement, error) {
	var out Placement
	f := newFleet(p)
	f.Run(settleTime)
	begin := f.Cost
	openFlows(f, slopeFlows, 10*time.Millisecond)
	f.Run(5 * time.Second)
	opened := f.Cost
	f.Run(idleMinutes * time.Minute)
	if r := f.Report(); r.Established != slopeFlows || r.Broken != 0 {
		return out, fmt.Errorf("%w: %+v", errUnexpected, r)
	}
	out.PerNewFlow = placementBytes(begin, opened) / slopeFlows
	out.PerHeldFlow = placementBytes(opened, f.Cost) / slopeFlows / idleMinutes
	var err error
	out.PerAgent, err = placementAtSize(p)
	return out, err
}

// newFleet returns the agents of one service.
func newFleet(p Plan) *fleet.Fleet {
	return fleet.New(fleet.Options{
		Seed: 1, Strategy: fleet.StrategyHome, Mode: model.ModeRequest,
		Agents: agentsPerService, Domains: p.Domains, Balancers: 4,
		Slots: slotsPerTarget, Connections: connectionsPerTarget,
		Delay: 1500 * time.Microsecond, Jitter: time.Millisecond,
	})
}

func openFlows(f *fleet.Fleet, n int, spacing time.Duration) {
	for range n {
		f.OpenFlow(packetInterval)
		f.Run(spacing)
	}
}

// placementBytes returns the bytes sent between two moments.
func placementBytes(from, to fleet.Cost) float64 {
	headers := udpHeaders * (to.PlacementMessages - from.PlacementMessages)
	return float64(to.PlacementBytes - from.PlacementBytes + headers)
}

// placementAtSize opens and closes flows at the planned rate until the agents
// hold the planned number, and then counts.
func placementAtSize(p Plan) (float64, error) {
	f := newFleet(p)
	f.Run(settleTime)
	perSecond := p.NewFlowsPerTarget() * agentsPerService
	spacing := time.Duration(float64(time.Second) / perSecond)
	lifetime := int(p.FlowLifetime() * perSecond)
	openFlows(f, lifetime, spacing)
	begin := f.Cost
	for range int(observed.Seconds() * perSecond) {
		f.OpenFlow(packetInterval)
		f.CloseFlow(f.Flows[len(f.Flows)-1-lifetime])
		f.Run(spacing)
	}
	if r := f.Report(); r.Broken != 0 || len(f.Violations) != 0 {
		return 0, fmt.Errorf("%w: %+v, %d violations", errUnexpected, r, len(f.Violations))
	}
	return placementBytes(begin, f.Cost) / observed.Seconds() / agentsPerService, nil
}
