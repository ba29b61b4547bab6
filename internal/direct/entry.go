package direct

import (
	"context"
	"errors"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

// entry is a pair in the store with the revision that it had when this process last read or
// wrote it.
type entry struct {
	key      string
	revision store.Revision
	known    bool
}

// get reads the entry.
func (e *entry) get(ctx context.Context, s store.PollingStore) (store.KeyValue, bool, error) {
	kv, found, err := s.Get(ctx, e.key)
	if err != nil {
		return kv, false, err
	}
	e.revision, e.known = store.Revision{}, true
	if found {
		e.revision = kv.ModRevision
	}
	return kv, found, nil
}

// writeIfUnchanged writes in one transaction that the store refuses if it is executed, perhaps
// late, when the entries have other revisions than are known here. The operations are
// composed after the revisions are known. Entries that turn out to have changed are read
// once and the write is repeated: an earlier write of this process may have taken effect
// without a response.
func writeIfUnchanged(ctx context.Context, s store.PollingStore, entries []*entry, compose func() ([]store.Op, error)) error {
	err := tryWriteIfUnchanged(ctx, s, entries, compose)
	if !errors.Is(err, store.ErrCompareFailed) {
		return err
	}
	for _, e := range entries {
		e.known = false
	}
	return tryWriteIfUnchanged(ctx, s, entries, compose)
}

func tryWriteIfUnchanged(ctx context.Context, s store.PollingStore, entries []*entry, compose func() ([]store.Op, error)) error {
	var t store.Txn
	for _, e := range entries {
		if !e.known {
			if _, _, err := e.get(ctx, s); err != nil {
				return err
			}
		}
		t.Compares = append(t.Compares, store.Compare{Key: e.key, ModRevision: e.revision})
	}
	var err error
	if t.Ops, err = compose(); err != nil {
		return err
	}
	written, err := s.Write(ctx, t)
	if err != nil {
		return err
	}
	for _, op := range t.Ops {
		put, ok := op.(store.Put)
		for _, e := range entries {
			if ok && e.key == put.Key {
				e.revision = written
			}
		}
	}
	return nil
}
