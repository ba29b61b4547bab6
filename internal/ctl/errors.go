package ctl

import (
	"errors"
	"fmt"
	"io/fs"
)

// inputError reports an invalid argument, flag or setting.
type inputError struct{ message string }

func (e *inputError) Error() string { return e.message }

func inputErrorf(format string, args ...any) error {
	return &inputError{fmt.Sprintf(format, args...)}
}

// noResponseError reports that no node responded.
type noResponseError struct{ message string }

func (e *noResponseError) Error() string { return e.message }

// unwrapPathError returns the cause of a failed file operation without the
// path.
func unwrapPathError(err error) error {
	var path *fs.PathError
	if errors.As(err, &path) {
		return path.Err
	}
	return err
}
