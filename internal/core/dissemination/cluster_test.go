package dissemination_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/control"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/configuration"
	"amaranthwheel.example/amaranthwheel/internal/core/dissemination"
	"amaranthwheel.example/amaranthwheel/internal/core/lifecycle"
	"amaranthwheel.example/amaranthwheel/internal/core/membership"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// linkDelay is the delay of every event between nodes.
	linkDelay = 2 * time.Millisecond
	// deadLinkTimeout is how long a link may be cut or an end of it paused before
	// its session closes.
	deadLinkTimeout = 15 * time.Second
	// headerBytes is the header overhead of a message: yamux, TCP with options,
	// IP and Ethernet.
	headerBytes = 12 + 20 + 12 + 20 + 14
)

// cluster simulates nodes that exchange events in virtual time.
type cluster struct {
	t     *testing.T
	now   time.Time
	rand  *rand.Rand
	nodes map[model.NodeID]*node
	order []model.NodeID
	queue []delivery
	store store
	// cut reports whether a link loses everything, drop whether one message is
	// lost.
	cut  func(a, b model.NodeID) bool
	drop func(from, to model.NodeID, m core.Message) bool
	// check runs after every tick.
	check func()
	// membershipOptions and disseminationOptions apply to nodes started from now
	// on.
	membershipOptions    membership.Options
	disseminationOptions dissemination.Options
	cutSince             map[link]time.Time
	delivered            int
}

type link struct{ a, b model.NodeID }

func linkOf(a, b model.NodeID) link { return link{min(a, b), max(a, b)} }

type delivery struct {
	at time.Time
	to model.NodeID
	ev core.Event
}

type node struct {
	*core.Node
	self     model.Member
	paused   bool
	backlog  []core.Event
	sessions map[model.NodeID]bool
	bytes    int // sent and received
	watching bool
	loads    int
	stopped  bool
}

// store is a fake configuration store.
type store struct {
	config *model.Config
	down   bool
	loads  int
}

func newCluster(t *testing.T, seed uint64) *cluster {
	return &cluster{
		t: t, now: time.Unix(1_800_000_000, 0), rand: rand.New(rand.NewPCG(seed, seed)),
		nodes: make(map[model.NodeID]*node), store: store{config: model.NewConfig()},
		cut:      func(a, b model.NodeID) bool { return false },
		drop:     func(from, to model.NodeID, m core.Message) bool { return false },
		check:    func() {},
		cutSince: make(map[link]time.Time),
	}
}

func address(id model.NodeID) netip.AddrPort {
	var n int
	role := byte(1)
	if _, err := fmt.Sscanf(string(id), "balancer-%d", &n); err != nil {
		_, _ = fmt.Sscanf(string(id), "agent-%d", &n)
		role = 2
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, role, byte(n >> 8), byte(n)}), 7000)
}

func balancerID(i int) model.NodeID { return model.NodeID(fmt.Sprintf("balancer-%d", i)) }
func agentID(i int) model.NodeID    { return model.NodeID(fmt.Sprintf("agent-%d", i)) }

// start starts a node, or restarts it with a new incarnation.
func (c *cluster) start(role model.Role, id model.NodeID, domain model.DomainName) *node {
	if old := c.nodes[id]; old != nil {
		c.crash(id)
	} else {
		c.order = append(c.order, id)
	}
	self := model.Member{
		Node: id, Role: role, Incarnation: uint64(c.now.UnixNano()), State: model.StateAlive,
		Domain: domain, ControlAddr: address(id), DataAddr: address(id),
	}
	options := c.disseminationOptions
	options.Seeds = []netip.AddrPort{address(balancerID(0)), address(balancerID(1))}
	n := &node{self: self, sessions: make(map[model.NodeID]bool)}
	n.Node = core.NewNode(core.NewBoard(self), c.rand.Uint64(),
		lifecycle.New(lifecycle.Options{}),
		membership.New(c.membershipOptions),
		configuration.New(configuration.Options{}),
		dissemination.New(options),
	)
	c.nodes[id] = n
	return n
}

