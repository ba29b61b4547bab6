package ctl

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/direct"
	"amaranthwheel.example/amaranthwheel/internal/revision"
)

// flagHost is the flag that names a host at which discovery starts.
const flagHost = "host"

func (a *App) directCommand() *cli.Command {
	hosts := func() []cli.Flag {
		return []cli.Flag{&cli.StringSliceFlag{
			Name: flagHost, Usage: "metrics address `IP:PORT` of a balancer or an agent to start from; repeatable", Required: true,
		}}
	}
	return &cli.Command{
		Name:  "direct",
		Usage: "query the balancers and agents of direct server return and check its configuration; needs no store",
		Commands: []*cli.Command{
			{Name: "status", Usage: "show the view of each host, with ages", Flags: hosts(), Action: a.wrapAction(a.directStatus)},
			{Name: "explain", Usage: "show what each host knows of a flow", ArgsUsage: "FLOW", Flags: hosts(), Action: a.wrapAction(a.directExplain)},
			a.directCheckCommand(),
		},
	}
}

// directReport is the output of direct status.
type directReport struct {
	Hosts  []hostView    `json:"hosts"`
	Failed []failedQuery `json:"silent,omitempty"`
}

// hostView is the view of one host.
type hostView struct {
	Address netip.AddrPort `json:"address"`
	steering.View
}

// directStatus prints the view of each host.
func (a *App) directStatus(ctx context.Context, cmd *cli.Command) error {
	d, err := discoverHosts(ctx, cmd)
	if err != nil {
		return err
	}
	if _, err := parseArguments(cmd); err != nil {
		return err
	}
	report := directReport{Failed: d.failed}
	for _, address := range d.sortedHosts() {
		report.Hosts = append(report.Hosts, hostView{address, d.views[address]})
	}
	if outputFormat(cmd.String(flagOutput)) == formatJSON {
		return printJSON(a.Stdout, report)
	}
	return a.printDirect(report)
}

func (a *App) printDirect(r directReport) error {
	hosts := newTable("NODE", "ROLE", "DOMAIN", "VERSION", "REVISION", "CONFIRMED", "FLOWS", "WAITING", "STATE")
	for _, h := range r.Hosts {
		hosts.addRow(h.Node, h.Role, h.Domain, formatNonZero64(h.Version), formatRevision(h.View), confirmedAge(h.View),
			strconv.Itoa(h.Flows), formatNonZero64(int64(h.Queued)), describeState(h.View))
	}
	if err := hosts.print(a.Stdout); err != nil {
		return err
	}
	for _, s := range r.Failed {
		fmt.Fprintf(a.Stdout, "%s did not answer: %s\n", s.Address, s.Error)
	}
	return a.printDemand(r)
}

// demandRow is a row of the demand table: the sum over the hosts of a role.
type demandRow struct {
	steering.DemandView
	role string
}

// printDemand prints what callers asked for by service, priority and role of the host.
func (a *App) printDemand(r directReport) error {
	rows := sumDemand(r.Hosts)
	if len(rows) == 0 {
		return nil
	}
	fmt.Fprintln(a.Stdout)
	t := newTable("SERVICE", "PRIORITY", "COUNTED BY", "ASKED", "ADMITTED", "LATE", "WAITING", "OLDEST", "REFUSED")
	for _, row := range rows {
		oldest := ""
		if row.Waiting > 0 {
			oldest = strconv.FormatInt(row.OldestWaitMS, 10) + " ms"
		}
		t.addRow(row.Service, strconv.Itoa(int(row.Priority)), row.role+"s", formatCount(row.Asked), formatCount(row.Admitted),
			formatCount(row.Late), formatNonZero64(int64(row.Waiting)), oldest, formatReasons(row.Refused))
	}
	return t.print(a.Stdout)
}

// sumDemand sums the demand over the hosts of each role, sorted by service, priority and role.
func sumDemand(hosts []hostView) []*demandRow {
	type key struct {
		service, role string
		priority      uint8
	}
	sums := make(map[key]*demandRow)
	for _, h := range hosts {
		for _, d := range h.Demand {
			k := key{d.Service, h.Role, d.Priority}
			if sums[k] == nil {
				sums[k] = &demandRow{role: h.Role, DemandView: steering.DemandView{DemandCount: steering.DemandCount{
					Service: d.Service, Priority: d.Priority, Refused: make(map[string]uint64),
				}}}
			}
			sums[k].add(d)
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(x, y *demandRow) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Priority, y.Priority), -cmp.Compare(x.role, y.role))
	})
}

