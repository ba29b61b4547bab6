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

// watch detects failures of the nodes that this balancer watches.
type watch struct {
	options Options
	nodes   map[model.NodeID]*watched
	// order is the watched nodes in the order of their IDs, so that claims do
	// not depend on the order of a map.
	order []model.NodeID
	// peerHeard is when another balancer was last heard.
	peerHeard time.Time
	// isolatedSince is when the node began to look cut off, zero if it does
	// not.
	isolatedSince time.Time
	removals      tokenBucket
}

// watched is a node under watch.
type watched struct {
	role model.Role
	// heard is when silence began to count: the newest heartbeat, or the end
	// of the grace time.
	heard time.Time
	// tolerance is the silence that leads to suspicion.
	tolerance time.Duration
	// since is when the watch began, and answered is set by a heartbeat.
	since    time.Time
	answered bool
	// suspected is set by this watcher's own suspicion until it is answered.
	suspected bool
}

func newWatch(o Options) watch {
	return watch{
		options:  o,
		nodes:    make(map[model.NodeID]*watched),
		removals: tokenBucket{rate: o.RemovalRate, burst: o.RemovalBurst, tokens: o.RemovalBurst},
	}
}

// chooseAll starts and ends watching after a change of balancers.
func (w *watch) chooseAll(t *core.Turn, balancers topology.Balancers) {
	known := slices.Collect(maps.Keys(t.Board.Members.Records))
	w.choose(t, balancers, append(known, w.order...))
}

// choose starts or ends watching some nodes.
func (w *watch) choose(t *core.Turn, balancers topology.Balancers, nodes []model.NodeID) {
	if t.Board.Self.Member.Role != model.RoleBalancer || len(nodes) == 0 {
		return
	}
	self := rendezvous.NewNode(t.Board.Self.Member.Node)
	changed := false
	for _, node := range nodes {
		m, known := t.Board.Members.Records[node]
		wanted := known && !m.Gone() && balancers.IsWatcher(self, node)
		_, watching := w.nodes[node]
		switch {
		case wanted && !watching:
			w.nodes[node] = w.start(m.Role, t.Now)
		case !wanted && watching:
			delete(w.nodes, node)
		default:
			continue
		}
		changed = true
	}
	if changed {
		w.order = slices.Sorted(maps.Keys(w.nodes))
	}
}

func (w *watch) start(role model.Role, now time.Time) *watched {
	grace := max(0, w.options.WatchGrace-w.options.SuspectAfter)
	return &watched{role: role, since: now, heard: now.Add(grace), tolerance: w.options.SuspectAfter}
}

// restart lets all silence begin now.
func (w *watch) restart(now time.Time) {
	w.peerHeard = now
	w.isolatedSince = time.Time{}
	for _, n := range w.nodes {
		n.heard = now
	}
}

// heardPeer notes that a balancer can be heard.
func (w *watch) heardPeer(t *core.Turn, from model.NodeID) {
	if t.Board.Members.Records[from].Role == model.RoleBalancer {
		w.peerHeard = t.Now
	}
}

// heartbeat notes a heartbeat and acknowledges it, unless the sender is
// recorded as gone: then, and when it is suspect, the sender is told, so that
// it can refute. It gets no lease before others know it as a member again.
func (w *watch) heartbeat(t *core.Turn, from model.NodeID, sequence uint64) {
	if n := w.nodes[from]; n != nil {
		n.heard = t.Now
		n.answered = true
		n.tolerance = w.options.SuspectAfter
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

// observe takes a refutation as a sign of life. A node that answers through
// others is tolerated longer before it is suspected again.
func (w *watch) observe(t *core.Turn) {
	for _, change := range t.Board.Members.Changes {
		n := w.nodes[change.Node]
		m := t.Board.Members.Records[change.Node]
		if n == nil || !n.suspected || m.State >= model.StateSuspect {
			continue
		}
		n.suspected = false
		n.heard = t.Now
		n.tolerance = min(2*n.tolerance, w.options.MaxSuspectAfter)
	}
}

func (w *watch) tick(t *core.Turn, r *records) {
	w.listUnheard(t)
	held := w.holdsRemovals(t)
	for _, node := range w.order {
		n := w.nodes[node]
		m := t.Board.Members.Records[node]
		silence := t.Now.Sub(n.heard)
		switch {
		case silence < n.tolerance:
		case m.State < model.StateSuspect:
			n.suspected = true
			w.claim(t, r, m, model.StateSuspect)
		case m.State == model.StateSuspect && w.confirms(t, r, node, silence):
			if !held && w.removals.take(t.Now) {
				w.claim(t, r, m, model.StateDead)
			}
		}
	}
}

// listUnheard lists the nodes to dial: those that have not found this watcher
// themselves.
func (w *watch) listUnheard(t *core.Turn) {
	unheard := t.Board.Members.Unheard[:0]
	for _, node := range w.order {
		n := w.nodes[node]
		if !n.answered && t.Now.Sub(n.since) >= w.options.ProbeAfter {
			unheard = append(unheard, node)
		}
	}
	t.Board.Members.Unheard = unheard
}

// confirms reports whether a suspect had the time to refute and did not.
func (w *watch) confirms(t *core.Turn, r *records, node model.NodeID, silence time.Duration) bool {
	suspect := t.Now.Sub(r.changed[node])
	return silence >= w.options.DeadAfter && suspect >= w.options.DeadAfter-w.options.SuspectAfter
}

func (w *watch) claim(t *core.Turn, r *records, m model.Member, state model.MemberState) {
	m.State = state
	r.put(t, &m, "")
}

// holdsRemovals reports whether this node looks cut off, and has not for too
// long.
func (w *watch) holdsRemovals(t *core.Turn) bool {
	if !w.isolated(t) {
		w.isolatedSince = time.Time{}
		return false
	}
	if w.isolatedSince.IsZero() {
		w.isolatedSince = t.Now
		t.Emit(core.Log{Part: "membership", Text: "No peer and few agents are heard. Removals are held back."})
	}
	return t.Now.Sub(w.isolatedSince) < w.options.IsolationHold
}

// isolated reports whether no other balancer and less than half of the
// watched agents are heard.
func (w *watch) isolated(t *core.Turn) bool {
	if !hasPeers(t.Board) || t.Now.Sub(w.peerHeard) < w.options.SuspectAfter {
		return false
	}
	agents, heard := 0, 0
	for _, n := range w.nodes {
		if n.role != model.RoleAgent {
			continue
		}
		agents++
		if t.Now.Sub(n.heard) < w.options.SuspectAfter {
			heard++
		}
	}
	return 2*heard < agents
}

// hasPeers reports whether other balancers are known that are not gone.
func hasPeers(b *core.Board) bool {
	for node, m := range b.Members.Records {
		if node != b.Self.Member.Node && m.Role == model.RoleBalancer && !m.Gone() {
			return true
		}
	}
	return false
}

// tokenBucket limits removals. Rate is in tokens a second.
type tokenBucket struct {
	rate, burst, tokens float64
	filled              time.Time
}

// take takes one token if there is one.
func (b *tokenBucket) take(now time.Time) bool {
	if !b.filled.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
