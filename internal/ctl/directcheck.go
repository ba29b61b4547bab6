package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/directcheck"
	"amaranthwheel.example/amaranthwheel/operator/findings"
	"amaranthwheel.example/amaranthwheel/platform"
)

// flagAgainst is the flag that names the configuration in force.
const flagAgainst = "against"

func (a *App) directCheckCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a configuration before it is stored", ArgsUsage: "FILE",
		Flags:  []cli.Flag{&cli.StringFlag{Name: flagAgainst, Usage: "`FILE` with the version in force, to show what differs"}},
		Action: a.wrapAction(a.directCheck),
	}
}

// directCheckReport is the output of direct check.
type directCheckReport struct {
	File     string          `json:"file"`
	Against  string          `json:"against,omitempty"`
	Version  int64           `json:"version,omitempty"`
	Routes   int             `json:"routes"`
	Services int             `json:"services"`
	Errors   int             `json:"errors"`
	Warnings int             `json:"warnings"`
	Findings []directFinding `json:"findings"`
	// Changes is null without a comparison.
	Changes []directcheck.Change `json:"changes"`
	// list is the findings as printed.
	list []directcheck.Finding
	// inForce is the version that the changes are against.
	inForce int64
}

// directFinding is a finding in the output of direct check.
type directFinding struct {
	Severity directcheck.Severity `json:"severity"`
	File     string               `json:"file"`
	Line     int                  `json:"line"`
	Column   int                  `json:"column"`
	Key      string               `json:"key,omitempty"`
	Message  string               `json:"message"`
}

// directCheck checks a configuration of direct server return and fails if it has errors.
func (a *App) directCheck(_ context.Context, cmd *cli.Command) error {
	format, err := readFormat(cmd)
	if err != nil {
		return err
	}
	args, err := parseArguments(cmd, "FILE")
	if err != nil {
		return err
	}
	report, err := checkDirectFile(args[0], cmd.String(flagAgainst))
	if err != nil {
		return err
	}
	if format == formatJSON {
		err = printJSON(a.Stdout, report)
	} else {
		err = a.printDirectCheck(report)
	}
	if err == nil && report.Errors > 0 {
		err = inputErrorf("%s failed the check: %s", report.File, pluralize(report.Errors, "error"))
	}
	return err
}

// checkDirectFile checks a file and compares it with the one in force, if that is named.
func checkDirectFile(file, against string) (*directCheckReport, error) {
	report := &directCheckReport{File: file, Against: against, Findings: []directFinding{}}
	doc, found, err := readDirectFile(file)
	if err != nil {
		return nil, err
	}
	report.list = found
	if doc != nil {
		report.Version, report.Routes, report.Services = doc.Version.Value, len(doc.Routes), len(doc.Services)
		report.list = append(report.list, directcheck.Check(doc)...)
	}
	if against != "" {
		if err := report.compare(doc); err != nil {
			return nil, err
		}
	}
	directcheck.Sort(report.list)
	for _, f := range report.list {
		if f.Severity == directcheck.SeverityError {
			report.Errors++
		} else {
			report.Warnings++
		}
		report.Findings = append(report.Findings, directFinding{f.Severity, f.Place.File, f.Place.Line, f.Place.Column, f.Place.Key, f.Message})
	}
	return report, nil
}

// compare adds what differs from the file in force. Its own findings count only if nodes
// reject it, as there is nothing to compare with then.
func (r *directCheckReport) compare(doc *directcheck.Document) error {
	inForce, found, err := readDirectFile(r.Against)
	if err != nil {
		return err
	}
	if inForce == nil {
		r.list = append(r.list, found...)
	}
	if inForce == nil || doc == nil {
		return nil
	}
	changes, found := directcheck.Compare(inForce, doc)
	r.inForce = inForce.Version.Value
	r.Changes = append([]directcheck.Change{}, changes...)
	r.list = append(r.list, found...)
	return nil
}

// readDirectFile reads and decodes a configuration. The document is nil if nodes would
// reject it as a whole.
func readDirectFile(path string) (*directcheck.Document, []directcheck.Finding, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var found findings.List
		found.Addf(findings.Place{File: path}, "%s", unwrapPathError(err))
		return nil, nil, found.Err()
	}
	doc, found := platform.ParseConfiguration(path, data)
	return doc, found, nil
}

func (a *App) printDirectCheck(r *directCheckReport) error {
	for _, f := range r.list {
		fmt.Fprintln(a.Stdout, f.String())
	}
	if r.Changes != nil {
		if len(r.Changes) == 0 {
			fmt.Fprintf(a.Stdout, "no changes against version %d\n", r.inForce)
		} else {
			fmt.Fprintf(a.Stdout, "%s against version %d:\n", pluralize(len(r.Changes), "change"), r.inForce)
		}
		for _, c := range r.Changes {
			fmt.Fprintf(a.Stdout, "  %s\n", c)
		}
	}
	if r.Errors > 0 {
		return nil // the error follows
	}
	_, err := fmt.Fprintf(a.Stdout, "%s: ok, version %d, %s, %s, %s\n", r.File, r.Version,
		pluralize(r.Routes, "route"), pluralize(r.Services, "service"), pluralize(r.Warnings, "warning"))
	return err
}

// readFormat returns the output format of a command that needs no other settings.
func readFormat(cmd *cli.Command) (outputFormat, error) {
	f := outputFormat(cmd.String(flagOutput))
	if !f.isValid() {
		return "", inputErrorf("--%s %q is unknown; want table or json", flagOutput, f)
	}
	return f, nil
}
