package claims

import (
	"bytes"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/claimpb"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// abandonTimeout is how long an owner keeps probing for a claim after its
	// last query.
	abandonTimeout = time.Second
	// deputyTimeout is how long a grant waits for the deputy before the next
	// candidate may replace it.
	deputyTimeout = 300 * time.Millisecond
	// maxPeerProbes limits the recorded probes of other owners.
	maxPeerProbes = 4096
	// peerProbeRetention is how long the probe of another owner is recorded.
	peerProbeRetention = 5 * time.Minute
)

// pendingGrant is a granted record that no deputy has acknowledged yet.
type pendingGrant struct {
	record    *record
	requester model.NodeID
	grantedAt time.Time
}

// probe queries the other candidates about a key before it is granted.
type probe struct {
	record        *record // the claim, in state statePending
	requester     model.NodeID
	round         uint64
	viewDigest    uint64 // of the view whose candidates are probed
	awaitingReply []model.NodeID
	sentAt        time.Time
	lastQueryAt   time.Time // when the requester last sent its query
	// maxGeneration is the highest generation in the replies.
	maxGeneration uint64
}

// handleQuery decides on a claim as the key's owner. A claim that it cannot
// decide now gets no reply; the requester retries.
func (c *Controller) handleQuery(t *core.Turn, requester model.NodeID, r *record) {
	if !c.canGrant(t, r) {
		return
	}
	existing := c.table.records[r.key]
	if existing != nil && existing.claim == r.claim {
		c.handleRepeatedQuery(t, requester, existing)
		return
	}
	if existing.blocksRequests() {
		c.sendReply(t, requester, r, existing)
		return
	}
	if p := c.probes[r.key]; p != nil && p.record.claim != r.claim {
		c.sendReply(t, requester, r, p.record)
		return
	}
	if c.isSettled(t, r.service, r.key) {
		c.grantKey(t, requester, r, 0)
		return
	}
	c.startProbe(t, requester, r)
}

// canGrant reports whether this node owns the key, under a valid lease.
func (c *Controller) canGrant(t *core.Turn, r *record) bool {
	ownerNode, ok := keyOwner(t, r.service, r.key)
	return ok && ownerNode == t.Board.Self.Member.Node && t.Board.Lease.Valid(t.Now)
}

// handleRepeatedQuery handles a repeated query of a claim that has a record.
func (c *Controller) handleRepeatedQuery(t *core.Turn, requester model.NodeID, existing *record) {
	if g := c.pendingGrants[existing.key]; g != nil && g.record == existing {
		return
	}
	if existing.state == stateInProgress {
		c.sendReply(t, requester, existing, existing)
	}
}

// sendReply sends the requester the record that decides its claim.
func (c *Controller) sendReply(t *core.Turn, requester model.NodeID, query, r *record) {
	if requester == t.Board.Self.Member.Node {
		copied := *r
		c.handleReply(t, query.claim, &copied)
		return
	}
	c.sendMessage(t, query.service, requester, &claimpb.Message{Body: &claimpb.Message_Answer{
		Answer: &claimpb.Answer{Claim: encodeClaimID(query.claim), Record: encodeRecord(r)},
	}})
}

// startProbe probes all other candidates, or continues the probe that is under
// way.
func (c *Controller) startProbe(t *core.Turn, requester model.NodeID, r *record) {
	p := c.probes[r.key]
	view := t.Board.Routes.Views[r.service]
	if p == nil || p.viewDigest != view.Digest {
		c.lastRound++
		claim := *r
		p = &probe{
			record: &claim, requester: requester, round: c.lastRound, viewDigest: view.Digest,
			awaitingReply: c.probeRecipients(t, view, r.key),
		}
		c.probes[r.key] = p
	}
	p.lastQueryAt = t.Now
	c.sendProbe(t, p)
}