// crash stops a node abruptly; its peers see their sessions close.
func (c *cluster) crash(id model.NodeID) {
	n := c.nodes[id]
	for peer := range n.sessions {
		c.closeSession(id, peer)
	}
	c.queue = slices.DeleteFunc(c.queue, func(d delivery) bool { return d.to == id })
	c.nodes[id] = nil
}

func (c *cluster) closeSession(a, b model.NodeID) {
	for _, end := range []link{{a, b}, {b, a}} {
		if n := c.nodes[end.a]; n != nil && n.sessions[end.b] {
			delete(n.sessions, end.b)
			c.postEvent(end.a, core.SessionClosed{Peer: end.b})
		}
	}
}

func (c *cluster) postEvent(to model.NodeID, ev core.Event) {
	c.queue = append(c.queue, delivery{c.now.Add(linkDelay), to, ev})
}

// run advances virtual time.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(core.TickInterval)
		c.deliverDue()
		c.closeDeadLinks()
		for _, id := range c.order {
			if n := c.nodes[id]; n != nil && !n.paused {
				c.step(n, core.Tick{})
			}
		}
		c.check()
	}
}

func (c *cluster) deliverDue() {
	for len(c.queue) > 0 {
		due := c.queue
		c.queue = nil
		for i, d := range due {
			if d.at.After(c.now) {
				c.queue = append(c.queue, due[i:]...)
				return
			}
			c.deliverEvent(d)
		}
	}
}

func (c *cluster) deliverEvent(d delivery) {
	n := c.nodes[d.to]
	switch {
	case n == nil:
	case n.paused:
		n.backlog = append(n.backlog, d.ev)
	default:
		c.delivered++
		c.step(n, d.ev)
	}
}

func (c *cluster) closeDeadLinks() {
	for _, id := range c.order {
		n := c.nodes[id]
		if n == nil {
			continue
		}
		for _, peer := range slices.Sorted(maps.Keys(n.sessions)) {
			l := linkOf(id, peer)
			if !c.cut(id, peer) && !n.paused && !c.nodes[peer].paused {
				delete(c.cutSince, l)
			} else if since, ok := c.cutSince[l]; !ok {
				c.cutSince[l] = c.now
			} else if c.now.Sub(since) > deadLinkTimeout {
				c.closeSession(id, peer)
			}
		}
	}
}

func (c *cluster) pause(id model.NodeID) { c.nodes[id].paused = true }

// resume continues a paused node and delivers the events queued meanwhile.
func (c *cluster) resume(id model.NodeID) {
	n := c.nodes[id]
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, ev := range backlog {
		c.step(n, ev)
	}
}

func (c *cluster) step(n *node, ev core.Event) {
	for _, effect := range n.Step(c.now, ev) {
		c.applyEffect(n, effect)
	}
}

func (c *cluster) applyEffect(n *node, effect core.Effect) {
	switch e := effect.(type) {
	case core.Dial:
		c.dial(n, e.Addr)
	case core.CloseSession:
		c.closeSession(n.self.Node, e.Peer)
	case core.SendMessage:
		c.send(n, e.To, e.Message)
	case core.LoadStore:
		c.load(n, e.Since)
	case core.WatchStore:
		n.watching = e.On
	case core.StopFinished:
		n.stopped = true
		c.crash(n.self.Node)
	}
}

func (c *cluster) dial(n *node, addr netip.AddrPort) {
	for _, id := range c.order {
		peer := c.nodes[id]
		if peer == nil || peer.self.ControlAddr != addr || peer.paused || c.cut(n.self.Node, id) || n.sessions[id] {
			continue
		}
		n.sessions[id], peer.sessions[n.self.Node] = true, true
		a, b := n.Board().Self, peer.Board().Self
		c.postEvent(id, core.SessionOpened{Member: a.Member, Service: a.Subscription})
		c.postEvent(n.self.Node, core.SessionOpened{Member: b.Member, Service: b.Subscription})
		return
	}
	c.postEvent(n.self.Node, core.DialFailed{Addr: addr})
}

