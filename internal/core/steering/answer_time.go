package steering

import (
	"math"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/requestqueue"
)

const (
	// waitShare is the share of the remaining objective within which a queued flow must be
	// answered. The rest is for the spread of request times.
	waitShare = 0.5
	// objectiveStep is the ratio between two steps of an objective in messages: an agent
	// does not distinguish closer ones.
	objectiveStep = 1.2
	// failingOfferInterval is the time between offers to an agent that refuses flows as
	// failing, which let it test its target.
	failingOfferInterval = 200 * time.Millisecond
	// maxLoadedRefusals is the number of agents that may refuse an opening because it would
	// delay requests of lower priorities, before it is offered regardless of them.
	maxLoadedRefusals = 2
	// lowestPriority is that of requests that all others go before.
	lowestPriority = NumPriorities - 1
	// minTypicalAgents is the number of agents from which a median request time tells a
	// slow or failing target from the others.
	minTypicalAgents = 3
)

// reportsWait reports whether the agent's status tells how long a flow would wait. Agents
// of the previous version do not report it.
func (m *member) reportsWait() bool { return m.status.Concurrency > 0 }

// requestTime returns the mean time of a request at the agent's target.
func (m *member) requestTime() time.Duration {
	if m.status.RequestTime > 0 {
		return m.status.RequestTime
	}
	return defaultRequestTime
}

// recordOpening counts a flow that was offered to the agent since its last status.
// Requests without an objective never wait, so they are ahead of all others.
func (m *member) recordOpening(now time.Time, r *Route) {
	m.openedSince++
	priority := 0
	if r.hasObjective() {
		priority = r.priority()
	}
	for p := range m.estimatedAhead {
		m.estimatedAhead[p] = m.estimateAhead(now, p)
		if p >= priority {
			m.estimatedAhead[p]++
		}
	}
	m.estimatedAt = now
}

// estimateAhead estimates the requests that a new one of the priority waits for: the
// reported ones plus the flows opened since, less what the target has finished since. While
// requests wait, the target finishes them at its throughput, then in proportion to those
// that it executes: the throughput of all slots would make a half used target look idle
// long before the next report.
func (m *member) estimateAhead(now time.Time, priority int) float64 {
	n, concurrency := m.estimatedAhead[priority], float64(m.status.Concurrency)
	requestTimes := float64(now.Sub(m.estimatedAt)) / float64(m.requestTime())
	if waiting := n - concurrency; waiting > 0 {
		if finished := concurrency * requestTimes; finished <= waiting {
			return n - finished
		}
		n, requestTimes = concurrency, requestTimes-waiting/concurrency
	}
	return n * math.Exp(-requestTimes)
}

// ahead is estimateAhead in whole requests: only these free capacity.
func (m *member) ahead(now time.Time, priority int) int {
	return int(math.Ceil(m.estimateAhead(now, priority)))
}

// relativeLoad estimates the whole requests of all priorities for each that the target may
// execute at once. Equal ones leave the choice to the rank, by which other balancers guess
// the holder of a flow.
func (m *member) relativeLoad(now time.Time) float64 {
	return math.Round(m.estimateAhead(now, lowestPriority)) / float64(m.status.Concurrency)
}

// hasFreeSlot reports whether the target would execute a request of the priority at once.
func (m *member) hasFreeSlot(now time.Time, priority int) bool {
	return m.ahead(now, priority) < int(m.status.Concurrency)
}

// wait estimates how long a request of the priority waits for a slot.
func (m *member) wait(now time.Time, priority int) time.Duration {
	capacity := requestqueue.Capacity{Concurrency: int(m.status.Concurrency), RequestTime: m.status.RequestTime}
	return capacity.Wait(m.ahead(now, priority))
}

// answerTime estimates the time until the target could answer a request of the priority.
func (m *member) answerTime(now time.Time, priority int) time.Duration {
	return m.wait(now, priority) + m.requestTime()
}

// answersSooner reports whether the agent could answer a request of the lowest priority sooner
// than another. A request of a higher priority is placed by the same comparison: it goes first
// at either target, and should delay the least there. With no wait at either the load decides:
// the difference of the request times alone would send everything to the faster target.
func (m *member) answersSooner(now time.Time, other *member) bool {
	if !m.reportsWait() || !other.reportsWait() {
		return m.load(now) < other.load(now)
	}
	if m.wait(now, lowestPriority) == 0 && other.wait(now, lowestPriority) == 0 {
		return m.relativeLoad(now) < other.relativeLoad(now)
	}
	mine, others := m.answerTime(now, lowestPriority), other.answerTime(now, lowestPriority)
	return mine < others || mine == others && m.relativeLoad(now) < other.relativeLoad(now)
}

