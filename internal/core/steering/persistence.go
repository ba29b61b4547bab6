package steering

import "time"

const (
	// minVerifyInterval is the minimum time between two checks of the agent's record
	// while balancers report that it is lost. Balancers that read the store late report
	// that for a while after it was rewritten.
	minVerifyInterval = time.Second
	// verifyIntervalWithoutBalancers is the interval at which an agent that no balancer
	// pings checks its record: a starting balancer finds the agent only by the record.
	verifyIntervalWithoutBalancers = 3 * time.Second
	// saveInterval is the interval at which an agent saves its flows. Twice the interval
	// costs 0.002 of the users' utility on days with a power outage.
	saveInterval = 6 * time.Second
	// saveIntervalPerAgent extends the interval with the number of agents, so that all
	// of them together save at most about eight times a second.
	saveIntervalPerAgent = 120 * time.Millisecond
)

// persistenceSection holds when the agent last checked its record and saved its flows.
type persistenceSection struct {
	lastVerify, lastSave time.Time
}

// maintainPersistence checks the record and saves the flows when due, once the record
// was first written.
func (a *Agent) maintainPersistence(now time.Time) {
	if a.target.writtenIncarnation == 0 || a.target.deregistered {
		return
	}
	if len(a.balancers.byPeer) == 0 {
		a.verifyRecord(now, verifyIntervalWithoutBalancers)
	}
	if now.Sub(a.persistence.lastSave) >= max(saveInterval, time.Duration(a.balancers.countAgents())*saveIntervalPerAgent) {
		a.persistence.lastSave = now
		a.emit(Effect{Kind: EffectSave})
	}
}

// verifyRecord requests a check of the record, unless one was requested within the
// interval.
func (a *Agent) verifyRecord(now time.Time, interval time.Duration) {
	if a.target.writtenIncarnation == 0 || a.target.deregistered || now.Sub(a.persistence.lastVerify) < interval {
		return
	}
	a.persistence.lastVerify = now
	a.emit(Effect{Kind: EffectVerify})
}
