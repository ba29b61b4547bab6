package dissemination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// peer is the dissemination state of one session: what the peer holds and what
// is still to be sent to it.
type peer struct {
	node model.NodeID
	// configSent is the version that the peer holds complete once it has
	// received everything sent; versionKnown is set once the peer has reported
	// its version.
	configSent   uint64
	versionKnown bool
	// pendingRecords are the nodes whose records are still to be sent to the peer.
	pendingRecords map[model.NodeID]struct{}
	// configQueue and memberQueue hold the parts of replies to pulls, and
	// configQueue also changes that the peer lacks. One part of each queue is
	// sent at a tick.
	configQueue []sizedMessage
	memberQueue []sizedMessage
	nextDigest  time.Time
	// digestMismatches counts consecutive digests of the peer that differed.
	digestMismatches int
	// heartbeatsAhead counts an agent's consecutive heartbeats with a newer
	// version than this node's.
	heartbeatsAhead int
	// unneededSince is when the session stopped being needed, zero while needed.
	unneededSince time.Time
}

// peerList holds the peers with an open session.
type peerList struct {
	byNode map[model.NodeID]*peer
	// order contains the peers sorted by ID, so that the order of effects is
	// deterministic.
	order []*peer
}

func (l *peerList) add(p *peer) {
	l.remove(p.node)
	l.byNode[p.node] = p
	l.order = append(l.order, p)
	slices.SortFunc(l.order, func(a, b *peer) int { return cmp.Compare(a.node, b.node) })
}

func (l *peerList) remove(node model.NodeID) {
	delete(l.byNode, node)
	l.order = slices.DeleteFunc(l.order, func(p *peer) bool { return p.node == node })
}

type sizedMessage struct {
	message core.Message
	bytes   int
}

func newPeer(node model.NodeID, now time.Time) *peer {
	return &peer{node: node, pendingRecords: make(map[model.NodeID]struct{}), nextDigest: now}
}

// popPendingRecords removes and returns pending records for one message of at
// most limit bytes, but at least one record.
func (p *peer) popPendingRecords(members *core.MemberSection, limit int) ([]model.Member, int) {
	var out []model.Member
	bytes := messageOverhead
	for _, node := range slices.Sorted(maps.Keys(p.pendingRecords)) {
		m, known := members.Records[node]
		if known && len(out) > 0 && bytes+memberSize(&m) > limit {
			break
		}
		delete(p.pendingRecords, node)
		if known {
			out = append(out, m)
			bytes += memberSize(&m)
		}
	}
	return out, bytes
}

// queueConfig queues the objects newer than the version, in parts.
func (p *peer) queueConfig(t *core.Turn, since uint64, limit int) {
	board := t.Board
	session := board.Peers.Sessions[p.node]
	objects := missingObjects(board.Config.Current, &session, board.Members.Records[p.node].Domain, since)
	delta := core.Delta{Service: session.Service, Since: since, ConfigVersion: board.Config.Current.Version}
	p.configSent = delta.ConfigVersion
	p.configQueue = append(p.configQueue, splitDelta(delta, objects, limit)...)
}

// splitDelta splits a delta into messages.
func splitDelta(delta core.Delta, objects []model.Object, limit int) []sizedMessage {
	chunks := splitBySize(objects, limit, objectSize)
	if len(chunks) <= 1 {
		delta.Objects = objects
		return []sizedMessage{{delta, deltaSize(objects)}}
	}
	var messages []sizedMessage
	for i, chunk := range chunks {
		part := delta
		part.Part, part.Parts = uint32(i+1), uint32(len(chunks))
		part.Objects = chunk
		messages = append(messages, sizedMessage{part, deltaSize(chunk)})
	}
	return messages
}

func deltaSize(objects []model.Object) int {
	size := messageOverhead
	for i := range objects {
		size += objectSize(&objects[i])
	}
	return size
}
