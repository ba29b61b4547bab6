package steering

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthwheel.example/amaranthwheel/internal/revision"
)

const (
	// pingInterval is the interval of pings to an agent in use. A shorter one detects
	// dead agents sooner and costs messages.
	pingInterval = 500 * time.Millisecond
	// recoveryPingInterval is the interval of pings to an agent that has stopped
	// replying recently: after a loss of power, service begins with its first reply.
	recoveryPingInterval = 100 * time.Millisecond
	// recoveryPingDuration is how long recoveryPingInterval is used before pingInterval
	// applies again.
	recoveryPingDuration = 5 * time.Second
	// suspectAfter is the silence after which an agent gets no new flows: two pings and
	// the time of the reply on its way.
	suspectAfter = 1200 * time.Millisecond
	// removeAfter is the silence after which an agent that the store no longer lists is
	// removed. Live agents with lost records are listed again within 2 s.
	removeAfter = 5 * time.Second
	// refreshInterval is the minimum time between reads of the store that are triggered
	// by an agent's newer configuration revision.
	refreshInterval = 300 * time.Millisecond
)

// announcedRemotes is the number of agents of other failure domains to which a change is
// announced at once: enough that one is reached while links lose datagrams.
const announcedRemotes = 8

// MembersLoaded is the list of agents in the store.
type MembersLoaded struct {
	// Records are in the order in which they were written.
	Records []AgentRecord
	// Revision is that of the last change to the records.
	Revision revision.Revision
	// VerifiedRevision is the store revision up to which no later change to the records
	// exists.
	VerifiedRevision revision.Revision
}

func (*MembersLoaded) event() {}

// member is a balancer's state of one agent.
type member struct {
	record  AgentRecord
	service ServiceID
	seed    uint64
	local   bool
	listed  bool
	// removed is set when the agent was removed from the members, for the cache entries
	// that still refer to it.
	removed bool
	status  Status
	// knownSince is when the agent was first listed at this balancer.
	knownSince time.Time
	lastPing   time.Time
	lastPong   time.Time
	// unansweredSince is the time of the first ping since the last reply, zero if there
	// was none. remoteInterval is remotePingInterval for the number of members.
	unansweredSince time.Time
	remoteInterval  time.Duration
	// inFlight is the number of requests queued or executing at reportedAt; openedSince
	// counts the flows that were offered to the agent since.
	inFlight, openedSince int
	reportedAt            time.Time
	// estimatedAhead is the estimate at estimatedAt of the requests that a new one waits
	// for, for each priority, if the status tells.
	estimatedAhead [NumPriorities]float64
	estimatedAt    time.Time
	// refusedObjective is, for each priority, the largest remaining objective of a flow
	// that the agent refused as busy since its last status.
	refusedObjective [NumPriorities]time.Duration
	// loaded is set when the agent refused a flow as loaded, until its next status.
	loaded bool
	// failing is set when the agent refuses a flow as failing, and cleared by the next
	// status. offeredFailingAt is when it was last offered a flow despite of that to let it
	// test its target.
	failing          bool
	offeredFailingAt time.Time
	// fastPingSince and fastPingUntil bound the time in which an agent of another
	// failure domain is pinged as often as a local one.
	fastPingSince, fastPingUntil time.Time
	// full is set for a class of flows without an objective when the agent refuses one of
	// them as busy, and cleared by the next status: the agent sends one to balancers that it
	// has refused once it has capacity.
	full [numFlowClasses]bool
	// agentCount is the number of agents in the agent's latest reply to a query, as known
	// to any balancer that pings it. countQueriedAt is when it was last queried for that.
	agentCount     int
	countQueriedAt time.Time
	// aliveAt is the last time at which the agent is known to have been running.
	aliveAt time.Time
	// silentPingAt is when the agent was pinged because a copy of an opening arrived, zero
	// once it was heard; lastSilentPing is when that was last done.
	silentPingAt, lastSilentPing time.Time
	// silent is set when that ping is overdue, until the agent is heard. suspect is set
	// while the agent gets no new flows with an objective for that reason.
	silent, suspect bool
	// avoidUntil is the end of the backoff after a refusal.
	avoidUntil time.Time
}

