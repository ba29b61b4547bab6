package ctl

import (
	"errors"
	"fmt"
	"io/fs"
)

// inputError reports a bad argument, flag or setting.
type inputError struct{ message string }

func (e *inputError) Error() string { return e.message }

func inputErrorf(format string, args ...any) error {
	return &inputError{fmt.Sprintf(format, args...)}
}

// noAnswerError reports that no node answered.
type noAnswerError struct{ message string }

func (e *noAnswerError) Error() string { return e.message }

// readError returns the reason why a file can't be read, without its path.
func readError(err error) error {
	var path *fs.PathError
	if errors.As(err, &path) {
		return path.Err
	}
	return err
}
