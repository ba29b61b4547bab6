package steering_test

import (
	"testing"
	"time"
)

// farWorld has a balancer beside two agents, and three agents in another domain.
func farWorld(t *testing.T, seed uint64) (w *world, near, far []*agentNode) {
	t.Helper()
	w = newWorld(t, seed)
	for range 2 {
		near = append(near, w.addAgent("a"))
	}
	for range 3 {
		far = append(far, w.addAgent("b"))
	}
	w.run(2 * time.Second)
	w.addBalancer("a")
	w.run(4 * time.Second)
	return w, near, far
}

// Load: none. Bytes between failure domains are dear, and their number grows with
// balancers times agents: fleetbench sweep otia-masts, 0.26 of the worth at 300
// hosts.
func TestFarAgentsAreAskedSeldomWhileNearOnesServe(t *testing.T) {
	w, near, far := farWorld(t, 30)
	before := make(map[*agentNode]int)
	for _, a := range w.agents {
		before[a] = a.pings
	}
	w.run(20 * time.Second)
	for _, a := range near {
		if got := a.pings - before[a]; got < 35 {
			t.Errorf("near agent %s got %d pings in 20 s, want two a second", a.name, got)
		}
	}
	for _, a := range far {
		if got := a.pings - before[a]; got > 12 {
			t.Errorf("far agent %s got %d pings in 20 s, want one in two seconds", a.name, got)
		}
	}
}

// Load: all agents of the own failure domain leave or die at once. Flows open in
// the other one nearly as soon as this is known.
func TestFarAgentsServeAtOnceWhenNearOnesAreGone(t *testing.T) {
	for name, lose := range map[string]func(*world, *agentNode){
		"draining":  func(_ *world, a *agentNode) { a.target.draining = true },
		"taken out": func(w *world, _ *agentNode) { w.out["a"] = true; w.storeChanged() },
		"dead":      func(_ *world, a *agentNode) { a.up, a.target.up = false, false },
	} {
		t.Run(name, func(t *testing.T) {
			w, near, _ := farWorld(t, 31)
			for _, a := range near {
				lose(w, a)
			}
			// Dead agents are suspected after 1.2 s of silence; a heartbeat tells that
			// a target drains.
			w.run(1300 * time.Millisecond)
			var callers []*caller
			for range 20 {
				callers = append(callers, w.open())
			}
			w.run(time.Second)
			for _, c := range callers {
				if c.holder == nil || c.openedAt.Sub(c.startedAt) > 100*time.Millisecond {
					t.Errorf("flow %s opened after %v", c.flow, c.openedAt.Sub(c.startedAt))
				}
			}
		})
	}
}
