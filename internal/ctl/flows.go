package ctl

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

func (a *App) flowsCommand() *cli.Command {
	return &cli.Command{
		Name:  "flows",
		Usage: "list the local flows of the agents",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagService, Usage: "only flows of the service `NAME`"},
			&cli.IntFlag{Name: flagLimit, Usage: "list at most `N` flows", Value: defaultFlowLimit},
		},
		Action: a.wrapAction(a.flows),
	}
}

// flowsReport is the output of flows.
type flowsReport struct {
	// Local is the number of local flows of all agents and services, listed or
	// not.
	Local     int           `json:"held"`
	Flows     []flowReport  `json:"flows"`
	Truncated bool          `json:"truncated"`
	Agents    []agentFlows  `json:"agents"`
	Failed    []failedQuery `json:"silent,omitempty"`
}

// flowReport is one flow and its holder.
type flowReport struct {
	adminapi.Flow
	Holder model.NodeID `json:"holder"`
}

// agentFlows is the number of flows and of directory entries of one agent.
type agentFlows struct {
	Node             model.NodeID `json:"node"`
	Local            int          `json:"held"`
	DirectoryEntries int          `json:"directory"`
}

// failedQuery is a query to a node that did not respond.
type failedQuery struct {
	Address netip.AddrPort `json:"address"`
	Error   string         `json:"error"`
}

// flows queries the agents for their flows and prints them.
func (a *App) flows(ctx context.Context, cmd *cli.Command) error {
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
	limit := cmd.Int(flagLimit)
	if limit < 1 || limit > adminapi.MaxFlows {
		return inputErrorf("--limit %d is out of range; want 1 to %d", limit, adminapi.MaxFlows)
	}
	report, err := queryFlows(ctx, s, model.ServiceName(cmd.String(flagService)), limit)
	if err != nil {
		return err
	}
	if s.format == formatJSON {
		return printJSON(a.Stdout, report)
	}
	return a.printFlows(report)
}

// queryFlows queries every agent of the service.
func queryFlows(ctx context.Context, s *settings, service model.ServiceName, limit int) (*flowsReport, error) {
	client := adminapi.NewClient(0)
	defer client.Close()
	fleet, err := queryFleet(ctx, client, s)
	if err != nil {
		return nil, err
	}
	agents := agentAddresses(fleet.upNodes(), service)
	results := adminapi.FanOut(ctx, agents, func(ctx context.Context, node netip.AddrPort) (*adminapi.Flows, error) {
		return client.Flows(ctx, node, service, limit)
	})
	report := &flowsReport{Flows: []flowReport{}, Agents: []agentFlows{}}
	for _, result := range results {
		report.addResult(result)
	}
	if len(results) > 0 && len(report.Agents) == 0 {
		return nil, &noResponseError{fmt.Sprintf("none of %d agents answered; first error: %s", len(results), results[0].Err)}
	}
	report.truncate(limit)
	return report, nil
}

// addResult adds the flows of one agent.
func (r *flowsReport) addResult(result adminapi.Result[adminapi.Flows]) {
	if result.Err != nil {
		r.Failed = append(r.Failed, failedQuery{result.Node, result.Err.Error()})
		return
	}
	f := result.Value
	r.Local += f.Local
	r.Truncated = r.Truncated || f.Truncated
	r.Agents = append(r.Agents, agentFlows{f.Node, f.Local, f.DirectoryEntries})
	for _, flow := range f.Flows {
		r.Flows = append(r.Flows, flowReport{flow, f.Node})
	}
}

// truncate sorts the flows and keeps the first of them, at most limit.
func (r *flowsReport) truncate(limit int) {
	slices.SortFunc(r.Flows, func(a, b flowReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Caller.Compare(b.Caller), cmp.Compare(a.Holder, b.Holder))
	})
	if len(r.Flows) > limit {
		r.Flows = r.Flows[:limit]
		r.Truncated = true
	}
}

func (a *App) printFlows(r *flowsReport) error {
	t := newTable("SERVICE", "CALLER", "HOLDER", "HOME", "ESTABLISHED", "SINCE", "LAST SEEN")
	for _, f := range r.Flows {
		t.addRow(string(f.Service), f.Caller.String(), string(f.Holder), string(f.Home), formatYesNo(f.Established),
			formatTime(f.Since), formatTime(f.LastSeen))
	}
	if err := t.print(a.Stdout); err != nil {
		return err
	}
	for _, failed := range r.Failed {
		fmt.Fprintf(a.Stdout, "note: agent %s did not answer: %s\n", failed.Address, failed.Error)
	}
	more := ""
	if r.Truncated {
		more = "; there are more"
	}
	_, err := fmt.Fprintf(a.Stdout, "%s listed%s; %s hold %d in all\n", pluralize(len(r.Flows), "flow"), more, pluralize(len(r.Agents), "agent"), r.Local)
	return err
}
