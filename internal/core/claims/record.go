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

// keyHash identifies a service and an Idempotency-Key.
type keyHash [16]byte

func hashKey(service model.ServiceID, key string) keyHash {
	buf := binary.BigEndian.AppendUint64(nil, uint64(service))
	sum := sha256.Sum256(append(buf, key...))
	return keyHash(sum[:])
}

// rankingHash returns the hash that ranks candidates for the key.
func (k keyHash) rankingHash() uint64 { return binary.BigEndian.Uint64(k[:]) }

// claimID identifies one request's claim.
type claimID struct {
	node        model.NodeID
	incarnation uint64
	request     core.RequestID
}

// state is the progress of the request with a key. Of two states of one claim,
// the later one applies.
type state = claimpb.State

const (
	statePending        = claimpb.State_STATE_ASKED
	stateInProgress     = claimpb.State_STATE_PROGRESS
	stateOutcomeUnknown = claimpb.State_STATE_UNKNOWN
	stateDone           = claimpb.State_STATE_DONE
	stateReleased       = claimpb.State_STATE_RELEASED
)

// record is a node's knowledge of a key.
type record struct {
	key    keyHash
	digest uint64
	claim  claimID
	state  state
	status int
	// generation increases with each grant of the key.
	generation uint64

	service   model.ServiceID
	response  *core.StoredResponse // at the holder only
	changedAt time.Time            // last change on this node
	// version counts the changes on this node; replicaVersions are the versions
	// that other nodes are known to have.
	version         uint64
	replicaVersions map[replica]uint64
	lastPush        time.Time
	pushCount       int // since the last change
}

// replica is one process instance that keeps copies of records.
type replica struct {
	node        model.NodeID
	incarnation uint64
}

// blocksRequests reports whether the record prevents other requests with its
// key from running.
func (r *record) blocksRequests() bool {
	return r != nil && r.state >= stateInProgress && r.state <= stateDone
}

// supersedes reports whether r replaces other.
func (r *record) supersedes(other *record) bool {
	if r.claim == other.claim {
		return cmp.Or(cmp.Compare(r.state, other.state), cmp.Compare(r.generation, other.generation)) > 0
	}
	if r.generation != other.generation {
		return r.generation > other.generation
	}
	return r.blocksRequests() && !other.blocksRequests()
}

// setState records a change on this node.
func (r *record) setState(s state, now time.Time) {
	r.state = s
	r.changedAt = now
	r.version++
	r.pushCount = 0
}