// add adds the demand at a host.
func (r *demandRow) add(d steering.DemandView) {
	r.Asked += d.Asked
	r.Admitted += d.Admitted
	r.Late += d.Late
	r.Waiting += d.Waiting
	r.OldestWaitMS = max(r.OldestWaitMS, d.OldestWaitMS)
	for reason, n := range d.Refused {
		r.Refused[reason] += n
	}
}

// formatCount formats a total, or returns "" if it is 0.
func formatCount(n uint64) string { return formatNonZero64(int64(n)) }

// formatReasons formats the numbers of refusals by reason.
func formatReasons(reasons map[string]uint64) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, reasons[reason]))
	}
	return strings.Join(parts, ", ")
}

// formatNonZero64 formats a number, or returns "" if it is 0.
func formatNonZero64(n int64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatInt(n, 10)
}

// confirmedAge formats the time since the store confirmed a balancer's
// configuration.
func confirmedAge(v steering.View) string {
	if v.Role != "balancer" {
		return ""
	}
	return formatAge(v.ConfirmedMS)
}

// formatAge formats an age in milliseconds.
func formatAge(ms int64) string {
	const perSecond = 1000
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d.%d s ago", ms/perSecond, ms%perSecond/100)
}

// describeState describes the state of an agent and its target or, for a
// balancer, how many agents it has received replies from.
func describeState(v steering.View) string {
	if v.Role == "balancer" {
		answered := 0
		for _, p := range v.Peers {
			if p.LastSeenMS >= 0 {
				answered++
			}
		}
		text := fmt.Sprintf("%d of %s answered", answered, pluralize(len(v.Peers), "agent"))
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
		state += fmt.Sprintf(", %s of %s, %d in work on %s, heard %s", t.Instance, t.Service, t.InFlight, pluralize(t.Slots, "slot"), formatAge(t.LastSeenMS))
	}
	return state
}

// directFlowReport is the output of direct explain.
type directFlowReport struct {
	Flow   string              `json:"flow"`
	Hosts  []steering.FlowView `json:"hosts"`
	Failed []failedQuery       `json:"silent,omitempty"`
}

// directExplain queries every host for its view of a flow.
func (a *App) directExplain(ctx context.Context, cmd *cli.Command) error {
	args, err := parseArguments(cmd, "FLOW")
	if err != nil {
		return err
	}
	flow, err := steering.ParseFlow(args[0])
	if err != nil {
		return inputErrorf("flow %q: %v", args[0], err)
	}
	d, err := discoverHosts(ctx, cmd)
	if err != nil {
		return err
	}
	report := directFlowReport{Flow: flow.String(), Failed: d.failed}
	query := url.Values{"flow": {flow.String()}}.Encode()
	for _, address := range d.sortedHosts() {
		var v steering.FlowView
		if err := d.getJSON(ctx, address, direct.FlowPath+"?"+query, &v); err != nil {
			report.Failed = append(report.Failed, failedQuery{address, err.Error()})
			continue
		}
		report.Hosts = append(report.Hosts, v)
	}
	if outputFormat(cmd.String(flagOutput)) == formatJSON {
		return printJSON(a.Stdout, report)
	}
	return a.printFlow(report)
}

func (a *App) printFlow(f directFlowReport) error {
	known := slices.DeleteFunc(slices.Clone(f.Hosts), func(v steering.FlowView) bool { return !v.Known })
	fmt.Fprintf(a.Stdout, "flow %s is known to %d of %s\n", f.Flow, len(known), pluralize(len(f.Hosts), "host"))
	t := newTable("NODE", "ROLE", "STATE", "HOLDER", "LAST SEGMENT", "IN WORK")
	for _, v := range known {
		t.addRow(v.Node, v.Role, v.State, v.Holder, formatAge(v.LastSeenMS), formatYesNo(v.RequestInFlight))
	}
	if len(known) > 0 {
		if err := t.print(a.Stdout); err != nil {
			return err
		}
	}
	for _, s := range f.Failed {
		fmt.Fprintf(a.Stdout, "%s did not answer: %s\n", s.Address, s.Error)
	}
	return nil
}

// formatRevision formats the revision that a host knows, with the store's era before it
// if the store was restored.
func formatRevision(v steering.View) string { return revision.New(v.Era, v.Revision).String() }
