package store

import "errors"

// Errors of calls to a store, for use with errors.Is.
var (
	// ErrUnavailable reports a call that is known not to have taken effect:
	// a read without a response, or a write that reached no endpoint.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrOutcomeUnknown reports a write that may or may not have taken effect,
	// or may yet do so.
	ErrOutcomeUnknown = errors.New("outcome of the store write is unknown")
	// ErrCompareFailed reports a transaction whose conditions did not hold.
	ErrCompareFailed = errors.New("store compare failed")
	// ErrRejected reports a request that the store rejected as invalid. It has
	// not taken effect and would fail again if retried.
	ErrRejected = errors.New("store rejected the request")
	// ErrLeaseLapsed reports a lease that has expired or was revoked.
	ErrLeaseLapsed = errors.New("store lease has lapsed")
	// ErrCompacted reports a watch from a revision that the store has already
	// compacted: the keys must be read again.
	ErrCompacted = errors.New("store history is compacted")
	// ErrWatchEnded reports a watch that ended after it had started.
	ErrWatchEnded = errors.New("store watch has ended")
)

// errResponseTooLarge reports a response above the size limit.
var errResponseTooLarge = errors.New("response exceeds the size limit")
