package membership

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/topology"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// forgetInterval is how often old records are looked for.
const forgetInterval = 10 * time.Second

// Controller writes core.MemberSection and core.LeaseSection.
type Controller struct {
	options   Options
	records   records
	heartbeat heartbeat
	watch     watch
	// subscription is the one that the records are pruned to.
	subscription model.ServiceName
	lastEvent    time.Time
	nextForget   time.Time
	// generation is the balancer generation of balancers.
	generation uint64
	balancers  topology.Balancers
}

// New returns the controller of a node that has just started.
func New(o Options) *Controller {
	o = o.withDefaults()
	return &Controller{
		options:   o,
		records:   records{changed: make(map[model.NodeID]time.Time)},
		heartbeat: heartbeat{options: o},
		watch:     newWatch(o),
	}
}

// Handle merges records, renews the lease and watches over other nodes.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	c.records.beginStep(t)
	c.detectPause(t)
	c.publishSelf(t)
	switch ev := ev.(type) {
	case core.SessionOpened:
		c.records.merge(t, &ev.Member, ev.Member.Node)
	case core.MessageReceived:
		c.receive(t, ev.From, ev.Message)
	case core.Tick:
		c.tick(t)
	}
	c.watch.observe(t)
}

// publishSelf copies the node's own record, which package lifecycle decides.
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

func (c *Controller) receive(t *core.Turn, from model.NodeID, m core.Message) {
	c.watch.heardPeer(t, from)
	switch m := m.(type) {
	case core.Delta:
		c.records.mergeAll(t, m.Members, from)
	case core.MemberBuckets:
		c.records.mergeAll(t, m.Members, from)
		c.records.dropUnfollowed(t, &m)
	case core.Heartbeat:
		c.watch.heartbeat(t, from, m.Sequence)
	case core.HeartbeatAck:
		c.heartbeat.acknowledged(t, m.Sequence)
	}
}

func (c *Controller) tick(t *core.Turn) {
	c.chooseWatched(t)
	c.heartbeat.tick(t)
	c.watch.tick(t, &c.records)
	if t.Now.After(c.nextForget) {
		c.nextForget = t.Now.Add(forgetInterval)
		c.records.forget(t, c.options.GoneRetention)
	}
}

// chooseWatched follows the records: a change to a balancer may move any
// node's watchers, a change to an agent only its own.
func (c *Controller) chooseWatched(t *core.Turn) {
	if c.generation == t.Board.Members.BalancerGeneration {
		c.watch.choose(t, c.balancers, c.records.touched)
	} else {
		c.generation = t.Board.Members.BalancerGeneration
		c.balancers = topology.NewBalancers(&t.Board.Members)
		c.heartbeat.watchers = c.balancers.Watchers(t.Board.Self.Member.Node)
		c.watch.chooseAll(t, c.balancers)
	}
	c.records.touched = c.records.touched[:0]
}

// detectPause restarts all time-outs after a gap in which the node did not
// run: silence of others in that time proves nothing. After a gap in which
// others may have forgotten what is gone, the records are worthless too.
func (c *Controller) detectPause(t *core.Turn) {
	gap := t.Now.Sub(c.lastEvent)
	first := c.lastEvent.IsZero()
	c.lastEvent = t.Now
	if first || gap <= c.options.PauseThreshold {
		return
	}
	t.Emit(core.Log{Part: "membership", Text: "Node was paused.", Fields: []any{"pause", gap}})
	t.Emit(core.Count{Name: "pauses", Delta: 1})
	c.watch.restart(t.Now)
	if gap >= c.options.GoneRetention {
		c.records.clear(t)
	}
}
