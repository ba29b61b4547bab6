package steering

import "time"

const (
	// minRemotePingInterval and maxRemotePingInterval bound the interval of pings to an
	// unused agent of another failure domain. Traffic between domains is costly, and the
	// status is needed only when the local domain has no capacity left.
	minRemotePingInterval = 2 * time.Second
	maxRemotePingInterval = 10 * time.Second
	// remotePingIntervalPerAgent extends the interval with the number of agents in other
	// domains, so that a balancer sends them at most 40 pings a second up to 400 agents.
	remotePingIntervalPerAgent = 25 * time.Millisecond
	// retryPingDuration is how long pings to an agent of another domain that does not
	// reply are repeated at pingInterval.
	retryPingDuration = 5 * time.Second
	// fastPingDuration is how long a remote agent is pinged as often as local ones
	// after it was last needed.
	fastPingDuration = 5 * time.Second
)

// remotePingInterval returns the interval of pings to unused agents of other failure
// domains.
func remotePingInterval(remoteAgents int) time.Duration {
	return min(max(time.Duration(remoteAgents)*remotePingIntervalPerAgent, minRemotePingInterval), maxRemotePingInterval)
}

// startFastPing makes the agent be pinged as often as those of the local failure
// domain.
func (m *member) startFastPing(now time.Time) {
	if !m.usesFastPing(now) {
		m.fastPingSince = now
	}
	m.fastPingUntil = now.Add(fastPingDuration)
}

func (m *member) usesFastPing(now time.Time) bool { return m.local || now.Before(m.fastPingUntil) }

// isLive reports whether the agent replies to pings. One that is pinged often must have
// replied within suspectAfter. Another one is live until a ping and its repetitions have
// been unanswered for that time; this also holds for one that has just been switched to
// fast pings.
func (m *member) isLive(now time.Time) bool {
	switch {
	case m.lastPong.IsZero():
		return false
	case m.local || m.usesFastPing(now) && now.Sub(m.fastPingSince) >= suspectAfter:
		return now.Sub(m.lastPong) < suspectAfter
	}
	return m.unansweredSince.IsZero() || now.Sub(m.unansweredSince) < suspectAfter
}

// currentPingInterval returns the interval at which the agent is pinged at present. One
// that the store does not list is pinged often, as it is removed when it is silent.
func (m *member) currentPingInterval(now time.Time) time.Duration {
	switch {
	case m.usesFastPing(now) && !m.isLive(now) && now.Sub(m.lastContact()) < recoveryPingDuration:
		return recoveryPingInterval
	case m.usesFastPing(now), !m.listed, m.isPingRepeated(now):
		return pingInterval
	}
	return m.remoteInterval
}

// isPingRepeated reports whether a ping to the agent is unanswered and still repeated.
func (m *member) isPingRepeated(now time.Time) bool {
	return !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) < retryPingDuration
}

// startRemoteFastPing speeds up the pings to all agents of services for which the
// local failure domain has no capacity.
func (b *Balancer) startRemoteFastPing(now time.Time) {
	for _, members := range b.members.byService {
		if b.localHasCapacity(now, members) {
			continue
		}
		for _, m := range members {
			m.startFastPing(now)
		}
	}
}

// localHasCapacity reports whether one of the local members can accept more flows.
func (b *Balancer) localHasCapacity(now time.Time, members []*member) bool {
	for _, m := range members {
		if m.local && b.tierOf(now, m, classOther) == tierOpen && m.load(now) <= spillLoad && b.hasSlotForObjectives(now, m) {
			return true
		}
	}
	return false
}
