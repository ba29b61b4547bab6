package dissemination

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// mismatchesBeforePull is the number of consecutive digests of one peer that
// must differ before its records are pulled: a single mismatch is mostly a
// change still in transit.
const mismatchesBeforePull = 2

// Controller writes core.PeerSection.
type Controller struct {
	options  Options
	peers    peerList
	sessions sessionManager
	budget   budget
	// lastConfigPull and lastMemberPull are when the latest pulls were sent, or
	// parts of their replies received.
	lastConfigPull time.Time
	lastMemberPull time.Time
	subscription   model.ServiceName
}

// New returns the controller of a node that has just started.
func New(o Options) *Controller {
	o = o.withDefaults()
	return &Controller{
		options: o,
		peers:   peerList{byNode: make(map[model.NodeID]*peer)},
		sessions: sessionManager{
			options: o,
			dialer:  dialer{options: o, states: make(map[netip.AddrPort]*dialState)},
		},
		budget: newBudget(o),
	}
}

// Handle maintains the sessions, floods changes and answers pulls.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	switch ev := ev.(type) {
	case core.SessionOpened:
		c.handleSessionOpened(t, ev)
	case core.SessionClosed:
		c.peers.remove(ev.Peer)
		delete(t.Board.Peers.Sessions, ev.Peer)
	case core.DialFailed:
		c.sessions.dialer.recordFailure(t, ev.Addr)
	case core.MessageReceived:
		if p := c.peers.byNode[ev.From]; p != nil {
			c.handleMessage(t, p, ev.Message)
		}
	}
	c.syncSubscription(t)
	c.queueChangedRecords(t)
	if _, ok := ev.(core.Tick); ok {
		c.sessions.tick(t, &c.peers)
		c.flush(t)
	}
}

// handleSessionOpened starts a session: an agent sends its subscription and a
// pull for configuration, a balancer sends a digest.
func (c *Controller) handleSessionOpened(t *core.Turn, ev core.SessionOpened) {
	self := &t.Board.Self
	session := core.Session{Peer: ev.Member.Node, Role: ev.Member.Role, Service: ev.Service, OpenedAt: t.Now}
	t.Board.Peers.Sessions[session.Peer] = session
	c.sessions.dialer.recordSuccess(ev.Member.ControlAddr)
	if self.Member.Role == model.RoleAgent && session.Role == model.RoleAgent {
		return // the session carries hand-over streams only
	}
	p := newPeer(session.Peer, t.Now)
	p.pendingRecords[self.Member.Node] = struct{}{}
	c.peers.add(p)
	if self.Member.Role == model.RoleAgent {
		c.sendSubscription(t, p)
	}
}

// syncSubscription sends an agent's subscription to all peers when it changes.
func (c *Controller) syncSubscription(t *core.Turn) {
	self := &t.Board.Self
	if self.Member.Role != model.RoleAgent || c.subscription == self.Subscription {
		return
	}
	c.subscription = self.Subscription
	for _, p := range c.peers.order {
		c.sendSubscription(t, p)
	}
}

func (c *Controller) sendSubscription(t *core.Turn, p *peer) {
	subscription := t.Board.Self.Subscription
	c.send(t, p, core.Subscribe{Service: subscription}, messageOverhead)
	c.send(t, p, core.Pull{Since: t.Board.Config.CompleteVersion(subscription)}, messageOverhead)
}

// queueChangedRecords queues the records that changed in this step for every
// peer that follows them. A peer that sent an outdated record is sent the newer
// one.
func (c *Controller) queueChangedRecords(t *core.Turn) {
	for _, change := range t.Board.Members.Changes {
		for _, p := range c.peers.order {
			if p.node != change.From && c.shouldForward(t.Board, p.node, change) {
				p.pendingRecords[change.Node] = struct{}{}
			}
		}
	}
	for _, outdated := range t.Board.Members.Outdated {
		if p := c.peers.byNode[outdated.From]; p != nil {
			p.pendingRecords[outdated.Node] = struct{}{}
		}
	}
}

// shouldForward reports whether this node forwards a changed record to the
// peer. An agent forwards its own record and those of balancers, which connects
// watchers that cannot reach each other.
func (c *Controller) shouldForward(b *core.Board, to model.NodeID, change core.MemberChange) bool {
	m := b.Members.Records[change.Node]
	if b.Self.Member.Role == model.RoleAgent && m.Role == model.RoleAgent {
		return change.Node == b.Self.Member.Node
	}
	session := b.Peers.Sessions[to]
	subscriber := core.Subscriber{Role: session.Role, Service: session.Service}
	leftService := change.PreviousService != "" && change.PreviousService == session.Service
	return change.Node == to || leftService || subscriber.Follows(&m)
}

// send emits a message and charges it to the byte budget.
func (c *Controller) send(t *core.Turn, p *peer, m core.Message, bytes int) {
	c.budget.spend(bytes)
	t.Emit(core.SendMessage{To: p.node, Message: m})
}

// flush sends queued messages, at most one of each kind to a peer.
func (c *Controller) flush(t *core.Turn) {
	c.budget.refill(t.Now)
	for _, p := range c.peers.order {
		c.flushConfig(t, p)
	}
	for _, p := range c.peers.order {
		c.flushMembers(t, p)
		c.flushDigest(t, p)
	}
}

// flushConfig sends the next part of a reply, or changes that the peer lacks.
// Configuration is sent even when the budget is exhausted.
func (c *Controller) flushConfig(t *core.Turn, p *peer) {
	isBalancer := t.Board.Self.Member.Role == model.RoleBalancer
	if len(p.configQueue) == 0 && isBalancer && p.versionKnown && p.configSent < t.Board.Config.Current.Version {
		p.queueConfig(t, p.configSent, c.options.MessageSizeLimit)
	}
	if len(p.configQueue) > 0 {
		c.sendNextPart(t, p, &p.configQueue)
	}
}

// flushMembers sends pending records, and then the next part of a reply.
func (c *Controller) flushMembers(t *core.Turn, p *peer) {
	if c.budget.exhausted() {
		return
	}
	if len(p.pendingRecords) > 0 {
		members, bytes := p.popPendingRecords(&t.Board.Members, c.options.MessageSizeLimit)
		if len(members) > 0 {
			c.send(t, p, core.Delta{Members: members}, bytes)
		}
	}
	if len(p.memberQueue) > 0 && !c.budget.exhausted() {
		c.sendNextPart(t, p, &p.memberQueue)
	}
}

func (c *Controller) sendNextPart(t *core.Turn, p *peer, queue *[]sizedMessage) {
	next := (*queue)[0]
	*queue = (*queue)[1:]
	c.send(t, p, next.message, next.bytes)
}

func (c *Controller) flushDigest(t *core.Turn, p *peer) {
	if t.Board.Self.Member.Role != model.RoleBalancer || t.Now.Before(p.nextDigest) {
		return
	}
	p.nextDigest = t.Now.Add(c.options.DigestInterval/2 + jitter(t, c.options.DigestInterval))
	session := t.Board.Peers.Sessions[p.node]
	subscriber := core.Subscriber{Role: session.Role, Service: session.Service}
	digest := core.Digest{
		ConfigVersion: t.Board.Config.Current.Version,
		Members:       t.Board.Members.Summary.Digest(subscriber),
	}
	c.send(t, p, digest, messageOverhead)
}
