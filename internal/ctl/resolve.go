package ctl

import (
	"context"
	"fmt"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/configstore"
)

const (
	// resolvePollInterval is the interval at which the history is searched for
	// a change of unknown outcome.
	resolvePollInterval = 250 * time.Millisecond
	// historySearchLimit is the number of records that are searched for a
	// change: all that the store keeps.
	historySearchLimit = configstore.HistoryLimit
)

// resolveOutcome determines the outcome of a change whose reply was lost. It
// polls the history for at most another --timeout. The change was accepted if
// the history has its ID, and it was rejected if another change has the version
// after the base. Otherwise it returns cause, as the write may still be in
// progress.
func (s *session) resolveOutcome(base uint64, change configstore.Change, cause error) (configstore.Record, error) {
	ctx, cancel := context.WithTimeout(s.commandCtx, s.settings.timeout)
	defer cancel()
	for {
		records, err := s.store.History(ctx, historySearchLimit)
		if err == nil {
			if record, ok := findRecord(records, change.ID); ok {
				return record, nil
			}
			if winners := recordsAbove(records, base); hasVersion(winners, base+1) {
				return configstore.Record{}, &configstore.ConflictError{Base: base, Current: newestVersion(records), Winners: winners}
			}
		}
		if !sleep(ctx, resolvePollInterval) {
			return configstore.Record{}, fmt.Errorf("%w\nlook for it later with: amaranthctl history --change %s", cause, change.ID)
		}
	}
}

// findRecord returns the record of the change with the ID.
func findRecord(records []configstore.Record, id string) (configstore.Record, bool) {
	for _, r := range records {
		if r.Change.ID == id {
			return r, true
		}
	}
	return configstore.Record{}, false
}

// recordsAbove returns the records with a version above the given one.
func recordsAbove(records []configstore.Record, version uint64) []configstore.Record {
	var out []configstore.Record
	for _, r := range records {
		if r.Version > version {
			out = append(out, r)
		}
	}
	return out
}

// hasVersion reports whether one of the records has the version.
func hasVersion(records []configstore.Record, version uint64) bool {
	for _, r := range records {
		if r.Version == version {
			return true
		}
	}
	return false
}

// newestVersion returns the highest version among the records.
func newestVersion(records []configstore.Record) uint64 {
	var version uint64
	for _, r := range records {
		version = max(version, r.Version)
	}
	return version
}

// readRecordsAfter returns the changes accepted after the version.
func (s *session) readRecordsAfter(version uint64) ([]configstore.Record, error) {
	records, err := s.store.History(s.ctx, historySearchLimit)
	if err != nil {
		return nil, err
	}
	return recordsAbove(records, version), nil
}

// sleep pauses. It returns false if the context is done first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
