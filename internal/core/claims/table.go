package claims

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// retention is how long an outcome is kept after the last change.
	retention = 15 * time.Minute
	// releaseRetention is how long a node remembers that a claim was given up,
	// against messages that come late.
	releaseRetention = time.Minute
	// maxRecords bounds the records of one node.
	maxRecords = 8192
	// maxAnswerBytes bounds the stored answers of one node, in bytes.
	maxAnswerBytes = 4 << 20
)

// table is the records of one node. While it is full, new keys are refused:
// forgetting an outcome early would let its request run again.
type table struct {
	records     map[keyHash]*record
	dirty       map[keyHash]*record // not yet known to all replicas
	answerBytes int
}

func newTable() table {
	return table{records: make(map[keyHash]*record), dirty: make(map[keyHash]*record)}
}

func (tb *table) full() bool { return len(tb.records) >= maxRecords }

// put stores a record in place of any other of its key.
func (tb *table) put(r *record, now time.Time) {
	if old := tb.records[r.key]; old != nil {
		tb.dropAnswer(old)
		r.version = old.version
	}
	r.changed = now
	r.version++
	r.copies = make(map[replica]uint64)
	tb.records[r.key] = r
	tb.dirty[r.key] = r
}

// merge takes a record of another node if it says more than the one held. It
// returns the record that is held now, nil if there was no room.
func (tb *table) merge(in *record, now time.Time) *record {
	held := tb.records[in.key]
	switch {
	case held == nil && tb.full():
		return nil
	case held == nil:
		tb.put(in, now)
		return in
	case held.claim != in.claim && in.generation == held.generation && in.live() && held.live():
		// Two owners granted the key: nothing certain can be said any more.
		held.changedTo(stateUnknown, now)
	case in.supersedes(held) && in.claim == held.claim:
		held.status = in.status
		held.generation = max(held.generation, in.generation)
		held.changedTo(in.state, now)
	case in.supersedes(held):
		tb.put(in, now)
		return in
	}
	return held
}

// keepAnswer stores the answer at the holder while there is room.
func (tb *table) keepAnswer(r *record, a *core.StoredResponse) {
	if a == nil || tb.answerBytes+len(a.Body) > maxAnswerBytes {
		return
	}
	r.answer = a
	tb.answerBytes += len(a.Body)
}

func (tb *table) dropAnswer(r *record) {
	if r.answer != nil {
		tb.answerBytes -= len(r.answer.Body)
		r.answer = nil
	}
}

// expire drops old records, and marks those whose holder is gone.
func (tb *table) expire(now time.Time, gone func(model.NodeID, uint64) bool) {
	for key, r := range tb.records {
		if r.state == stateProgress && gone(r.claim.node, r.claim.incarnation) {
			r.changedTo(stateUnknown, now)
			tb.dirty[key] = r
		}
		keep := retention
		if r.state == stateReleased {
			keep = releaseRetention
		}
		if r.state != stateProgress && now.Sub(r.changed) >= keep {
			tb.dropAnswer(r)
			delete(tb.records, key)
			delete(tb.dirty, key)
		}
	}
}