// soonest returns the candidate that could answer sooner, the higher ranked one if equal.
func (p *topTwo) soonest(now time.Time) *member {
	if p[1] != nil && p[1].answersSooner(now, p[0]) {
		return p[1]
	}
	return p[0]
}

// isFailing reports whether the agent refuses flows as failing.
func (m *member) isFailing() bool { return m.failing || m.status.Refusal == RefusedFailing }

// isHealthy reports whether the agent opens flows, now or once it has capacity. While one
// does, flows wait for it: at a target that fails its requests they would be lost.
func (b *Balancer) isHealthy(now time.Time, m *member) bool {
	if !m.isLive(now) || m.isFailing() || b.config.state.DomainsOut[m.record.Domain] {
		return false
	}
	return m.status.Refusal == NotRefused || m.status.Refusal == RefusedBusy || m.status.Refusal == RefusedCold
}

// tierWithObjective is tierOf for a flow with a priority and a remaining objective.
func (b *Balancer) tierWithObjective(now time.Time, m *member, class queueClass, remaining time.Duration) tier {
	if !m.isLive(now) || m.suspect || now.Before(m.avoidUntil) || b.config.state.DomainsOut[m.record.Domain] {
		return tierNone
	}
	switch m.status.Refusal {
	case NotRefused, RefusedBusy, RefusedCold, RefusedFailing:
	case RefusedNoTarget, RefusedDraining, RefusedDomainOut, RefusedOtherService, RefusedFull, RefusedSilent:
		return tierNone
	}
	priority, _ := class.priority()
	t := m.waitTier(now, class, priority, remaining)
	switch {
	case m.isFailing():
		return tierFailing
	case t == tierNone || float64(remaining) <= objectiveStep*float64(m.refusedObjective[priority]):
		return tierNone
	case m.status.Refusal == RefusedCold:
		return tierCold
	}
	return t
}

// waitTier returns tierOpen for an agent with a free slot, tierWait for one below the usual load,
// tierDelay for one at which the flow would go before requests of lower priorities, else
// tierNone. In each case the flow has to be answered well within its remaining objective.
func (m *member) waitTier(now time.Time, class queueClass, priority int, remaining time.Duration) tier {
	if !m.reportsWait() {
		if m.load(now) < m.maxLoad(class.flowClass()) {
			return tierOpen
		}
		return tierNone
	}
	inTime := m.hasFreeSlot(now, priority) || float64(m.answerTime(now, priority)) <= waitShare*float64(remaining)
	inFlight := m.ahead(now, lowestPriority)
	switch {
	case !inTime:
		return tierNone
	case m.loaded:
		return tierDelay
	case m.hasFreeSlot(now, lowestPriority):
		return tierOpen
	case inFlight < maxRequestsPerSlot*m.slots():
		return tierWait
	case m.ahead(now, priority) < inFlight:
		return tierDelay
	}
	return tierNone
}

// canTake reports whether the agent can take flows of a class of queued ones.
func (b *Balancer) canTake(now time.Time, m *member, class queueClass) bool {
	if _, ok := class.priority(); ok {
		return b.tierWithObjective(now, m, class, b.queuedObjective[class]) < tierFailing
	}
	return b.tierOf(now, m, class.flowClass()) != tierNone
}

// excludes reports whether an agent was offered the flow. One that refused it as failing
// may be offered it once more as the last resort.
func (e *flowEntry) excludes(m *member, t tier) bool {
	return e.wasOffered(m) && (t != tierFailing || e.lastResort)
}

// pickByTime picks the agent for a new flow of a route with an objective, nil if there is
// no candidate. Of the two highest ranked agents of a group it picks the one that could
// answer sooner. LastResort reports that only agents are left which refuse flows as
// failing.
func (b *Balancer) pickByTime(now time.Time, e *flowEntry, r *Route, service ServiceID, hash uint64) (picked *member, lastResort bool) {
	class, remaining := queueClassOf(r), e.remaining(now, r)
	e.mayDelay = e.loadedRefusals >= maxLoadedRefusals
	var local, remote [tierNone]topTwo
	var failing *member
	healthy := false
	for _, m := range b.members.byService[service] {
		t := b.tierWithObjective(now, m, class, remaining)
		healthy = healthy || b.isHealthy(now, m)
		if t == tierNone || e.excludes(m, t) {
			continue
		}
		if t == tierFailing && m.usesFastPing(now) && (failing == nil || score(m, hash) > score(failing, hash)) && now.Sub(m.offeredFailingAt) >= failingOfferInterval {
			failing = m
		}
		addRanked(&local[t], &remote[t], m, hash)
	}
	if failing != nil && !r.NonIdempotent && e.numOffered == 0 {
		failing.offeredFailingAt = now
		return failing, false
	}
	priority := r.priority()
	if m := preferLocalByTime(now, &local, &remote, priority, r.Demand.Objective); m != nil {
		e.mayDelay = e.mayDelay || m.waitTier(now, class, priority, remaining) == tierDelay
		return m, false
	}
	if m := preferLocal(now, &local[tierCold], &remote[tierCold]); m != nil || healthy {
		return m, false
	}
	m := preferLocal(now, &local[tierFailing], &remote[tierFailing])
	return m, m != nil
}

