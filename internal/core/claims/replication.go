package claims

import (
	"cmp"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/claimpb"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// maxPushRecords limits the records in one datagram.
	maxPushRecords = 10
	// maxPushDatagrams limits the datagrams sent in one step.
	maxPushDatagrams = 32
	// maxQuickPushes is how often a record is pushed at retryInterval before
	// slowPushInterval applies.
	maxQuickPushes   = 5
	slowPushInterval = time.Second
	// batchTimeout is how long an acknowledgement is awaited.
	batchTimeout = 5 * time.Second
	// releaseTimeout is how long the release of an abandoned claim is resent.
	releaseTimeout = 30 * time.Second
)

// replicationState tracks the pushes in flight to other nodes.
type replicationState struct {
	lastBatch   uint64
	batches     map[uint64]pushBatch
	viewDigests map[model.ServiceID]uint64
}

// pushBatch is a push that is not acknowledged yet.
type pushBatch struct {
	to       model.NodeID
	records  []*record
	versions []uint64
	sentAt   time.Time
}

// pendingRelease is the release of an abandoned claim, to be sent to a node
// that was queried for its key.
type pendingRelease struct {
	record    *record
	to        model.NodeID
	createdAt time.Time
	sentAt    time.Time
	batch     uint64
}

func newReplicationState() replicationState {
	return replicationState{batches: make(map[uint64]pushBatch), viewDigests: make(map[model.ServiceID]uint64)}
}

// releaseClaim abandons a claim and releases it at every node that may have
// granted it.
func (c *Controller) releaseClaim(t *core.Turn, p *pendingClaim) {
	r := *p.record
	r.state = stateReleased
	r.response = nil
	c.table.merge(&r, t.Now)
	for _, to := range p.queriedNodes {
		if to != t.Board.Self.Member.Node {
			c.pendingReleases = append(c.pendingReleases, &pendingRelease{record: &r, to: to, createdAt: t.Now})
		}
	}
}

// pushRecords pushes changed records to the owners and deputies of their keys.
func (c *Controller) pushRecords(t *core.Turn) {
	c.markDirtyOnViewChange(t)
	c.expireBatches(t.Now)
	byNode := make(map[model.NodeID][]*record)
	for _, key := range sortedKeys(c.table.dirty) {
		c.collectDueRecord(t, c.table.dirty[key], byNode)
	}
	budget := maxPushDatagrams
	for _, to := range sortedNodes(byNode) {
		for records := range slices.Chunk(byNode[to], maxPushRecords) {
			if budget--; budget < 0 {
				return
			}
			c.sendPush(t, to, records)
		}
	}
	c.sendReleases(t)
}

// collectDueRecord adds the record to the pushes for the nodes that lack it, or
// marks it clean if there are none.
func (c *Controller) collectDueRecord(t *core.Turn, r *record, byNode map[model.NodeID][]*record) {
	recipients := c.nodesMissingRecord(t, r)
	if len(recipients) == 0 {
		delete(c.table.dirty, r.key)
		return
	}
	interval := retryInterval
	if r.pushCount >= maxQuickPushes {
		interval = slowPushInterval
	}
	if r.pushCount > 0 && t.Now.Sub(r.lastPush) < interval {
		return
	}
	r.lastPush = t.Now
	r.pushCount++
	for _, to := range recipients {
		byNode[to] = append(byNode[to], r)
	}
}

// nodesMissingRecord returns the owner and the deputy as far as they lack the
// record, and the next candidate if the deputy has not acknowledged a waiting
// grant in time.
func (c *Controller) nodesMissingRecord(t *core.Turn, r *record) []model.NodeID {
	replicaCount := 2
	if g := c.pendingGrants[r.key]; g != nil && g.record == r && t.Now.Sub(g.grantedAt) >= deputyTimeout {
		replicaCount = 3
	}
	var out []model.NodeID
	for i, candidate := range rankedCandidates(t, r.service, r.key) {
		if i >= replicaCount {
			break
		}
		member := &candidate.Member
		if member.Node != t.Board.Self.Member.Node && r.replicaVersions[replica{member.Node, member.Incarnation}] != r.version {
			out = append(out, member.Node)
		}
	}
	return out
}

func (c *Controller) sendPush(t *core.Turn, to model.NodeID, records []*record) uint64 {
	c.replication.lastBatch++
	b := pushBatch{to: to, records: records, sentAt: t.Now}
	m := &claimpb.Push{Batch: c.replication.lastBatch}
	for _, r := range records {
		b.versions = append(b.versions, r.version)
		m.Records = append(m.Records, encodeRecord(r))
	}
	c.replication.batches[c.replication.lastBatch] = b
	c.sendMessage(t, records[0].service, to, &claimpb.Message{Body: &claimpb.Message_Push{Push: m}})
	return c.replication.lastBatch
}

