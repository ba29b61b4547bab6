// Package store is the product's view of the platform's key-value service: a
// small interface with compare-and-swap, leases and watches, and its adapter
// for the etcd v3 JSON gateway.
package store

import (
	"context"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/revision"
)

// Revision is a state of the store. Every write leads to a later one; a key that does not
// exist has the zero value. Stores whose protocol has no eras are always in the first.
type Revision = revision.Revision

// FirstEra is the era of a store that was never restored from a copy.
const FirstEra = revision.FirstEra

// LeaseID identifies a lease. The zero value is no lease.
type LeaseID int64

// KeyValue is a key with its value and metadata.
type KeyValue struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the last write of the key.
	ModRevision Revision
	Lease       LeaseID
}

// Op is one operation of a transaction: a Range, a Put or a Delete.
type Op interface{ op() }

// Range reads pairs in key order.
type Range struct {
	// Key is the first key.
	Key string
	// End is the exclusive upper bound; if empty, only Key is read.
	End string
	// Limit is the largest number of pairs to read; 0 means no limit.
	Limit int
	// After excludes pairs that were last written at this revision or before; the zero value
	// excludes none.
	After Revision
}

// Put writes a pair.
type Put struct {
	Key   string
	Value []byte
	// Lease is the lease that the pair is attached to, or 0: when it lapses,
	// the pair is deleted.
	Lease LeaseID
}

// Delete deletes a key.
type Delete struct{ Key string }

func (Range) op()  {}
func (Put) op()    {}
func (Delete) op() {}

// Prefix returns a Range over all keys that start with the prefix.
func Prefix(prefix string) Range {
	return Range{Key: prefix, End: PrefixEnd(prefix)}
}

// PrefixEnd returns the exclusive upper bound of the keys with the prefix.
// The prefix must not be empty or end in byte 0xff.
func PrefixEnd(prefix string) string {
	last := len(prefix) - 1
	return prefix[:last] + string([]byte{prefix[last] + 1})
}

// Compare is a condition of a transaction: the key was last written at
// ModRevision. The zero value requires that the key does not exist.
type Compare struct {
	Key         string
	ModRevision Revision
}

// Txn is a set of operations that are applied atomically.
type Txn struct {
	// Compares are the conditions that must all hold for Ops to run.
	Compares []Compare
	Ops      []Op
}

// MaxTxnOps is the number of operations that a store accepts in one Txn.
const MaxTxnOps = 128

// RangeResult is the result of a Range.
type RangeResult struct {
	// Revision is the revision at which the store was read.
	Revision Revision
	KVs      []KeyValue
}

// TxnResult is the result of a Txn.
type TxnResult struct {
	// Revision is the store's revision after the transaction.
	Revision Revision
	// Ranges are the results of the Range operations, in their order.
	Ranges []RangeResult
}

// Event is a change that a watch reports.
type Event struct {
	// KV has no Value if Deleted is set.
	KV      KeyValue
	Deleted bool
}

// Store is a key-value service whose watches are streams. Calls return the
// errors of this package; see errors.go. It is safe for concurrent use.
type Store interface {
	// Range reads pairs from one revision of the store.
	Range(ctx context.Context, r Range) (RangeResult, error)
	// Txn runs a transaction. It fails with ErrCompareFailed if a condition
	// did not hold, and with ErrOutcomeUnknown if a write may have taken
	// effect. A read-only Txn never fails with ErrOutcomeUnknown.
	Txn(ctx context.Context, t Txn) (TxnResult, error)
	// Grant creates a lease; ttl is rounded up to whole seconds.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its time to live. It fails with
	// ErrLeaseLapsed if the lease has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke revokes a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls notify for every change of the key after the revision,
	// in order, until the context or the stream ends. It always returns an
	// error, after which the caller should read the key again and resume.
	Watch(ctx context.Context, key string, after Revision, notify func(Event)) error
}
