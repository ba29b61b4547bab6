package fleet_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthwheel.example/amaranthwheel/internal/core/fleet"
	_ "amaranthwheel.example/amaranthwheel/internal/fixedseed"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// TestRandomChangesKeepFlows applies changes in random order, overlapping, with
// loss, duplication and reordering. No flow may be answered by two targets or
// break, unless its own agent crashed or its failure domain was taken out.
func TestRandomChangesKeepFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := options(rapid.Uint64Range(1, 1<<40).Draw(t, "seed"))
		o.Loss = rapid.Float64Range(0, 0.05).Draw(t, "loss")
		o.Duplication = rapid.Float64Range(0, 0.05).Draw(t, "duplication")
		o.Jitter = time.Duration(rapid.IntRange(1, 50).Draw(t, "jitter ms")) * time.Millisecond
		o.Connections = rapid.IntRange(20, 200).Draw(t, "connections")
		f := fleet.New(o)
		f.Run(15 * time.Second)
		open(f, 20)
		crashed := make(map[*fleet.Agent]bool)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			randomChange(t, f, crashed)
			open(f, 5)
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

// open starts n flows at once.
func open(f *fleet.Fleet, n int) {
	for range n {
		f.Open(time.Second)
	}
	f.Run(time.Second)
}

// randomChange makes one of the changes that may come at any moment.
func randomChange(t *rapid.T, f *fleet.Fleet, crashed map[*fleet.Agent]bool) {
	a := f.Agents[rapid.IntRange(0, len(f.Agents)-1).Draw(t, "agent")]
	serving := !a.Down && !a.Paused && a.Member.State == model.StateAlive
	switch rapid.IntRange(0, 7).Draw(t, "change") {
	case 0:
		f.Join()
	case 1:
		if serving {
			f.Drain(a)
		}
	case 2:
		if serving {
			crashed[a] = true
			f.Crash(a, detection)
		}
	case 3:
		if serving {
			f.Pause(a, time.Duration(rapid.IntRange(100, 5000).Draw(t, "frozen ms"))*time.Millisecond, detection)
		}
	case 4:
		f.SetDomain(rapid.IntRange(0, 2).Draw(t, "domain"), rapid.Bool().Draw(t, "out"))
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
