package dissemination

import (
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// heartbeatsBeforePull is the number of consecutive heartbeats of an agent with
// a newer version after which its objects are pulled.
const heartbeatsBeforePull = 3

func (c *Controller) handleMessage(t *core.Turn, p *peer, m core.Message) {
	switch m := m.(type) {
	case core.Delta:
		c.handleDelta(t, p, &m)
	case core.Digest:
		c.handleDigest(t, p, &m)
	case core.Pull:
		c.handlePull(t, p, &m)
	case core.MemberPull:
		session := t.Board.Peers.Sessions[p.node]
		subscriber := core.Subscriber{Role: session.Role, Service: session.Service}
		p.memberQueue = append(p.memberQueue, memberPullReply(t.Board, subscriber, &m, c.options.MessageSizeLimit)...)
	case core.MemberBuckets:
		c.handleMemberBuckets(t, p, &m)
	case core.Subscribe:
		c.handleSubscribe(t, p, m.Service)
	case core.Heartbeat:
		recordPeerVersion(t, p.node, m.ConfigVersion)
		c.pullFromAgent(t, p, m.ConfigVersion)
	}
}

// handleSubscribe records the service that an agent follows from now on, and
// queues the records of the service's agents: earlier floods did not include the
// subscriber.
func (c *Controller) handleSubscribe(t *core.Turn, p *peer, service model.ServiceName) {
	session := t.Board.Peers.Sessions[p.node]
	session.Service = service
	t.Board.Peers.Sessions[p.node] = session
	p.versionKnown = false // the pull that follows reports its version
	if service == "" || t.Board.Self.Member.Role != model.RoleBalancer {
		return
	}
	for node, m := range t.Board.Members.Records {
		if m.Service == service {
			p.pendingRecords[node] = struct{}{}
		}
	}
}

// recordPeerVersion records that a peer holds at least the version.
func recordPeerVersion(t *core.Turn, node model.NodeID, version uint64) {
	session := t.Board.Peers.Sessions[node]
	session.ConfigVersion = max(session.ConfigVersion, version)
	t.Board.Peers.Sessions[node] = session
}

// handleDelta records what the peer holds, so that it is not sent back.
func (c *Controller) handleDelta(t *core.Turn, p *peer, d *core.Delta) {
	for i := range d.Members {
		if t.Board.Members.Records[d.Members[i].Node] == d.Members[i] {
			delete(p.pendingRecords, d.Members[i].Node)
		}
	}
	if d.Parts > 0 {
		c.lastConfigPull = t.Now // more parts of the reply may follow
	}
	if t.Board.Peers.Sessions[p.node].Role != model.RoleBalancer || d.ConfigVersion == 0 {
		return
	}
	p.configSent = max(p.configSent, d.ConfigVersion)
	recordPeerVersion(t, p.node, d.ConfigVersion)
}

func (c *Controller) handleDigest(t *core.Turn, p *peer, d *core.Digest) {
	recordPeerVersion(t, p.node, d.ConfigVersion)
	if !p.versionKnown && t.Board.Self.Member.Role == model.RoleBalancer {
		p.versionKnown = true // the peer pulls what it lacks
		p.configSent = max(d.ConfigVersion, t.Board.Config.Current.Version)
	}
	version := t.Board.Config.CompleteVersion(t.Board.Self.Subscription)
	if d.ConfigVersion > version && t.Now.Sub(c.lastConfigPull) >= c.options.PullTimeout {
		c.lastConfigPull = t.Now
		c.send(t, p, core.Pull{Since: version}, messageOverhead)
	}
	c.compareMembers(t, p, d)
}

// compareMembers pulls the records of a peer whose digests differ repeatedly. A
// new node pulls at the first mismatch.
func (c *Controller) compareMembers(t *core.Turn, p *peer, d *core.Digest) {
	self := core.Subscriber{Role: t.Board.Self.Member.Role, Service: t.Board.Self.Subscription}
	if d.Members == t.Board.Members.Summary.Digest(self) {
		p.digestMismatches = 0
		return
	}
	p.digestMismatches++
	isNew := len(t.Board.Members.Records) <= 1+len(c.peers.order)
	if p.digestMismatches < mismatchesBeforePull && !isNew {
		return
	}
	if t.Now.Sub(c.lastMemberPull) < c.options.PullTimeout {
		return
	}
	p.digestMismatches = 0
	c.lastMemberPull = t.Now
	pull := memberPull(t.Board)
	c.send(t, p, pull, messageOverhead+4*len(pull.Buckets))
}

// pullFromAgent pulls from an agent its part of a configuration that no balancer
// seems to have: all of them may have been replaced while the store is down.
func (c *Controller) pullFromAgent(t *core.Turn, p *peer, version uint64) {
	current := t.Board.Config.Current.Version
	if version <= current {
		p.heartbeatsAhead = 0
		return
	}
	p.heartbeatsAhead++
	if p.heartbeatsAhead == heartbeatsBeforePull {
		c.send(t, p, core.Pull{Since: current}, messageOverhead)
	}
}

// handlePull replies with configuration. An agent holds only a part, so it
// sends the objects without a version.
func (c *Controller) handlePull(t *core.Turn, p *peer, m *core.Pull) {
	if t.Board.Self.Member.Role == model.RoleAgent {
		p.configQueue = append(p.configQueue, agentConfigReply(t.Board, m.Since, c.options.MessageSizeLimit)...)
		return
	}
	p.versionKnown = true
	p.configSent = m.Since
	if t.Board.Config.Current.Version > m.Since {
		p.queueConfig(t, m.Since, c.options.MessageSizeLimit)
	}
}

func agentConfigReply(b *core.Board, since uint64, limit int) []sizedMessage {
	var messages []sizedMessage
	for _, chunk := range splitBySize(b.Config.Current.ChangedSince(since), limit, objectSize) {
		messages = append(messages, sizedMessage{core.Delta{Objects: chunk}, deltaSize(chunk)})
	}
	return messages
}

// handleMemberBuckets queues the records that the peer lacks. Only a balancer
// does, because the reply that an agent receives is filtered.
func (c *Controller) handleMemberBuckets(t *core.Turn, p *peer, m *core.MemberBuckets) {
	c.lastMemberPull = t.Now // more of the reply may follow
	if t.Board.Self.Member.Role != model.RoleBalancer {
		return
	}
	for _, node := range recordsMissingFrom(t.Board, m) {
		p.pendingRecords[node] = struct{}{}
	}
}
