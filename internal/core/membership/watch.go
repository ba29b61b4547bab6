package membership

import (
	"maps"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/rendezvous"
	"amaranthwheel.example/amaranthwheel/internal/core/topology"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// failureDetector detects failures of the nodes that this balancer watches.
type failureDetector struct {
	options Options
	nodes   map[model.NodeID]*watchedNode
	// sortedIDs lists the watched nodes in the order of their IDs, so that
	// decisions do not depend on the order of a map.
	sortedIDs []model.NodeID
	// lastPeerContact is when the last message of another balancer arrived.
	lastPeerContact time.Time
	// isolatedSince is when the node began to appear isolated, zero if it does
	// not.
	isolatedSince time.Time
	removalBucket tokenBucket
}

// watchedNode is the state of a watched node.
type watchedNode struct {
	role model.Role
	// silentSince is when silence began to count: the newest heartbeat, or the
	// end of the grace time.
	silentSince time.Time
	// suspicionTimeout is the silence after which the node is suspected.
	suspicionTimeout time.Duration
	// watchedSince is when the watch began, and hasHeartbeat is set by the first
	// heartbeat.
	watchedSince time.Time
	hasHeartbeat bool
	// suspected is set by this watcher's own suspicion until it is refuted.
	suspected bool
}

func newFailureDetector(o Options) failureDetector {
	return failureDetector{
		options:       o,
		nodes:         make(map[model.NodeID]*watchedNode),
		removalBucket: tokenBucket{rate: o.RemovalRate, burst: o.RemovalBurst, tokens: o.RemovalBurst},
	}
}

// updateAllWatched starts and stops watching nodes after a change of balancers.
func (d *failureDetector) updateAllWatched(t *core.Turn, balancers topology.Balancers) {
	known := slices.Collect(maps.Keys(t.Board.Members.Records))
	d.updateWatched(t, balancers, append(known, d.sortedIDs...))
}

// updateWatched starts or stops watching some nodes.
func (d *failureDetector) updateWatched(t *core.Turn, balancers topology.Balancers, nodes []model.NodeID) {
	if t.Board.Self.Member.Role != model.RoleBalancer || len(nodes) == 0 {
		return
	}
	self := rendezvous.NewNode(t.Board.Self.Member.Node)
	changed := false
	for _, node := range nodes {
		m, known := t.Board.Members.Records[node]
		wanted := known && !m.Gone() && balancers.IsWatcher(self, node)
		_, watching := d.nodes[node]
		switch {
		case wanted && !watching:
			d.nodes[node] = d.newWatchedNode(m.Role, t.Now)
		case !wanted && watching:
			delete(d.nodes, node)
		default:
			continue
		}
		changed = true
	}
	if changed {
		d.sortedIDs = slices.Sorted(maps.Keys(d.nodes))
	}
}

func (d *failureDetector) newWatchedNode(role model.Role, now time.Time) *watchedNode {
	grace := max(0, d.options.WatchGrace-d.options.SuspectAfter)
	return &watchedNode{role: role, watchedSince: now, silentSince: now.Add(grace), suspicionTimeout: d.options.SuspectAfter}
}

// resetTimeouts makes the silence of all nodes begin now.
func (d *failureDetector) resetTimeouts(now time.Time) {
	d.lastPeerContact = now
	d.isolatedSince = time.Time{}
	for _, n := range d.nodes {
		n.silentSince = now
	}
}

// recordPeerContact records that a message of another balancer arrived.
func (d *failureDetector) recordPeerContact(t *core.Turn, from model.NodeID) {
	if t.Board.Members.Records[from].Role == model.RoleBalancer {
		d.lastPeerContact = t.Now
	}
}

// handleHeartbeat records a heartbeat and acknowledges it, unless the sender is
// recorded as gone: then, and when it is suspect, the record is sent to it, so
// that it can refute it. It gets no lease before it is recorded as a member
// again.
func (d *failureDetector) handleHeartbeat(t *core.Turn, from model.NodeID, sequence uint64) {
	if n := d.nodes[from]; n != nil {
		n.silentSince = t.Now
		n.hasHeartbeat = true
		n.suspicionTimeout = d.options.SuspectAfter
	}
	m, known := t.Board.Members.Records[from]
	if !known {
		return
	}
	if m.State >= model.StateSuspect {
		t.Emit(core.SendMessage{To: from, Message: core.Delta{Members: []model.Member{m}}})
	}
	if !m.Gone() {
		t.Emit(core.SendMessage{To: from, Message: core.HeartbeatAck{Sequence: sequence}})
	}
}

// observeRefutations resets the silence of nodes that refuted a suspicion. A
// node that is reachable only through others gets a longer timeout before it is
// suspected again.
func (d *failureDetector) observeRefutations(t *core.Turn) {
	for _, change := range t.Board.Members.Changes {
		n := d.nodes[change.Node]
		m := t.Board.Members.Records[change.Node]
		if n == nil || !n.suspected || m.State >= model.StateSuspect {
			continue
		}
		n.suspected = false
		n.silentSince = t.Now
		n.suspicionTimeout = min(2*n.suspicionTimeout, d.options.MaxSuspectAfter)
	}
}

func (d *failureDetector) tick(t *core.Turn, r *records) {
	d.listWithoutHeartbeat(t)
	suspended := d.suspendsRemovals(t)
	for _, node := range d.sortedIDs {
		n := d.nodes[node]
		m := t.Board.Members.Records[node]
		silence := t.Now.Sub(n.silentSince)
		switch {
		case silence < n.suspicionTimeout:
		case m.State < model.StateSuspect:
			n.suspected = true
			d.declare(t, r, m, model.StateSuspect)
		case m.State == model.StateSuspect && d.canDeclareDead(t, r, node, silence):
			if !suspended && d.removalBucket.takeToken(t.Now) {
				d.declare(t, r, m, model.StateDead)
			}
		}
	}
}

// listWithoutHeartbeat lists the nodes to dial: those that have not connected to
// this watcher themselves.
func (d *failureDetector) listWithoutHeartbeat(t *core.Turn) {
	silent := t.Board.Members.WithoutHeartbeat[:0]
	for _, node := range d.sortedIDs {
		n := d.nodes[node]
		if !n.hasHeartbeat && t.Now.Sub(n.watchedSince) >= d.options.DialAfter {
			silent = append(silent, node)
		}
	}
	t.Board.Members.WithoutHeartbeat = silent
}

// canDeclareDead reports whether a suspect had the time to refute the suspicion
// and did not.
func (d *failureDetector) canDeclareDead(t *core.Turn, r *records, node model.NodeID, silence time.Duration) bool {
	suspectFor := t.Now.Sub(r.replacedAt[node])
	return silence >= d.options.DeadAfter && suspectFor >= d.options.DeadAfter-d.options.SuspectAfter
}

func (d *failureDetector) declare(t *core.Turn, r *records, m model.Member, state model.MemberState) {
	m.State = state
	r.put(t, &m, "")
}

// suspendsRemovals reports whether this node has appeared isolated for less than
// RemovalHoldTimeout.
func (d *failureDetector) suspendsRemovals(t *core.Turn) bool {
	if !d.isIsolated(t) {
		d.isolatedSince = time.Time{}
		return false
	}
	if d.isolatedSince.IsZero() {
		d.isolatedSince = t.Now
		t.Emit(core.Log{Part: "membership", Text: "No contact with other balancers and with most agents. Removals are suspended."})
	}
	return t.Now.Sub(d.isolatedSince) < d.options.RemovalHoldTimeout
}

// isIsolated reports whether no other balancer and less than half of the watched
// agents have been in contact within SuspectAfter.
func (d *failureDetector) isIsolated(t *core.Turn) bool {
	if !hasPeers(t.Board) || t.Now.Sub(d.lastPeerContact) < d.options.SuspectAfter {
		return false
	}
	agents, reachable := 0, 0
	for _, n := range d.nodes {
		if n.role != model.RoleAgent {
			continue
		}
		agents++
		if t.Now.Sub(n.silentSince) < d.options.SuspectAfter {
			reachable++
		}
	}
	return 2*reachable < agents
}

// hasPeers reports whether any other balancer is known that is not gone.
func hasPeers(b *core.Board) bool {
	for node, m := range b.Members.Records {
		if node != b.Self.Member.Node && m.Role == model.RoleBalancer && !m.Gone() {
			return true
		}
	}
	return false
}

// tokenBucket limits removals. The rate is in tokens per second.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Time
}

// takeToken takes one token if there is one and reports whether there was.
func (b *tokenBucket) takeToken(now time.Time) bool {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
