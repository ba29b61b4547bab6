package ctl

import (
	"errors"
	"os"

	"amaranthwheel.example/amaranthwheel/internal/declare"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/declaration"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// readDeclaredFile reads and converts a declared file. Errors in it are
// returned as a *findings.Error.
func readDeclaredFile(path string) ([]model.Object, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var found findings.List
		found.Addf(findings.Place{File: path}, "%s", unwrapPathError(err))
		return nil, found.Err()
	}
	file, err := declaration.Parse(path, data)
	if err != nil {
		return nil, err
	}
	return declare.ConvertFile(file)
}

// findingCount returns the number of findings in the error.
func findingCount(err error) int {
	var found *findings.Error
	if errors.As(err, &found) {
		return len(found.Findings)
	}
	return 0
}
