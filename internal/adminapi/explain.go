package adminapi

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Explanation is one node's account of where a flow is placed and why. A
// balancer sets Route; an agent sets Directory if it is the flow's home and has
// an entry, and LocalFlow if it is the flow's holder.
type Explanation struct {
	Node          model.NodeID      `json:"node"`
	Role          Role              `json:"role"`
	ConfigVersion uint64            `json:"config_version"`
	Service       model.ServiceName `json:"service"`
	Caller        netip.AddrPort    `json:"caller"`
	Route         *Route            `json:"route,omitempty"`
	Directory     *DirectoryEntry   `json:"directory,omitempty"`
	LocalFlow     *Flow             `json:"held,omitempty"`
}

// Route is a balancer's placement of a flow.
type Route struct {
	// Home is the agent that the flow's datagrams are sent to first; empty
	// when there is no candidate.
	Home model.NodeID `json:"home"`
	// Digest is a hexadecimal digest of the candidates, equal on nodes that
	// have the same candidates.
	Digest string `json:"digest"`
	// ChangedAt is when the candidates last changed at the balancer.
	ChangedAt time.Time `json:"changed"`
	// Candidates lists at most MaxCandidates members by rank, the home first.
	// Members that are not candidates follow without a rank.
	Candidates      []Candidate `json:"candidates"`
	CandidatesTotal int         `json:"candidates_total"`
}

// Candidate is one member that may serve the flow, or that is excluded for the
// given reason.
type Candidate struct {
	Rank   int              `json:"rank"`
	Node   model.NodeID     `json:"node"`
	Target model.TargetName `json:"target"`
	Domain model.DomainName `json:"domain"`
	Admin  netip.AddrPort   `json:"admin"`
	State  State            `json:"state"`
	// Score orders the candidates: the highest is the home. It is a string in
	// JSON because it exceeds the exact range of many JSON readers.
	Score uint64 `json:"score,string"`
	// AcceptsNewFlows reports whether new flows may be offered to the candidate.
	AcceptsNewFlows bool `json:"admits"`
	// Reason explains in one sentence the rank or the exclusion of the
	// candidate, such as "domain om-north-b is out".
	Reason string `json:"reason"`
}

// DirectoryEntry is the record of a flow's holder at the flow's home.
type DirectoryEntry struct {
	Holder            model.NodeID   `json:"holder"`
	HolderIncarnation uint64         `json:"holder_incarnation,string"`
	HolderAdmin       netip.AddrPort `json:"holder_admin"`
	Since             time.Time      `json:"since"`
	Established       bool           `json:"established"`
}
