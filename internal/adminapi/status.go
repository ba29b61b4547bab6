package adminapi

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Role is a node's role in JSON: "balancer" or "agent".
type Role string

// The roles, spelled as by model.Role.String.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// State is a member's state in JSON, spelled as by model.MemberState.String:
// "alive", "draining", "suspect", "left" or "dead".
type State string

// The member states.
const (
	StateAlive    State = "alive"
	StateDraining State = "draining"
	StateSuspect  State = "suspect"
	StateLeft     State = "left"
	StateDead     State = "dead"
)

// IsUp reports whether a node in the state may still forward packets.
func (s State) IsUp() bool {
	return s == StateAlive || s == StateDraining || s == StateSuspect
}

// Status is the state of a node and the members that it knows.
type Status struct {
	Node model.NodeID `json:"node"`
	Role Role         `json:"role"`
	// Cluster is the name of the cluster in the node's settings.
	Cluster string `json:"cluster"`
	// Incarnation is the start time of the process in nanoseconds since the
	// Unix epoch, a string in JSON because it exceeds the exact range of many
	// JSON readers.
	Incarnation   uint64           `json:"incarnation,string"`
	Domain        model.DomainName `json:"domain"`
	ConfigVersion uint64           `json:"config_version"`
	// DomainOut reports whether operators have taken the node's failure domain
	// out of service.
	DomainOut bool `json:"out"`
	// Stopping reports whether a graceful shutdown is in progress.
	Stopping bool      `json:"stopping"`
	Started  time.Time `json:"started"`
	// Peers is the number of open control sessions.
	Peers int `json:"peers"`
	// Members lists the known members that ParamMembers selects, sorted by
	// name. It may include members that have left or died.
	Members          []Member `json:"members"`
	MembersTotal     int      `json:"members_total"`
	MembersTruncated bool     `json:"members_truncated,omitempty"`
	// Watched lists the agents whose heartbeats this balancer acknowledges. It
	// is never filtered.
	Watched []WatchedAgent `json:"watched,omitempty"`
	// Load is set by agents.
	Load *Load `json:"load,omitempty"`
	// Requests is set by agents.
	Requests *Requests `json:"requests,omitempty"`
	// Store is set by balancers.
	Store *StoreStatus `json:"store,omitempty"`
}

// Member is the record of one member at the node that reports it.
type Member struct {
	Node        model.NodeID     `json:"node"`
	Role        Role             `json:"role"`
	State       State            `json:"state"`
	Incarnation uint64           `json:"incarnation,string"`
	Revision    uint64           `json:"revision"`
	Domain      model.DomainName `json:"domain"`
	Data        netip.AddrPort   `json:"data"`
	Control     netip.AddrPort   `json:"control"`
	Admin       netip.AddrPort   `json:"admin"`
	// Service, Target, Slots and Connections describe the target that an agent
	// announces.
	Service     model.ServiceName `json:"service,omitempty"`
	Target      model.TargetName  `json:"target,omitempty"`
	Slots       int               `json:"slots,omitempty"`
	Connections int               `json:"connections,omitempty"`
	// ConfigVersion is the newest configuration version that the member is
	// known to have; zero means unknown.
	ConfigVersion uint64 `json:"config_version,omitempty"`
}

// WatchedAgent is an agent whose heartbeats a balancer acknowledges.
type WatchedAgent struct {
	Node        model.NodeID `json:"node"`
	Incarnation uint64       `json:"incarnation,string"`
	State       State        `json:"state"`
	// ConfigVersion is the version in the agent's last heartbeat.
	ConfigVersion uint64    `json:"config_version"`
	LastHeartbeat time.Time `json:"last_heartbeat"`
}

// Load is the load of an agent's target.
type Load struct {
	// Limit is the current limit of concurrent requests; it is below Slots
	// while the target is cold.
	Limit    int  `json:"limit"`
	Slots    int  `json:"slots"`
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Cold     bool `json:"cold"`
}

// Requests counts an agent's requests by outcome since its start.
type Requests struct {
	Admitted       uint64 `json:"admitted"`
	Completed      uint64 `json:"finished"`
	RefusedNotRun  uint64 `json:"refused_not_run"`
	OutcomeUnknown uint64 `json:"outcome_unknown"`
	HandedOver     uint64 `json:"handed_over"`
}

// StoreStatus is the state of a balancer's connection to the store.
type StoreStatus struct {
	Reachable bool      `json:"reachable"`
	LastRead  time.Time `json:"last_read,omitzero"`
	Error     string    `json:"error,omitempty"`
}

// NewMember converts a member record. The version is the newest one that the
// member is known to have, zero if unknown.
func NewMember(m *model.Member, configVersion uint64) Member {
	return Member{
		Node:          m.Node,
		Role:          Role(m.Role.String()),
		State:         State(m.State.String()),
		Incarnation:   m.Incarnation,
		Revision:      m.Revision,
		Domain:        m.Domain,
		Data:          m.DataAddr,
		Control:       m.ControlAddr,
		Admin:         m.AdminAddr,
		Service:       m.Service,
		Target:        m.Target,
		Slots:         m.Slots,
		Connections:   m.Connections,
		ConfigVersion: configVersion,
	}
}
