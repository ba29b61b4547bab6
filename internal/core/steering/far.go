package steering

import "time"

const (
	// remotePingInterval is the interval of pings to an unused agent of another failure
	// domain. Traffic between domains is costly, and the status is needed only when the
	// local domain has no capacity left.
	remotePingInterval = 2 * time.Second
	// remoteSuspectAfter replaces suspectAfter for agents pinged at remotePingInterval.
	remoteSuspectAfter = 2*remotePingInterval + 200*time.Millisecond
	// fastPingDuration is how long a remote agent is pinged as often as local ones
	// after it was last needed.
	fastPingDuration = 5 * time.Second
)

// startFastPing makes the agent be pinged as often as those of the local failure
// domain.
func (m *member) startFastPing(now time.Time) {
	if !m.usesFastPing(now) {
		m.fastPingSince = now
	}
	m.fastPingUntil = now.Add(fastPingDuration)
}

func (m *member) usesFastPing(now time.Time) bool { return m.local || now.Before(m.fastPingUntil) }

// suspectTimeout returns the silence after which the agent no longer counts as
// live. For one that has just been switched to fast pings the longer timeout still
// applies.
func (m *member) suspectTimeout(now time.Time) time.Duration {
	if m.local || m.usesFastPing(now) && now.Sub(m.fastPingSince) >= suspectAfter {
		return suspectAfter
	}
	return remoteSuspectAfter
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
		if m.local && b.tierOf(now, m, classOther) == tierOpen && m.load(now) <= spillLoad {
			return true
		}
	}
	return false
}
