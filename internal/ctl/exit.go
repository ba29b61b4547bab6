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
	// ExitFailure reports any failure without a code of its own.
	ExitFailure = 1
	// ExitBadInput reports a bad file, flag, argument or setting; nothing was
	// changed.
	ExitBadInput = 2
	// ExitConflict reports a lost race: another change was accepted first, and
	// this one was not.
	ExitConflict = 3
	// ExitNotInForce reports an accepted change that some nodes did not have
	// within the wait.
	ExitNotInForce = 4
	// ExitUnresolved reports a change of which it is not known whether it was
	// accepted.
	ExitUnresolved = 5
	// ExitStoreUnavailable reports a store that did not answer; nothing was
	// changed.
	ExitStoreUnavailable = 6
	// ExitNoResponse reports that no node answered.
	ExitNoResponse = 7
)

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var (
		input         *inputError
		found         *findings.Error
		conflict      *conflictError
		storeConflict *configstore.ConflictError
		lagging       *notInForceError
		unresolved    *configstore.UnresolvedError
		silent        *noResponseError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &input), errors.As(err, &found):
		return ExitBadInput
	case errors.As(err, &conflict), errors.As(err, &storeConflict):
		return ExitConflict
	case errors.As(err, &lagging):
		return ExitNotInForce
	case errors.As(err, &unresolved):
		return ExitUnresolved
	case errors.As(err, &silent):
		return ExitNoResponse
	case errors.Is(err, store.ErrUnavailable):
		return ExitStoreUnavailable
	}
	return ExitFailure
}
