package model

import (
	"cmp"
	"net/netip"
)

// NodeID identifies a process of the system: the name of its host slot, kept
// across restarts.
type NodeID string

// Role tells the kinds of nodes apart.
type Role uint8

// The roles of nodes.
const (
	RoleBalancer Role = iota + 1
	RoleAgent
)

// String returns the role's name in logs and output.
func (r Role) String() string {
	switch r {
	case RoleBalancer:
		return "balancer"
	case RoleAgent:
		return "agent"
	}
	return "unknown"
}

// MemberState is the liveness of a member as the system sees it.
type MemberState uint8

// The states of a member. Their order is the precedence of claims about one
// incarnation and revision: a later state wins.
const (
	// StateAlive is a member that serves.
	StateAlive MemberState = iota + 1
	// StateDraining is a member that keeps its flows but takes no new ones.
	StateDraining
	// StateSuspect is a member whose heartbeats are missing.
	StateSuspect
	// StateLeft is a member that left in a planned way.
	StateLeft
	// StateDead is a member whose lease lapsed.
	StateDead
)

var memberStateNames = map[MemberState]string{
	StateAlive: "alive", StateDraining: "draining", StateSuspect: "suspect",
	StateLeft: "left", StateDead: "dead",
}

// String returns the state's name in logs and output.
func (s MemberState) String() string {
	if name, ok := memberStateNames[s]; ok {
		return name
	}
	return "unknown"
}

// Member is the record of one node. A record is replaced only by one that
// supersedes it; see Supersedes.
type Member struct {
	Node NodeID
	Role Role
	// Incarnation is the start time of the process instance, in nanoseconds
	// since the Unix epoch. A higher one replaces any record of a lower one.
	Incarnation uint64
	// Revision counts the changes a member makes to its own record. Claims by
	// others keep the revision and raise only State.
	Revision uint64
	State    MemberState
	Domain   DomainName
	// DataAddr is the UDP address for encapsulated datagrams.
	DataAddr netip.AddrPort
	// ControlAddr is the TCP address for control sessions.
	ControlAddr netip.AddrPort
	// AdminAddr is the HTTP address of the admin page.
	AdminAddr netip.AddrPort
	// Service, Target, Slots and Connections describe the announced target
	// of an agent. Service is empty while nothing is announced.
	Service     ServiceName
	Target      TargetName
	Slots       int
	Connections int
}

// Supersedes reports whether m replaces held: by incarnation, then revision,
// then the precedence of states.
func (m *Member) Supersedes(held *Member) bool {
	return cmp.Or(
		cmp.Compare(m.Incarnation, held.Incarnation),
		cmp.Compare(m.Revision, held.Revision),
		cmp.Compare(m.State, held.State),
	) > 0
}

// Gone reports whether the member has left or is dead.
func (m *Member) Gone() bool {
	return m.State == StateLeft || m.State == StateDead
}
