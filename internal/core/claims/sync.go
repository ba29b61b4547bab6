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
	// pushRecords bounds the records of one datagram.
	pushRecords = 10
	// pushDatagrams bounds the datagrams of one step.
	pushDatagrams = 32
	// quickPushes is how often a record is pushed every retryInterval before
	// slowPushInterval applies.
	quickPushes      = 5
	slowPushInterval = time.Second
	// batchTimeout is how long an acknowledgement is waited for.
	batchTimeout = 5 * time.Second
	// releaseTimeout is how long a claim that was given up is reported.
	releaseTimeout = 30 * time.Second
)

// syncState is what is under way to other nodes.
type syncState struct {
	lastBatch uint64
	batches   map[uint64]batch
	digests   map[model.ServiceID]uint64
}

// batch is a push that is not acknowledged yet.
type batch struct {
	to       model.NodeID
	records  []*record
	versions []uint64
	sent     time.Time
}

// release tells a node that was asked for a key that its claim was given up.
type release struct {
	record *record
	to     model.NodeID
	since  time.Time
	last   time.Time
	batch  uint64
}

func newSyncState() syncState {
	return syncState{batches: make(map[uint64]batch), digests: make(map[model.ServiceID]uint64)}
}

// release gives up a claim at every node that may have granted it.
func (c *Controller) release(t *core.Turn, p *pending) {
	r := *p.record
	r.state = stateReleased
	r.answer = nil
	c.table.merge(&r, t.Now)
	for _, to := range p.asked {
		if to != t.Board.Self.Member.Node {
			c.releases = append(c.releases, &release{record: &r, to: to, since: t.Now})
		}
	}
}

// push brings changed records to the owners and deputies of their keys.
func (c *Controller) push(t *core.Turn) {
	c.watchViews(t)
	c.dropBatches(t.Now)
	byNode := make(map[model.NodeID][]*record)
	for _, key := range sortedKeys(c.table.dirty) {
		c.collect(t, c.table.dirty[key], byNode)
	}
	budget := pushDatagrams
	for _, to := range sortedNodes(byNode) {
		for part := range slices.Chunk(byNode[to], pushRecords) {
			if budget--; budget < 0 {
				return
			}
			c.sendBatch(t, to, part)
		}
	}
	c.pushReleases(t)
}

// collect adds the record to what the nodes that lack it are sent, or marks it
// clean when there are none.
func (c *Controller) collect(t *core.Turn, r *record, byNode map[model.NodeID][]*record) {
	lacking := c.lacking(t, r)
	if len(lacking) == 0 {
		delete(c.table.dirty, r.key)
		return
	}
	pause := retryInterval
	if r.pushes >= quickPushes {
		pause = slowPushInterval
	}
	if r.pushes > 0 && t.Now.Sub(r.pushed) < pause {
		return
	}
	r.pushed = t.Now
	r.pushes++
	for _, to := range lacking {
		byNode[to] = append(byNode[to], r)
	}
}

// lacking returns the owner and the deputy as far as they lack the record. A
// deputy that does not answer while a grant waits is helped by the next one.
func (c *Controller) lacking(t *core.Turn, r *record) []model.NodeID {
	keepers := 2
	if g := c.grants[r.key]; g != nil && g.record == r && t.Now.Sub(g.since) >= deputyPatience {
		keepers = 3
	}
	var out []model.NodeID
	for i, cand := range ranked(t, r.service, r.key) {
		if i >= keepers {
			break
		}
		m := &cand.Member
		if m.Node != t.Board.Self.Member.Node && r.copies[replica{m.Node, m.Incarnation}] != r.version {
			out = append(out, m.Node)
		}
	}
	return out
}

func (c *Controller) sendBatch(t *core.Turn, to model.NodeID, records []*record) uint64 {
	c.sync.lastBatch++
	b := batch{to: to, records: records, sent: t.Now}
	m := &claimpb.Push{Batch: c.sync.lastBatch}
	for _, r := range records {
		b.versions = append(b.versions, r.version)
		m.Records = append(m.Records, encodeRecord(r))
	}
	c.sync.batches[c.sync.lastBatch] = b
	c.send(t, records[0].service, to, &claimpb.Message{Body: &claimpb.Message_Push{Push: m}})
	return c.sync.lastBatch
}

