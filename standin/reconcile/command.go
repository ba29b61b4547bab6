package reconcile

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/urfave/cli/v3"
)

// ErrFindings reports that the ledgers hold what must not happen.
var ErrFindings = errors.New("the ledgers do not reconcile")

// noBound is the value of --max-lost that bounds nothing.
const noBound = -1

// options are the settings of the subcommand.
type options struct {
	callers, targets, allowed, givenUp []string
	prefix, jsonFile                   string
	maxLost, maxCut                    int
}

// Command returns the subcommand that compares ledgers. It fails with
// ErrFindings if there are findings of kinds that are not allowed.
func Command() *cli.Command {
	var o options
	return &cli.Command{
		Name:  "reconcile",
		Usage: "compare the ledgers of callers and targets",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "caller", Usage: "pattern of callers' ledger files", Required: true, Destination: &o.callers},
			&cli.StringSliceFlag{Name: "target", Usage: "pattern of targets' ledger files", Required: true, Destination: &o.targets},
			&cli.StringSliceFlag{Name: "allow", Usage: "kind of finding that is no failure", Destination: &o.allowed},
			&cli.StringSliceFlag{Name: "given-up", Usage: "target whose flows operators gave up", Destination: &o.givenUp},
			&cli.IntFlag{Name: "max-lost", Usage: "bound on lost requests; -1 has none", Value: noBound, Destination: &o.maxLost},
			&cli.IntFlag{Name: "max-cut", Usage: "bound on lost requests that were sent on flows not given up; -1 has none", Value: noBound, Destination: &o.maxCut},
			&cli.StringFlag{Name: "prefix", Usage: "first word of the last line", Value: "demo", Destination: &o.prefix},
			&cli.StringFlag{Name: "json", Usage: "file that receives the report", Destination: &o.jsonFile},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return o.run(cmd.Root().Writer)
		},
	}
}

// run reads, compares and prints; the totals are the last line.
func (o *options) run(w io.Writer) error {
	callers, err := ReadCallers(o.callers)
	if err != nil {
		return err
	}
	targets, err := ReadTargets(o.targets)
	if err != nil {
		return err
	}
	report := Reconcile(callers, targets, o.givenUp...)
	if err := o.writeJSON(&report); err != nil {
		return err
	}
	o.print(w, &report)
	return o.verdict(&report)
}

func (o *options) print(w io.Writer, report *Report) {
	for _, f := range report.Findings {
		fmt.Fprintf(w, "%s: finding: %v\n", o.prefix, f)
	}
	fmt.Fprintf(w, "%s: runs=%d foreign_runs=%d resets=%d moves=%d findings=%d\n",
		o.prefix, report.Runs, report.ForeignRuns, report.Resets, report.Moves, len(report.Findings))
	if len(o.givenUp) > 0 {
		fmt.Fprintf(w, "%s: given_up_flows=%d given_up_requests=%d\n", o.prefix, report.GivenUpFlows, report.GivenUpRequests)
	}
	fmt.Fprintf(w, "%s: %v\n", o.prefix, report.Totals)
}

// verdict returns ErrFindings unless everything found is allowed.
func (o *options) verdict(report *Report) error {
	for _, f := range report.Findings {
		if !slices.Contains(o.allowed, string(f.Kind)) {
			return ErrFindings
		}
	}
	if lost := report.Totals.Lost - report.GivenUpRequests; o.maxLost != noBound && lost > o.maxLost {
		return fmt.Errorf("%w: %d requests lost, at most %d allowed", ErrFindings, lost, o.maxLost)
	}
	if o.maxCut != noBound && report.Cut > o.maxCut {
		return fmt.Errorf("%w: %d requests cut, at most %d allowed", ErrFindings, report.Cut, o.maxCut)
	}
	return nil
}

func (o *options) writeJSON(report *Report) error {
	if o.jsonFile == "" {
		return nil
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(o.jsonFile, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
