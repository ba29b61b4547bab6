package dissemination_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

func TestDeploymentConverges(t *testing.T) {
	c := newDeployment(t, 1)
	for _, n := range c.liveNodes() {
		if n.self.Role == model.RoleAgent && !n.Board().Self.AcceptsNewWork() {
			t.Errorf("%s does not accept new work: %+v", n.self.Node, n.Board().Self)
		}
		if n.self.Role == model.RoleAgent && !n.Board().Lease.Valid(c.now) {
			t.Errorf("%s has no lease", n.self.Node)
		}
	}
}

func TestDomainOutIsInForceWithinFiveSeconds(t *testing.T) {
	c := newDeployment(t, 2)
	c.checkVersionsMonotonic()
	version := c.commitChange(domainState(domainOf(1), true))
	elapsed := c.await(5*time.Second, "the domain is out on every node", c.inForce(version))
	t.Logf("in force on %d nodes after %v", len(c.liveNodes()), elapsed)
	for _, n := range c.liveNodes() {
		if want := n.self.Domain == domainOf(1); n.Board().Self.DomainOut != want && n.self.Role == model.RoleAgent {
			c.run(core.TickInterval)
			if n.Board().Self.DomainOut != want {
				t.Errorf("%s: domain out is %v", n.self.Node, n.Board().Self.DomainOut)
			}
		}
	}
}
