package dissemination_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// controlBudget is what one node may send and receive, in bytes a second.
	controlBudget = 7_000
	largeLimit    = 19 * time.Second
)

// largeCluster is 55 balancers and 500 agents of 25 services: a tenth of the
// balancers and agents that the product aims at, in the same proportion.
func largeCluster(t *testing.T, seed uint64) *cluster {
	const balancers, agents, services = 55, 500, 25
	c := newCluster(t, seed)
	var names []model.ServiceName
	for i := range services {
		names = append(names, model.ServiceName(fmt.Sprintf("service-%d", i)))
	}
	c.acceptServices(names...)
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
	took := c.await(time.Minute, "all nodes agree", func() bool {
		return c.inForce(c.store.config.Version)() && c.agree()
	})
	t.Logf("%d nodes agree %v after the last target announced itself", len(c.live()), took)
	c.run(30 * time.Second) // the first digests and dials settle
	return c
}

// traffic is what nodes send and receive in a while.
type traffic struct {
	duration         time.Duration
	balancers, agent []float64 // bytes a second
}

func (c *cluster) measure(d time.Duration) traffic {
	for _, n := range c.live() {
		n.bytes = 0
	}
	c.run(d)
	out := traffic{duration: d}
	for _, n := range c.live() {
		rate := float64(n.bytes) / d.Seconds()
		if n.self.Role == model.RoleBalancer {
			out.balancers = append(out.balancers, rate)
		} else {
			out.agent = append(out.agent, rate)
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
	c := largeCluster(t, 30)
	c.versionsNeverFall()
	steady := c.measure(20 * time.Second)
	t.Logf("steady, sent and received: balancer mean %.0f B/s, max %.0f; agent mean %.0f, max %.0f",
		mean(steady.balancers), slices.Max(steady.balancers), mean(steady.agent), slices.Max(steady.agent))
	if mean(steady.balancers) > controlBudget || mean(steady.agent) > controlBudget {
		t.Error("steady traffic exceeds the budget")
	}

	version := c.accept(domainState(domainOf(1), true))
	took := c.await(largeLimit, "the domain is out on every node", c.inForce(version))
	t.Logf("domain out in force on %d nodes after %v", len(c.live()), took)

	c.start(model.RoleBalancer, balancerID(99), domainOf(0))
	took = c.await(largeLimit, "a new balancer knows everything", func() bool {
		return c.inForce(version)() && c.agree()
	})
	t.Logf("new balancer is up to date after %v", took)

	c.crash(agentID(7))
	took = c.await(largeLimit, "the crashed agent is dead everywhere", c.everyBalancerSees(agentID(7), model.StateDead))
	t.Logf("crashed agent is dead on every balancer after %v", took)

	changes := c.changeCost()
	t.Logf("one service change costs a balancer %.0f B and an agent %.0f B above steady traffic", changes[0], changes[1])

	if changes[0] > 2*controlBudget {
		t.Errorf("one change costs a balancer %.0f B", changes[0])
	}

	lost, took := c.massLoss(domainOf(2))
	t.Logf("a failure domain of %d nodes is removed after %v", lost, took)
}

// changeCost returns what one service change costs a balancer and an agent in
// bytes sent and received, averaged over several.
func (c *cluster) changeCost() [2]float64 {
	const changes, window = 20, 20 * time.Second
	c.run(10 * time.Second)
	before := c.measure(window)
	for _, n := range c.live() {
		n.bytes = 0
	}
	for i := range changes {
		changed := serviceObject("service-3", 10)
		changed.Service.IdleTimeout = time.Duration(i) * time.Second
		c.accept(changed)
		c.run(window / changes)
	}
	var balancers, agents []float64
	for _, n := range c.live() {
		if n.self.Role == model.RoleBalancer {
			balancers = append(balancers, float64(n.bytes))
		} else {
			agents = append(agents, float64(n.bytes))
		}
	}
	extra := func(total, steady []float64) float64 {
		return (mean(total) - mean(steady)*window.Seconds()) / changes
	}
	return [2]float64{extra(balancers, before.balancers), extra(agents, before.agent)}
}

// massLoss crashes all nodes of a failure domain and returns how many there
// were and how long their removal on every balancer took.
func (c *cluster) massLoss(domain model.DomainName) (int, time.Duration) {
	var lost []model.NodeID
	for _, n := range c.live() {
		if n.self.Domain == domain {
			lost = append(lost, n.self.Node)
		}
	}
	for _, id := range lost {
		c.crash(id)
	}
	return len(lost), c.await(largeLimit, "the whole domain is removed", func() bool {
		return !slices.ContainsFunc(lost, func(id model.NodeID) bool {
			return !c.everyBalancerSees(id, model.StateDead)()
		})
	})
}