// pushReceived takes the records of another node. A claim of this node's own
// that it has given up is given back.
func (c *Controller) pushReceived(t *core.Turn, service model.ServiceID, from replica, m *claimpb.Push) {
	for _, encoded := range m.Records {
		in := decodeRecord(service, encoded)
		if in == nil || in.state == stateAsked {
			continue
		}
		if c.abandoned(t, in) {
			in.state = stateReleased
		}
		if !c.take(t, in, from) {
			return // not taken: the sender repeats
		}
	}
	c.send(t, service, from.node, &claimpb.Message{Body: &claimpb.Message_PushAck{
		PushAck: &claimpb.PushAck{Batch: m.Batch},
	}})
}

// take merges a record, and notes whether the sender has the same. It reports
// whether the record, or one that replaces it, is held now.
func (c *Controller) take(t *core.Turn, in *record, from replica) bool {
	_, wasDirty := c.table.dirty[in.key]
	pushed := *in
	held := c.table.merge(in, t.Now)
	if held == nil {
		return false
	}
	own := held.claim.node == t.Board.Self.Member.Node
	if held.claim == pushed.claim && held.state == pushed.state && held.generation == pushed.generation {
		held.copies[from] = held.version
		if !wasDirty && !own {
			delete(c.table.dirty, held.key) // its holder pushes it
		}
	}
	if held.claim == pushed.claim && held.state > pushed.state {
		delete(held.copies, from)
		c.table.dirty[held.key] = held
	}
	return held.claim == pushed.claim || held.generation > pushed.generation
}

// abandoned reports whether the record grants a claim of this process that it
// no longer waits for.
func (c *Controller) abandoned(t *core.Turn, r *record) bool {
	self := &t.Board.Self.Member
	if r.claim.node != self.Node || r.claim.incarnation != self.Incarnation || r.state != stateProgress {
		return false
	}
	held := c.table.records[r.key]
	waits := c.pending[r.claim.request] != nil
	return !waits && (held == nil || held.claim != r.claim)
}

// pushAcked notes which records the sender has.
func (c *Controller) pushAcked(t *core.Turn, from replica, id uint64) {
	b, ok := c.sync.batches[id]
	if !ok || b.to != from.node {
		return
	}
	delete(c.sync.batches, id)
	for i, r := range b.records {
		if r.copies != nil && r.version == b.versions[i] {
			r.copies[from] = r.version
		}
		if g := c.grants[r.key]; g != nil {
			c.completeGrant(t, g)
		}
	}
	c.releases = slices.DeleteFunc(c.releases, func(r *release) bool { return r.batch == id })
}

// watchViews makes all records of a service due for pushing when its
// candidates change.
func (c *Controller) watchViews(t *core.Turn) {
	for service, view := range t.Board.Routes.Views {
		if c.sync.digests[service] == view.Digest {
			continue
		}
		c.sync.digests[service] = view.Digest
		for key, r := range c.table.records {
			if r.service == service {
				r.pushes = 0
				c.table.dirty[key] = r
			}
		}
	}
}

func (c *Controller) dropBatches(now time.Time) {
	for id, b := range c.sync.batches {
		if now.Sub(b.sent) >= batchTimeout {
			delete(c.sync.batches, id)
		}
	}
}

// pushReleases repeats the releases that are not acknowledged.
func (c *Controller) pushReleases(t *core.Turn) {
	c.releases = slices.DeleteFunc(c.releases, func(r *release) bool {
		return t.Now.Sub(r.since) >= releaseTimeout
	})
	for _, r := range c.releases {
		if t.Now.Sub(r.last) >= retryInterval {
			r.last = t.Now
			r.batch = c.sendBatch(t, r.to, []*record{r.record})
		}
	}
}

func sortedNodes(m map[model.NodeID][]*record) []model.NodeID {
	out := make([]model.NodeID, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b model.NodeID) int { return cmp.Compare(a, b) })
	return out
}
