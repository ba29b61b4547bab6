package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

// maxWinners bounds the records that a ConflictError carries.
const maxWinners = 16

// Apply stores a change as the version after base and returns its record.
//
// It repeats with jittered backoff until the context ends. A change that was
// applied before, under this ID, is found in the history and returned. The
// errors are *ConflictError if the version is no longer base, *TooLargeError,
// *UnresolvedError if the context ended while the outcome was unknown, and any
// other error if the change is known not to have been applied.
func (c *Client) Apply(ctx context.Context, base uint64, ch Change) (Record, error) {
	if err := ch.check(); err != nil {
		return Record{}, err
	}
	record := newRecord(base+1, ch)
	data, err := record.encode()
	if err != nil {
		return Record{}, err
	}
	s := &submission{client: c, base: base, record: record, data: data}
	return s.run(ctx)
}

// submission is one Apply in progress.
type submission struct {
	client *Client
	base   uint64
	record Record
	data   []byte
	// uncertain reports that an attempt may have taken effect.
	uncertain bool
}

// run repeats attempts until one is final.
func (s *submission) run(ctx context.Context) (Record, error) {
	backoff := s.client.retry.backoff()
	compared := false
	for {
		record, err := s.attempt(ctx)
		if err == nil || !repeated(err) {
			return record, err
		}
		if errors.Is(err, store.ErrCompareFailed) && !compared {
			compared = true
			continue // the next attempt reads why
		}
		if sleep(ctx, backoff.NextBackOff()) != nil {
			return Record{}, s.unfinished(err)
		}
	}
}

// unfinished is the error of a submission that ran out of time.
func (s *submission) unfinished(err error) error {
	if s.uncertain {
		return &UnresolvedError{ID: s.record.Change.ID, Base: s.base, Err: err}
	}
	return fmt.Errorf("change %s was not applied: %w", s.record.Change.ID, err)
}

// attempt reads the state and, if the change is neither applied nor too late,
// writes it.
func (s *submission) attempt(ctx context.Context) (Record, error) {
	state, err := s.readState(ctx)
	if err != nil {
		return Record{}, s.failed(err)
	}
	if state.appliedAt != 0 {
		return s.readBack(ctx, state.appliedAt)
	}
	if state.version != s.base {
		return Record{}, s.lost(state)
	}
	_, err = s.client.kv.Txn(ctx, s.transaction(state))
	if errors.Is(err, store.ErrOutcomeUnknown) {
		s.uncertain = true
	}
	if err != nil {
		return Record{}, s.failed(err)
	}
	return s.record, nil
}

// failed is the error of a failed call. One that is not repeated must not hide
// that the outcome of an earlier write is unknown.
func (s *submission) failed(err error) error {
	if s.uncertain && !repeated(err) {
		return s.unfinished(err)
	}
	return err
}

// repeated reports whether an attempt that failed so is followed by another.
func repeated(err error) bool {
	return errors.Is(err, store.ErrCompareFailed) ||
		errors.Is(err, store.ErrUnavailable) ||
		errors.Is(err, store.ErrOutcomeUnknown)
}

// lost is the error of a change whose base is no longer current and that is
// not in the history. It was not applied and never will be, as any write on
// its way compares a version key that has changed; but that is known only
// while the history would still hold the change.
func (s *submission) lost(state state) error {
	if s.uncertain && state.version >= s.record.Version+HistoryLimit {
		err := fmt.Errorf("the history no longer holds version %d", s.record.Version)
		return &UnresolvedError{ID: s.record.Change.ID, Base: s.base, Err: err}
	}
	return &ConflictError{Base: s.base, Current: state.version, Winners: state.winners}
}

// readBack returns the record of a change that is already applied.
func (s *submission) readBack(ctx context.Context, version uint64) (Record, error) {
	key := s.client.keys.record(version)
	result, err := s.client.kv.Range(ctx, store.Range{Key: key})
	if err != nil {
		s.uncertain = true
		return Record{}, s.failed(err)
	}
	records, err := decodeRecords(result)
	if err != nil {
		return Record{}, err
	}
	if len(records) == 0 || records[0].Change.ID != s.record.Change.ID {
		return Record{}, &CorruptError{key, fmt.Errorf("it does not hold change %s", s.record.Change.ID)}
	}
	return records[0], nil
}

// transaction writes the change if the state still holds.
func (s *submission) transaction(state state) store.Txn {
	k := s.client.keys
	id := s.record.Change.ID
	version := formatVersion(s.record.Version)
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: k.version(), ModRevision: state.revision},
			{Key: k.change(id)}, // never applied
		},
		Ops: []store.Op{
			store.Put{Key: k.version(), Value: version},
			store.Put{Key: k.record(s.record.Version), Value: s.data},
			store.Put{Key: k.change(id), Value: version},
		},
	}
	if state.expired != nil {
		txn.Ops = append(txn.Ops,
			store.Delete{Key: k.record(state.expired.Version)},
			store.Delete{Key: k.change(state.expired.Change.ID)})
	}
	for _, o := range s.record.Change.Objects {
		value, err := json.Marshal(o)
		if err != nil {
			panic(err) // the record, which holds the object, was encoded before
		}
		txn.Ops = append(txn.Ops, store.Put{Key: k.object(o.Key), Value: value})
	}
	return txn
}
