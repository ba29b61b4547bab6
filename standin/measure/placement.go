// Package measure compares ways to carry flows on the same list of events, in
// virtual time with fixed seeds.
package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/fleet"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	settle    = 15 * time.Second // lets a fleet's views settle
	detection = 6 * time.Second  // until a crash is known
	cooldown  = 40 * time.Second // longer than the callers' idle timeout
)

// change is one kind of event that meets open flows.
type change struct {
	name string
	run  func(f *fleet.Fleet)
}

// changes lists the events in the order of the report.
func changes() []change {
	return []change{
		{"steady", func(*fleet.Fleet) {}},
		{"balancer replaced", func(f *fleet.Fleet) {
			f.Balancers[0].Down = true
			f.AddBalancer()
		}},
		{"target joins", func(f *fleet.Fleet) { f.JoinAgent() }},
		{"target drains", func(f *fleet.Fleet) { f.Drain(f.Agents[1]) }},
		{"drain and join at once", func(f *fleet.Fleet) {
			f.Drain(f.Agents[1])
			f.JoinAgent()
		}},
		{"agent paused 8 s, one joins", func(f *fleet.Fleet) {
			f.Pause(f.Agents[2], detection+2*time.Second, detection)
			f.JoinAgent()
		}},
		{"agent crashes", func(f *fleet.Fleet) { f.Crash(f.Agents[3], detection) }},
		{"domain out and in", func(f *fleet.Fleet) {
			f.SetDomainOut(0, true)
			f.Run(20 * time.Second)
			f.SetDomainOut(0, false)
		}},
	}
}

// Result sums up one strategy under one change over several seeds.
type Result struct {
	Change   string
	Strategy fleet.Strategy
	// Broken counts flows that broke although their own target was up;
	// LeastBroken and MostBroken are its spread over the seeds.
	Broken, LeastBroken, MostBroken int
	// Lost counts flows whose own target crashed, GivenUp those in a failure
	// domain that was taken out.
	Lost, GivenUp, Opened int
	// Imbalance and WorstStall are the worst over the seeds.
	Imbalance  float64
	WorstStall time.Duration
	// PlacementBytes is the traffic of placement messages for each flow opened;
	// Forwards is the share of datagrams that one agent passed to another.
	PlacementBytes, Forwards float64
}

// Placement measures every strategy under every change.
func Placement(seeds int) []Result {
	var out []Result
	for _, c := range changes() {
		for _, s := range []fleet.Strategy{fleet.StrategyFlowTable, fleet.StrategyHashOnly, fleet.StrategyHome} {
			out = append(out, measure(c, s, seeds))
		}
	}
	return out
}

func measure(c change, s fleet.Strategy, seeds int) Result {
	r := Result{Change: c.name, Strategy: s}
	var cost fleet.Cost
	for seed := 1; seed <= seeds; seed++ {
		f := run(c, s, uint64(seed))
		broken, lost := brokenFlows(f)
		report := f.Report()
		if seed == 1 {
			r.LeastBroken = broken
		}
		r.Broken += broken
		r.LeastBroken = min(r.LeastBroken, broken)
		r.MostBroken = max(r.MostBroken, broken)
		r.Lost += lost
		r.GivenUp += report.Abandoned
		r.Opened += report.Opened
		r.Imbalance = max(r.Imbalance, report.Imbalance)
		r.WorstStall = max(r.WorstStall, report.WorstStall)
		cost.PlacementBytes += f.Cost.PlacementBytes
		cost.Forwards += f.Cost.Forwards
		cost.Packets += f.Cost.Packets
	}
	r.PlacementBytes = float64(cost.PlacementBytes) / float64(r.Opened)
	r.Forwards = float64(cost.Forwards) / float64(cost.Packets)
	return r
}

// run opens flows, lets the change meet them and opens more.
func run(c change, s fleet.Strategy, seed uint64) *fleet.Fleet {
	f := fleet.New(fleet.Options{
		Seed: seed, Strategy: s, Mode: model.ModeRequest,
		Agents: 7, Domains: 3, Balancers: 4, Slots: 10, Connections: 2000,
		Delay: 1500 * time.Microsecond, Jitter: time.Millisecond,
		Loss: 0.01, Duplication: 0.01, MaxPropagationDelay: 3 * time.Second,
	})
	f.Run(settle)
	open(f, 100)
	c.run(f)
	open(f, 100)
	f.Run(cooldown)
	return f
}

// open starts n flows over a minute.
func open(f *fleet.Fleet, n int) {
	for range n {
		f.OpenFlow(time.Second)
		f.Run(time.Minute / time.Duration(n))
	}
}

// brokenFlows tells the broken flows whose target was up from those whose
// target crashed.
func brokenFlows(f *fleet.Fleet) (broken, lost int) {
	for _, fl := range f.Flows {
		switch {
		case fl.Broken && fl.Target.Down:
			lost++
		case fl.Broken:
			broken++
		}
	}
	return broken, lost
}

// Print writes the results as a table.
func Print(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "change\tway\topened\tbroken (least-most a seed)\tlost with target\tgiven up\timbalance\tworst stall\tplacement B/flow\tforwarded")
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d (%d-%d)\t%d\t%d\t%.2f\t%.1f s\t%.0f\t%.0f %%\n",
			r.Change, r.Strategy, r.Opened, r.Broken, r.LeastBroken, r.MostBroken, r.Lost, r.GivenUp,
			r.Imbalance, r.WorstStall.Seconds(), r.PlacementBytes, 100*r.Forwards)
	}
	return tw.Flush()
}
