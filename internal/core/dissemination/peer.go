package dissemination

import (
	"maps"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// peer is what one session has been sent and still waits for.
type peer struct {
	node model.NodeID
	// configSent is the version that the peer holds complete once it has
	// received everything sent; known is set when the peer has told its own.
	configSent uint64
	known      bool
	// pending is the nodes whose records the peer has not been sent.
	pending map[model.NodeID]struct{}
	// configAnswers and memberAnswers are the parts of answers to pulls, sent
	// one a tick.
	configAnswers []sizedMessage
	memberAnswers []sizedMessage
	// nextDigest is when the next digest is due.
	nextDigest time.Time
	// mismatches counts digests of the peer in a row that differed.
	mismatches int
	// ahead counts an agent's heartbeats in a row with a newer version.
	ahead int
	// unneededSince is when the session stopped being needed, zero while it is.
	unneededSince time.Time
}

type sizedMessage struct {
	message core.Message
	bytes   int
}

func newPeer(node model.NodeID, now time.Time) *peer {
	return &peer{node: node, pending: make(map[model.NodeID]struct{}), nextDigest: now}
}

// takePending removes and returns records for one message of at most limit
// bytes.
func (p *peer) takePending(members *core.MemberSection, limit int) ([]model.Member, int) {
	var out []model.Member
	bytes := messageOverhead
	for _, node := range slices.Sorted(maps.Keys(p.pending)) {
		m, known := members.Records[node]
		if known && len(out) > 0 && bytes+memberSize(&m) > limit {
			break
		}
		delete(p.pending, node)
		if known {
			out = append(out, m)
			bytes += memberSize(&m)
		}
	}
	return out, bytes
}

// answerConfig queues the objects after the version, in parts.
func (p *peer) answerConfig(t *core.Turn, since uint64, limit int) {
	board := t.Board
	session := board.Peers.Sessions[p.node]
	objects := objectsFor(board.Config.Current, &session, board.Members.Records[p.node].Domain, since)
	delta := core.Delta{Service: session.Service, Since: since, ConfigVersion: board.Config.Current.Version}
	p.configSent = delta.ConfigVersion
	p.configAnswers = append(p.configAnswers, deltaParts(delta, objects, limit)...)
}

// deltaParts cuts a delta into messages.
func deltaParts(delta core.Delta, objects []model.Object, limit int) []sizedMessage {
	runs := cut(objects, limit, objectSize)
	if len(runs) <= 1 {
		delta.Objects = objects
		return []sizedMessage{{delta, deltaSize(objects)}}
	}
	var out []sizedMessage
	for i, run := range runs {
		part := delta
		part.Part, part.Parts = uint32(i+1), uint32(len(runs))
		part.Objects = run
		out = append(out, sizedMessage{part, deltaSize(run)})
	}
	return out
}

func deltaSize(objects []model.Object) int {
	size := messageOverhead
	for i := range objects {
		size += objectSize(&objects[i])
	}
	return size
}
