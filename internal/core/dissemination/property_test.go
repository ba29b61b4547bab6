package dissemination_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// TestRandomFaults applies random faults and changes to a deployment. Versions
// never decrease on any node, and once the faults have ended all nodes converge
// on the newest version.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newDeployment(t, rapid.Uint64().Draw(rt, "seed"))
		c.checkVersionsMonotonic()
		loss := rapid.Float64Range(0, 0.2).Draw(rt, "loss")
		c.drop = func(from, to model.NodeID, m core.Message) bool { return c.rand.Float64() < loss }
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			c.injectFault(rt)
			c.run(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond)
		}
		c.drop = func(from, to model.NodeID, m core.Message) bool { return false }
		c.cut = func(a, b model.NodeID) bool { return false }
		c.store.down = false
		for _, n := range c.liveNodes() {
			if n.paused {
				c.resume(n.self.Node)
			}
		}
		c.await(2*time.Minute, "all nodes agree on the newest version", func() bool {
			return c.inForce(c.store.config.Version)() && c.hasConverged()
		})
	})
}

// injectFault applies one random fault or change.
func (c *cluster) injectFault(rt *rapid.T) {
	var ids []model.NodeID
	for _, n := range c.liveNodes() {
		if n.self.Node != balancerID(0) { // the seed that all nodes can fall back on
			ids = append(ids, n.self.Node)
		}
	}
	id := rapid.SampledFrom(ids).Draw(rt, "node")
	n := c.nodes[id]
	switch rapid.SampledFrom([]string{"crash", "restart", "pause", "resume", "cut", "heal", "stop", "change", "store"}).Draw(rt, "fault") {
	case "crash":
		c.crash(id)
	case "restart":
		c.start(n.self.Role, id, n.self.Domain)
		if n.self.Role == model.RoleAgent {
			c.announce(id, "drawings")
		}
	case "pause":
		c.pause(id)
	case "resume":
		c.resume(id)
	case "cut":
		others := rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[model.NodeID]).Draw(rt, "others")
		c.cut = cutBetween(id, func(other model.NodeID) bool { return slices.Contains(others, other) })
	case "heal":
		c.cut = func(a, b model.NodeID) bool { return false }
	case "stop":
		if !n.paused {
			c.step(n, core.StopRequested{})
		}
	case "change":
		out := rapid.Bool().Draw(rt, "out")
		c.commitChange(domainState(domainOf(rapid.IntRange(0, 3).Draw(rt, "domain")), out))
	case "store":
		c.store.down = !c.store.down
	}
}
