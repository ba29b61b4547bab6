package store

import "errors"

// Errors that a Store returns, to be tested with errors.Is.
var (
	// ErrUnavailable reports a call that is known not to have taken effect:
	// a read without an answer, or a write that reached no endpoint.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrOutcomeUnknown reports a write that may or may not have taken effect,
	// or may yet do so.
	ErrOutcomeUnknown = errors.New("outcome of the store write is unknown")
	// ErrCompareFailed reports a transaction whose conditions did not hold.
	ErrCompareFailed = errors.New("store compare failed")
	// ErrRejected reports a request that the store refused as invalid. It has
	// not taken effect and fails again when repeated.
	ErrRejected = errors.New("store rejected the request")
	// ErrLeaseLapsed reports a lease that has ended.
	ErrLeaseLapsed = errors.New("store lease has lapsed")
	// ErrHistoryGone reports a watch from a revision that the store no longer
	// remembers: the keys must be read anew.
	ErrHistoryGone = errors.New("store history is gone")
	// ErrWatchEnded reports a watch that was dropped.
	ErrWatchEnded = errors.New("store watch has ended")
)

// errTooLarge reports an answer above the size limit.
var errTooLarge = errors.New("answer exceeds the size limit")
