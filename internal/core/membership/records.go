package membership

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// settleTime is the age below which a record that a snapshot lacks is taken
// to be newer than the snapshot.
const settleTime = 5 * time.Second

// records maintains the member records on the board.
type records struct {
	// changed is when each record was last replaced on this node.
	changed map[model.NodeID]time.Time
	// touched lists the nodes whose record was replaced or dropped since the
	// last tick.
	touched []model.NodeID
}

// touch accounts for a change to a node's record, beyond the generation that
// the section raises itself.
func (r *records) touch(t *core.Turn, node model.NodeID, role model.Role) {
	if role == model.RoleBalancer {
		t.Board.Members.BalancerGeneration++
	}
	r.touched = append(r.touched, node)
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

// merge takes a received record if it supersedes the held one. The first word
// of a member that it is already gone is ignored: a node that never knew it
// has nothing to remove, and passing it on would keep it remembered forever.
func (r *records) merge(t *core.Turn, m *model.Member, from model.NodeID) {
	held, known := t.Board.Members.Records[m.Node]
	if m.Node == t.Board.Self.Member.Node {
		held, known = t.Board.Self.Member, true
	}
	switch {
	case !known && m.Gone():
	case !known:
		r.put(t, m, from)
	case m.Node != t.Board.Self.Member.Node && m.Supersedes(&held):
		r.put(t, m, from)
	case held.Supersedes(m):
		t.Board.Members.Outdated = append(t.Board.Members.Outdated, core.MemberChange{Node: m.Node, From: from})
	}
}

// put replaces a record.
func (r *records) put(t *core.Turn, m *model.Member, from model.NodeID) {
	members := &t.Board.Members
	held, known := members.Records[m.Node]
	if known {
		members.Summary.Replace(&held, m)
	} else {
		members.Summary.Replace(nil, m)
	}
	if !known || held.State != m.State {
		logState(t, m, from)
	}
	members.Put(*m)
	r.touch(t, m.Node, m.Role)
	members.Changes = append(members.Changes, core.MemberChange{Node: m.Node, From: from, PreviousService: held.Service})
	r.changed[m.Node] = t.Now
}

func logState(t *core.Turn, m *model.Member, from model.NodeID) {
	t.Emit(core.Log{Part: "membership", Text: "Member is " + m.State.String() + ".",
		Fields: []any{"node", m.Node, "role", m.Role, "incarnation", m.Incarnation, "from", from}})
	t.Emit(core.Count{Name: "member_" + m.State.String(), Delta: 1})
}

// remove drops a record without a claim about the member.
func (r *records) remove(t *core.Turn, node model.NodeID) {
	members := &t.Board.Members
	held := members.Records[node]
	members.Summary.Replace(&held, nil)
	members.Remove(node)
	delete(r.changed, node)
	r.touch(t, node, held.Role)
}

// forget drops the records of members that have been gone for long.
func (r *records) forget(t *core.Turn, after time.Duration) {
	for node, m := range t.Board.Members.Records {
		if m.Gone() && node != t.Board.Self.Member.Node && t.Now.Sub(r.changed[node]) >= after {
			r.remove(t, node)
		}
	}
}

// prune drops the records that an agent no longer follows.
func (r *records) prune(t *core.Turn, subscriber core.Subscriber) {
	for node, m := range t.Board.Members.Records {
		if node != t.Board.Self.Member.Node && !subscriber.Follows(&m) {
			r.remove(t, node)
		}
	}
}

// clear drops all records but the node's own.
func (r *records) clear(t *core.Turn) {
	for node := range t.Board.Members.Records {
		if node != t.Board.Self.Member.Node {
			r.remove(t, node)
		}
	}
}

// dropUnfollowed drops an agent's records that a watcher's bucket lacks: these
// members have left the service that the agent follows.
func (r *records) dropUnfollowed(t *core.Turn, b *core.MemberBuckets) {
	if t.Board.Self.Member.Role != model.RoleAgent || b.Count == 0 {
		return
	}
	listed := make(map[model.NodeID]bool, len(b.Members))
	for i := range b.Members {
		listed[b.Members[i].Node] = true
	}
	for node, m := range t.Board.Members.Records {
		fresh := t.Now.Sub(r.changed[node]) < settleTime
		if listed[node] || fresh || m.Gone() || node == t.Board.Self.Member.Node {
			continue
		}
		if slices.Contains(b.Indexes, uint32(core.MemberBucket(node, int(b.Count)))) {
			r.remove(t, node)
		}
	}
}
