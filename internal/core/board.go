package core

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Board is the blackboard of one node. Each section has a single writer, which
// its comment names.
type Board struct {
	Self          SelfSection
	Config        ConfigSection
	Members       MemberSection
	Peers         PeerSection
	Lease         LeaseSection
	Routes        RouteSection
	Flows         FlowSection
	Load          LoadSection
	Requests      RequestSection
	Claims        ClaimSection
	KeyedRequests KeyedRequestSection
}

// NewBoard returns the board of a node that has just started.
func NewBoard(self model.Member) *Board {
	return &Board{
		Self:    SelfSection{Member: self},
		Config:  ConfigSection{Current: model.NewConfig()},
		Members: MemberSection{Records: make(map[model.NodeID]model.Member)},
		Peers:   PeerSection{Sessions: make(map[model.NodeID]Session)},
		Routes:  RouteSection{Views: make(map[model.ServiceID]*View)},
		Claims:  ClaimSection{Claims: make(map[RequestID]Claim)},
	}
}

// SelfSection is the node's own record and its stop state. Writer: lifecycle
// controller (package lifecycle).
type SelfSection struct {
	Member model.Member
	// Subscription is the service whose objects and members an agent follows:
	// the one that its target announced last, accepted or not.
	Subscription model.ServiceName
	// TargetAccepted reports that a target has announced itself and was accepted.
	TargetAccepted bool
	// Stopping is set by a planned stop: no new work, in-flight work finishes.
	Stopping bool
	// DomainOut reports that operators have taken this node's failure domain out
	// of service.
	DomainOut bool
}

// AcceptsNewWork reports whether the node may admit flows and requests.
func (s *SelfSection) AcceptsNewWork() bool {
	return s.TargetAccepted && !s.Stopping && !s.DomainOut && s.Member.State == model.StateAlive
}

// ConfigSection is the configuration in force. Writer: configuration
// controller (package configuration).
type ConfigSection struct {
	// Current is replaced, never modified, so that readers may retain it.
	Current *model.Config
	// Generation increases with every change to Current.
	Generation uint64
	// Subscription is the service for which Current is complete on an agent.
	Subscription model.ServiceName
	// StoreReader reports that this node watches the store.
	StoreReader bool
}

// CompleteVersion returns the version up to which the node has every object of
// the subscription, 0 while a new subscription is being loaded. Current.Version
// never decreases.
func (c *ConfigSection) CompleteVersion(subscription model.ServiceName) uint64 {
	if c.Subscription != subscription {
		return 0
	}
	return c.Current.Version
}

// MemberSection holds the known members. Those that are gone stay until their
// records expire. Writer: membership controller (package membership), through
// Put and Remove.
type MemberSection struct {
	Records map[model.NodeID]model.Member
	// Generation increases with every change to Records.
	Generation uint64
	// BalancerGeneration increases with every change to a balancer's record.
	BalancerGeneration uint64
	// Summary hashes Records for anti-entropy.
	Summary MemberSummary
	// Changes lists the records changed in the current step, for controllers
	// that run after membership.
	Changes []MemberChange
	// Outdated lists, for the current step, received records that are older
	// than the current one, with their sender.
	Outdated []MemberChange
	// WithoutHeartbeat lists the nodes that this balancer watches but that have
	// not sent it a heartbeat for some time: they may not know it yet.
	WithoutHeartbeat []model.NodeID
	// log lists the records changed in the latest generations.
	log memberLog
}

// Session is an open control session with a peer.
type Session struct {
	Peer model.NodeID
	Role model.Role
	// Service is the subscription of an agent, empty for balancers.
	Service model.ServiceName
	// ConfigVersion is the newest version that the peer is known to have.
	ConfigVersion uint64
	OpenedAt      time.Time
}

// PeerSection holds the open control sessions. Writer: dissemination controller
// (package dissemination).
type PeerSection struct {
	Sessions map[model.NodeID]Session
}

// LeaseSection is an agent's right to act as a home and admit work. Writer:
// membership controller (package membership).
type LeaseSection struct {
	// ValidUntil is when the lease lapses unless a watcher acknowledges a
	// heartbeat first.
	ValidUntil time.Time
}

// Valid reports whether the lease is valid at the given time.
func (l *LeaseSection) Valid(now time.Time) bool {
	return now.Before(l.ValidUntil)
}

// Candidate is a member as the placement of one service sees it.
type Candidate struct {
	Member model.Member
	// Seed is the hash of the node's name. It is combined with a flow's hash to
	// compute the rendezvous score.
	Seed uint64
	// AcceptsNewFlows reports whether the member may be offered new flows.
	AcceptsNewFlows bool
}

// View lists the candidates of one service. It is immutable once published.
type View struct {
	Service model.ServiceName
	Mode    model.Mode
	// Address is where callers send datagrams.
	Address netip.AddrPort
	// Digest is equal on nodes with the same candidates and incarnations.
	Digest     uint64
	Candidates []Candidate
	// ChangedAt is when this node last saw the digest change.
	ChangedAt time.Time
}

// RouteSection holds the views by service. Writer: routing controller (package
// routing).
type RouteSection struct {
	Views map[model.ServiceID]*View
	// Generation increases with every change to Views.
	Generation uint64
}

// FlowSection counts the flows of an agent. Writer: directory controller
// (package directory), which owns the flow tables.
type FlowSection struct {
	// Local is the number of flows that are open at this agent's target.
	Local int
	// DirectoryEntries is the number of flows whose home this agent is.
	DirectoryEntries int
}

// LoadSection is the load of an agent's target. Writer: admission controller
// (package admission).
type LoadSection struct {
	// Limit is the current limit of concurrent requests, at most the target's
	// slots.
	Limit    int
	InFlight int
	Queued   int
	// Cold reports that the limit is below the target's slots.
	Cold bool
}

// RequestSection counts requests by outcome. Writer: admission controller
// (package admission).
type RequestSection struct {
	Admitted, Completed, RefusedNotRun, OutcomeUnknown, HandedOver uint64
}
