package model

import (
	"cmp"
	"net/netip"
)

// NodeID identifies a process of the system by the name of its host slot, which
// is kept across restarts.
type NodeID string

// Role is the kind of a node.
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

// MemberState is the recorded liveness of a member.
type MemberState uint8

// The states of a member. Their order is the precedence between records of one
// incarnation and revision: a later state wins.
const (
	// StateAlive is a member in service.
	StateAlive MemberState = iota + 1
	// StateDraining is a member that keeps its flows but accepts no new ones.
	StateDraining
	// StateSuspect is a member whose heartbeats are missing.
	StateSuspect
	// StateLeft is a member that left by a planned stop.
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
	// Revision counts the changes that a member makes to its own record. Other
	// nodes keep the revision and only raise State.
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

// Supersedes reports whether m replaces other: by incarnation, then revision,
// then the precedence of states.
func (m *Member) Supersedes(other *Member) bool {
	return cmp.Or(
		cmp.Compare(m.Incarnation, other.Incarnation),
		cmp.Compare(m.Revision, other.Revision),
		cmp.Compare(m.State, other.State),
	) > 0
}

// Gone reports whether the member has left or is dead.
func (m *Member) Gone() bool {
	return m.State == StateLeft || m.State == StateDead
}