// probeRecipients returns the other candidates, and the live node that probed
// the key before.
func (c *Controller) probeRecipients(t *core.Turn, view *core.View, key keyHash) []model.NodeID {
	recipients := nodesExcept(view.Candidates, t.Board.Self.Member.Node)
	earlier, ok := c.peerProbes[key]
	if !ok || slices.Contains(recipients, earlier.prober) {
		return recipients
	}
	if m, known := t.Board.Members.Records[earlier.prober]; known && !m.Gone() {
		recipients = append(recipients, earlier.prober)
	}
	return recipients
}

func (c *Controller) sendProbe(t *core.Turn, p *probe) {
	if len(p.awaitingReply) == 0 {
		c.finishProbe(t, p)
		return
	}
	if t.Now.Sub(p.sentAt) < retryInterval {
		return
	}
	p.sentAt = t.Now
	for _, to := range p.awaitingReply {
		c.sendMessage(t, p.record.service, to, &claimpb.Message{Body: &claimpb.Message_Probe{Probe: &claimpb.Probe{
			Key: p.record.key[:], Round: p.round, Claim: encodeClaimID(p.record.claim),
		}}})
	}
}

// retryProbes resends the probes and discards those whose claim has timed out
// or whose view has changed.
func (c *Controller) retryProbes(t *core.Turn) {
	for _, key := range sortedKeys(c.probes) {
		p := c.probes[key]
		view := t.Board.Routes.Views[p.record.service]
		if t.Now.Sub(p.lastQueryAt) >= abandonTimeout || view == nil || view.Digest != p.viewDigest {
			delete(c.probes, key)
			continue
		}
		c.sendProbe(t, p)
	}
}

// handleProbe sends another owner what this node knows of a key beyond the
// claim that it probes for. From now on this node probes in turn before it
// grants the key.
func (c *Controller) handleProbe(t *core.Turn, service model.ServiceID, from model.NodeID, m *claimpb.Probe) {
	if len(m.Key) != len(keyHash{}) {
		return
	}
	key := keyHash(m.Key)
	c.recordPeerProbe(t, service, key, from)
	reply := &claimpb.ProbeReply{Key: m.Key, Round: m.Round}
	if r := c.conflictingRecord(key, decodeClaimID(m.Claim), from); r != nil {
		reply.Record = encodeRecord(r)
	}
	c.sendMessage(t, service, from, &claimpb.Message{Body: &claimpb.Message_ProbeReply{ProbeReply: reply}})
}

// conflictingRecord returns what is known of a key: a record, a claim that this
// node is about to grant, or one of its own that another owner may have
// granted.
func (c *Controller) conflictingRecord(key keyHash, claim claimID, prober model.NodeID) *record {
	if r := c.table.records[key]; r != nil {
		return r
	}
	if p := c.probes[key]; p != nil && p.record.claim != claim {
		return p.record
	}
	for _, id := range sortedIDs(c.pendingClaims) {
		p := c.pendingClaims[id]
		queriedOther := slices.ContainsFunc(p.queriedNodes, func(n model.NodeID) bool { return n != prober })
		if p.record.key == key && p.record.claim != claim && queriedOther {
			return p.record
		}
	}
	return nil
}

// handleProbeReply merges a candidate's reply to a probe.
func (c *Controller) handleProbeReply(t *core.Turn, service model.ServiceID, from model.NodeID, m *claimpb.ProbeReply) {
	if len(m.Key) != len(keyHash{}) {
		return
	}
	p := c.probes[keyHash(m.Key)]
	if p == nil || p.round != m.Round {
		return
	}
	if r := decodeRecord(service, m.Record); r != nil && r.key == p.record.key {
		if r.state == statePending {
			delete(c.probes, r.key)
			c.sendReply(t, p.requester, p.record, r)
			return
		}
		p.maxGeneration = max(p.maxGeneration, r.generation)
		c.table.merge(r, t.Now)
	}
	p.awaitingReply = slices.DeleteFunc(p.awaitingReply, func(n model.NodeID) bool { return n == from })
	if len(p.awaitingReply) == 0 {
		c.finishProbe(t, p)
	}
}

