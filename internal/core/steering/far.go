package steering

import "time"

const (
	// farPingInterval is how often an agent of another failure domain is asked that
	// gets no flows from here. Bytes between domains are dear, and the answer is of
	// use only when the own domain is at its end.
	farPingInterval = 2 * time.Second
	// farSuspectAfter is for these what suspectAfter is for the others.
	farSuspectAfter = 2*farPingInterval + 200*time.Millisecond
	// wantTime is how long an agent of another domain is asked as often as the own
	// ones after there was need of it.
	wantTime = 5 * time.Second
)

// want has the agent asked as often as those of the own failure domain.
func (m *member) want(now time.Time) {
	if !m.wanted(now) {
		m.wantedSince = now
	}
	m.wantedUntil = now.Add(wantTime)
}

func (m *member) wanted(now time.Time) bool { return m.local || now.Before(m.wantedUntil) }

// patience returns how long the agent may be silent and count as live. One that is
// wanted from now on has not been asked often so far.
func (m *member) patience(now time.Time) time.Duration {
	if m.local || m.wanted(now) && now.Sub(m.wantedSince) >= suspectAfter {
		return suspectAfter
	}
	return farSuspectAfter
}

// wantFar has the agents of other failure domains asked for whose services the own
// domain has none with room.
func (b *Balancer) wantFar(now time.Time) {
	for _, members := range b.members.byService {
		if b.nearServes(now, members) {
			continue
		}
		for _, m := range members {
			m.want(now)
		}
	}
}

// nearServes reports whether one of the own failure domain's members has room.
func (b *Balancer) nearServes(now time.Time, members []*member) bool {
	for _, m := range members {
		if m.local && b.tierOf(now, m, classOther) == tierOpen && m.load(now) <= spillLoad {
			return true
		}
	}
	return false
}
