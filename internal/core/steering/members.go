package steering

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pingInterval is how often a balancer asks an agent that it uses for its
	// status. A shorter one finds dead agents sooner and costs messages.
	pingInterval = 500 * time.Millisecond
	// seekInterval is how often an agent is asked that has not answered lately:
	// after a loss of power, service begins with its first answer.
	seekInterval = 100 * time.Millisecond
	// seekTime is how long an agent is sought before it is asked at
	// pingInterval again.
	seekTime = 5 * time.Second
	// suspectAfter is the silence after which an agent gets no new flows: two
	// pings and the answer's way.
	suspectAfter = 1200 * time.Millisecond
	// goneAfter is the silence after which an agent that the store no longer
	// lists is forgotten. Live agents are back in the list within 2 s.
	goneAfter = 5 * time.Second
	// refreshInterval bounds how often a balancer reads the store because an
	// agent has heard of a newer configuration.
	refreshInterval = 300 * time.Millisecond
)

// MembersLoaded is the agents that the store lists.
type MembersLoaded struct {
	Records []AgentRecord
	// Revision is that of the last change to the records.
	Revision uint64
	// VerifiedRevision is the revision of the store up to which there is no other.
	VerifiedRevision uint64
}

func (*MembersLoaded) event() {}

// member is an agent as one balancer knows it.
type member struct {
	record  AgentRecord
	service ServiceID
	seed    uint64
	local   bool
	listed  bool
	status  Status
	// known is when the member was first seen here.
	known    time.Time
	lastPing time.Time
	lastPong time.Time
	// work is the requests waiting or in work at loadAt, opened counts the flows
	// that were sent to the agent since.
	work, opened int
	loadAt       time.Time
	// wantedSince and wantedUntil bound the time in which an agent of another
	// failure domain is wanted.
	wantedSince, wantedUntil time.Time
	// full is set for a class of which the agent has refused a flow, as its target has
	// all the work that it can queue, until it says how much there is: it invites whom
	// it has refused.
	full [numFlowClasses]bool
	// avoidUntil is set by a refusal.
	avoidUntil time.Time
}

// live reports whether the agent has answered lately.
func (m *member) live(now time.Time) bool {
	return !m.lastPong.IsZero() && now.Sub(m.lastPong) < m.patience(now)
}

// lastHeard returns when the agent answered last, or when it became known.
func (m *member) lastHeard() time.Time {
	if m.lastPong.After(m.known) {
		return m.lastPong
	}
	return m.known
}

// memberSection is the agents that a balancer knows.
type memberSection struct {
	loaded bool
	// loadedAt is when the list was known first.
	loadedAt time.Time
	// revision and verified are as in MembersLoaded.
	revision, verified uint64
	byPeer             map[netip.AddrPort]*member
	// all is the members in the order of their names.
	all       []*member
	byService map[ServiceID][]*member
	// counted is the last count, as it is told to agents.
	counted int
}

func newMemberSection() memberSection {
	return memberSection{byPeer: make(map[netip.AddrPort]*member), byService: make(map[ServiceID][]*member)}
}

// loadMembers takes the agents that the store lists. Agents that answer stay
// members even if the store has lost them.
func (b *Balancer) loadMembers(now time.Time, e *MembersLoaded) {
	s := &b.members
	if !s.loaded {
		s.loaded, s.loadedAt = true, now
	}
	s.verified = max(s.verified, e.VerifiedRevision)
	if known := len(s.byPeer) > 0; known && e.Revision <= s.revision {
		b.reviewSearches(now)
		return
	}
	s.revision = e.Revision
	for _, m := range s.all {
		m.listed = false
	}
	for _, r := range e.Records {
		b.putMember(now, r)
	}
	b.forgetMembers(now)
	s.index()
	// Agents have to hear of the new list before a new agent opens flows: see
	// declareLost.
	b.pingAll(now)
	b.reviewSearches(now)
}

