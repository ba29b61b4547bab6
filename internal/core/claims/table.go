package claims

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// outcomeRetention is how long an outcome is kept after the last change.
	outcomeRetention = 15 * time.Minute
	// releaseRetention is how long a node keeps the record of an abandoned
	// claim, to reject delayed messages.
	releaseRetention = time.Minute
	// maxRecords limits the records of one node.
	maxRecords = 8192
	// maxResponseBytes limits the total size of the stored responses of one
	// node.
	maxResponseBytes = 4 << 20
)

// table stores the records of one node. While it is full, new keys are refused:
// evicting an outcome early would let its request run again.
type table struct {
	records       map[keyHash]*record
	dirty         map[keyHash]*record // not yet known to all replicas
	responseBytes int
}

func newTable() table {
	return table{records: make(map[keyHash]*record), dirty: make(map[keyHash]*record)}
}

func (tb *table) isFull() bool { return len(tb.records) >= maxRecords }

// store stores a record in place of any other of its key.
func (tb *table) store(r *record, now time.Time) {
	if old := tb.records[r.key]; old != nil {
		tb.discardResponse(old)
		r.version = old.version
	}
	r.changedAt = now
	r.version++
	r.replicaVersions = make(map[replica]uint64)
	tb.records[r.key] = r
	tb.dirty[r.key] = r
}

// merge stores a record of another node if it supersedes the existing one. It
// returns the record that is stored now, nil if the table is full.
func (tb *table) merge(incoming *record, now time.Time) *record {
	existing := tb.records[incoming.key]
	switch {
	case existing == nil && tb.isFull():
		return nil
	case existing == nil:
		tb.store(incoming, now)
		return incoming
	case existing.claim != incoming.claim && incoming.generation == existing.generation && incoming.blocksRequests() && existing.blocksRequests():
		// Two owners granted the key: the outcome is uncertain.
		existing.setState(stateOutcomeUnknown, now)
	case incoming.supersedes(existing) && incoming.claim == existing.claim:
		existing.status = incoming.status
		existing.generation = max(existing.generation, incoming.generation)
		existing.setState(incoming.state, now)
	case incoming.supersedes(existing):
		tb.store(incoming, now)
		return incoming
	}
	return existing
}

// storeResponse stores the response at the holder while the size limit permits.
func (tb *table) storeResponse(r *record, response *core.StoredResponse) {
	if response == nil || tb.responseBytes+len(response.Body) > maxResponseBytes {
		return
	}
	r.response = response
	tb.responseBytes += len(response.Body)
}

func (tb *table) discardResponse(r *record) {
	if r.response != nil {
		tb.responseBytes -= len(r.response.Body)
		r.response = nil
	}
}

// expireRecords removes old records, and marks the outcome of requests in
// progress as unknown if their holder has ended.
func (tb *table) expireRecords(now time.Time, hasEnded func(model.NodeID, uint64) bool) {
	for key, r := range tb.records {
		if r.state == stateInProgress && hasEnded(r.claim.node, r.claim.incarnation) {
			r.setState(stateOutcomeUnknown, now)
			tb.dirty[key] = r
		}
		retention := outcomeRetention
		if r.state == stateReleased {
			retention = releaseRetention
		}
		if r.state != stateInProgress && now.Sub(r.changedAt) >= retention {
			tb.discardResponse(r)
			delete(tb.records, key)
			delete(tb.dirty, key)
		}
	}
}
