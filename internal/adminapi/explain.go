package adminapi

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Explanation says why a flow is where it is, as one node sees it. A balancer
// sets Route; an agent sets Directory if it is the flow's home and has an
// entry, and Held if it holds the flow.
type Explanation struct {
	Node          model.NodeID      `json:"node"`
	Role          Role              `json:"role"`
	ConfigVersion uint64            `json:"config_version"`
	Service       model.ServiceName `json:"service"`
	Caller        netip.AddrPort    `json:"caller"`
	Route         *Route            `json:"route,omitempty"`
	Directory     *DirectoryEntry   `json:"directory,omitempty"`
	Held          *Flow             `json:"held,omitempty"`
}

// Route is a balancer's placement of a flow.
type Route struct {
	// Home is the agent that the flow's datagrams are sent to first; empty
	// when there is no candidate.
	Home model.NodeID `json:"home"`
	// Digest is equal on nodes whose candidates agree, in hexadecimal.
	Digest string `json:"digest"`
	// Changed is when the balancer last saw the candidates change.
	Changed time.Time `json:"changed"`
	// Candidates are ranked, the home first, at most MaxCandidates of them.
	Candidates      []Candidate `json:"candidates"`
	CandidatesTotal int         `json:"candidates_total"`
}

// Candidate is one member that may serve the flow, or a reason why not.
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
	// Admits reports whether the candidate may be offered new flows.
	Admits bool `json:"admits"`
	// Reason says why the candidate has its place, in one sentence, such as
	// "domain om-north-b is out".
	Reason string `json:"reason"`
}

// DirectoryEntry is what a flow's home knows of its holder.
type DirectoryEntry struct {
	Holder            model.NodeID   `json:"holder"`
	HolderIncarnation uint64         `json:"holder_incarnation,string"`
	HolderAdmin       netip.AddrPort `json:"holder_admin"`
	Since             time.Time      `json:"since"`
	Established       bool           `json:"established"`
}