func (b *Balancer) putMember(now time.Time, r AgentRecord) {
	m := b.members.byPeer[r.Peer]
	if m == nil || m.record.Node != r.Node {
		m = &member{known: now}
		b.members.byPeer[r.Peer] = m
		b.report(Report{Text: "Agent is listed.", Node: r.Node, Why: r.Service})
		b.addToSearches(m)
	}
	m.record = r
	m.listed = true
	m.local = r.Domain == b.self.Domain
	m.seed = xxhash.Sum64String(r.Node)
	if m.status.Service == 0 {
		m.service = ServiceIDOf(r.Service)
	}
}

// forgetMembers drops the agents that neither the store lists nor answer.
func (b *Balancer) forgetMembers(now time.Time) {
	s := &b.members
	for _, m := range s.all {
		if !m.listed && now.Sub(m.lastHeard()) > goneAfter {
			delete(s.byPeer, m.record.Peer)
			defer s.index()
			b.skipMember(m)
			b.report(Report{Text: "Agent is forgotten.", Node: m.record.Node, Age: now.Sub(m.lastHeard())})
		}
	}
}

// Balancers returns the number of balancers that agents know of, at least 1.
func (b *Balancer) Balancers() int {
	most := 1
	for _, m := range b.members.all {
		most = max(most, int(m.status.Balancers))
	}
	return most
}

// index rebuilds the members by service.
func (s *memberSection) index() {
	s.all = slices.SortedFunc(maps.Values(s.byPeer), func(x, y *member) int {
		return cmp.Compare(x.record.Node, y.record.Node)
	})
	clear(s.byService)
	for _, m := range s.all {
		s.byService[m.service] = append(s.byService[m.service], m)
	}
}

// count returns the number of agents that are listed or answer.
func (s *memberSection) count(now time.Time) int {
	n := 0
	for _, m := range s.all {
		if m.listed || m.live(now) {
			n++
		}
	}
	return n
}

// pingAll asks every agent for its status now.
func (b *Balancer) pingAll(now time.Time) {
	b.members.counted = b.members.count(now)
	for _, m := range b.members.all {
		b.ping(now, m)
	}
}

func (b *Balancer) ping(now time.Time, m *member) {
	m.lastPing = now
	s := &b.members
	b.send(m, Message{
		Kind: MessagePing, Limits: b.config.limits(m, s.revision),
		Unlisted: !m.listed, ListSettled: s.loaded && now.Sub(s.loadedAt) >= informedAfter, Agents: uint16(min(s.counted, 1<<16-1)),
	})
}

// pingEvery returns how often the agent is asked now.
func (m *member) pingEvery(now time.Time) time.Duration {
	switch {
	case !m.wanted(now):
		return farPingInterval
	case !m.live(now) && now.Sub(m.lastHeard()) < seekTime:
		return seekInterval
	}
	return pingInterval
}

// pingDue asks the agents whose last ping is old enough.
func (b *Balancer) pingDue(now time.Time) {
	b.wantFar(now)
	b.members.counted = b.members.count(now)
	for _, m := range b.members.all {
		if now.Sub(m.lastPing) >= m.pingEvery(now) {
			b.ping(now, m)
		}
	}
}

// handlePong takes an agent's status.
func (b *Balancer) handlePong(now time.Time, m *member, s Status) {
	returned := !m.live(now)
	if returned {
		b.report(Report{Text: "Agent answers.", Node: m.record.Node, Why: s.Refusal.String(), Age: now.Sub(m.lastHeard())})
	} else if m.status.Refusal != s.Refusal {
		b.report(Report{Text: "Agent changed.", Node: m.record.Node, Why: s.Refusal.String()})
	}
	m.status = s
	m.lastPong = now
	m.noteWork(now, int(s.InFlight))
	if s.Service != 0 && s.Service != m.service {
		m.service = s.Service
		b.members.index()
	}
	if s.Revision > b.config.state.VerifiedRevision {
		b.refresh(now)
	}
	if returned {
		b.askMember(now, m)
	}
	b.placeAt(now, m)
}

// refresh asks for a read of the store.
func (b *Balancer) refresh(now time.Time) {
	if now.Sub(b.lastRefresh) < refreshInterval {
		return
	}
	b.lastRefresh = now
	b.emit(Effect{Kind: EffectRefresh})
}
