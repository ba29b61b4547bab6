package ctl

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/configstore"
	"amaranthwheel.example/amaranthwheel/internal/declare"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// maxAttempts is the maximum number of attempts to write operational state
	// while others change other objects.
	maxAttempts = 8
	// meanRetryInterval is the mean of the random pause before another attempt.
	meanRetryInterval = 50 * time.Millisecond
)

// stateChange is a change of the operational state of one object.
type stateChange struct {
	// description names the change, such as "domain out om-north-a".
	description string
	object      model.Object
	// check returns an error if the change is invalid in the configuration.
	check func(*model.Config) error
}

// stateReport is the output of domain out and in and of target drain and
// undrain.
type stateReport struct {
	// Change describes the requested change, such as "domain out om-north-a".
	Change  string           `json:"change"`
	Version uint64           `json:"version"`
	Object  model.ObjectKey  `json:"object"`
	Changes []declare.Change `json:"changes"`
	// ChangeID is empty if the state was already set.
	ChangeID string         `json:"change_id,omitempty"`
	InForce  *inForceReport `json:"in_force,omitempty"`
}

// changeState writes the state and waits until it is in force.
func (a *App) changeState(ctx context.Context, cmd *cli.Command, change stateChange) error {
	session, err := a.openSession(ctx, cmd)
	if err != nil {
		return err
	}
	defer session.close()
	wait, err := session.parseWait(cmd)
	if err != nil {
		return err
	}
	report, err := session.writeState(change, cmd.String(flagNote))
	if err != nil {
		return err
	}
	if session.settings.format == formatTable {
		if err := a.printState(report); err != nil {
			return err
		}
	}
	waitErr := session.waitInForce(wait, report.Version, &report.InForce)
	if session.settings.format == formatJSON {
		return errors.Join(printJSON(a.Stdout, report), waitErr)
	}
	return waitErr
}

// writeState writes the state. If another change was accepted first, it reads
// the configuration again and retries, unless the same object was changed.
func (s *session) writeState(change stateChange, note string) (*stateReport, error) {
	first, err := loadConfig(s.ctx, s.store)
	if err != nil {
		return nil, err
	}
	current := first
	for attempt := 1; ; attempt++ {
		report, err := s.writeStateOnce(change, note, current)
		var storeConflict *configstore.ConflictError
		if !errors.As(err, &storeConflict) {
			return report, err
		}
		if current, err = loadConfig(s.ctx, s.store); err != nil {
			return nil, err
		}
		if attempt == maxAttempts || objectChanged(first, current, change.object.Key) {
			return nil, newStateConflict(change, first, current, storeConflict)
		}
		if !sleep(s.ctx, rand.N(2*meanRetryInterval)) {
			return nil, newStateConflict(change, first, current, storeConflict)
		}
	}
}

// objectChanged reports whether the version of the object differs.
func objectChanged(first, current *model.Config, key model.ObjectKey) bool {
	return first.Objects[key].Version != current.Objects[key].Version
}

// writeStateOnce writes the state, without a retry, if it differs from the
// current one.
func (s *session) writeStateOnce(change stateChange, note string, current *model.Config) (*stateReport, error) {
	if err := change.check(current); err != nil {
		return nil, err
	}
	report := &stateReport{Change: change.description, Version: current.Version, Object: change.object.Key, Changes: []declare.Change{}}
	stored := current.Objects[change.object.Key]
	difference, differs := declare.Compare(&stored, &change.object)
	if !differs || isImplicitState(&stored, &change.object) {
		return report, nil
	}
	record, err := s.submitChange(current.Version, note, []model.Object{change.object})
	if err != nil {
		return nil, err
	}
	report.Version = record.Version
	report.ChangeID = record.Change.ID
	report.Changes = append(report.Changes, difference)
	return report, nil
}

// isImplicitState reports whether a missing state object already means the
// desired state: by default a failure domain is in service and a target is not
// drained.
func isImplicitState(stored, desired *model.Object) bool {
	if !stored.Deleted() {
		return false
	}
	if desired.DomainState != nil {
		return !desired.DomainState.Out
	}
	return desired.TargetState != nil && !desired.TargetState.Drain
}

// newStateConflict returns the conflict error of a change of operational state.
func newStateConflict(change stateChange, first, current *model.Config, storeConflict *configstore.ConflictError) error {
	e := &conflictError{
		Description: change.description,
		Base:        first.Version,
		Current:     current.Version,
		Winners:     sortByVersion(storeConflict.Winners),
	}
	stored := current.Objects[change.object.Key]
	if difference, differs := declare.Compare(&stored, &change.object); differs {
		e.Remaining = []declare.Change{difference}
	}
	return e
}

// printState prints the result of the change.
func (a *App) printState(report *stateReport) error {
	if report.ChangeID == "" {
		_, err := fmt.Fprintf(a.Stdout, "no change: %s holds already in version %d\n", report.Change, report.Version)
		return err
	}
	_, err := fmt.Fprintf(a.Stdout, "%s: accepted as version %d (change %s)\n", report.Change, report.Version, report.ChangeID)
	return err
}