func (c *cluster) send(n *node, to model.NodeID, m core.Message) {
	size, err := control.MessageSize(m)
	if err != nil || size > control.MaxMessageBytes {
		c.t.Fatalf("message of %d bytes: %v", size, err)
	}
	n.bytes += size + headerBytes
	if n.sessions[to] && !c.cut(n.self.Node, to) && !c.drop(n.self.Node, to, m) {
		c.nodes[to].bytes += size + headerBytes
		c.postEvent(to, core.MessageReceived{From: n.self.Node, Message: m})
	}
}

func (c *cluster) load(n *node, since uint64) {
	c.store.loads++
	n.loads++
	if n.self.Role != model.RoleBalancer {
		c.t.Fatalf("%s reads the store", n.self.Node)
	}
	if c.store.down {
		c.postEvent(n.self.Node, core.StoreFailed{Err: fmt.Errorf("store is down")})
		return
	}
	c.postEvent(n.self.Node, core.StoreLoaded{Version: c.store.config.Version, Objects: c.store.config.ChangedSince(since)})
}

// commitChange commits a change to the store and notifies its watchers.
func (c *cluster) commitChange(objects ...model.Object) uint64 {
	version := c.store.config.Version + 1
	for i := range objects {
		objects[i].Version = version
	}
	c.store.config.Merge(version, objects)
	for _, id := range c.order {
		if n := c.nodes[id]; n != nil && n.watching && !c.store.down {
			c.postEvent(id, core.StoreLoaded{Version: version, Objects: objects})
		}
	}
	return version
}

