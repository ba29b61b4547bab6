package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

// maxWinners is the largest number of records in ConflictError.Winners.
const maxWinners = 16

// Apply stores a change as the version after base and returns its record.
//
// It retries with jittered backoff until the context ends. If a change with this
// ID was applied before, its record is returned from the history. It fails with
// *ConflictError if the version is no longer base, *TooLargeError,
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
	// outcomeUnknown reports that an earlier attempt may have taken effect.
	outcomeUnknown bool
}

// run retries attempts until one succeeds or fails for good.
func (s *submission) run(ctx context.Context) (Record, error) {
	backoff := s.client.retry.backoff()
	compareFailed := false
	for {
		record, err := s.attempt(ctx)
		if err == nil || !isRetryable(err) {
			return record, err
		}
		if errors.Is(err, store.ErrCompareFailed) && !compareFailed {
			compareFailed = true
			continue // without a delay: the next attempt reads the changed state
		}
		if sleep(ctx, backoff.NextBackOff()) != nil {
			return Record{}, s.finalError(err)
		}
	}
}

// finalError returns the error of a submission that ends without being applied
// or rejected, after its last failure.
func (s *submission) finalError(err error) error {
	if s.outcomeUnknown {
		return &UnresolvedError{ID: s.record.Change.ID, Base: s.base, Err: err}
	}
	return fmt.Errorf("change %s was not applied: %w", s.record.Change.ID, err)
}

// attempt reads the state and, if the change is not applied yet and its base is
// current, writes it.
func (s *submission) attempt(ctx context.Context) (Record, error) {
	state, err := s.readState(ctx)
	if err != nil {
		return Record{}, s.wrapCallError(err)
	}
	if state.appliedVersion != 0 {
		return s.readAppliedRecord(ctx, state.appliedVersion)
	}
	if state.version != s.base {
		return Record{}, s.staleBaseError(state)
	}
	_, err = s.client.kv.Txn(ctx, s.buildTxn(state))
	if errors.Is(err, store.ErrOutcomeUnknown) {
		s.outcomeUnknown = true
	}
	if err != nil {
		return Record{}, s.wrapCallError(err)
	}
	return s.record, nil
}

// wrapCallError returns the error of an attempt whose call failed. An error that
// is not retried must not hide that the outcome of an earlier write is unknown.
func (s *submission) wrapCallError(err error) error {
	if s.outcomeUnknown && !isRetryable(err) {
		return s.finalError(err)
	}
	return err
}

// isRetryable reports whether an attempt that failed with err is retried.
func isRetryable(err error) bool {
	return errors.Is(err, store.ErrCompareFailed) ||
		errors.Is(err, store.ErrUnavailable) ||
		errors.Is(err, store.ErrOutcomeUnknown)
}

// staleBaseError returns the error of a change whose base is no longer current
// and that is not in the history. It was not applied and never will be, as any
// write in flight compares a version key that has changed; but this is known
// only while the history is long enough to contain the change.
func (s *submission) staleBaseError(state state) error {
	if s.outcomeUnknown && state.version >= s.record.Version+HistoryLimit {
		err := fmt.Errorf("the history no longer contains version %d", s.record.Version)
		return &UnresolvedError{ID: s.record.Change.ID, Base: s.base, Err: err}
	}
	return &ConflictError{Base: s.base, Current: state.version, Winners: state.winners}
}

// readAppliedRecord reads the record of a change that is already applied.
func (s *submission) readAppliedRecord(ctx context.Context, version uint64) (Record, error) {
	key := s.client.keys.record(version)
	result, err := s.client.kv.Range(ctx, store.Range{Key: key})
	if err != nil {
		s.outcomeUnknown = true
		return Record{}, s.wrapCallError(err)
	}
	records, err := decodeRecords(result)
	if err != nil {
		return Record{}, err
	}
	if len(records) == 0 || records[0].Change.ID != s.record.Change.ID {
		return Record{}, &CorruptError{key, fmt.Errorf("record is not that of change %s", s.record.Change.ID)}
	}
	return records[0], nil
}

// buildTxn returns the transaction that writes the change if the version has not
// changed since the state was read.
func (s *submission) buildTxn(state state) store.Txn {
	k := s.client.keys
	id := s.record.Change.ID
	version := formatVersion(s.record.Version)
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: k.version(), ModRevision: state.versionRevision},
			{Key: k.change(id)}, // absent: not applied yet
		},
		Ops: []store.Op{
			store.Put{Key: k.version(), Value: version},
			store.Put{Key: k.record(s.record.Version), Value: s.data},
			store.Put{Key: k.change(id), Value: version},
		},
	}
	if state.evicted != nil {
		txn.Ops = append(txn.Ops,
			store.Delete{Key: k.record(state.evicted.Version)},
			store.Delete{Key: k.change(state.evicted.Change.ID)})
	}
	for _, o := range s.record.Change.Objects {
		value, err := json.Marshal(o)
		if err != nil {
			panic(err) // the record, which contains the object, has been encoded
		}
		txn.Ops = append(txn.Ops, store.Put{Key: k.object(o.Key), Value: value})
	}
	return txn
}
