package target

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// ledger keeps the runs and violations of a target, in memory and in a file
// that survives a killed process. It is safe for concurrent use.
type ledger struct {
	mu         sync.Mutex
	file       *os.File // nil without a file
	runs       []workload.Run
	violations []workload.Violation
	stats      workload.TargetStats
}

// openLedger opens the ledger of a target instance, which appends to the file
// if a path is given.
func openLedger(path string, start workload.TargetStart) (*ledger, error) {
	l := &ledger{}
	if path == "" {
		return l, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open ledger: %w", err)
	}
	l.file = file
	return l, l.write(workload.TargetRecord{Start: &start})
}

// start records that a run begins and returns its number.
func (l *ledger) start(run workload.Run) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Number = uint64(len(l.runs)) + 1
	run.Outcome = workload.RunRunning
	l.runs = append(l.runs, run)
	l.stats.Runs++
	l.stats.LastRun = run.Started
	return run.Number, l.write(workload.TargetRecord{Run: &run})
}

// finish records how a run ended.
func (l *ledger) finish(number uint64, outcome workload.RunOutcome, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &l.runs[number-1]
	run.Outcome = outcome
	run.Finished = now
	switch outcome {
	case workload.RunCancelled:
		l.stats.Cancelled++
	case workload.RunTimedOut:
		l.stats.TimedOut++
	case workload.RunFailed:
		l.stats.Failed++
	}
	return l.write(workload.TargetRecord{Run: run})
}

// violation records a fault of those who send work.
func (l *ledger) violation(v workload.Violation) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, v)
	return l.write(workload.TargetRecord{Violation: &v})
}

// count changes the counters.
func (l *ledger) count(change func(*workload.TargetStats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.stats)
}

// snapshot returns copies of everything in the ledger.
func (l *ledger) snapshot() workload.TargetLedger {
	l.mu.Lock()
	defer l.mu.Unlock()
	return workload.TargetLedger{
		Stats:      l.stats,
		Runs:       append([]workload.Run{}, l.runs...),
		Violations: append([]workload.Violation{}, l.violations...),
	}
}

func (l *ledger) close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// write appends a record in a single system call, so that a killed process
// leaves whole lines.
func (l *ledger) write(record workload.TargetRecord) error {
	if l.file == nil {
		return nil
	}
	line, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode ledger record: %w", err)
	}
	if _, err := l.file.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("write ledger: %w", err)
	}
	return nil
}
