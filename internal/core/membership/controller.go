package membership

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/topology"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// expiryInterval is the interval between checks for expired records.
const expiryInterval = 10 * time.Second

// Controller writes core.MemberSection and core.LeaseSection.
type Controller struct {
	options   Options
	records   records
	heartbeat heartbeat
	detector  failureDetector
	// subscription is the one that the records were last pruned to.
	subscription model.ServiceName
	lastEvent    time.Time
	nextExpiry   time.Time
	// balancerGeneration is the generation of balancers.
	balancerGeneration uint64
	balancers          topology.Balancers
}

// New returns the controller of a node that has just started.
func New(o Options) *Controller {
	o = o.withDefaults()
	return &Controller{
		options:   o,
		records:   records{replacedAt: make(map[model.NodeID]time.Time)},
		heartbeat: heartbeat{options: o},
		detector:  newFailureDetector(o),
	}
}

// Handle merges records, renews the lease and watches other nodes.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	c.records.beginStep(t)
	c.detectPause(t)
	c.publishSelf(t)
	switch ev := ev.(type) {
	case core.SessionOpened:
		c.records.merge(t, &ev.Member, ev.Member.Node)
	case core.MessageReceived:
		c.handleMessage(t, ev.From, ev.Message)
	case core.Tick:
		c.tick(t)
	}
	c.detector.observeRefutations(t)
}

// publishSelf stores the node's own record, which package lifecycle decides.
func (c *Controller) publishSelf(t *core.Turn) {
	self := &t.Board.Self
	if t.Board.Members.Records[self.Member.Node] != self.Member {
		c.records.put(t, &self.Member, "")
	}
	if self.Member.Role == model.RoleAgent && c.subscription != self.Subscription {
		c.subscription = self.Subscription
		c.records.prune(t, core.Subscriber{Role: model.RoleAgent, Service: c.subscription})
	}
}

func (c *Controller) handleMessage(t *core.Turn, from model.NodeID, m core.Message) {
	c.detector.recordPeerContact(t, from)
	switch m := m.(type) {
	case core.Delta:
		c.records.mergeAll(t, m.Members, from)
	case core.MemberBuckets:
		c.records.mergeAll(t, m.Members, from)
		c.records.removeUnlisted(t, &m)
	case core.Heartbeat:
		c.detector.handleHeartbeat(t, from, m.Sequence)
	case core.HeartbeatAck:
		c.heartbeat.handleAck(t, m.Sequence)
	}
}

func (c *Controller) tick(t *core.Turn) {
	c.updateWatched(t)
	c.heartbeat.tick(t)
	c.detector.tick(t, &c.records)
	if t.Now.After(c.nextExpiry) {
		c.nextExpiry = t.Now.Add(expiryInterval)
		c.records.expireGone(t, c.options.GoneRetention)
	}
}

// updateWatched applies changes of the records to the watched nodes: a change to
// a balancer may change any node's watchers, a change to an agent only its own.
func (c *Controller) updateWatched(t *core.Turn) {
	if c.balancerGeneration == t.Board.Members.BalancerGeneration {
		c.detector.updateWatched(t, c.balancers, c.records.dirty)
	} else {
		c.balancerGeneration = t.Board.Members.BalancerGeneration
		c.balancers = topology.NewBalancers(&t.Board.Members)
		c.heartbeat.watchers = c.balancers.Watchers(t.Board.Self.Member.Node)
		c.detector.updateAllWatched(t, c.balancers)
	}
	c.records.dirty = c.records.dirty[:0]
}

// detectPause restarts all timeouts after a gap in which the node did not run:
// a lack of heartbeats in that time proves nothing. After a gap of GoneRetention
// other nodes may have expired the records of gone members, so all records but
// the node's own are removed too.
func (c *Controller) detectPause(t *core.Turn) {
	gap := t.Now.Sub(c.lastEvent)
	first := c.lastEvent.IsZero()
	c.lastEvent = t.Now
	if first || gap <= c.options.PauseThreshold {
		return
	}
	t.Emit(core.Log{Part: "membership", Text: "Node was paused.", Fields: []any{"pause", gap}})
	t.Emit(core.Count{Name: "pauses", Delta: 1})
	c.detector.resetTimeouts(t.Now)
	if gap >= c.options.GoneRetention {
		c.records.removeOthers(t)
	}
}
