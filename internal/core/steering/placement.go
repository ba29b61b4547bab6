package steering

import (
	"math"
	"time"
)

const (
	// spillLoad is the load, in requests per slot, above which a flow goes to
	// another failure domain: half of the slots' work again is waiting.
	spillLoad = 1.5
	// spillRatio is how much less load another failure domain must have. Bytes
	// between domains cost, and loads are half a second old.
	spillRatio = 0.6
	// refusalPause is how long an agent that refused gets no new flows, unless it
	// was merely busy.
	refusalPause = 100 * time.Millisecond
	// maxOffers bounds the agents that one segment is offered to.
	maxOffers = 4
)

// noteWork notes the work at the agent's target.
func (m *member) noteWork(now time.Time, work int) {
	m.work, m.opened, m.loadAt, m.full = work, 0, now, [numFlowClasses]bool{}
}

// noteFull notes that the agent has refused a flow of the class: it refuses those of
// later classes too.
func (m *member) noteFull(class flowClass) {
	for ; class < numFlowClasses; class++ {
		m.full[class] = true
	}
}

// maxWork returns the requests per slot from which the agent refuses flows of the
// class.
func (m *member) maxWork(class flowClass) float64 {
	if class == classSingleRequest && m.status.SingleRequestLimit > 0 {
		return float64(m.status.SingleRequestLimit)
	}
	return maxWorkPerSlot
}

// slots returns the slots of the agent's target, at least 1.
func (m *member) slots() int { return max(int(m.status.Slots), 1) }

// load estimates the requests per slot now: the work that the agent reported,
// and the flows opened since, less what the target has finished since. Only whole
// requests make room for others.
func (m *member) load(now time.Time) float64 {
	finished := math.Floor(float64(m.status.RequestsPerSecond) * now.Sub(m.loadAt).Seconds())
	return max(0, float64(m.work+m.opened)-finished) / float64(m.slots())
}

// tier orders candidates: agents that open flows before agents with a cold
// target before all others, which are no candidates.
type tier int

const (
	tierOpen tier = iota
	tierCold
	tierNone
)

func (b *Balancer) tierOf(now time.Time, m *member, class flowClass) tier {
	if !m.live(now) || now.Before(m.avoidUntil) || b.config.state.DomainsOut[m.record.Domain] {
		return tierNone
	}
	if m.full[class] || m.load(now) >= m.maxWork(class) {
		return tierNone
	}
	switch m.status.Refusal {
	case NotRefused, RefusedBusy:
		return tierOpen
	case RefusedCold:
		return tierCold
	case RefusedNoTarget, RefusedDraining, RefusedDomainOut, RefusedOtherService, RefusedFull, RefusedSilent:
	}
	return tierNone
}

// pair is the two highest ranked candidates of a group.
type pair [2]*member

// add ranks a candidate.
func (p *pair) add(m *member, hash uint64) {
	switch {
	case p[0] == nil || score(m, hash) > score(p[0], hash):
		p[1], p[0] = p[0], m
	case p[1] == nil || score(m, hash) > score(p[1], hash):
		p[1] = m
	}
}

// rank adds a member to the pair of its group: the own failure domain or others.
func rank(local, remote *pair, m *member, hash uint64) {
	if m.local {
		local.add(m, hash)
	} else {
		remote.add(m, hash)
	}
}

// first returns the highest ranked member, of the own failure domain if it has
// one.
func first(local, remote *pair) *member {
	if local[0] != nil {
		return local[0]
	}
	return remote[0]
}

// lighter returns the one with less load, the higher ranked one if equal.
func (p *pair) lighter(now time.Time) *member {
	if p[1] != nil && p[1].load(now) < p[0].load(now) {
		return p[1]
	}
	return p[0]
}

// place picks the agent for a new flow, or nil if none takes it. Of the two
// highest ranked agents of the own failure domain the one with less load is
// picked; under overload, one of the other domains may be.
func (b *Balancer) place(now time.Time, h *holding, class flowClass, service ServiceID, hash uint64) *member {
	var local, remote [tierNone]pair
	for _, m := range b.members.byService[service] {
		t := b.tierOf(now, m, class)
		if t == tierNone || h.offeredTo(m) {
			continue
		}
		rank(&local[t], &remote[t], m, hash)
	}
	for t := range tierNone {
		if m := nearest(now, &local[t], &remote[t]); m != nil {
			return m
		}
	}
	return nil
}

// nearest picks between the own failure domain and the others.
func nearest(now time.Time, local, remote *pair) *member {
	near, far := local.lighter(now), remote.lighter(now)
	switch {
	case near == nil:
		return far
	case far == nil || near.load(now) <= spillLoad || far.load(now) > near.load(now)*spillRatio:
		return near
	}
	return far
}
