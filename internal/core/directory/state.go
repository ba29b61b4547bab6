package directory

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// heldFlow is a flow that this agent holds.
type heldFlow struct {
	since       time.Time
	lastSeen    time.Time
	established bool
	// home and homeIncarnation identify the home that was told last.
	home            model.NodeID
	homeIncarnation uint64
	confirmed       bool      // the home has confirmed the registration
	sent            time.Time // when the registration was last sent
}

// phase is how far the placement of an entry has come.
type phase uint8

const (
	phaseProbing phase = iota + 1
	phaseOffering
	// phaseYielded sends datagrams to another home that is placing the flow.
	phaseYielded
	phaseHeld
)

// entry is what this agent knows as the home of a flow it does not hold.
type entry struct {
	phase   phase
	expires time.Time

	// holder is set in phaseHeld, and is the other home in phaseYielded.
	holder      model.NodeID
	incarnation uint64
	since       time.Time
	established bool

	// pending are the datagrams that wait for the placement; opens reports
	// whether one of them may start the flow.
	pending [][]byte
	opens   bool

	// awaiting are the candidates whose probe replies are missing; probed and
	// answered count the candidates asked and those that knew no holder.
	awaiting         map[model.NodeID]netip.AddrPort
	probed, answered int
	// choices are the candidates still to be offered the flow.
	choices  []target
	offered  target
	epoch    uint64
	attempts int
	retryAt  time.Time
}

// target is a candidate's name and data address.
type target struct {
	node model.NodeID
	data netip.AddrPort
}

// peerLoad is the load that another agent reported last.
type peerLoad struct {
	flows, capacity int
	at              time.Time
	// silentUntil skips a candidate that left offers unanswered.
	silentUntil time.Time
}

// ratio returns the share of what the agent bears that is in use, in [0, 1].
func (l peerLoad) ratio() float64 {
	if l.flows+l.capacity == 0 {
		return 0
	}
	return float64(l.flows) / float64(l.flows+l.capacity)
}

// stranger is the sender of an authenticated message that the members do not
// vouch for yet. It is answered until its own record arrives.
type stranger struct {
	member model.Member
	until  time.Time
}
