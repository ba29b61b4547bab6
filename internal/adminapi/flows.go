package adminapi

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Flows lists the local flows of an agent.
type Flows struct {
	Node model.NodeID `json:"node"`
	// Local is the number of flows that are open at the agent's target.
	Local int `json:"held"`
	// DirectoryEntries is the number of flows for which the agent, as their
	// home, has a directory entry.
	DirectoryEntries int `json:"directory"`
	// Flows lists at most ParamLimit local flows, the oldest first.
	Flows     []Flow `json:"flows"`
	Truncated bool   `json:"truncated,omitempty"`
}

// Flow is one local flow of an agent.
type Flow struct {
	Caller      netip.AddrPort    `json:"caller"`
	Service     model.ServiceName `json:"service"`
	Established bool              `json:"established"`
	Since       time.Time         `json:"since"`
	// LastSeen is when the last datagram of the flow was received.
	LastSeen time.Time `json:"last_seen,omitzero"`
	// Home is the flow's home as the holder computes it.
	Home model.NodeID `json:"home,omitempty"`
}
