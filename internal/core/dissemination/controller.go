package dissemination

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// mismatchesBeforePull is the number of differing digests of one peer in a row
// after which its records are pulled: a single one is mostly a change on its
// way.
const mismatchesBeforePull = 2

// Controller writes core.PeerSection.
type Controller struct {
	options  Options
	peers    peerList
	sessions sessions
	budget   budget
	// configPulled and membersPulled are when the newest pulls were sent.
	configPulled  time.Time
	membersPulled time.Time
	subscription  model.ServiceName
}

// New returns the controller of a node that has just started.
func New(o Options) *Controller {
	o = o.withDefaults()
	return &Controller{
		options: o,
		peers:   peerList{byNode: make(map[model.NodeID]*peer)},
		sessions: sessions{
			options: o,
			dialer:  dialer{options: o, dials: make(map[netip.AddrPort]*dialState)},
		},
		budget: newBudget(o),
	}
}

// Handle keeps the sessions and spreads what is new.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	switch ev := ev.(type) {
	case core.SessionOpened:
		c.opened(t, ev)
	case core.SessionClosed:
		c.peers.remove(ev.Peer)
		delete(t.Board.Peers.Sessions, ev.Peer)
	case core.DialFailed:
		c.sessions.dialer.failed(t, ev.Addr)
	case core.MessageReceived:
		if p := c.peers.byNode[ev.From]; p != nil {
			c.receive(t, p, ev.Message)
		}
	}
	c.followSubscription(t)
	c.flood(t)
	if _, ok := ev.(core.Tick); ok {
		c.sessions.tick(t, &c.peers)
		c.flush(t)
	}
}

// opened starts a session: the agent's side asks for configuration, a
// balancer's side sends a digest.
func (c *Controller) opened(t *core.Turn, ev core.SessionOpened) {
	self := &t.Board.Self
	session := core.Session{Peer: ev.Member.Node, Role: ev.Member.Role, Service: ev.Service, OpenedAt: t.Now}
	t.Board.Peers.Sessions[session.Peer] = session
	c.sessions.dialer.succeeded(ev.Member.ControlAddr)
	if self.Member.Role == model.RoleAgent && session.Role == model.RoleAgent {
		return // carries hand-over streams only
	}
	p := newPeer(session.Peer, t.Now)
	p.pending[self.Member.Node] = struct{}{}
	c.peers.add(p)
	if self.Member.Role == model.RoleAgent {
		c.subscribe(t, p)
	}
}

// followSubscription tells the watchers when an agent's subscription changes.
func (c *Controller) followSubscription(t *core.Turn) {
	self := &t.Board.Self
	if self.Member.Role != model.RoleAgent || c.subscription == self.Subscription {
		return
	}
	c.subscription = self.Subscription
	for _, p := range c.peers.order {
		c.subscribe(t, p)
	}
}

func (c *Controller) subscribe(t *core.Turn, p *peer) {
	subscription := t.Board.Self.Subscription
	c.send(t, p, core.Subscribe{Service: subscription}, messageOverhead)
	c.send(t, p, core.Pull{Since: t.Board.Config.CompleteVersion(subscription)}, messageOverhead)
}

// flood marks the records that changed in this step for every peer that
// follows them, and the newer ones for senders of older ones.
func (c *Controller) flood(t *core.Turn) {
	for _, change := range t.Board.Members.Changes {
		for _, p := range c.peers.order {
			if p.node != change.From && c.spreads(t.Board, p.node, change) {
				p.pending[change.Node] = struct{}{}
			}
		}
	}
	for _, outdated := range t.Board.Members.Outdated {
		if p := c.peers.byNode[outdated.From]; p != nil {
			p.pending[outdated.Node] = struct{}{}
		}
	}
}

// spreads reports whether this node passes a changed record on to the peer.
// An agent passes on its own and those of balancers, which bridges watchers
// that cannot reach each other.
func (c *Controller) spreads(b *core.Board, to model.NodeID, change core.MemberChange) bool {
	m := b.Members.Records[change.Node]
	if b.Self.Member.Role == model.RoleAgent && m.Role == model.RoleAgent {
		return change.Node == b.Self.Member.Node
	}
	session := b.Peers.Sessions[to]
	subscriber := core.Subscriber{Role: session.Role, Service: session.Service}
	left := change.PreviousService != "" && change.PreviousService == session.Service
	return change.Node == to || left || subscriber.Follows(&m)
}

// send emits a message and accounts for it.
func (c *Controller) send(t *core.Turn, p *peer, m core.Message, bytes int) {
	c.budget.spend(bytes)
	t.Emit(core.SendMessage{To: p.node, Message: m})
}

// flush sends what waits, at most one message of each kind to a peer.
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

// flushConfig sends the next part of an answer, or a change that is new. The
// budget never holds back configuration.
func (c *Controller) flushConfig(t *core.Turn, p *peer) {
	balancer := t.Board.Self.Member.Role == model.RoleBalancer
	if len(p.configAnswers) == 0 && balancer && p.known && p.configSent < t.Board.Config.Current.Version {
		p.answerConfig(t, p.configSent, c.options.MessageBytes)
	}
	if len(p.configAnswers) > 0 {
		c.sendFirst(t, p, &p.configAnswers)
	}
}

// flushMembers sends records that have changed, and then the next part of an
// answer.
func (c *Controller) flushMembers(t *core.Turn, p *peer) {
	if c.budget.exhausted() {
		return
	}
	if len(p.pending) > 0 {
		members, bytes := p.takePending(&t.Board.Members, c.options.MessageBytes)
		if len(members) > 0 {
			c.send(t, p, core.Delta{Members: members}, bytes)
		}
	}
	if len(p.memberAnswers) > 0 && !c.budget.exhausted() {
		c.sendFirst(t, p, &p.memberAnswers)
	}
}

func (c *Controller) sendFirst(t *core.Turn, p *peer, queue *[]sizedMessage) {
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
