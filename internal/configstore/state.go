package configstore

import (
	"context"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

// state is the part of the store that a submission depends on, read in one
// transaction.
type state struct {
	version uint64
	// versionRevision is the revision of the version key, zero if it does not
	// exist.
	versionRevision store.Revision
	// appliedVersion is the version at which the change was applied, 0 if it
	// was not.
	appliedVersion uint64
	// winners are the changes accepted since the base.
	winners []Record
	// evicted is the record that leaves the history when the new one is
	// written, if any.
	evicted *Record
}

func (s *submission) readState(ctx context.Context) (state, error) {
	k := s.client.keys
	winners := k.recordsFrom(s.base + 1)
	winners.Limit = maxWinners
	ops := []store.Op{
		store.Range{Key: k.version()},
		store.Range{Key: k.change(s.record.Change.ID)},
		winners,
	}
	if s.record.Version > HistoryLimit {
		ops = append(ops, store.Range{Key: k.record(s.record.Version - HistoryLimit)})
	}
	result, err := s.client.kv.Txn(ctx, store.Txn{Ops: ops})
	if err != nil {
		return state{}, err
	}
	return decodeState(result.Ranges)
}

func decodeState(ranges []store.RangeResult) (state, error) {
	var st state
	var err error
	if st.version, err = decodeVersion(ranges[0]); err != nil {
		return st, err
	}
	if len(ranges[0].KVs) > 0 {
		st.versionRevision = ranges[0].KVs[0].ModRevision
	}
	if st.appliedVersion, err = decodeVersion(ranges[1]); err != nil {
		return st, err
	}
	if st.winners, err = decodeRecords(ranges[2]); err != nil {
		return st, err
	}
	if len(ranges) < 4 {
		return st, nil
	}
	evicted, err := decodeRecords(ranges[3])
	if len(evicted) > 0 {
		st.evicted = &evicted[0]
	}
	return st, err
}
