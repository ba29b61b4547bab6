package adminapi

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Flows is what an agent says of the flows it holds.
type Flows struct {
	Node model.NodeID `json:"node"`
	// Held is the number of flows that the agent holds.
	Held int `json:"held"`
	// Directory is the number of flows whose home the agent is.
	Directory int `json:"directory"`
	// Flows lists held flows, at most ParamLimit of them, oldest first.
	Flows     []Flow `json:"flows"`
	Truncated bool   `json:"truncated,omitempty"`
}

// Flow is one held flow.
type Flow struct {
	Caller      netip.AddrPort    `json:"caller"`
	Service     model.ServiceName `json:"service"`
	Established bool              `json:"established"`
	Since       time.Time         `json:"since"`
	// LastSeen is when a datagram of the flow last arrived.
	LastSeen time.Time `json:"last_seen,omitzero"`
	// Home is the agent that the holder believes to be the flow's home.
	Home model.NodeID `json:"home,omitempty"`
}
