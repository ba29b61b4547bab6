package steering

import "time"

const (
	// spillLoad is the load, in requests per slot, above which a flow goes to
	// another failure domain: half of the slots' work again is waiting.
	spillLoad = 1.5
	// spillRatio is how much less load another failure domain must have. Bytes
	// between domains cost, and loads are half a second old.
	spillRatio = 0.6
	// refusalPause is how long an agent that refused gets no new flows.
	refusalPause = 100 * time.Millisecond
	// maxOffers bounds the agents that one segment is offered to.
	maxOffers = 4
)

// load returns the requests per slot, with the flows that were opened since
// the agent reported.
func (m *member) load() float64 {
	return float64(int(m.status.Busy)+m.opened) / float64(max(m.status.Slots, 1))
}

// tier orders candidates: agents that open flows before agents with a cold
// target before all others, which are no candidates.
type tier int

const (
	tierOpen tier = iota
	tierCold
	tierNone
)

func (b *Balancer) tierOf(now time.Time, m *member) tier {
	if !m.live(now) || now.Before(m.avoidUntil) || b.config.state.DomainsOut[m.record.Domain] {
		return tierNone
	}
	switch m.status.Refusal {
	case RefusedNot:
		return tierOpen
	case RefusedCold:
		return tierCold
	case RefusedBusy, RefusedNoTarget, RefusedDraining, RefusedOut, RefusedService, RefusedFull, RefusedSilent:
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

// lighter returns the one with less load, the higher ranked one if equal.
func (p *pair) lighter() *member {
	if p[1] != nil && p[1].load() < p[0].load() {
		return p[1]
	}
	return p[0]
}

// place picks the agent for a new flow, or nil if none takes it. Of the two
// highest ranked agents of the own failure domain the one with less load is
// picked; under overload, one of the other domains may be.
func (b *Balancer) place(now time.Time, h *holding, service ServiceID, hash uint64) *member {
	var local, remote [tierNone]pair
	for _, m := range b.members.byService[service] {
		t := b.tierOf(now, m)
		if t == tierNone || h.offeredTo(m) {
			continue
		}
		if m.local {
			local[t].add(m, hash)
		} else {
			remote[t].add(m, hash)
		}
	}
	for t := range tierNone {
		if m := nearest(&local[t], &remote[t]); m != nil {
			return m
		}
	}
	return nil
}

// nearest picks between the own failure domain and the others.
func nearest(local, remote *pair) *member {
	near, far := local.lighter(), remote.lighter()
	switch {
	case near == nil:
		return far
	case far == nil || near.load() <= spillLoad || far.load() > near.load()*spillRatio:
		return near
	}
	return far
}
