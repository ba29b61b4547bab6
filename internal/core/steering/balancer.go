package steering

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/overload"
)

// Identity is the identity of a node.
type Identity struct {
	Node   string
	Domain string
}

// BalancerIdentity identifies a balancer and holds its fixed parameters.
type BalancerIdentity struct {
	Identity
	// ApplyTimeout is the time in which a change by operators has to be in force.
	ApplyTimeout time.Duration
}

// BalancerCounters counts decisions since the start of the process.
type BalancerCounters struct {
	Opened, OpenStale, Queued, OpenExpired, Refused, Forwarded, Probed, Missed, Searched, Tried atomic.Uint64
	ResetNoRoute, ResetLost, SearchesAbandoned, CacheFull, RefusedOverload, OpeningsMoved       atomic.Uint64
	// Unrouted counts the flows without a route that waited for a read of the store.
	Unrouted atomic.Uint64
}

// Balancer decides to which agent the segments of callers go.
type Balancer struct {
	Counters BalancerCounters

	identity     BalancerIdentity
	config       configSection
	confirmation confirmationSection
	members      memberSection
	entries      map[Flow]*flowEntry
	demand       demandCounters
	silence      silenceSection
	unrouted     unroutedSection

	searches []Flow
	queues   [numQueueClasses][]Flow
	// queuedObjective is, for each class, the largest objective of the routes of flows
	// that were queued since the queue was last empty.
	queuedObjective [numQueueClasses]time.Duration
	backlogs        map[backlogKey]*overload.Backlog
	// requestTimes caches the median request time of each service's agents.
	requestTimes map[ServiceID]medianRequestTime
	lastSweep    time.Time
	lastRefresh  time.Time
	// refreshRequested is set while no read has ended since one was requested.
	refreshRequested bool
	suspensions      suspensionDetector
	effects          []Effect
}

// NewBalancer returns a balancer without configuration, members or flows.
func NewBalancer(identity BalancerIdentity) *Balancer {
	return &Balancer{
		identity: identity, confirmation: newConfirmationSection(identity),
		members: newMemberSection(), entries: make(map[Flow]*flowEntry), demand: make(demandCounters),
		backlogs: make(map[backlogKey]*overload.Backlog), requestTimes: make(map[ServiceID]medianRequestTime), unrouted: newUnroutedSection(),
	}
}

// Step handles an event. The effects are valid until the next step.
func (b *Balancer) Step(now time.Time, e Event) []Effect {
	b.effects = b.effects[:0]
	if suspended := b.suspensions.recordStep(now); suspended > 0 {
		b.report(suspensionReport(suspended))
		b.restartBacklogs(now)
	}
	switch e := e.(type) {
	case *SegmentReceived:
		b.handleSegment(now, e.Segment)
	case *MessageReceived:
		b.handleMessage(now, e.From, &e.Message)
	case *Tick:
		b.tick(now)
	case *ConfigurationLoaded:
		b.applyConfiguration(now, e)
	case *MembersLoaded:
		b.loadMembers(now, e)
	}
	return b.effects
}

func (b *Balancer) handleSegment(now time.Time, s Segment) {
	if !b.config.loaded {
		return
	}
	r := b.config.route(s.Flow.Address)
	switch {
	case r == nil:
		b.handleUnrouted(now, s)
	case s.IsOpening():
		b.openFlow(now, s, r)
	default:
		b.forwardSegment(now, s)
	}
}

func (b *Balancer) handleMessage(now time.Time, from netip.AddrPort, msg *Message) {
	m := b.members.byPeer[from]
	if m == nil {
		return
	}
	m.recordAlive(now)
	switch msg.Kind {
	case MessagePong:
		b.handlePong(now, m, msg.Status)
	case MessageRefused:
		b.handleRefused(now, m, msg)
	case MessageMissed:
		b.handleMissed(now, m, msg)
	case MessageHeld:
		b.handleHeld(now, m, msg.Flow)
	case MessageReply:
		b.handleReply(now, m, msg)
	case MessageOpen, MessageForward, MessageProbe, MessageTrial, MessageQuery, MessagePing:
		// Received only by agents.
	}
}

func (b *Balancer) tick(now time.Time) {
	b.refreshIfUnconfirmed(now)
	b.releaseHeldDomains(now)
	b.judgeSilentAgents(now)
	b.pingDueMembers(now)
	b.advanceSearches(now)
	b.offerQueued(now)
	b.tickUnrouted(now)
	b.removeGoneMembers(now)
	if now.Sub(b.lastSweep) > sweepInterval {
		b.sweep(now, entryLifetime)
	}
}

// UnreadyReason returns why the balancer can't serve, or "" if it can: it has the
// configuration, the list of agents, and the status of at least one agent unless the list is
// empty.
func (b *Balancer) UnreadyReason(now time.Time) string {
	switch {
	case !b.config.loaded:
		return "no configuration is in force"
	case !b.members.loaded:
		return "the list of agents was not read"
	case len(b.members.byPeer) == 0 || slices.ContainsFunc(b.members.all, func(m *member) bool { return m.isLive(now) }):
		return ""
	}
	return "no agent replies"
}

// Version returns the version of the configuration in force, 0 if none is.
func (b *Balancer) Version() int64 {
	if b.config.state.Configuration == nil {
		return 0
	}
	return b.config.state.Configuration.Version
}

// ApplyTimeout returns the time in which a change by operators has to be in force.
func (b *Balancer) ApplyTimeout() time.Duration { return b.identity.ApplyTimeout }

// ConfirmedAge returns how long ago the store confirmed the state in force to any
// balancer, and false if it never did.
func (b *Balancer) ConfirmedAge(now time.Time) (age time.Duration, confirmed bool) {
	return now.Sub(b.confirmation.knownAt), !b.confirmation.knownAt.IsZero()
}

func (b *Balancer) emit(e Effect) { b.effects = append(b.effects, e) }

func (b *Balancer) report(r Report) { b.emit(Effect{Kind: EffectReport, Report: r}) }

func (b *Balancer) send(m *member, msg Message) {
	b.emit(Effect{Kind: EffectSend, To: m.record.Peer, Message: msg})
}

func (b *Balancer) sendSegment(m *member, kind MessageKind, s Segment) {
	msg := Message{Kind: kind, Segment: s}
	if r := b.config.route(s.Flow.Address); r != nil {
		msg.Demand = r.Demand
	}
	b.send(m, msg)
}

// resetFlow resets a flow towards its caller.
func (b *Balancer) resetFlow(s Segment, reason string) {
	if s.Flags.Has(FlagReset) {
		return
	}
	b.emit(Effect{Kind: EffectReset, Flow: s.Flow, Seq: s.AckNumber()})
	b.report(Report{Text: "Flow is reset.", Flow: s.Flow, Why: reason, Version: b.Version()})
}
