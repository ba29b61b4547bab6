package steering_test

import (
	"testing"
	"time"
)

// newTwoDomainWorld has a balancer and two agents in one domain, and a number of agents in
// another.
func newTwoDomainWorld(t *testing.T, seed uint64, remoteAgents int) (w *world, local, remote []*agentNode) {
	t.Helper()
	w = newWorld(t, seed)
	for range 2 {
		local = append(local, w.addAgent("a"))
	}
	for range remoteAgents {
		remote = append(remote, w.addAgent("b"))
	}
	w.run(2 * time.Second)
	w.addBalancer("a")
	w.run(4500 * time.Millisecond) // between two regular pings to remote agents
	return w, local, remote
}

// Traffic between failure domains is costly, and pings grow with balancers times
// agents: 0.26 of the worth at 300 hosts in fleetbench sweep otia-masts.
func TestRemoteAgentsArePingedRarelyWhileLocalOnesServe(t *testing.T) {
	w, local, remote := newTwoDomainWorld(t, 30, 3)
	before := make(map[*agentNode]int)
	for _, a := range w.agents {
		before[a] = a.pings
	}
	w.run(20 * time.Second)
	for _, a := range local {
		if got := a.pings - before[a]; got < 35 {
			t.Errorf("local agent %s got %d pings in 20 s, want two a second", a.name, got)
		}
	}
	for _, a := range remote {
		if got := a.pings - before[a]; got > 12 {
			t.Errorf("remote agent %s got %d pings in 20 s, want one in two seconds", a.name, got)
		}
	}
}

// Each change of the configuration or of the agents made every balancer ping every agent:
// 0.13 of the worth at 300 hosts in fleetbench sweep otia-masts-large. Agents of other
// domains have balancers of their own.
func TestChangesAreAnnouncedToLocalAgentsAndFewOthers(t *testing.T) {
	const remoteAgents, mostAnnounced = 30, 8
	w, local, remote := newTwoDomainWorld(t, 32, remoteAgents)
	before := make(map[*agentNode]int)
	for _, a := range w.agents {
		before[a] = a.pings
	}
	w.notifyStoreChange()
	w.run(10 * time.Millisecond)
	for _, a := range local {
		if a.pings == before[a] {
			t.Errorf("local agent %s was not told of the change within 10 ms", a.name)
		}
	}
	announced := 0
	for _, a := range remote {
		announced += a.pings - before[a]
	}
	if announced == 0 || announced > 2*mostAnnounced {
		t.Errorf("%d pings to agents of another domain, want up to %d for the configuration and as many for the list", announced, mostAnnounced)
	}
}

// The balancers of a failure domain are gone when it is taken out. Its agents must hear of
// it from others within the regular interval.
func TestDomainWithoutBalancersIsTakenOut(t *testing.T) {
	w, _, remote := newTwoDomainWorld(t, 33, 3)
	w.domainsOut["b"] = true
	w.notifyStoreChange()
	w.run(2200 * time.Millisecond)
	for _, a := range remote {
		if got := a.core.View(w.now).DomainsOut; len(got) != 1 {
			t.Errorf("agent %s knows %v as taken out after 2.2 s, want its domain", a.name, got)
		}
	}
}

// manyRemoteAgents is a number of agents of which unused ones are pinged every 5 s.
const manyRemoteAgents = 200

// Pings to other failure domains must not grow with the fleet (fleetbench sweep
// otia-masts-large, 300 hosts).
func TestRemotePingsOfABalancerAreBounded(t *testing.T) {
	w, _, remote := newTwoDomainWorld(t, 34, manyRemoteAgents)
	before := 0
	for _, a := range remote {
		before += a.pings
	}
	w.run(20 * time.Second)
	got := -before
	for _, a := range remote {
		got += a.pings
	}
	if got > 20*45 {
		t.Errorf("%d pings to other domains in 20 s, want about 40 a second", got)
	}
}

// Half of the agents of another domain die while nobody needs them, then those of the
// local domain. Flows must not be offered to dead agents: one unanswered ping is repeated
// and makes the agent suspect, however long the regular interval is.
func TestDeadRemoteAgentsAreSuspectedWithinOneInterval(t *testing.T) {
	w, local, remote := newTwoDomainWorld(t, 35, manyRemoteAgents)
	for _, a := range remote[:100] {
		a.up, a.target.up = false, false
	}
	w.run(5*time.Second + 1300*time.Millisecond)
	for _, a := range local {
		a.target.draining = true
	}
	w.run(600 * time.Millisecond) // the next heartbeats tell
	var callers []*caller
	for range 100 {
		callers = append(callers, w.open())
	}
	w.run(time.Second)
	for _, c := range callers {
		if c.holder == nil || c.openedAt.Sub(c.startedAt) > 100*time.Millisecond {
			t.Errorf("flow %s opened after %v", c.flow, c.openedAt.Sub(c.startedAt))
		}
	}
}

// All agents of the local failure domain are drained or die at once. Flows must
// open in the other domain nearly as soon as this is known.
func TestRemoteAgentsServeAtOnceWhenLocalOnesAreUnavailable(t *testing.T) {
	for name, makeUnavailable := range map[string]func(*world, *agentNode){
		"draining":  func(_ *world, a *agentNode) { a.target.draining = true },
		"taken out": func(w *world, _ *agentNode) { w.domainsOut["a"] = true; w.notifyStoreChange() },
		"dead":      func(_ *world, a *agentNode) { a.up, a.target.up = false, false },
	} {
		t.Run(name, func(t *testing.T) {
			w, local, _ := newTwoDomainWorld(t, 31, 3)
			for _, a := range local {
				makeUnavailable(w, a)
			}
			// Dead agents are suspected after 1.2 s of silence; a draining target is
			// reported by its heartbeat.
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
