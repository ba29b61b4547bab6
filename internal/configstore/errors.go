package configstore

import "fmt"

// ConflictError reports a change that was not applied because the version was
// no longer its base.
type ConflictError struct {
	// Base is the version that the change was made against.
	Base uint64
	// Current is the store's version.
	Current uint64
	// Winners are the changes accepted since Base, oldest first, as far as they
	// are in the history; at most maxWinners.
	Winners []Record
}

// Error returns the message, with the first winner if known.
func (e *ConflictError) Error() string {
	if len(e.Winners) == 0 {
		return fmt.Sprintf("change was made against version %d, but the store holds version %d", e.Base, e.Current)
	}
	w := e.Winners[0]
	return fmt.Sprintf("change was made against version %d, but the store holds version %d: %s by %s won version %d",
		e.Base, e.Current, w.Change.ID, w.Change.Author, w.Version)
}

// UnresolvedError reports a change that may or may not have been applied, or
// may still be. Submitting the same change again determines its outcome.
type UnresolvedError struct {
	ID   string
	Base uint64
	// Err is the last failure.
	Err error
}

// Error implements error.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("outcome of change %s on version %d is unknown: %v", e.ID, e.Base, e.Err)
}

// Unwrap returns the last failure.
func (e *UnresolvedError) Unwrap() error { return e.Err }

// TooLargeError reports a change that exceeds the limits of one transaction.
type TooLargeError struct {
	ID      string
	Objects int
	// Bytes is the size of the change as JSON.
	Bytes int
}

// MinChanges returns the smallest number of changes that the objects fit into.
func (e *TooLargeError) MinChanges() int {
	return max(ceilDiv(e.Objects, MaxObjects), ceilDiv(e.Bytes, maxChangeBytes))
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// Error returns the message, including how to split the change.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("change %s has %d objects in %d bytes; one version is limited to %d objects in %d bytes: "+
		"split it into at least %d changes, each on the version that the one before returned",
		e.ID, e.Objects, e.Bytes, MaxObjects, maxChangeBytes, e.MinChanges())
}

// CorruptError reports a key of the store whose value this package could not have
// written.
type CorruptError struct {
	Key string
	Err error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("store key %s is corrupt: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// StaleStoreError reports a store that was restored to an older state than one
// already seen.
type StaleStoreError struct {
	// LastSeen is the newest version seen, Current the store's.
	LastSeen, Current uint64
}

// Error implements error.
func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("store holds version %d, which is older than version %d seen before", e.Current, e.LastSeen)
}
