package directory

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// localFlow is the state of a flow whose holder is this agent.
type localFlow struct {
	since       time.Time
	lastSeen    time.Time
	established bool
	// home and homeIncarnation identify the home of the last registration.
	home               model.NodeID
	homeIncarnation    uint64
	confirmed          bool      // the home has confirmed the registration
	registrationSentAt time.Time // when the registration was last sent
}

// phase is the placement state of an entry.
type phase uint8

const (
	phaseProbing phase = iota + 1
	phaseOffering
	// phaseYielded forwards datagrams to another home that is placing the flow.
	phaseYielded
	phasePlaced
)

// entry is the directory entry that this agent, as home, keeps for a flow with
// another holder or none yet.
type entry struct {
	phase     phase
	expiresAt time.Time

	// holder is set in phasePlaced, and is the other home in phaseYielded.
	holder            model.NodeID
	holderIncarnation uint64
	since             time.Time
	established       bool

	// pending queues datagrams until the flow is placed; hasOpening reports
	// whether one of them may open the flow.
	pending    [][]byte
	hasOpening bool

	// awaitingReply are the candidates whose probe replies are outstanding.
	// candidatesProbed counts the candidates probed, emptyReplies those of them
	// that knew no holder.
	awaitingReply                  map[model.NodeID]netip.AddrPort
	candidatesProbed, emptyReplies int
	// remaining are the candidates that have not been offered the flow yet.
	remaining []candidateAddr
	offeredTo candidateAddr
	epoch     uint64
	attempts  int
	retryAt   time.Time
}

// candidateAddr is the name and the data address of a candidate.
type candidateAddr struct {
	node model.NodeID
	addr netip.AddrPort
}

// peerLoad is the latest load report of another agent.
type peerLoad struct {
	flows, capacity int
	reportedAt      time.Time
	// unresponsiveUntil excludes a candidate that did not reply to offers.
	unresponsiveUntil time.Time
}

// utilization returns the used share of the agent's connection limit, in [0, 1].
func (l peerLoad) utilization() float64 {
	if l.flows+l.capacity == 0 {
		return 0
	}
	return float64(l.flows) / float64(l.flows+l.capacity)
}

// provisionalPeer is the sender of an authenticated message that has no live
// member record here. It gets replies until its record arrives.
type provisionalPeer struct {
	member    model.Member
	expiresAt time.Time
}
