package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// maxExplainAgents is the maximum number of candidates that explain queries.
const maxExplainAgents = 16

func (a *App) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain where a caller's flow to a service is placed and why",
		ArgsUsage: "SERVICE CALLER_ADDRESS",
		Action:    a.wrapAction(a.explain),
	}
}

// explainReport is the output of explain.
type explainReport struct {
	Service model.ServiceName `json:"service"`
	Caller  netip.AddrPort    `json:"caller"`
	// Conclusion summarizes the explanations in one sentence.
	Conclusion string `json:"conclusion"`
	// Balancers and Agents are the explanations of the nodes that responded.
	Balancers []adminapi.Explanation `json:"balancers"`
	Agents    []adminapi.Explanation `json:"agents"`
	Failed    []failedQuery          `json:"silent,omitempty"`
	// notFoundMessages holds the messages of nodes on which the service is not
	// declared.
	notFoundMessages []string
}

// explain queries the named balancers and the agents that they rank.
func (a *App) explain(ctx context.Context, cmd *cli.Command) error {
	s, err := readSettings(cmd)
	if err != nil {
		return err
	}
	if err := s.requireBalancers(); err != nil {
		return err
	}
	args, err := parseArguments(cmd, "SERVICE", "CALLER_ADDRESS")
	if err != nil {
		return err
	}
	caller, err := netip.ParseAddrPort(args[1])
	if err != nil {
		return inputErrorf("%q is not a caller's address; write IP:port", args[1])
	}
	report := &explainReport{
		Service: model.ServiceName(args[0]), Caller: caller,
		Balancers: []adminapi.Explanation{}, Agents: []adminapi.Explanation{},
	}
	if err := report.collect(ctx, s.balancers); err != nil {
		return err
	}
	report.Conclusion = deriveConclusion(report)
	if s.format == formatJSON {
		return printJSON(a.Stdout, report)
	}
	return a.printExplanation(report)
}

// collect queries the balancers, then the agents that they rank, then the
// holders that the homes name.
func (r *explainReport) collect(ctx context.Context, balancers []netip.AddrPort) error {
	client := adminapi.NewClient(0)
	defer client.Close()
	r.Balancers = append(r.Balancers, r.queryNodes(ctx, client, balancers)...)
	if len(r.Balancers) == 0 {
		return r.noExplanationError(balancers)
	}
	agents := rankedAgents(r.Balancers)
	r.Agents = append(r.Agents, r.queryNodes(ctx, client, agents)...)
	holders := unqueriedHolders(r.Agents, agents)
	r.Agents = append(r.Agents, r.queryNodes(ctx, client, holders)...)
	return nil
}

// noExplanationError returns the error for the case that no balancer explained
// the flow. If all balancers responded that the service is not declared, the
// input is wrong.
func (r *explainReport) noExplanationError(balancers []netip.AddrPort) error {
	if len(r.notFoundMessages) == len(balancers) {
		return inputErrorf("%s", r.notFoundMessages[0])
	}
	return &noResponseError{fmt.Sprintf("no balancer explained the flow; first error: %s", r.Failed[0].Error)}
}

// queryNodes returns the explanations of the nodes that responded.
func (r *explainReport) queryNodes(ctx context.Context, client *adminapi.Client, nodes []netip.AddrPort) []adminapi.Explanation {
	results := adminapi.FanOut(ctx, nodes, func(ctx context.Context, node netip.AddrPort) (*adminapi.Explanation, error) {
		return client.Explain(ctx, node, r.Service, r.Caller)
	})
	var out []adminapi.Explanation
	for _, result := range results {
		if result.Err != nil {
			r.addFailure(result.Node, result.Err)
			continue
		}
		out = append(out, *result.Value)
	}
	return out
}

// addFailure records a node that returned no explanation.
func (r *explainReport) addFailure(node netip.AddrPort, err error) {
	r.Failed = append(r.Failed, failedQuery{node, err.Error()})
	var status *adminapi.StatusError
	if errors.As(err, &status) && status.Code == http.StatusNotFound {
		r.notFoundMessages = append(r.notFoundMessages, status.Message)
	}
}

// rankedAgents returns the addresses of at most maxExplainAgents agents that
// the balancers rank, the homes first.
func rankedAgents(balancers []adminapi.Explanation) []netip.AddrPort {
	var out []netip.AddrPort
	for rank := range adminapi.MaxCandidates {
		for _, b := range balancers {
			if b.Route == nil || rank >= len(b.Route.Candidates) || len(out) == maxExplainAgents {
				continue
			}
			if admin := b.Route.Candidates[rank].Admin; admin.IsValid() && !slices.Contains(out, admin) {
				out = append(out, admin)
			}
		}
	}
	return out
}

// unqueriedHolders returns the addresses of the holders that homes name and
// that have not been queried.
func unqueriedHolders(agents []adminapi.Explanation, queried []netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range agents {
		if e.Directory == nil || !e.Directory.HolderAdmin.IsValid() {
			continue
		}
		if admin := e.Directory.HolderAdmin; !slices.Contains(queried, admin) && !slices.Contains(out, admin) {
			out = append(out, admin)
		}
	}
	return out
}

func (a *App) printExplanation(r *explainReport) error {
	fmt.Fprintf(a.Stdout, "flow %s to %s\n%s\n", r.Caller, r.Service, r.Conclusion)
	for _, b := range r.Balancers {
		if err := a.printRoute(b); err != nil {
			return err
		}
	}
	for _, e := range r.Agents {
		a.printAgentView(e)
	}
	for _, failed := range r.Failed {
		fmt.Fprintf(a.Stdout, "note: %s did not explain: %s\n", failed.Address, failed.Error)
	}
	return nil
}

// printRoute prints a balancer's ranking of the candidates.
func (a *App) printRoute(b adminapi.Explanation) error {
	if b.Route == nil {
		return nil
	}
	home := string(b.Route.Home)
	if home == "" {
		home = "none"
	}
	fmt.Fprintf(a.Stdout, "\nbalancer %s: version %d, candidates %s, home %s\n", b.Node, b.ConfigVersion, b.Route.Digest, home)
	t := newTable("RANK", "AGENT", "TARGET", "DOMAIN", "STATE", "NEW FLOWS", "SCORE", "REASON")
	for _, c := range b.Route.Candidates {
		t.addRow(formatNonZero(c.Rank), string(c.Node), string(c.Target), string(c.Domain), string(c.State),
			formatYesNo(c.AcceptsNewFlows), strconv.FormatUint(c.Score, 10), c.Reason)
	}
	return t.print(a.Stdout)
}

// printAgentView prints the directory entry and the local flow of an agent, if
// it has them.
func (a *App) printAgentView(e adminapi.Explanation) {
	if d := e.Directory; d != nil {
		fmt.Fprintf(a.Stdout, "agent %s: directory entry: holder %s since %s, established %s\n",
			e.Node, d.Holder, timeOrUnknown(d.Since), formatYesNo(d.Established))
	}
	if h := e.LocalFlow; h != nil {
		fmt.Fprintf(a.Stdout, "agent %s: holds the flow since %s, last seen %s, established %s\n",
			e.Node, timeOrUnknown(h.Since), timeOrUnknown(h.LastSeen), formatYesNo(h.Established))
	}
}
