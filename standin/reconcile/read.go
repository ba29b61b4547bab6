package reconcile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// ErrNoLedger reports a pattern that no file matches.
var ErrNoLedger = errors.New("no ledger found")

// Targets are the ledgers of all targets together.
type Targets struct {
	// Services tells the service of each target.
	Services   map[string]string
	Runs       []workload.Run
	Violations []workload.Violation
}

// ReadCallers reads the callers' ledgers that match the patterns.
func ReadCallers(patterns []string) ([]workload.CallerLedger, error) {
	paths, err := match(patterns)
	if err != nil {
		return nil, err
	}
	var out []workload.CallerLedger
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read caller's ledger: %w", err)
		}
		var ledger workload.CallerLedger
		if err := json.Unmarshal(text, &ledger); err != nil {
			return nil, fmt.Errorf("decode caller's ledger %s: %w", path, err)
		}
		out = append(out, ledger)
	}
	return out, nil
}

// ReadTargets reads the targets' ledgers that match the patterns. Of a run it
// keeps the last record.
func ReadTargets(patterns []string) (Targets, error) {
	paths, err := match(patterns)
	if err != nil {
		return Targets{}, err
	}
	out := Targets{Services: make(map[string]string)}
	for _, path := range paths {
		if err := out.read(path); err != nil {
			return Targets{}, fmt.Errorf("read target's ledger %s: %w", path, err)
		}
	}
	return out, nil
}

// runKey identifies a run among those of all targets.
type runKey struct {
	target, instance string
	number           uint64
}

// read adds the ledger of one target, which may hold several instances. A last
// line without its end is a record that a killed process did not finish writing;
// what it would have recorded had not begun, or stays recorded as running.
func (t *Targets) read(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	seen := make(map[runKey]int)
	for line := range bytes.Lines(text) {
		var record workload.TargetRecord
		err := json.Unmarshal(line, &record)
		if err != nil && !bytes.HasSuffix(line, []byte("\n")) {
			return nil
		}
		if err != nil {
			return err
		}
		t.add(&record, seen)
	}
	return nil
}

func (t *Targets) add(record *workload.TargetRecord, seen map[runKey]int) {
	switch {
	case record.Start != nil:
		t.Services[record.Start.Target] = record.Start.Service
	case record.Violation != nil:
		t.Violations = append(t.Violations, *record.Violation)
	case record.Run != nil:
		key := runKey{record.Run.Target, record.Run.Instance, record.Run.Number}
		if at, ok := seen[key]; ok {
			t.Runs[at] = *record.Run
			return
		}
		seen[key] = len(t.Runs)
		t.Runs = append(t.Runs, *record.Run)
	}
}

// match returns the files that match the patterns. Each pattern must match.
func match(patterns []string) ([]string, error) {
	var out []string
	for _, pattern := range patterns {
		paths, err := filepath.Glob(pattern)
		if err != nil {
			return nil, fmt.Errorf("pattern %q: %w", pattern, err)
		}
		if len(paths) == 0 {
			return nil, fmt.Errorf("%w: %s", ErrNoLedger, pattern)
		}
		out = append(out, paths...)
	}
	return out, nil
}
