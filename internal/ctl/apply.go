package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/configstore"
	"amaranthwheel.example/amaranthwheel/internal/declare"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

func (a *App) applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply a declared file and wait until the change is in force",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagBase, Usage: "fail unless `N` is still the version; the default is the version that is read first"},
			noteFlag(),
			waitFlag(),
		},
		Action: a.wrapAction(a.apply),
	}
}

// applyReport is the output of apply.
type applyReport struct {
	// Version is the version that contains the whole change.
	Version uint64           `json:"version"`
	Base    uint64           `json:"base"`
	Changes []declare.Change `json:"changes"`
	// Accepted lists the versions that were written. It is empty if the file
	// changes nothing.
	Accepted []acceptedVersion `json:"accepted"`
	InForce  *inForceReport    `json:"in_force,omitempty"`
}

// acceptedVersion is an accepted version with the ID of its change.
type acceptedVersion struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
}

// apply writes a declared file to the store and waits until it is in force.
func (a *App) apply(ctx context.Context, cmd *cli.Command) error {
	session, err := a.openSession(ctx, cmd)
	if err != nil {
		return err
	}
	defer session.close()
	args, err := parseArguments(cmd, "FILE")
	if err != nil {
		return err
	}
	wait, err := session.parseWait(cmd)
	if err != nil {
		return err
	}
	plan, err := session.makePlan(args[0])
	if err != nil {
		return err
	}
	if err := session.checkBase(cmd, plan); err != nil {
		return err
	}
	report := &applyReport{Base: plan.current.Version, Version: plan.current.Version, Changes: plan.changes, Accepted: []acceptedVersion{}}
	if err := session.writePlan(plan, cmd.String(flagNote), report); err != nil {
		return err
	}
	return session.finishApply(wait, report)
}

// finishApply prints the accepted change, waits until it is in force and prints
// the result.
func (s *session) finishApply(wait time.Duration, report *applyReport) error {
	if s.settings.format == formatTable {
		if err := printApplied(s.app.Stdout, report); err != nil {
			return err
		}
	}
	waitErr := s.waitInForce(wait, report.Version, &report.InForce)
	if s.settings.format == formatJSON {
		return errors.Join(printJSON(s.app.Stdout, report), waitErr)
	}
	return waitErr
}

// checkBase returns an error if --base is not the current version: a conflict
// error if it is older.
func (s *session) checkBase(cmd *cli.Command, p *plan) error {
	base := cmd.Uint64(flagBase)
	if !cmd.IsSet(flagBase) || base == p.current.Version {
		return nil
	}
	if base > p.current.Version {
		return inputErrorf("--base %d is not a version yet; the current version is %d", base, p.current.Version)
	}
	winners, err := s.readRecordsAfter(base)
	if err != nil {
		return err
	}
	return s.newFileConflict(&configstore.ConflictError{Base: base, Current: p.current.Version, Winners: winners}, p.desired)
}

// writePlan writes the changes of the plan in as many versions as their size
// requires.
func (s *session) writePlan(p *plan, note string, report *applyReport) error {
	if len(p.changes) == 0 {
		return nil
	}
	config, remaining, limit := p.current, p.changes, configstore.MaxObjects
	for len(remaining) > 0 {
		steps, err := declare.SplitChanges(config, remaining, limit)
		if err != nil {
			return wrapPartlyAccepted(err, report)
		}
		step := steps[0]
		record, err := s.submitChange(report.Version, note, declare.ChangedObjects(step))
		if isTooLarge(err) && len(step) > 1 {
			limit = (len(step) + 1) / 2
			continue
		}
		if err != nil {
			return wrapPartlyAccepted(s.describeConflict(err, p), report)
		}
		report.Version = record.Version
		report.Accepted = append(report.Accepted, acceptedVersion{record.Version, record.Change.ID})
		config = declare.ApplyChanges(config, step)
		remaining = slices.Concat(steps[1:]...)
	}
	return nil
}

// isTooLarge reports whether the store rejected a change because of its size.
// In that case nothing was written.
func isTooLarge(err error) bool {
	var large *configstore.TooLargeError
	return errors.As(err, &large)
}

// describeConflict adds the remaining differences to a conflict error.
func (s *session) describeConflict(err error, p *plan) error {
	var storeConflict *configstore.ConflictError
	if errors.As(err, &storeConflict) {
		return s.newFileConflict(storeConflict, p.desired)
	}
	return err
}

// wrapPartlyAccepted adds the versions that were accepted before the error.
func wrapPartlyAccepted(err error, report *applyReport) error {
	if len(report.Accepted) == 0 {
		return err
	}
	return fmt.Errorf("the change was accepted in part, up to version %d: %w", report.Version, err)
}

// submitChange writes the objects as one version. If the reply is lost, it
// looks up the outcome by the ID of the change.
func (s *session) submitChange(base uint64, note string, objects []model.Object) (configstore.Record, error) {
	change := configstore.Change{
		ID:      s.app.NewChangeID(),
		Author:  s.settings.author,
		Note:    note,
		At:      s.app.Now().UTC(),
		Objects: objects,
	}
	record, err := s.store.Apply(s.ctx, base, change)
	var unresolved *configstore.UnresolvedError
	if errors.As(err, &unresolved) {
		return s.resolveOutcome(base, change, err)
	}
	return record, err
}

// printChanges prints the changes relative to a version.
func printChanges(w io.Writer, version uint64, changes []declare.Change) error {
	if len(changes) == 0 {
		_, err := fmt.Fprintf(w, "no changes against version %d\n", version)
		return err
	}
	if _, err := fmt.Fprintf(w, "%s against version %d:\n", pluralize(len(changes), "change"), version); err != nil {
		return err
	}
	for i := range changes {
		if _, err := fmt.Fprintf(w, "  %s\n", changes[i].String()); err != nil {
			return err
		}
	}
	return nil
}

// printApplied prints the changes and the versions that contain them.
func printApplied(w io.Writer, report *applyReport) error {
	if err := printChanges(w, report.Base, report.Changes); err != nil {
		return err
	}
	for _, v := range report.Accepted {
		if _, err := fmt.Fprintf(w, "accepted as version %d (change %s)\n", v.Version, v.ChangeID); err != nil {
			return err
		}
	}
	return nil
}
