package ctl

import (
	"errors"

	"amaranthwheel.example/amaranthwheel/internal/configstore"
	"amaranthwheel.example/amaranthwheel/internal/store"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// The exit codes.
const (
	// ExitOK reports success.
	ExitOK = 0
	// ExitFailure reports any failure without an exit code of its own.
	ExitFailure = 1
	// ExitBadInput reports an invalid file, flag, argument or setting; nothing
	// was changed.
	ExitBadInput = 2
	// ExitConflict reports a conflict: another change was accepted first, and
	// this one was rejected.
	ExitConflict = 3
	// ExitNotInForce reports an accepted change that did not reach all nodes
	// within the wait.
	ExitNotInForce = 4
	// ExitUnresolved reports a change whose outcome is unknown: it may have
	// been accepted or not.
	ExitUnresolved = 5
	// ExitStoreUnavailable reports that the store did not respond; nothing was
	// changed.
	ExitStoreUnavailable = 6
	// ExitNoResponse reports that no node responded.
	ExitNoResponse = 7
)

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var (
		inputErr      *inputError
		findingsErr   *findings.Error
		conflict      *conflictError
		storeConflict *configstore.ConflictError
		notInForce    *notInForceError
		unresolved    *configstore.UnresolvedError
		noResponse    *noResponseError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &inputErr), errors.As(err, &findingsErr):
		return ExitBadInput
	case errors.As(err, &conflict), errors.As(err, &storeConflict):
		return ExitConflict
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case errors.As(err, &unresolved):
		return ExitUnresolved
	case errors.As(err, &noResponse):
		return ExitNoResponse
	case errors.Is(err, store.ErrUnavailable):
		return ExitStoreUnavailable
	}
	return ExitFailure
}
