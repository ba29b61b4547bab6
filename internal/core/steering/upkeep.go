package steering

import "time"

const (
	// verifyRetry is the least time between two looks at the agent's record, while
	// balancers say that it is lost: those that poll late say so for a while.
	verifyRetry = time.Second
	// verifyInterval is how often an agent looks that no balancer asks: one that
	// starts may not know it.
	verifyInterval = 3 * time.Second
	// saveInterval is how often an agent saves its flows. Half as often costs
	// 0.002 of the users' worth, in days with a loss of power.
	saveInterval = 6 * time.Second
	// savePerAgent stretches the interval, so that all agents together save about
	// eight times a second at most, however many they are.
	savePerAgent = 120 * time.Millisecond
)

// upkeepSection is when the agent looked after what it has in the store.
type upkeepSection struct {
	verified, saved time.Time
}

// keepRecord looks after what the agent has in the store. Nothing is there before
// the record was written.
func (a *Agent) keepRecord(now time.Time) {
	if a.target.written == 0 {
		return
	}
	if len(a.askers.byPeer) == 0 {
		a.verify(now, verifyInterval)
	}
	if now.Sub(a.upkeep.saved) >= max(saveInterval, time.Duration(a.askers.count())*savePerAgent) {
		a.upkeep.saved = now
		a.emit(Effect{Kind: EffectSave})
	}
}

// verify looks for the record, unless it did within the interval.
func (a *Agent) verify(now time.Time, interval time.Duration) {
	if a.target.written == 0 || now.Sub(a.upkeep.verified) < interval {
		return
	}
	a.upkeep.verified = now
	a.emit(Effect{Kind: EffectVerify})
}
