package steering

import (
	"math"
	"time"
)

const (
	// spillLoad is the load, in requests per slot, above which a flow may go to another
	// failure domain: for every two requests executing, one is queued.
	spillLoad = 1.5
	// spillRatio is the highest ratio of a remote agent's load to the local one's at
	// which a flow goes to another failure domain. Traffic between domains is costly,
	// and loads are half a second old.
	spillRatio = 0.6
	// refusalBackoff is how long an agent gets no new flows after a refusal other than
	// busy.
	refusalBackoff = 100 * time.Millisecond
	// maxOffers bounds the agents to which one segment is offered.
	maxOffers = 4
)

// setLoad records the reported load of the agent's target.
func (m *member) setLoad(now time.Time, inFlight int) {
	m.inFlight, m.openedSince, m.reportedAt, m.full = inFlight, 0, now, [numFlowClasses]bool{}
	m.refusedObjective, m.failing, m.loaded = [NumPriorities]time.Duration{}, false, false
	for p, n := range m.status.Ahead {
		m.estimatedAhead[p] = float64(n)
	}
	m.estimatedAt = now
}

// markFull records that the agent has refused a flow of the class as busy: it
// refuses those of later classes too.
func (m *member) markFull(class flowClass) {
	for ; class < numFlowClasses; class++ {
		m.full[class] = true
	}
}

// maxLoad returns the requests per slot at which the agent refuses flows of the
// class.
func (m *member) maxLoad(class flowClass) float64 {
	if class == classSingleRequest && m.status.SingleRequestLimit > 0 {
		return float64(m.status.SingleRequestLimit)
	}
	return maxRequestsPerSlot
}

// slots returns the slots of the agent's target, at least 1.
func (m *member) slots() int { return max(int(m.status.Slots), 1) }

// load estimates the present requests per slot: the reported ones plus the flows
// opened since, less what the target has finished since. Only whole requests free
// capacity.
func (m *member) load(now time.Time) float64 {
	finished := math.Floor(float64(m.status.RequestsPerSecond) * now.Sub(m.reportedAt).Seconds())
	return max(0, float64(m.inFlight+m.openedSince)-finished) / float64(m.slots())
}

// tier orders candidates: agents that open flows, then, for flows with an objective, agents
// below the usual load, then agents at which the flow would delay requests of lower priorities,
// then agents with a cold target, then agents that refuse flows as failing. Agents in tierNone
// are not candidates.
type tier int

const (
	tierOpen tier = iota
	tierWait
	tierDelay
	tierCold
	tierFailing
	tierNone
)

func (b *Balancer) tierOf(now time.Time, m *member, class flowClass) tier {
	if !m.isLive(now) || now.Before(m.avoidUntil) || b.config.state.DomainsOut[m.record.Domain] {
		return tierNone
	}
	if m.full[class] || m.load(now) >= m.maxLoad(class) {
		return tierNone
	}
	switch m.status.Refusal {
	case NotRefused, RefusedBusy, RefusedFailing:
		// Only a refusal tells that flows without an objective are refused as failing.
		if m.failing {
			return tierFailing
		}
		return tierOpen
	case RefusedCold:
		return tierCold
	case RefusedNoTarget, RefusedDraining, RefusedDomainOut, RefusedOtherService, RefusedFull, RefusedSilent:
	}
	return tierNone
}

// topTwo is the two highest ranked candidates of a group.
type topTwo [2]*member

// add inserts a candidate by its rank.
func (p *topTwo) add(m *member, hash uint64) {
	switch {
	case p[0] == nil || score(m, hash) > score(p[0], hash):
		p[1], p[0] = p[0], m
	case p[1] == nil || score(m, hash) > score(p[1], hash):
		p[1] = m
	}
}

// addRanked adds a member to the group of its failure domain, local or remote.
func addRanked(local, remote *topTwo, m *member, hash uint64) {
	if m.local {
		local.add(m, hash)
	} else {
		remote.add(m, hash)
	}
}

// highestRanked returns the highest ranked local member, else the highest ranked
// remote one.
func highestRanked(local, remote *topTwo) *member {
	if local[0] != nil {
		return local[0]
	}
	return remote[0]
}

// leastLoaded returns the candidate with less load, the higher ranked one if
// equal.
func (p *topTwo) leastLoaded(now time.Time) *member {
	if p[1] != nil && p[1].load(now) < p[0].load(now) {
		return p[1]
	}
	return p[0]
}

// pickAgent picks the agent for a new flow, nil if there is no candidate. It picks
// the less loaded of the two highest ranked agents of the local failure domain;
// under overload, possibly one of another domain.
// LastResort reports that only agents are left which refuse flows as failing.
func (b *Balancer) pickAgent(now time.Time, e *flowEntry, class flowClass, service ServiceID, hash uint64) (picked *member, lastResort bool) {
	var local, remote [tierNone]topTwo
	healthy := false
	for _, m := range b.members.byService[service] {
		t := b.tierOf(now, m, class)
		healthy = healthy || b.isHealthy(now, m)
		if t == tierNone || e.excludes(m, t) {
			continue
		}
		addRanked(&local[t], &remote[t], m, hash)
	}
	for t := range tierNone {
		if t == tierFailing && healthy {
			break
		}
		if m := preferLocal(now, &local[t], &remote[t]); m != nil {
			return m, t == tierFailing
		}
	}
	return nil, false
}

// preferLocal picks the local candidate unless it is overloaded and a remote one
// has clearly less load.
func preferLocal(now time.Time, local, remote *topTwo) *member {
	bestLocal, bestRemote := local.leastLoaded(now), remote.leastLoaded(now)
	switch {
	case bestLocal == nil:
		return bestRemote
	case bestRemote == nil:
		return bestLocal
	}
	return lessLoaded(now, bestLocal, bestRemote)
}

// lessLoaded picks the local agent unless it is overloaded and the remote one has clearly
// less load.
func lessLoaded(now time.Time, local, remote *member) *member {
	if local.load(now) <= spillLoad || remote.load(now) > local.load(now)*spillRatio {
		return local
	}
	return remote
}
