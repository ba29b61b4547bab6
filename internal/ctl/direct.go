package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/direct"
)

// flagHost names a host to begin with.
const flagHost = "host"

func (a *App) directCommand() *cli.Command {
	hosts := func() []cli.Flag {
		return []cli.Flag{&cli.StringSliceFlag{
			Name: flagHost, Usage: "metrics address `IP:PORT` of a balancer or an agent to begin with; repeatable", Required: true,
		}}
	}
	return &cli.Command{
		Name:  "direct",
		Usage: "ask the balancers and agents for direct server return; no store is needed",
		Commands: []*cli.Command{
			{Name: "status", Usage: "what each host believes, with ages", Flags: hosts(), Action: a.action(a.directStatus)},
			{Name: "explain", Usage: "where a flow is", ArgsUsage: "FLOW", Flags: hosts(), Action: a.action(a.directExplain)},
		},
	}
}

// directReport is the answer of direct status.
type directReport struct {
	Hosts  []hostView      `json:"hosts"`
	Silent []silentAddress `json:"silent,omitempty"`
}

// hostView is what one host believes.
type hostView struct {
	Address netip.AddrPort `json:"address"`
	steering.View
}

// directStatus prints what each host believes.
func (a *App) directStatus(ctx context.Context, cmd *cli.Command) error {
	w, err := walkHosts(ctx, cmd)
	if err != nil {
		return err
	}
	if _, err := arguments(cmd); err != nil {
		return err
	}
	report := directReport{Silent: w.silent}
	for _, address := range w.order() {
		report.Hosts = append(report.Hosts, hostView{address, w.views[address]})
	}
	if outputFormat(cmd.String(flagOutput)) == formatJSON {
		return printJSON(a.Stdout, report)
	}
	return a.printDirect(report)
}

func (a *App) printDirect(r directReport) error {
	hosts := newTable("NODE", "ROLE", "DOMAIN", "VERSION", "REVISION", "CONFIRMED", "FLOWS", "WAITING", "STATE")
	for _, h := range r.Hosts {
		hosts.add(h.Node, h.Role, h.Domain, positive(h.Version), strconv.FormatUint(h.Revision, 10), confirmed(h.View),
			strconv.Itoa(h.Flows), positive(int64(h.Queued)), stateOf(h.View))
	}
	if err := hosts.print(a.Stdout); err != nil {
		return err
	}
	for _, s := range r.Silent {
		fmt.Fprintf(a.Stdout, "%s did not answer: %s\n", s.Address, s.Error)
	}
	return nil
}

// positive prints a number, or nothing if it is 0.
func positive(n int64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatInt(n, 10)
}

// confirmed prints how long ago the store confirmed a balancer's configuration.
func confirmed(v steering.View) string {
	if v.Role != "balancer" {
		return ""
	}
	return age(v.ConfirmedMS)
}

// age prints an age in milliseconds.
func age(ms int64) string {
	const perSecond = 1000
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d.%d s ago", ms/perSecond, ms%perSecond/100)
}

// stateOf tells the state of an agent and its target, or what a balancer knows of
// its agents.
func stateOf(v steering.View) string {
	if v.Role == "balancer" {
		heard := 0
		for _, p := range v.Peers {
			if p.LastSeenMS >= 0 {
				heard++
			}
		}
		text := fmt.Sprintf("%d of %s answered", heard, count(len(v.Peers), "agent"))
		if len(v.DomainsOut) > 0 {
			text += ", out: " + strings.Join(v.DomainsOut, " ")
		}
		return text
	}
	state := "open"
	if v.Refusal != steering.NotRefused.String() {
		state = "refuses: " + v.Refusal
	}
	if t := v.Target; t != nil {
		state += fmt.Sprintf(", %s of %s, %d in work on %s, heard %s", t.Instance, t.Service, t.InFlight, count(t.Slots, "slot"), age(t.LastSeenMS))
	}
	return state
}

// flowAnswers is the answer of direct explain.
type flowAnswers struct {
	Flow   string              `json:"flow"`
	Hosts  []steering.FlowView `json:"hosts"`
	Silent []silentAddress     `json:"silent,omitempty"`
}

// directExplain asks every host what it knows of a flow.
func (a *App) directExplain(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "FLOW")
	if err != nil {
		return err
	}
	flow, err := steering.ParseFlow(args[0])
	if err != nil {
		return inputErrorf("flow %q: %v", args[0], err)
	}
	w, err := walkHosts(ctx, cmd)
	if err != nil {
		return err
	}
	answers := flowAnswers{Flow: flow.String(), Silent: w.silent}
	query := url.Values{"flow": {flow.String()}}.Encode()
	for _, address := range w.order() {
		var v steering.FlowView
		if err := w.get(ctx, address, direct.FlowPath+"?"+query, &v); err != nil {
			answers.Silent = append(answers.Silent, silentAddress{address, err.Error()})
			continue
		}
		answers.Hosts = append(answers.Hosts, v)
	}
	if outputFormat(cmd.String(flagOutput)) == formatJSON {
		return printJSON(a.Stdout, answers)
	}
	return a.printFlow(answers)
}

func (a *App) printFlow(f flowAnswers) error {
	known := slices.DeleteFunc(slices.Clone(f.Hosts), func(v steering.FlowView) bool { return !v.Known })
	fmt.Fprintf(a.Stdout, "flow %s is known to %d of %s\n", f.Flow, len(known), count(len(f.Hosts), "host"))
	t := newTable("NODE", "ROLE", "STATE", "HOLDER", "LAST SEGMENT", "IN WORK")
	for _, v := range known {
		t.add(v.Node, v.Role, v.State, v.Holder, age(v.LastSeenMS), yesNo(v.RequestInFlight))
	}
	if len(known) > 0 {
		if err := t.print(a.Stdout); err != nil {
			return err
		}
	}
	for _, s := range f.Silent {
		fmt.Fprintf(a.Stdout, "%s did not answer: %s\n", s.Address, s.Error)
	}
	return nil
}