// lastContact returns when the agent last replied, or when it became known.
func (m *member) lastContact() time.Time {
	if m.lastPong.After(m.knownSince) {
		return m.lastPong
	}
	return m.knownSince
}

// memberSection is the agents that a balancer knows.
type memberSection struct {
	loaded bool
	// loadedAt is when the list was first loaded.
	loadedAt time.Time
	// revision and verifiedRevision are those of MembersLoaded.
	revision, verifiedRevision revision.Revision
	byPeer                     map[netip.AddrPort]*member
	// all is sorted by node name.
	all       []*member
	byService map[ServiceID][]*member
	// announcedCount is the number of agents sent in pings.
	announcedCount int
}

func newMemberSection() memberSection {
	return memberSection{byPeer: make(map[netip.AddrPort]*member), byService: make(map[ServiceID][]*member)}
}

// loadMembers applies the store's list of agents. Agents that reply stay members
// even if the store has lost their records.
func (b *Balancer) loadMembers(now time.Time, e *MembersLoaded) {
	s := &b.members
	if !s.loaded {
		s.loaded, s.loadedAt = true, now
	}
	s.verifiedRevision = revision.Later(s.verifiedRevision, e.VerifiedRevision)
	if known := len(s.byPeer) > 0; known && !e.Revision.After(s.revision) {
		b.advanceSearches(now)
		return
	}
	s.revision = e.Revision
	for _, m := range s.all {
		m.listed = false
	}
	for _, r := range latestByPeer(e.Records) {
		b.upsertMember(now, r)
	}
	b.removeGoneMembers(now)
	s.rebuildIndex()
	b.announceChange(now)
	b.advanceSearches(now)
}

// latestByPeer returns the last record of each address, in their order. The record of a lost
// host lapses after its lease only, and another host may have got the address by then.
func latestByPeer(records []AgentRecord) []AgentRecord {
	last := make(map[netip.AddrPort]int, len(records))
	for i, r := range records {
		last[r.Peer] = i
	}
	var latest []AgentRecord
	for i, r := range records {
		if last[r.Peer] == i {
			latest = append(latest, r)
		}
	}
	return latest
}

func (b *Balancer) upsertMember(now time.Time, r AgentRecord) {
	m := b.members.byPeer[r.Peer]
	if m == nil || m.record.Node != r.Node {
		if m != nil {
			m.removed = true // another node has taken the address
			b.removeMemberFromSearches(m)
		}
		m = &member{knownSince: now}
		b.members.byPeer[r.Peer] = m
		b.report(Report{Text: "Agent is listed.", Node: r.Node, Why: r.Service})
		b.addMemberToSearches(m)
	}
	m.record = r
	m.listed = true
	m.local = r.Domain == b.identity.Domain
	m.seed = xxhash.Sum64String(r.Node)
	if m.status.Service == 0 {
		m.service = ServiceIDOf(r.Service)
	}
}

// removeGoneMembers removes agents that are neither listed nor replying.
func (b *Balancer) removeGoneMembers(now time.Time) {
	s := &b.members
	for _, m := range s.all {
		if !m.listed && !m.removed && now.Sub(m.lastContact()) > removeAfter {
			delete(s.byPeer, m.record.Peer)
			m.removed = true
			defer s.rebuildIndex()
			b.removeMemberFromSearches(m)
			b.report(Report{Text: "Agent is removed.", Node: m.record.Node, Age: now.Sub(m.lastContact())})
		}
	}
}

// Balancers returns the number of balancers in the agents' status, at least 1.
func (b *Balancer) Balancers() int {
	most := 1
	for _, m := range b.members.all {
		most = max(most, int(m.status.Balancers))
	}
	return most
}

