package fleet_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthwheel.example/amaranthwheel/internal/core/fleet"
	_ "amaranthwheel.example/amaranthwheel/internal/fixedseed"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// TestRandomChangesKeepFlows applies random, overlapping changes with loss,
// duplication and reordering of datagrams. No flow may get responses of two targets
// or break, unless its own agent crashed or its failure domain was taken out.
func TestRandomChangesKeepFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := defaultOptions(rapid.Uint64Range(1, 1<<40).Draw(t, "seed"))
		o.Loss = rapid.Float64Range(0, 0.05).Draw(t, "loss")
		o.Duplication = rapid.Float64Range(0, 0.05).Draw(t, "duplication")
		o.Jitter = time.Duration(rapid.IntRange(1, 50).Draw(t, "jitter ms")) * time.Millisecond
		o.Connections = rapid.IntRange(20, 200).Draw(t, "connections")
		f := fleet.New(o)
		f.Run(15 * time.Second)
		openFlowsAtOnce(f, 20)
		crashed := make(map[*fleet.Agent]bool)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			applyRandomChange(t, f, crashed)
			openFlowsAtOnce(f, 5)
			f.Run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause ms")) * time.Millisecond)
		}
		f.Run(45 * time.Second)
		for _, fl := range f.Flows {
			if fl.Broken && !crashed[fl.Target] {
				t.Errorf("flow %v of %s broke: %s", fl.Key, fl.Target.Member.Node, fl.Reason)
			}
		}
		for _, v := range f.Violations {
			t.Error(v)
		}
	})
}

// openFlowsAtOnce opens n flows at the same time and advances time by a second.
func openFlowsAtOnce(f *fleet.Fleet, n int) {
	for range n {
		f.OpenFlow(time.Second)
	}
	f.Run(time.Second)
}

// applyRandomChange applies one random change.
func applyRandomChange(t *rapid.T, f *fleet.Fleet, crashed map[*fleet.Agent]bool) {
	a := f.Agents[rapid.IntRange(0, len(f.Agents)-1).Draw(t, "agent")]
	isServing := !a.Down && !a.Paused && a.Member.State == model.StateAlive
	switch rapid.IntRange(0, 7).Draw(t, "change") {
	case 0:
		f.JoinAgent()
	case 1:
		if isServing {
			f.Drain(a)
		}
	case 2:
		if isServing {
			crashed[a] = true
			f.Crash(a, detectionTime)
		}
	case 3:
		if isServing {
			f.Pause(a, time.Duration(rapid.IntRange(100, 5000).Draw(t, "frozen ms"))*time.Millisecond, detectionTime)
		}
	case 4:
		f.SetDomainOut(rapid.IntRange(0, 2).Draw(t, "domain"), rapid.Bool().Draw(t, "out"))
	case 5:
		f.AddBalancer()
	case 6:
		if a.Down && crashed[a] {
			f.Restart(a)
		}
	case 7:
		if len(f.Balancers) > 2 {
			f.Balancers[0].Down = true
		}
	}
}
