package dissemination

import (
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// heartbeatsBeforePull is the number of an agent's heartbeats in a row with a
// newer version after which it is asked for its objects.
const heartbeatsBeforePull = 3

// receive handles a peer's message.
func (c *Controller) receive(t *core.Turn, p *peer, m core.Message) {
	switch m := m.(type) {
	case core.Delta:
		c.receiveDelta(t, p, &m)
	case core.Digest:
		c.receiveDigest(t, p, &m)
	case core.Pull:
		c.receivePull(t, p, &m)
	case core.MemberPull:
		session := t.Board.Peers.Sessions[p.node]
		subscriber := core.Subscriber{Role: session.Role, Service: session.Service}
		p.memberAnswers = append(p.memberAnswers, memberAnswer(t.Board, subscriber, &m, c.options.MessageBytes)...)
	case core.MemberBuckets:
		c.receiveBuckets(t, p, &m)
	case core.Subscribe:
		c.receiveSubscribe(t, p, m.Service)
	case core.Heartbeat:
		holds(t, p.node, m.ConfigVersion)
		c.pullFromAgent(t, p, m.ConfigVersion)
	}
}

// receiveSubscribe notes the service that an agent follows from now on, and
// marks its agents' records: those that were flooded before passed it by.
func (c *Controller) receiveSubscribe(t *core.Turn, p *peer, service model.ServiceName) {
	session := t.Board.Peers.Sessions[p.node]
	session.Service = service
	t.Board.Peers.Sessions[p.node] = session
	p.known = false // the pull that follows tells its version
	if service == "" || t.Board.Self.Member.Role != model.RoleBalancer {
		return
	}
	for node, m := range t.Board.Members.Records {
		if m.Service == service {
			p.pending[node] = struct{}{}
		}
	}
}

// holds notes the version that a peer is known to hold.
func holds(t *core.Turn, node model.NodeID, version uint64) {
	session := t.Board.Peers.Sessions[node]
	session.ConfigVersion = max(session.ConfigVersion, version)
	t.Board.Peers.Sessions[node] = session
}

// receiveDelta notes what the peer holds, so that it is not sent back.
func (c *Controller) receiveDelta(t *core.Turn, p *peer, d *core.Delta) {
	for i := range d.Members {
		if t.Board.Members.Records[d.Members[i].Node] == d.Members[i] {
			delete(p.pending, d.Members[i].Node)
		}
	}
	if d.Parts > 0 {
		c.configPulled = t.Now // the answer is still coming
	}
	if t.Board.Peers.Sessions[p.node].Role != model.RoleBalancer || d.ConfigVersion == 0 {
		return
	}
	p.configSent = max(p.configSent, d.ConfigVersion)
	holds(t, p.node, d.ConfigVersion)
}

func (c *Controller) receiveDigest(t *core.Turn, p *peer, d *core.Digest) {
	holds(t, p.node, d.ConfigVersion)
	if !p.known && t.Board.Self.Member.Role == model.RoleBalancer {
		p.known = true // it pulls what it lacks now
		p.configSent = max(d.ConfigVersion, t.Board.Config.Current.Version)
	}
	held := t.Board.Config.CompleteVersion(t.Board.Self.Subscription)
	if d.ConfigVersion > held && t.Now.Sub(c.configPulled) >= c.options.PullTimeout {
		c.configPulled = t.Now
		c.send(t, p, core.Pull{Since: held}, messageOverhead)
	}
	c.compareMembers(t, p, d)
}

// compareMembers pulls the records of a peer whose digest keeps differing. A
// new node pulls at once.
func (c *Controller) compareMembers(t *core.Turn, p *peer, d *core.Digest) {
	self := core.Subscriber{Role: t.Board.Self.Member.Role, Service: t.Board.Self.Subscription}
	if d.Members == t.Board.Members.Summary.Digest(self) {
		p.mismatches = 0
		return
	}
	p.mismatches++
	isNew := len(t.Board.Members.Records) <= 1+len(c.peers.order)
	if p.mismatches < mismatchesBeforePull && !isNew {
		return
	}
	if t.Now.Sub(c.membersPulled) < c.options.PullTimeout {
		return
	}
	p.mismatches = 0
	c.membersPulled = t.Now
	pull := memberPull(t.Board)
	c.send(t, p, pull, messageOverhead+4*len(pull.Buckets))
}

// pullFromAgent asks an agent for its part of a configuration that no
// balancer seems to have: all of them may have been replaced while the store
// is down.
func (c *Controller) pullFromAgent(t *core.Turn, p *peer, version uint64) {
	held := t.Board.Config.Current.Version
	if version <= held {
		p.ahead = 0
		return
	}
	p.ahead++
	if p.ahead == heartbeatsBeforePull {
		c.send(t, p, core.Pull{Since: held}, messageOverhead)
	}
}

// receivePull answers with configuration. An agent holds only a part, so it
// offers the objects without a version.
func (c *Controller) receivePull(t *core.Turn, p *peer, m *core.Pull) {
	if t.Board.Self.Member.Role == model.RoleAgent {
		p.configAnswers = append(p.configAnswers, agentAnswer(t.Board, m.Since, c.options.MessageBytes)...)
		return
	}
	p.known = true
	p.configSent = m.Since
	if t.Board.Config.Current.Version > m.Since {
		p.answerConfig(t, m.Since, c.options.MessageBytes)
	}
}

func agentAnswer(b *core.Board, since uint64, limit int) []sizedMessage {
	var out []sizedMessage
	for _, run := range cut(b.Config.Current.ChangedSince(since), limit, objectSize) {
		out = append(out, sizedMessage{core.Delta{Objects: run}, deltaSize(run)})
	}
	return out
}

// receiveBuckets sends back the records that the peer lacks. A balancer's
// answer to a balancer covers all records; to an agent it is filtered.
func (c *Controller) receiveBuckets(t *core.Turn, p *peer, m *core.MemberBuckets) {
	c.membersPulled = t.Now // the answer may still be coming
	if t.Board.Self.Member.Role != model.RoleBalancer {
		return
	}
	for _, node := range lackingIn(t.Board, m) {
		p.pending[node] = struct{}{}
	}
}