// handlePush merges the records of another node. A grant to a claim that this
// node has abandoned is released.
func (c *Controller) handlePush(t *core.Turn, service model.ServiceID, from replica, m *claimpb.Push) {
	for _, encoded := range m.Records {
		incoming := decodeRecord(service, encoded)
		if incoming == nil || incoming.state == statePending {
			continue
		}
		if c.isAbandonedGrant(t, incoming) {
			incoming.state = stateReleased
		}
		if !c.mergePushedRecord(t, incoming, from) {
			return // the table is full: the sender retries
		}
	}
	c.sendMessage(t, service, from.node, &claimpb.Message{Body: &claimpb.Message_PushAck{
		PushAck: &claimpb.PushAck{Batch: m.Batch},
	}})
}

// mergePushedRecord merges a record, and records whether the sender has the
// same version. It reports whether the table now has the record or one that
// replaces it.
func (c *Controller) mergePushedRecord(t *core.Turn, incoming *record, from replica) bool {
	_, wasDirty := c.table.dirty[incoming.key]
	pushed := *incoming
	existing := c.table.merge(incoming, t.Now)
	if existing == nil {
		return false
	}
	local := existing.claim.node == t.Board.Self.Member.Node
	if existing.claim == pushed.claim && existing.state == pushed.state && existing.generation == pushed.generation {
		existing.replicaVersions[from] = existing.version
		if !wasDirty && !local {
			delete(c.table.dirty, existing.key) // its holder pushes the record
		}
	}
	if existing.claim == pushed.claim && existing.state > pushed.state {
		delete(existing.replicaVersions, from)
		c.table.dirty[existing.key] = existing
	}
	return existing.claim == pushed.claim || existing.generation > pushed.generation
}

// isAbandonedGrant reports whether the record grants a claim of this process
// that it no longer waits for.
func (c *Controller) isAbandonedGrant(t *core.Turn, r *record) bool {
	self := &t.Board.Self.Member
	if r.claim.node != self.Node || r.claim.incarnation != self.Incarnation || r.state != stateInProgress {
		return false
	}
	existing := c.table.records[r.key]
	waiting := c.pendingClaims[r.claim.request] != nil
	return !waiting && (existing == nil || existing.claim != r.claim)
}

// handlePushAck records which records the sender has.
func (c *Controller) handlePushAck(t *core.Turn, from replica, id uint64) {
	b, ok := c.replication.batches[id]
	if !ok || b.to != from.node {
		return
	}
	delete(c.replication.batches, id)
	for i, r := range b.records {
		if r.replicaVersions != nil && r.version == b.versions[i] {
			r.replicaVersions[from] = r.version
		}
		if g := c.pendingGrants[r.key]; g != nil {
			c.completeGrant(t, g)
		}
	}
	c.pendingReleases = slices.DeleteFunc(c.pendingReleases, func(r *pendingRelease) bool { return r.batch == id })
}

// markDirtyOnViewChange marks all records of a service for pushing when its
// candidates change.
func (c *Controller) markDirtyOnViewChange(t *core.Turn) {
	for service, view := range t.Board.Routes.Views {
		if c.replication.viewDigests[service] == view.Digest {
			continue
		}
		c.replication.viewDigests[service] = view.Digest
		for key, r := range c.table.records {
			if r.service == service {
				r.pushCount = 0
				c.table.dirty[key] = r
			}
		}
	}
}

func (c *Controller) expireBatches(now time.Time) {
	for id, b := range c.replication.batches {
		if now.Sub(b.sentAt) >= batchTimeout {
			delete(c.replication.batches, id)
		}
	}
}

// sendReleases sends the releases that are not acknowledged, and discards old
// ones.
func (c *Controller) sendReleases(t *core.Turn) {
	c.pendingReleases = slices.DeleteFunc(c.pendingReleases, func(r *pendingRelease) bool {
		return t.Now.Sub(r.createdAt) >= releaseTimeout
	})
	for _, r := range c.pendingReleases {
		if t.Now.Sub(r.sentAt) >= retryInterval {
			r.sentAt = t.Now
			r.batch = c.sendPush(t, r.to, []*record{r.record})
		}
	}
}

func sortedNodes(m map[model.NodeID][]*record) []model.NodeID {
	nodes := make([]model.NodeID, 0, len(m))
	for n := range m {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b model.NodeID) int { return cmp.Compare(a, b) })
	return nodes
}