// preferLocalByTime picks the local candidate unless it has no free slot, or needs more
// than half of the objective, and a remote one could answer clearly sooner.
func preferLocalByTime(now time.Time, local, remote *[tierNone]topTwo, priority int, objective time.Duration) *member {
	bestLocal, bestRemote := soonestOfBestTier(now, local), soonestOfBestTier(now, remote)
	switch {
	case bestLocal == nil:
		return bestRemote
	case bestRemote == nil:
		return bestLocal
	case !bestLocal.reportsWait() || !bestRemote.reportsWait():
		return lessLoaded(now, bestLocal, bestRemote)
	}
	free := local[tierOpen][0] != nil
	ownTime := float64(bestLocal.answerTime(now, priority))
	if free && ownTime <= waitShare*float64(objective) || float64(bestRemote.answerTime(now, priority)) > spillRatio*ownTime {
		return bestLocal
	}
	return bestRemote
}

// soonestOfBestTier returns the soonest candidate of the first group that has one, of those with
// a warm target.
func soonestOfBestTier(now time.Time, groups *[tierNone]topTwo) *member {
	for t := tierOpen; t <= tierDelay; t++ {
		if m := groups[t].soonest(now); m != nil {
			return m
		}
	}
	return nil
}

// recordRefusal records why an agent refused a flow until its next status or the end of a
// backoff.
func (b *Balancer) recordRefusal(now time.Time, m *member, msg *Message) {
	f := msg.Segment.Flow
	r := b.config.route(f.Address)
	switch {
	case msg.Refusal == RefusedFailing:
		m.failing = true
	case msg.Refusal == RefusedLoaded:
		m.loaded = true
	case msg.Refusal != RefusedBusy:
		m.avoidUntil = now.Add(refusalBackoff)
	case !r.hasObjective():
		m.markFull(routeClass(r))
	default:
		remaining := r.Demand.Objective
		if e := b.entries[f]; e != nil && e.agent == m {
			remaining = e.remaining(e.sentAt, r)
		}
		m.markRefused(r.priority(), remaining)
	}
}

// markRefused records that the agent refused a flow as busy. It refuses less important
// ones too, unless they may wait for longer.
func (m *member) markRefused(priority int, remaining time.Duration) {
	for p := priority; p < NumPriorities; p++ {
		m.refusedObjective[p] = max(m.refusedObjective[p], remaining)
	}
}

// hasSlotForObjectives reports whether the agent has a free slot for all requests of a
// service with objectives, true without any.
func (b *Balancer) hasSlotForObjectives(now time.Time, m *member) bool {
	if !m.reportsWait() || !b.config.hasObjective(m.service) {
		return true
	}
	return !m.suspect && !m.isFailing() && m.hasFreeSlot(now, lowestPriority)
}

// medianRequestTime is the median request time of a service's agents at a time.
type medianRequestTime struct {
	at     time.Time
	median time.Duration
}

// typicalRequestTime returns the median request time of the service's live agents, 0 if
// too few report one. It is computed once per pingInterval, as each of hundreds of pings
// carries it.
func (b *Balancer) typicalRequestTime(now time.Time, service ServiceID) time.Duration {
	if cached, ok := b.requestTimes[service]; ok && now.Sub(cached.at) < pingInterval {
		return cached.median
	}
	var known []time.Duration
	for _, m := range b.members.byService[service] {
		if m.status.RequestTime > 0 && m.isLive(now) {
			known = append(known, m.status.RequestTime)
		}
	}
	result := medianRequestTime{at: now}
	if len(known) >= minTypicalAgents {
		slices.Sort(known)
		result.median = known[len(known)/2]
	}
	b.requestTimes[service] = result
	return result.median
}