func (c *cluster) liveNodes() []*node {
	var out []*node
	for _, id := range c.order {
		if n := c.nodes[id]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

// await runs until the condition holds and returns the elapsed time.
func (c *cluster) await(limit time.Duration, description string, condition func() bool) time.Duration {
	c.t.Helper()
	start := c.now
	for !condition() {
		if c.now.Sub(start) >= limit {
			c.t.Fatalf("not within %v: %s", limit, description)
		}
		c.run(core.TickInterval)
	}
	return c.now.Sub(start)
}

// inForce reports whether every live node holds the version.
func (c *cluster) inForce(version uint64) func() bool {
	return func() bool {
		for _, n := range c.liveNodes() {
			if !n.paused && n.Board().Config.CompleteVersion(n.Board().Self.Subscription) < version {
				return false
			}
		}
		return true
	}
}

// hasConverged reports whether all balancers hold the records of exactly the
// live nodes, and every agent those that it follows.
func (c *cluster) hasConverged() bool {
	agreed := make(map[model.NodeID]model.Member)
	first := true
	for _, n := range c.liveNodes() {
		if n.self.Role != model.RoleBalancer {
			continue
		}
		records := notGone(n.Board(), core.Subscriber{Role: model.RoleBalancer})
		if first {
			agreed, first = records, false
		}
		if !maps.Equal(records, agreed) {
			return false
		}
	}
	for _, n := range c.liveNodes() {
		if agreed[n.self.Node] != n.Board().Self.Member {
			return false
		}
	}
	return len(agreed) == len(c.liveNodes()) && c.haveAgentsConverged(agreed)
}

func (c *cluster) haveAgentsConverged(all map[model.NodeID]model.Member) bool {
	for _, n := range c.liveNodes() {
		if n.self.Role != model.RoleAgent {
			continue
		}
		subscriber := core.Subscriber{Role: model.RoleAgent, Service: n.Board().Self.Subscription}
		want := make(map[model.NodeID]model.Member)
		for id, m := range all {
			if subscriber.Follows(&m) {
				want[id] = m
			}
		}
		if !maps.Equal(notGone(n.Board(), subscriber), want) {
			return false
		}
	}
	return true
}

func notGone(b *core.Board, s core.Subscriber) map[model.NodeID]model.Member {
	out := make(map[model.NodeID]model.Member)
	for id, m := range b.Members.Records {
		if !m.Gone() && s.Follows(&m) {
			out[id] = m
		}
	}
	return out
}

// recordedState returns the state that an observer has recorded for a node, 0 if
// it has no record.
func (c *cluster) recordedState(observer, id model.NodeID) model.MemberState {
	return c.nodes[observer].Board().Members.Records[id].State
}

// allBalancersRecord reports whether all live balancers have recorded the state
// for the node.
func (c *cluster) allBalancersRecord(id model.NodeID, state model.MemberState) func() bool {
	return func() bool {
		return !slices.ContainsFunc(c.liveNodes(), func(n *node) bool {
			return n.self.Role == model.RoleBalancer && !n.paused && n.self.Node != id &&
				n.Board().Members.Records[id].State != state
		})
	}
}

// newDeployment returns a converged cluster of the size of the current
// deployment: 4 balancers and 11 agents of two services in four failure domains.
func newDeployment(t *testing.T, seed uint64) *cluster {
	c := newCluster(t, seed)
	c.commitServices("lease-desk", "drawings")
	for i := range 4 {
		c.start(model.RoleBalancer, balancerID(i), domainOf(i))
	}
	for i := range 11 {
		c.start(model.RoleAgent, agentID(i), domainOf(i))
	}
	c.await(5*time.Second, "all balancers know each other", c.hasConverged)
	for i := range 11 {
		service := model.ServiceName("lease-desk")
		if i >= 7 {
			service = "drawings"
		}
		c.announce(agentID(i), service)
	}
	c.await(10*time.Second, "all nodes agree", func() bool {
		return c.hasConverged() && c.inForce(c.store.config.Version)()
	})
	return c
}

func domainOf(i int) model.DomainName {
	return model.DomainName(fmt.Sprintf("domain-%d", i%4))
}

func (c *cluster) commitServices(names ...model.ServiceName) {
	var objects []model.Object
	for i := range 4 {
		name := domainOf(i)
		objects = append(objects, model.Object{Key: model.ObjectKey{Kind: model.KindDomain, Name: string(name)},
			Domain: &model.Domain{Name: name, Region: "om-north"}})
	}
	for _, name := range names {
		objects = append(objects, serviceObject(name, 10))
	}
	c.commitChange(objects...)
}

func serviceObject(name model.ServiceName, slots int) model.Object {
	return model.Object{
		Key: model.ObjectKey{Kind: model.KindService, Name: string(name)},
		Service: &model.Service{
			Name: name, Mode: model.ModeRequest, Address: netip.MustParseAddrPort("127.0.0.1:4433"),
			Domains: []model.DomainName{domainOf(0), domainOf(1), domainOf(2), domainOf(3)},
			Targets: []string{"*"}, MaxSlots: slots, MaxConnections: 2000,
		},
	}
}

func domainState(name model.DomainName, out bool) model.Object {
	return model.Object{
		Key:         model.ObjectKey{Kind: model.KindDomainState, Name: string(name)},
		DomainState: &model.DomainState{Name: name, Out: out},
	}
}

// announce announces the agent's local target.
func (c *cluster) announce(agent model.NodeID, service model.ServiceName) {
	c.step(c.nodes[agent], core.TargetAnnounced{Announcement: core.Announcement{
		Target: model.TargetName("target-" + agent), Service: service, Slots: 10, Connections: 2000,
		Address: netip.MustParseAddrPort("127.0.0.1:8080"),
	}})
}

// checkVersionsMonotonic checks on every tick that no version decreases on any
// node.
func (c *cluster) checkVersionsMonotonic() {
	type nodeRun struct {
		node        model.NodeID
		incarnation uint64
	}
	versions := make(map[nodeRun]uint64)
	objects := make(map[nodeRun]map[model.ObjectKey]uint64)
	c.check = func() {
		for _, n := range c.liveNodes() {
			id := nodeRun{n.self.Node, n.self.Incarnation}
			cfg := n.Board().Config.Current
			if cfg.Version < versions[id] {
				c.t.Fatalf("version decreased from %d to %d on %s", versions[id], cfg.Version, n.self.Node)
			}
			versions[id] = cfg.Version
			if objects[id] == nil {
				objects[id] = make(map[model.ObjectKey]uint64)
			}
			for key, o := range cfg.Objects {
				if o.Version < objects[id][key] {
					c.t.Fatalf("object %v decreased to version %d on %s", key, o.Version, n.self.Node)
				}
				objects[id][key] = o.Version
			}
		}
	}
}
