package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

func (a *App) statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "list the nodes that are up and their configuration versions",
		Action: a.wrapAction(a.status),
	}
}

// statusReport is the output of status.
type statusReport struct {
	// StoreVersion is the version in the store, absent if the store did not
	// respond.
	StoreVersion *uint64      `json:"store_version,omitempty"`
	StoreError   string       `json:"store_error,omitempty"`
	Nodes        []nodeReport `json:"nodes"`
	// Notes describe what the list of nodes omits.
	Notes []string `json:"notes,omitempty"`
}

// nodeReport is one node that is up.
type nodeReport struct {
	adminapi.Member
	Answered bool `json:"answered"`
	// DomainOut, Stopping and Peers are set only for nodes that responded.
	DomainOut bool   `json:"out"`
	Stopping  bool   `json:"stopping"`
	Peers     int    `json:"peers"`
	Error     string `json:"error,omitempty"`
}

// status prints the nodes.
func (a *App) status(ctx context.Context, cmd *cli.Command) error {
	s, err := readSettings(cmd)
	if err != nil {
		return err
	}
	if err := s.requireBalancers(); err != nil {
		return err
	}
	if _, err := parseArguments(cmd); err != nil {
		return err
	}
	client := adminapi.NewClient(0)
	defer client.Close()
	fleet, err := queryFleet(ctx, client, s)
	if err != nil {
		return err
	}
	report := statusReport{Nodes: nodeReports(fleet.upNodes()), Notes: fleet.notes()}
	a.readStoreVersion(ctx, s, fleet, &report)
	if s.format == formatJSON {
		return printJSON(a.Stdout, report)
	}
	return a.printStatus(report)
}

// readStoreVersion reads the version in the store if the settings name a store.
func (a *App) readStoreVersion(ctx context.Context, s *settings, f *fleet, report *statusReport) {
	if s.requireStore() != nil {
		return
	}
	session := a.newSession(ctx, s)
	defer session.close()
	node, newest := f.newestVersion()
	version, err := session.readVersion(newest)
	if err != nil {
		report.StoreError = err.Error()
		return
	}
	report.StoreVersion = &version
	if newest > version {
		report.Notes = append(report.Notes, describeAheadOfStore(node, newest, version))
	}
}

func nodeReports(nodes []fleetNode) []nodeReport {
	reports := make([]nodeReport, len(nodes))
	for i, n := range nodes {
		report := nodeReport{Member: n.Member, Answered: n.status != nil}
		report.ConfigVersion = 0
		if n.versionKnown {
			report.ConfigVersion = n.version
		}
		if n.status != nil {
			report.DomainOut, report.Stopping, report.Peers = n.status.DomainOut, n.status.Stopping, n.status.Peers
		}
		if n.queryErr != nil {
			report.Error = n.queryErr.Error()
		}
		reports[i] = report
	}
	return reports
}

func (a *App) printStatus(report statusReport) error {
	t := newTable("ROLE", "NODE", "STATE", "DOMAIN", "VERSION", "SERVICE", "TARGET", "SLOTS", "ADMIN")
	for _, n := range report.Nodes {
		t.addRow(string(n.Role), string(n.Node), n.stateText(), string(n.Domain), formatVersion(n.ConfigVersion),
			string(n.Service), string(n.Target), formatNonZero(n.Slots), n.Admin.String())
	}
	if err := t.print(a.Stdout); err != nil {
		return err
	}
	a.printNotes(report.Notes)
	return a.printStoreVersion(report)
}

func (a *App) printStoreVersion(report statusReport) error {
	switch {
	case report.StoreVersion != nil:
		upToDate := 0
		for _, n := range report.Nodes {
			if n.ConfigVersion >= *report.StoreVersion {
				upToDate++
			}
		}
		_, err := fmt.Fprintf(a.Stdout, "version %d in the store; %d of %s hold it\n", *report.StoreVersion, upToDate, pluralize(len(report.Nodes), "node"))
		return err
	case report.StoreError != "":
		_, err := fmt.Fprintf(a.Stdout, "the store did not answer: %s\n", report.StoreError)
		return err
	}
	return nil
}

// stateText formats the state of a node with its exceptional conditions.
func (n *nodeReport) stateText() string {
	text := string(n.State)
	if n.Stopping {
		text += ",stopping"
	}
	if n.DomainOut {
		text += ",out"
	}
	if n.Error != "" {
		text += ",silent"
	}
	return text
}

// formatVersion formats a version, or returns "" if it is unknown.
func formatVersion(version uint64) string {
	if version == 0 {
		return ""
	}
	return strconv.FormatUint(version, 10)
}

// formatNonZero formats a count, or returns "" if it is zero.
func formatNonZero(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

// agentAddresses returns the admin addresses of the agents that are up and have
// a target of the service, or of any service if the name is empty.
func agentAddresses(nodes []fleetNode, service model.ServiceName) []netip.AddrPort {
	var out []netip.AddrPort
	for _, n := range nodes {
		if n.Role == adminapi.RoleAgent && (service == "" || n.Service == service) {
			out = append(out, n.Admin)
		}
	}
	return out
}
