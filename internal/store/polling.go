package store

import (
	"context"
	"time"
)

// ListResult is the result of a List.
type ListResult struct {
	KVs []KeyValue
	// Revision is that of the first page: a Poll from it reports every later change.
	Revision Revision
	// Pages is the number of pages. Each is read at a revision of its own, so that the pairs of
	// several pages may never have existed together.
	Pages int
}

// PollingStore is a key-value service whose watches are long polls over a
// prefix. Calls return the errors of this package. It is safe for concurrent use.
type PollingStore interface {
	// Era returns the era of the latest response, at least FirstEra. An era begins when
	// the store is restored from a copy: changes after the copy are lost, leases too, and
	// the numbers of their revisions are given out again.
	Era() uint64
	// List reads all pairs under a prefix, in pages. It fails with ErrCompacted if the store
	// was restored while the pages were read.
	List(ctx context.Context, prefix string) (ListResult, error)
	// Get reads a pair and reports whether it exists.
	Get(ctx context.Context, key string) (KeyValue, bool, error)
	// Poll waits for changes under a prefix after a revision and returns them
	// with the revision to continue from. It returns no events if wait elapses
	// first. It fails with ErrCompacted if the store no longer keeps the changes, or was
	// restored since the revision.
	Poll(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Write runs a transaction of Put and Delete operations and returns its revision. It
	// fails with ErrCompareFailed if a condition did not hold, also one from an earlier
	// era, with ErrLeaseLapsed if a lease has lapsed, and with ErrOutcomeUnknown if the
	// write may have taken effect or may do so later.
	Write(ctx context.Context, t Txn) (Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It fails with ErrLeaseLapsed if the lease has
	// lapsed.
	KeepAlive(ctx context.Context, id LeaseID) error
}