// finishProbe decides on a claim after all candidates have replied.
func (c *Controller) finishProbe(t *core.Turn, p *probe) {
	delete(c.probes, p.record.key)
	if !c.canGrant(t, p.record) {
		return
	}
	existing := c.table.records[p.record.key]
	switch {
	case existing.blocksRequests() && existing.claim != p.record.claim:
		c.sendReply(t, p.requester, p.record, existing)
	case existing != nil && existing.claim == p.record.claim:
		c.handleRepeatedQuery(t, p.requester, existing)
	default:
		c.grantKey(t, p.requester, p.record, p.maxGeneration)
	}
}

// grantKey records the grant. The requester gets the reply once a deputy has
// the record too.
func (c *Controller) grantKey(t *core.Turn, requester model.NodeID, r *record, generation uint64) {
	if existing := c.table.records[r.key]; existing != nil {
		generation = max(generation, existing.generation)
	} else if c.table.isFull() {
		return
	}
	granted := &record{
		key: r.key, digest: r.digest, claim: r.claim, service: r.service,
		state: stateInProgress, generation: generation + 1,
	}
	c.table.store(granted, t.Now)
	g := &pendingGrant{record: granted, requester: requester, grantedAt: t.Now}
	c.pendingGrants[r.key] = g
	c.pushRecords(t)
	c.completeGrant(t, g)
}

// completeGrant replies to the requester if a deputy has the record.
func (c *Controller) completeGrant(t *core.Turn, g *pendingGrant) {
	if c.pendingGrants[g.record.key] != g || !c.canGrant(t, g.record) || !c.isReplicated(t, g) {
		return
	}
	delete(c.pendingGrants, g.record.key)
	if g.record.state == stateInProgress {
		c.sendReply(t, g.requester, g.record, g.record)
	}
}

// isReplicated reports whether a candidate other than this node has the grant,
// or there is no other.
func (c *Controller) isReplicated(t *core.Turn, g *pendingGrant) bool {
	others := 0
	for _, candidate := range rankedCandidates(t, g.record.service, g.record.key) {
		if candidate.Member.Node == t.Board.Self.Member.Node {
			continue
		}
		others++
		if g.record.replicaVersions[replica{candidate.Member.Node, candidate.Member.Incarnation}] == g.record.version {
			return true
		}
	}
	return others == 0
}

// retryGrants completes grants whose deputy has changed and discards those that
// were replaced.
func (c *Controller) retryGrants(t *core.Turn) {
	for _, key := range sortedKeys(c.pendingGrants) {
		g := c.pendingGrants[key]
		if c.table.records[key] != g.record {
			delete(c.pendingGrants, key)
			continue
		}
		c.completeGrant(t, g)
	}
}

// peerProbe is the probe of another owner for a key.
type peerProbe struct {
	prober     model.NodeID
	receivedAt time.Time
}

// recordPeerProbe records that another owner probed the key. It matters only
// where this node owns the key too, because their views differ.
func (c *Controller) recordPeerProbe(t *core.Turn, service model.ServiceID, key keyHash, prober model.NodeID) {
	if ownerNode, ok := keyOwner(t, service, key); !ok || ownerNode != t.Board.Self.Member.Node {
		return
	}
	if len(c.peerProbes) >= maxPeerProbes {
		clear(c.peerProbes)
		c.leaseValidSince = t.Now // probe for every key
	}
	c.peerProbes[key] = peerProbe{prober, t.Now}
}

func (c *Controller) expirePeerProbes(now time.Time) {
	for key, received := range c.peerProbes {
		if now.Sub(received.receivedAt) >= peerProbeRetention {
			delete(c.peerProbes, key)
		}
	}
}

func sortedKeys[V any](m map[keyHash]V) []keyHash {
	keys := make([]keyHash, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b keyHash) int { return bytes.Compare(a[:], b[:]) })
	return keys
}
