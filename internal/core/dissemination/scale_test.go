package dissemination_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// controlBudget is the control traffic that one node may send and receive, in
	// bytes per second.
	controlBudget    = 7_000
	convergenceLimit = 19 * time.Second
)

// newLargeCluster returns 55 balancers and 500 agents of 25 services: a tenth of
// the balancers and agents of the planned deployment, in the same proportion.
func newLargeCluster(t *testing.T, seed uint64) *cluster {
	const balancers, agents, services = 55, 500, 25
	c := newCluster(t, seed)
	var names []model.ServiceName
	for i := range services {
		names = append(names, model.ServiceName(fmt.Sprintf("service-%d", i)))
	}
	c.commitServices(names...)
	for i := range balancers {
		c.start(model.RoleBalancer, balancerID(i), domainOf(i))
	}
	c.run(3 * time.Second)
	for i := range agents {
		c.start(model.RoleAgent, agentID(i), domainOf(i))
	}
	c.run(3 * time.Second)
	for i := range agents {
		c.announce(agentID(i), names[i%services])
	}
	elapsed := c.await(time.Minute, "all nodes agree", func() bool {
		return c.inForce(c.store.config.Version)() && c.hasConverged()
	})
	t.Logf("%d nodes agree %v after the last target was announced", len(c.liveNodes()), elapsed)
	c.run(30 * time.Second) // lets the first digests and dials complete
	return c
}

// traffic is the rate at which nodes send and receive, one value per node.
type traffic struct {
	duration          time.Duration
	balancers, agents []float64 // bytes per second
}

func (c *cluster) measure(d time.Duration) traffic {
	for _, n := range c.liveNodes() {
		n.bytes = 0
	}
	c.run(d)
	out := traffic{duration: d}
	for _, n := range c.liveNodes() {
		rate := float64(n.bytes) / d.Seconds()
		if n.self.Role == model.RoleBalancer {
			out.balancers = append(out.balancers, rate)
		} else {
			out.agents = append(out.agents, rate)
		}
	}
	return out
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func TestChangesAreInForceOnALargeCluster(t *testing.T) {
	c := newLargeCluster(t, 30)
	c.checkVersionsMonotonic()
	steady := c.measure(20 * time.Second)
	t.Logf("steady, sent and received: balancer mean %.0f B/s, max %.0f; agent mean %.0f, max %.0f",
		mean(steady.balancers), slices.Max(steady.balancers), mean(steady.agents), slices.Max(steady.agents))
	if mean(steady.balancers) > controlBudget || mean(steady.agents) > controlBudget {
		t.Error("steady traffic exceeds the budget")
	}

	version := c.commitChange(domainState(domainOf(1), true))
	elapsed := c.await(convergenceLimit, "the domain is out on every node", c.inForce(version))
	t.Logf("domain out in force on %d nodes after %v", len(c.liveNodes()), elapsed)

	c.start(model.RoleBalancer, balancerID(99), domainOf(0))
	elapsed = c.await(convergenceLimit, "a new balancer is up to date", func() bool {
		return c.inForce(version)() && c.hasConverged()
	})
	t.Logf("new balancer is up to date after %v", elapsed)

	c.crash(agentID(7))
	elapsed = c.await(convergenceLimit, "the crashed agent is dead everywhere", c.allBalancersRecord(agentID(7), model.StateDead))
	t.Logf("crashed agent is dead on every balancer after %v", elapsed)

	changes := c.changeCost()
	t.Logf("one service change costs a balancer %.0f B and an agent %.0f B above steady traffic", changes[0], changes[1])

	if changes[0] > 2*controlBudget {
		t.Errorf("one change costs a balancer %.0f B", changes[0])
	}

	lost, elapsed := c.crashDomain(domainOf(2))
	t.Logf("a failure domain of %d nodes is removed after %v", lost, elapsed)
}

// changeCost returns the bytes that a balancer and an agent send and receive for
// one service change, averaged over several.
func (c *cluster) changeCost() [2]float64 {
	const changes, window = 20, 20 * time.Second
	c.run(10 * time.Second)
	before := c.measure(window)
	for _, n := range c.liveNodes() {
		n.bytes = 0
	}
	for i := range changes {
		changed := serviceObject("service-3", 10)
		changed.Service.IdleTimeout = time.Duration(i) * time.Second
		c.commitChange(changed)
		c.run(window / changes)
	}
	var balancers, agents []float64
	for _, n := range c.liveNodes() {
		if n.self.Role == model.RoleBalancer {
			balancers = append(balancers, float64(n.bytes))
		} else {
			agents = append(agents, float64(n.bytes))
		}
	}
	extra := func(total, steady []float64) float64 {
		return (mean(total) - mean(steady)*window.Seconds()) / changes
	}
	return [2]float64{extra(balancers, before.balancers), extra(agents, before.agents)}
}

// crashDomain crashes all nodes of a failure domain and returns their number and
// how long their removal on every balancer took.
func (c *cluster) crashDomain(domain model.DomainName) (int, time.Duration) {
	var lost []model.NodeID
	for _, n := range c.liveNodes() {
		if n.self.Domain == domain {
			lost = append(lost, n.self.Node)
		}
	}
	for _, id := range lost {
		c.crash(id)
	}
	return len(lost), c.await(convergenceLimit, "the whole domain is removed", func() bool {
		return !slices.ContainsFunc(lost, func(id model.NodeID) bool {
			return !c.allBalancersRecord(id, model.StateDead)()
		})
	})
}
