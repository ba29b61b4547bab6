package dissemination_test

import (
	"errors"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

var storeFailed = core.StoreFailed{Err: errors.New("watch ended")}

func (c *cluster) storeWatchers() int {
	count := 0
	for _, n := range c.liveNodes() {
		if n.watching {
			count++
		}
	}
	return count
}

// With two store readers, one paused and the other dead, no balancer read the
// store for seconds; so there are three.
func TestThreeBalancersWatchTheStore(t *testing.T) {
	c := newDeployment(t, 20)
	c.run(time.Minute)
	if got := c.storeWatchers(); got != 3 {
		t.Fatalf("%d balancers watch the store, want 3", got)
	}
	crashed := 0
	for _, n := range c.liveNodes() {
		if n.watching && crashed < 2 {
			c.crash(n.self.Node)
			crashed++
		}
	}
	if got := c.storeWatchers(); got != 1 {
		t.Fatalf("%d balancers watch the store right after two have crashed, want 1", got)
	}
	c.await(15*time.Second, "the other balancer takes over the watch", func() bool { return c.storeWatchers() == 2 })
}

func TestStoreOutageAndRecoveryCauseNoThunderingHerd(t *testing.T) {
	const balancers = 50
	c := newCluster(t, 21)
	c.commitServices("lease-desk")
	for i := range balancers {
		c.start(model.RoleBalancer, balancerID(i), domainOf(i))
	}
	c.await(20*time.Second, "the first version is in force", c.inForce(1))
	c.run(time.Minute)
	c.store.loads = 0
	c.store.down = true
	for _, n := range c.liveNodes() {
		if n.watching {
			c.postEvent(n.self.Node, storeFailed)
		}
	}
	c.run(10 * time.Minute)
	readsDuringOutage := c.store.loads
	c.store.down = false
	maxReadsPerSecond := 0
	version := c.commitChange(domainState(domainOf(1), true))
	for range 60 {
		c.store.loads = 0
		c.run(time.Second)
		maxReadsPerSecond = max(maxReadsPerSecond, c.store.loads)
	}
	t.Logf("%d reads in 10 min of outage, at most %d in one second after it", readsDuringOutage, maxReadsPerSecond)
	if readsDuringOutage > 300 || maxReadsPerSecond > 5 {
		t.Fatalf("%d reads during the outage, %d in a second after it", readsDuringOutage, maxReadsPerSecond)
	}
	c.await(time.Second, "the change made during the outage is in force", c.inForce(version))
}

func TestSimultaneousBalancerStartsLimitStoreReads(t *testing.T) {
	c := newCluster(t, 22)
	c.commitServices("lease-desk")
	for i := range 50 {
		c.start(model.RoleBalancer, balancerID(i), domainOf(i))
	}
	elapsed := c.await(20*time.Second, "the first version is in force", c.inForce(1))
	t.Logf("%d reads for 50 balancers, in force after %v", c.store.loads, elapsed)
	if c.store.loads > 25 {
		t.Fatalf("%d reads", c.store.loads)
	}
}
