package store

import (
	"context"
	"time"
)

// Polled is a key-value service whose watches are long polls over a prefix.
// Calls return the errors of this package. It is safe for concurrent use.
type Polled interface {
	// List reads all pairs under a prefix. The revision is that of the first
	// page: a Poll after it reports all that changed since.
	List(ctx context.Context, prefix string) (RangeResult, error)
	// Get reads a pair; false means that there is none.
	Get(ctx context.Context, key string) (KeyValue, bool, error)
	// Poll waits for changes under a prefix after a revision and returns them
	// with the revision to go on from. It returns no events after the wait. It
	// fails with ErrHistoryGone if the changes are no longer known.
	Poll(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Put writes pairs together. It fails with ErrLeaseLapsed if a lease has
	// ended, and with ErrOutcomeUnknown if it may have taken effect.
	Put(ctx context.Context, pairs ...Put) error
	// Delete deletes a key.
	Delete(ctx context.Context, key string) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It fails with ErrLeaseLapsed if the lease has
	// ended.
	KeepAlive(ctx context.Context, id LeaseID) error
}
