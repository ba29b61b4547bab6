package membership

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// minUnlistedAge is the age below which a record that a snapshot lacks is
// considered newer than the snapshot.
const minUnlistedAge = 5 * time.Second

// records maintains the member records on the board.
type records struct {
	// replacedAt is when each record was last replaced on this node.
	replacedAt map[model.NodeID]time.Time
	// dirty lists the nodes whose record was replaced or removed since the last
	// tick.
	dirty []model.NodeID
}

// markDirty registers a change to a node's record. The section itself increments
// Generation.
func (r *records) markDirty(t *core.Turn, node model.NodeID, role model.Role) {
	if role == model.RoleBalancer {
		t.Board.Members.BalancerGeneration++
	}
	r.dirty = append(r.dirty, node)
}

func (r *records) beginStep(t *core.Turn) {
	t.Board.Members.Changes = t.Board.Members.Changes[:0]
	t.Board.Members.Outdated = t.Board.Members.Outdated[:0]
}

func (r *records) mergeAll(t *core.Turn, members []model.Member, from model.NodeID) {
	for i := range members {
		r.merge(t, &members[i], from)
	}
}

// merge stores a received record if it supersedes the current one. The record of
// an unknown member that is already gone is ignored: there is nothing to remove,
// and forwarding it would keep it from ever expiring.
func (r *records) merge(t *core.Turn, m *model.Member, from model.NodeID) {
	current, known := t.Board.Members.Records[m.Node]
	if m.Node == t.Board.Self.Member.Node {
		current, known = t.Board.Self.Member, true
	}
	switch {
	case !known && m.Gone():
	case !known:
		r.put(t, m, from)
	case m.Node != t.Board.Self.Member.Node && m.Supersedes(&current):
		r.put(t, m, from)
	case current.Supersedes(m):
		t.Board.Members.Outdated = append(t.Board.Members.Outdated, core.MemberChange{Node: m.Node, From: from})
	}
}

// put replaces a record.
func (r *records) put(t *core.Turn, m *model.Member, from model.NodeID) {
	members := &t.Board.Members
	current, known := members.Records[m.Node]
	if known {
		members.Summary.Replace(&current, m)
	} else {
		members.Summary.Replace(nil, m)
	}
	if !known || current.State != m.State {
		logState(t, m, from)
	}
	members.Put(*m)
	r.markDirty(t, m.Node, m.Role)
	members.Changes = append(members.Changes, core.MemberChange{Node: m.Node, From: from, PreviousService: current.Service})
	r.replacedAt[m.Node] = t.Now
}

func logState(t *core.Turn, m *model.Member, from model.NodeID) {
	t.Emit(core.Log{Part: "membership", Text: "Member is " + m.State.String() + ".",
		Fields: []any{"node", m.Node, "role", m.Role, "incarnation", m.Incarnation, "from", from}})
	t.Emit(core.Count{Name: "member_" + m.State.String(), Delta: 1})
}

// remove deletes a record without declaring the member gone.
func (r *records) remove(t *core.Turn, node model.NodeID) {
	members := &t.Board.Members
	current := members.Records[node]
	members.Summary.Replace(&current, nil)
	members.Remove(node)
	delete(r.replacedAt, node)
	r.markDirty(t, node, current.Role)
}

// expireGone removes the records of members that have been gone for the
// retention time.
func (r *records) expireGone(t *core.Turn, retention time.Duration) {
	for node, m := range t.Board.Members.Records {
		if m.Gone() && node != t.Board.Self.Member.Node && t.Now.Sub(r.replacedAt[node]) >= retention {
			r.remove(t, node)
		}
	}
}

// prune removes the records that an agent no longer follows.
func (r *records) prune(t *core.Turn, subscriber core.Subscriber) {
	for node, m := range t.Board.Members.Records {
		if node != t.Board.Self.Member.Node && !subscriber.Follows(&m) {
			r.remove(t, node)
		}
	}
}

// removeOthers removes all records but the node's own.
func (r *records) removeOthers(t *core.Turn) {
	for node := range t.Board.Members.Records {
		if node != t.Board.Self.Member.Node {
			r.remove(t, node)
		}
	}
}

// removeUnlisted removes an agent's records that a watcher's bucket lacks: these
// members have left the service that the agent follows.
func (r *records) removeUnlisted(t *core.Turn, b *core.MemberBuckets) {
	if t.Board.Self.Member.Role != model.RoleAgent || b.Count == 0 {
		return
	}
	listed := make(map[model.NodeID]bool, len(b.Members))
	for i := range b.Members {
		listed[b.Members[i].Node] = true
	}
	for node, m := range t.Board.Members.Records {
		recent := t.Now.Sub(r.replacedAt[node]) < minUnlistedAge
		if listed[node] || recent || m.Gone() || node == t.Board.Self.Member.Node {
			continue
		}
		if slices.Contains(b.Indexes, uint32(core.MemberBucket(node, int(b.Count)))) {
			r.remove(t, node)
		}
	}
}
