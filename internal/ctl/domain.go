package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

func (a *App) domainCommand() *cli.Command {
	return &cli.Command{
		Name:  "domain",
		Usage: "take failure domains out of service and bring them back",
		Commands: []*cli.Command{
			a.domainStateCommand("out", "take a failure domain out of service; flows to its targets are abandoned", true),
			a.domainStateCommand("in", "bring a failure domain back into service", false),
			{
				Name:   "list",
				Usage:  "list the failure domains and whether they are out",
				Action: a.wrapAction(a.domainList),
			},
		},
	}
}

func (a *App) domainStateCommand(name, usage string, out bool) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "NAME",
		Flags:     []cli.Flag{noteFlag(), waitFlag()},
		Action: a.wrapAction(func(ctx context.Context, cmd *cli.Command) error {
			args, err := parseArguments(cmd, "NAME")
			if err != nil {
				return err
			}
			return a.changeState(ctx, cmd, domainStateChange(args[0], out))
		}),
	}
}

// domainStateChange returns the change that takes a declared failure domain out
// of service or back in.
func domainStateChange(name string, out bool) stateChange {
	verb := "in"
	if out {
		verb = "out"
	}
	return stateChange{
		description: "domain " + verb + " " + name,
		object: model.Object{
			Key:         model.ObjectKey{Kind: model.KindDomainState, Name: name},
			DomainState: &model.DomainState{Name: model.DomainName(name), Out: out},
		},
		check: func(c *model.Config) error { return requireDomain(c, name) },
	}
}

// requireDomain returns an error unless the failure domain is declared.
func requireDomain(c *model.Config, name string) error {
	declared := declaredDomains(c)
	for _, d := range declared {
		if string(d.Name) == name {
			return nil
		}
	}
	names := make([]string, len(declared))
	for i, d := range declared {
		names[i] = string(d.Name)
	}
	return inputErrorf("failure domain %q is not declared in version %d; declared are: %s", name, c.Version, strings.Join(names, ", "))
}

// declaredDomains returns the declared failure domains, sorted by name.
func declaredDomains(c *model.Config) []*model.Domain {
	var out []*model.Domain
	for _, o := range c.Objects {
		if o.Domain != nil {
			out = append(out, o.Domain)
		}
	}
	slices.SortFunc(out, func(a, b *model.Domain) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// domainReport is one row of the output of domain list.
type domainReport struct {
	Name   model.DomainName `json:"name"`
	Region string           `json:"region"`
	Out    bool             `json:"out"`
	// Since is the version that last changed the state of the failure domain,
	// or 0 if none did.
	Since    uint64              `json:"since"`
	Services []model.ServiceName `json:"services"`
}

// domainList prints the failure domains.
func (a *App) domainList(ctx context.Context, cmd *cli.Command) error {
	session, err := a.openSession(ctx, cmd)
	if err != nil {
		return err
	}
	defer session.close()
	if _, err := parseArguments(cmd); err != nil {
		return err
	}
	config, err := loadConfig(session.ctx, session.store)
	if err != nil {
		return err
	}
	reports := domainReports(config)
	if session.settings.format == formatJSON {
		return printJSON(a.Stdout, reports)
	}
	return a.printDomains(config.Version, reports)
}

func domainReports(c *model.Config) []domainReport {
	reports := []domainReport{}
	for _, d := range declaredDomains(c) {
		state := c.Objects[model.ObjectKey{Kind: model.KindDomainState, Name: string(d.Name)}]
		report := domainReport{Name: d.Name, Region: d.Region, Out: c.DomainOut(d.Name), Since: state.Version}
		for _, s := range c.Services() {
			if slices.Contains(s.Domains, d.Name) {
				report.Services = append(report.Services, s.Name)
			}
		}
		reports = append(reports, report)
	}
	return reports
}

func (a *App) printDomains(version uint64, reports []domainReport) error {
	t := newTable("DOMAIN", "REGION", "STATE", "SINCE VERSION", "SERVICES")
	for _, r := range reports {
		state := "in"
		if r.Out {
			state = "out"
		}
		since := ""
		if r.Since > 0 {
			since = strconv.FormatUint(r.Since, 10)
		}
		services := make([]string, len(r.Services))
		for i, s := range r.Services {
			services[i] = string(s)
		}
		t.addRow(string(r.Name), r.Region, state, since, strings.Join(services, " "))
	}
	if err := t.print(a.Stdout); err != nil {
		return err
	}
	_, err := fmt.Fprintf(a.Stdout, "version %d\n", version)
	return err
}
