package claims

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/claimpb"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// keyHash stands for a service and an Idempotency-Key.
type keyHash [16]byte

func hashKey(service model.ServiceID, key string) keyHash {
	buf := binary.BigEndian.AppendUint64(nil, uint64(service))
	sum := sha256.Sum256(append(buf, key...))
	return keyHash(sum[:])
}

// placement returns the hash that ranks candidates for the key.
func (k keyHash) placement() uint64 { return binary.BigEndian.Uint64(k[:]) }

// claimID identifies one request's claim.
type claimID struct {
	node        model.NodeID
	incarnation uint64
	request     core.RequestID
}

// state is how far the request with a key has come. Of one claim, the later
// state holds.
type state = claimpb.State

const (
	stateAsked    = claimpb.State_STATE_ASKED
	stateProgress = claimpb.State_STATE_PROGRESS
	stateUnknown  = claimpb.State_STATE_UNKNOWN
	stateDone     = claimpb.State_STATE_DONE
	stateReleased = claimpb.State_STATE_RELEASED
)

// record is what a node knows of a key.
type record struct {
	key    keyHash
	digest uint64
	claim  claimID
	state  state
	status int
	// generation rises with each grant of the key.
	generation uint64

	service model.ServiceID
	answer  *core.StoredResponse // at the holder only
	changed time.Time            // last change on this node
	// version counts the changes on this node; copies holds the version that
	// other nodes are known to have.
	version uint64
	copies  map[replica]uint64
	pushed  time.Time // last push
	pushes  int       // since the last change
}

// replica is one process instance that keeps copies of records.
type replica struct {
	node        model.NodeID
	incarnation uint64
}

// live reports whether the record bars other requests from running.
func (r *record) live() bool {
	return r != nil && r.state >= stateProgress && r.state <= stateDone
}

// supersedes reports whether what in says replaces what r says.
func (r *record) supersedes(in *record) bool {
	if r.claim == in.claim {
		return cmp.Or(cmp.Compare(r.state, in.state), cmp.Compare(r.generation, in.generation)) > 0
	}
	if r.generation != in.generation {
		return r.generation > in.generation
	}
	return r.live() && !in.live()
}

// changedTo notes a change on this node.
func (r *record) changedTo(s state, now time.Time) {
	r.state = s
	r.changed = now
	r.version++
	r.pushes = 0
}
