package steering

import "time"

const (
	// verifyRetry is the least time between two looks at the agent's record, while
	// balancers say that it is lost: those that poll late say so for a while.
	minVerifyInterval = time.Second
	// verifyInterval is how often an agent looks that no balancer asks: one that
	// starts may not know it.
	unpolledVerifyInterval = 3 * time.Second
	// saveInterval is how often an agent saves its flows. Half as often costs
	// 0.002 of the users' worth, in days with a loss of power.
	saveInterval = 6 * time.Second
	// savePerAgent stretches the interval, so that all agents together save about
	// eight times a second at most, however many they are.
	saveIntervalPerAgent = 120 * time.Millisecond
)

// upkeepSection is when the agent looked after what it has in the store.
type persistenceSection struct {
	lastVerify, lastSave time.Time
}

// keepRecord looks after what the agent has in the store. Nothing is there before
// the record was written.
func (a *Agent) maintainPersistence(now time.Time) {
	if a.target.writtenIncarnation == 0 {
		return
	}
	if len(a.balancers.byPeer) == 0 {
		a.verifyRecord(now, unpolledVerifyInterval)
	}
	if now.Sub(a.persistence.lastSave) >= max(saveInterval, time.Duration(a.balancers.countAgents())*saveIntervalPerAgent) {
		a.persistence.lastSave = now
		a.emit(Effect{Kind: EffectSave})
	}
}

// verify looks for the record, unless it did within the interval.
func (a *Agent) verifyRecord(now time.Time, interval time.Duration) {
	if a.target.writtenIncarnation == 0 || now.Sub(a.persistence.lastVerify) < interval {
		return
	}
	a.persistence.lastVerify = now
	a.emit(Effect{Kind: EffectVerify})
}
