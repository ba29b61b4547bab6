package ctl

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/declare"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// checkReport is the output of check.
type checkReport struct {
	File     string `json:"file"`
	Domains  int    `json:"domains"`
	Services int    `json:"services"`
}

func (a *App) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a declared file without the store",
		ArgsUsage: "FILE",
		Action:    a.wrapAction(a.check),
	}
}

// check validates a declared file and reports all findings.
func (a *App) check(_ context.Context, cmd *cli.Command) error {
	s, err := readSettings(cmd)
	if err != nil {
		return err
	}
	args, err := parseArguments(cmd, "FILE")
	if err != nil {
		return err
	}
	objects, err := readDeclaredFile(args[0])
	if err != nil {
		return fmt.Errorf("%s in %s:\n%w", pluralize(findingCount(err), "finding"), args[0], err)
	}
	report := checkReport{File: args[0]}
	for _, o := range objects {
		switch o.Key.Kind {
		case model.KindDomain:
			report.Domains++
		case model.KindService:
			report.Services++
		}
	}
	if s.format == formatJSON {
		return printJSON(a.Stdout, report)
	}
	_, err = fmt.Fprintf(a.Stdout, "%s: ok, %s, %s\n", report.File,
		pluralize(report.Domains, "failure domain"), pluralize(report.Services, "service"))
	return err
}

// diffReport is the output of diff.
type diffReport struct {
	Version uint64           `json:"version"`
	Changes []declare.Change `json:"changes"`
}

func (a *App) diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what applying a declared file would change",
		ArgsUsage: "FILE",
		Action:    a.wrapAction(a.diff),
	}
}

// diff compares a declared file with the configuration in the store.
func (a *App) diff(ctx context.Context, cmd *cli.Command) error {
	session, err := a.openSession(ctx, cmd)
	if err != nil {
		return err
	}
	defer session.close()
	args, err := parseArguments(cmd, "FILE")
	if err != nil {
		return err
	}
	plan, err := session.makePlan(args[0])
	if err != nil {
		return err
	}
	if session.settings.format == formatJSON {
		return printJSON(a.Stdout, diffReport{plan.current.Version, plan.changes})
	}
	return printChanges(a.Stdout, plan.current.Version, plan.changes)
}
