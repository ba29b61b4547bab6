package dissemination_test

import (
	"slices"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// cutBetween returns a cut of the links between a node and the selected nodes.
func cutBetween(node model.NodeID, selects func(model.NodeID) bool) func(a, b model.NodeID) bool {
	return func(a, b model.NodeID) bool {
		return (a == node && selects(b)) || (b == node && selects(a))
	}
}

func anyNode(model.NodeID) bool { return true }

// checkNeverDead checks on every tick that no node has recorded any of the nodes
// as dead.
func (c *cluster) checkNeverDead(ids ...model.NodeID) {
	c.check = func() {
		for _, n := range c.liveNodes() {
			for _, id := range ids {
				if n.Board().Members.Records[id].State == model.StateDead {
					c.t.Fatalf("%s recorded %s as dead", n.self.Node, id)
				}
			}
		}
	}
}

func TestPausedBalancerResumesWithStaleState(t *testing.T) {
	c := newDeployment(t, 3)
	c.checkVersionsMonotonic()
	paused := balancerID(2)
	c.pause(paused)
	c.run(2 * time.Second)
	version := c.commitChange(domainState(domainOf(1), true))
	c.crash(agentID(3))
	c.run(20 * time.Second)
	if got := c.recordedState(balancerID(0), agentID(3)); got != model.StateDead {
		t.Fatalf("crashed agent is %v", got)
	}
	c.resume(paused)
	c.check = func() {
		for _, id := range []model.NodeID{agentID(0), agentID(1), agentID(2), balancerID(0), balancerID(1)} {
			if got := c.recordedState(paused, id); got >= model.StateSuspect {
				t.Fatalf("resumed balancer recorded %s as %v", id, got)
			}
		}
	}
	c.await(5*time.Second, "the change is in force on the resumed balancer", c.inForce(version))
	c.await(10*time.Second, "all nodes agree", c.hasConverged)
	if got := c.recordedState(balancerID(0), paused); got != model.StateAlive {
		t.Fatalf("resumed balancer is %v", got)
	}
	if got := c.recordedState(paused, agentID(3)); got != model.StateDead {
		t.Fatalf("resumed balancer recorded the crashed agent as %v", got)
	}
}

func TestNewBalancerWithOutdatedStore(t *testing.T) {
	c := newDeployment(t, 4)
	older := c.store.config.Clone()
	version := c.commitChange(serviceObject("lease-desk", 5))
	c.await(5*time.Second, "the change is in force", c.inForce(version))
	c.store.config = older
	c.checkVersionsMonotonic()
	fresh := c.start(model.RoleBalancer, balancerID(4), domainOf(0))
	c.await(10*time.Second, "the newest version is in force on the fresh balancer", c.inForce(version))
	c.run(time.Minute)
	if got := fresh.Board().Config.Current.Service("lease-desk").MaxSlots; got != 5 {
		t.Fatalf("fresh balancer serves %d slots, want 5", got)
	}
}

// keepOneStoreWatcher ends all store watches but one.
func (c *cluster) keepOneStoreWatcher() {
	kept := false
	for _, n := range c.liveNodes() {
		n.watching = n.watching && !kept
		kept = kept || n.watching
	}
}

func TestPeersPropagateChangeDuringStoreOutage(t *testing.T) {
	c := newDeployment(t, 5)
	c.checkVersionsMonotonic()
	c.keepOneStoreWatcher()
	version := c.commitChange(domainState(domainOf(2), true))
	c.store.down = true
	c.await(5*time.Second, "the change is in force", c.inForce(version))
	c.start(model.RoleBalancer, balancerID(4), domainOf(0))
	c.await(5*time.Second, "the change is in force on a fresh balancer", c.inForce(version))
}

func TestReplacedBalancersPullConfigFromAgentsDuringStoreOutage(t *testing.T) {
	c := newDeployment(t, 6)
	c.store.down = true
	for i := range 4 {
		c.start(model.RoleBalancer, balancerID(i), domainOf(i))
	}
	c.await(20*time.Second, "fresh balancers serve both services", func() bool {
		for i := range 4 {
			cfg := c.nodes[balancerID(i)].Board().Config.Current
			if cfg.Service("lease-desk") == nil || cfg.Service("drawings") == nil {
				return false
			}
		}
		return true
	})
	if got := c.nodes[balancerID(0)].Board().Config.Current.Version; got != 0 {
		t.Fatalf("balancer claims version %d with a part of the objects", got)
	}
}

func TestLostDeltasAreRepaired(t *testing.T) {
	c := newDeployment(t, 7)
	lost := 0
	c.drop = func(from, to model.NodeID, m core.Message) bool {
		d, ok := m.(core.Delta)
		if ok && (d.ConfigVersion > 0 || len(d.Members) > 0) && lost < 40 {
			lost++
			return true
		}
		return false
	}
	version := c.commitChange(domainState(domainOf(1), true))
	c.step(c.nodes[agentID(0)], core.StopRequested{})
	elapsed := c.await(15*time.Second, "the change is in force", c.inForce(version))
	elapsed += c.await(30*time.Second, "all nodes agree", c.hasConverged)
	t.Logf("%d deltas lost, repaired after %v", lost, elapsed)
	if lost == 0 {
		t.Fatal("no delta was lost")
	}
}

func TestPausedAgentHasNoLeaseUntilNextAcknowledgement(t *testing.T) {
	for _, pause := range []time.Duration{4 * time.Second, 20 * time.Second} {
		c := newDeployment(t, 8)
		id := agentID(0)
		agent := c.nodes[id]
		incarnation := agent.self.Incarnation
		c.await(2*time.Second, "an acknowledgement is in transit", func() bool { return c.hasQueuedAck(id) })
		c.pause(id)
		c.check = func() {
			removed := c.recordedState(balancerID(0), id) == model.StateDead
			if removed && agent.Board().Lease.Valid(c.now) {
				t.Fatal("agent was removed before its lease lapsed")
			}
		}
		c.run(pause)
		wasDead := c.recordedState(balancerID(0), id) == model.StateDead
		agent.paused = false
		if agent.Board().Lease.Valid(c.now) {
			t.Fatalf("lease is valid after a pause of %v", pause)
		}
		agent.paused = true
		c.resume(id)
		if agent.Board().Lease.Valid(c.now) {
			t.Fatalf("late acknowledgements renewed the lease after a pause of %v", pause)
		}
		c.await(5*time.Second, "the lease is renewed", func() bool { return agent.Board().Lease.Valid(c.now) })
		c.await(5*time.Second, "the agent is alive again", c.allBalancersRecord(id, model.StateAlive))
		m := c.nodes[balancerID(0)].Board().Members.Records[id]
		if m.Incarnation != incarnation || (wasDead && m.Revision == 0) {
			t.Fatalf("agent returned as incarnation %d, revision %d", m.Incarnation, m.Revision)
		}
		if pause > 10*time.Second && !wasDead {
			t.Fatal("paused agent was never removed")
		}
	}
}

// hasQueuedAck reports whether an acknowledgement to the node is queued.
func (c *cluster) hasQueuedAck(id model.NodeID) bool {
	return slices.ContainsFunc(c.queue, func(d delivery) bool {
		received, ok := d.ev.(core.MessageReceived)
		if !ok || d.to != id {
			return false
		}
		_, ok = received.Message.(core.HeartbeatAck)
		return ok
	})
}

func TestSuspicionOfOneWatcherIsRefuted(t *testing.T) {
	c := newDeployment(t, 9)
	id := agentID(0)
	watcher := model.NodeID("")
	for peer := range c.nodes[id].sessions {
		watcher = max(watcher, peer)
	}
	before := c.nodes[id].Board().Self.Member.Revision
	c.checkNeverDead(id)
	c.cut = cutBetween(id, func(other model.NodeID) bool { return other == watcher })
	suspected := false
	for range 60 * 20 {
		c.run(core.TickInterval)
		suspected = suspected || c.recordedState(watcher, id) == model.StateSuspect
		if !c.nodes[id].Board().Lease.Valid(c.now) {
			t.Fatal("lease lapsed although two watchers receive heartbeats of the agent")
		}
	}
	if !suspected {
		t.Fatal("the watcher never suspected the agent")
	}
	refutations := c.nodes[id].Board().Self.Member.Revision - before
	if refutations == 0 || refutations > 6 {
		t.Fatalf("%d refutations in a minute, want 1 to 6", refutations)
	}
}

func TestIsolatedBalancerRemovesNoMember(t *testing.T) {
	c := newDeployment(t, 10)
	id := balancerID(1)
	c.cut = cutBetween(id, anyNode)
	c.run(25 * time.Second)
	for node, m := range c.nodes[id].Board().Members.Records {
		if m.Gone() {
			t.Errorf("isolated balancer removed %s", node)
		}
	}
	if got := c.recordedState(balancerID(0), id); got != model.StateDead {
		t.Errorf("others recorded the isolated balancer as %v", got)
	}
	c.cut = func(a, b model.NodeID) bool { return false }
	c.await(30*time.Second, "all nodes agree after the cut", c.hasConverged)
	if got := c.recordedState(balancerID(0), id); got != model.StateAlive {
		t.Errorf("others recorded the reconnected balancer as %v", got)
	}
}

func TestLostDomainIsRemovedWithinSeconds(t *testing.T) {
	c := newDeployment(t, 11)
	var lost []model.NodeID
	for _, n := range c.liveNodes() {
		if n.self.Domain == domainOf(2) {
			lost = append(lost, n.self.Node)
		}
	}
	for _, id := range lost {
		c.crash(id)
	}
	elapsed := c.await(12*time.Second, "the domain's nodes are dead everywhere", func() bool {
		for _, id := range lost {
			if !c.allBalancersRecord(id, model.StateDead)() {
				return false
			}
		}
		return true
	})
	t.Logf("%d nodes removed after %v", len(lost), elapsed)
	if elapsed < 5*time.Second {
		t.Fatalf("removed after %v, before the time to refute a suspicion had passed", elapsed)
	}
}

func TestRemovalsOfOneWatcherAreRateLimited(t *testing.T) {
	const agents = 40
	c := newCluster(t, 17)
	c.start(model.RoleBalancer, balancerID(0), domainOf(0))
	for i := range agents {
		c.start(model.RoleAgent, agentID(i), domainOf(i))
	}
	c.await(10*time.Second, "all nodes agree", c.hasConverged)
	c.run(5 * time.Second)
	for i := range agents {
		c.crash(agentID(i))
	}
	removed := func() int {
		records := notGone(c.nodes[balancerID(0)].Board(), core.Subscriber{Role: model.RoleBalancer})
		return agents + 1 - len(records)
	}
	c.await(7*time.Second, "the first agent is removed", func() bool { return removed() > 0 })
	c.run(time.Second)
	if got := removed(); got < 8 || got > 14 {
		t.Fatalf("%d agents removed within the first second, want a burst of 8 and 4 a second", got)
	}
	c.await(10*time.Second, "all agents are removed", func() bool { return removed() == agents })
}

func TestSenderOfOutdatedRecordIsSentNewerOne(t *testing.T) {
	n := newBenchNode()
	newer := benchMember(agentID(0), model.RoleAgent, 2)
	receiveMessage(n, core.Delta{Members: []model.Member{newer}})
	n.Step(benchStart, core.Tick{})
	receiveMessage(n, core.Delta{Members: []model.Member{benchMember(agentID(0), model.RoleAgent, 1)}})
	for _, e := range n.Step(benchStart, core.Tick{}) {
		m, ok := e.(core.SendMessage)
		if !ok {
			continue
		}
		if d, ok := m.Message.(core.Delta); ok && slices.Contains(d.Members, newer) {
			return
		}
	}
	t.Fatal("the newer record was not sent")
}

func TestWatcherDialsNodeWithoutHeartbeat(t *testing.T) {
	n := newBenchNode()
	receiveMessage(n, core.Delta{Members: []model.Member{benchMember(agentID(0), model.RoleAgent, 0)}})
	for now := benchStart; now.Before(benchStart.Add(5 * time.Second)); now = now.Add(core.TickInterval) {
		for _, e := range n.Step(now, core.Tick{}) {
			if e == (core.Dial{Addr: address(agentID(0))}) {
				return
			}
		}
	}
	t.Fatal("the agent was not dialed")
}

func TestPartitionHeals(t *testing.T) {
	c := newDeployment(t, 12)
	inFirstHalf := func(id model.NodeID) bool { return c.nodes[id] != nil && c.nodes[id].self.Domain < domainOf(2) }
	c.cut = func(a, b model.NodeID) bool { return inFirstHalf(a) != inFirstHalf(b) }
	c.run(time.Minute)
	c.cut = func(a, b model.NodeID) bool { return false }
	c.await(40*time.Second, "both sides agree again", c.hasConverged)
	if got := len(notGone(c.nodes[balancerID(0)].Board(), core.Subscriber{Role: model.RoleBalancer})); got != 15 {
		t.Fatalf("%d members after the partition, want 15", got)
	}
}

func TestRestartReplacesOldIncarnation(t *testing.T) {
	c := newDeployment(t, 13)
	for _, id := range []model.NodeID{agentID(0), balancerID(1)} {
		old := c.nodes[id].self.Incarnation
		c.start(c.nodes[id].self.Role, id, c.nodes[id].self.Domain)
		c.await(5*time.Second, "balancers know the new incarnation", func() bool {
			m := c.nodes[balancerID(0)].Board().Members.Records[id]
			return m.Incarnation > old && m.State == model.StateAlive
		})
		if id == agentID(0) {
			c.announce(id, "lease-desk")
		}
		c.await(10*time.Second, "all nodes agree", func() bool {
			return c.hasConverged() && c.inForce(c.store.config.Version)()
		})
	}
}

func TestPlannedStopPropagatesWithinOneSecond(t *testing.T) {
	c := newDeployment(t, 14)
	c.checkNeverDead(agentID(0), balancerID(3))
	c.step(c.nodes[agentID(0)], core.StopRequested{})
	c.await(time.Second, "the agent left", c.allBalancersRecord(agentID(0), model.StateLeft))
	c.step(c.nodes[balancerID(3)], core.StopRequested{})
	c.await(time.Second, "the balancer drains", c.allBalancersRecord(balancerID(3), model.StateDraining))
	c.await(10*time.Second, "the balancer left", c.allBalancersRecord(balancerID(3), model.StateLeft))
	c.run(time.Second)
	if c.nodes[balancerID(3)] != nil || c.nodes[agentID(0)] != nil {
		t.Fatal("a stopped node still runs")
	}
	c.await(5*time.Second, "all nodes agree", c.hasConverged)
}

func TestSimultaneousChanges(t *testing.T) {
	c := newDeployment(t, 15)
	c.checkVersionsMonotonic()
	c.step(c.nodes[agentID(0)], core.StopRequested{})
	version := c.commitChange(domainState(domainOf(1), true))
	c.start(model.RoleAgent, agentID(11), domainOf(3))
	c.announce(agentID(11), "lease-desk")
	c.crash(agentID(2))
	c.start(model.RoleBalancer, balancerID(4), domainOf(0))
	c.crash(balancerID(0))
	c.await(5*time.Second, "the domain is out", c.inForce(version))
	c.await(30*time.Second, "all nodes agree", c.hasConverged)
	if got := c.recordedState(balancerID(1), agentID(11)); got != model.StateAlive {
		t.Fatalf("new agent is %v", got)
	}
}

func TestGoneMembersExpireAndStayGone(t *testing.T) {
	c := newCluster(t, 16)
	c.membershipOptions.GoneRetention = 2 * time.Minute
	for i := range 3 {
		c.start(model.RoleBalancer, balancerID(i), domainOf(i))
	}
	c.start(model.RoleAgent, agentID(0), domainOf(0))
	c.await(5*time.Second, "all nodes agree", c.hasConverged)
	c.pause(balancerID(2))
	c.crash(agentID(0))
	c.run(100 * time.Second)
	c.resume(balancerID(2))
	c.await(20*time.Second, "the stale record is corrected", c.allBalancersRecord(agentID(0), model.StateDead))
	c.run(5 * time.Minute)
	if !c.allBalancersRecord(agentID(0), 0)() {
		t.Fatal("a gone member is still recorded")
	}
	c.pause(balancerID(2))
	c.run(5 * time.Minute)
	c.resume(balancerID(2))
	c.check = func() {
		if c.recordedState(balancerID(0), agentID(0)) != 0 {
			t.Fatal("an expired member came back")
		}
	}
	c.run(30 * time.Second)
}