// rebuildIndex sorts the members and groups them by service.
func (s *memberSection) rebuildIndex() {
	s.all = slices.SortedFunc(maps.Values(s.byPeer), func(x, y *member) int {
		return cmp.Compare(x.record.Node, y.record.Node)
	})
	clear(s.byService)
	interval := remotePingInterval(s.countRemote())
	for _, m := range s.all {
		m.remoteInterval = interval
		s.byService[m.service] = append(s.byService[m.service], m)
	}
}

// countRemote returns the number of agents of other failure domains.
func (s *memberSection) countRemote() int {
	n := 0
	for _, m := range s.all {
		if !m.local {
			n++
		}
	}
	return n
}

// countListedOrLive returns the number of agents that are listed or live.
func (s *memberSection) countListedOrLive(now time.Time) int {
	n := 0
	for _, m := range s.all {
		if m.listed || m.isLive(now) {
			n++
		}
	}
	return n
}

// announceChange pings agents immediately after a change of the list of agents or of the
// configuration. Agents of other failure domains hear of a configuration from their own
// balancers, or with the next regular ping; pings of all agents by all balancers at each
// change would cost most of the bytes between failure domains.
//
// Agents must receive the new list's revision before a new agent opens flows: see
// declareLostIfRuledOut. As a flow is declared lost only after all known agents have
// replied, it suffices that one that the other balancer knows has received it: the local
// agents, and some of other domains in case that all local ones are new.
func (b *Balancer) announceChange(now time.Time) {
	b.members.announcedCount = b.members.countListedOrLive(now)
	remote := 0
	for _, m := range b.members.all {
		known := !m.lastPing.IsZero()
		if known && !m.local && m.isLive(now) {
			remote++
		}
		if !known || m.local || m.isLive(now) && remote <= announcedRemotes {
			b.ping(now, m)
		}
	}
}

func (b *Balancer) ping(now time.Time, m *member) {
	m.lastPing = now
	if m.unansweredSince.IsZero() {
		m.unansweredSince = now
	}
	s := &b.members
	b.send(m, Message{
		Kind: MessagePing, Limits: b.config.limits(m, s.revision), ConfirmedAge: b.confirmation.age(now),
		Unlisted: !m.listed, ListSettled: s.loaded && now.Sub(s.loadedAt) >= memberListSettleTime,
		TypicalRequestTime: b.typicalRequestTime(now, m.service), Agents: uint16(min(s.announcedCount, 1<<16-1)),
	})
}

// pingDueMembers pings the agents whose ping interval has elapsed.
func (b *Balancer) pingDueMembers(now time.Time) {
	b.startRemoteFastPing(now)
	b.members.announcedCount = b.members.countListedOrLive(now)
	for _, m := range b.members.all {
		interval := m.currentPingInterval(now)
		if m.suspect && now.Sub(m.lastContact()) < recoveryPingDuration {
			interval = min(interval, recoveryPingInterval)
		}
		if now.Sub(m.lastPing) >= interval {
			b.ping(now, m)
		}
	}
}

// handlePong applies an agent's status.
func (b *Balancer) handlePong(now time.Time, m *member, s Status) {
	returned := !m.isLive(now)
	if returned {
		b.report(Report{Text: "Agent is reachable.", Node: m.record.Node, Why: s.Refusal.String(), Age: now.Sub(m.lastContact())})
	} else if m.status.Refusal != s.Refusal {
		b.report(Report{Text: "Agent's admission state changed.", Node: m.record.Node, Why: s.Refusal.String()})
	}
	m.status = s
	m.lastPong, m.unansweredSince = now, time.Time{}
	m.setLoad(now, int(s.InFlight))
	if s.Service != 0 && s.Service != m.service {
		m.service = s.Service
		b.members.rebuildIndex()
	}
	b.learnConfirmation(now, &m.status)
	if returned {
		b.queryMember(now, m)
	}
	b.offerQueuedTo(now, m)
}

// requestRefresh requests a read of the store.
func (b *Balancer) requestRefresh(now time.Time) {
	if now.Sub(b.lastRefresh) < refreshInterval {
		return
	}
	b.lastRefresh, b.refreshRequested = now, true
	b.emit(Effect{Kind: EffectRefresh})
}
