package lifecycle

import (
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// refuteRecords refutes the records of this node in a message that other nodes
// have changed.
func refuteRecords(t *core.Turn, m core.Message) {
	var members []model.Member
	switch m := m.(type) {
	case core.Delta:
		members = m.Members
	case core.MemberBuckets:
		members = m.Members
	}
	for i := range members {
		if members[i].Node == t.Board.Self.Member.Node {
			refuteRecord(t, &members[i])
		}
	}
}

// refuteRecord raises the node's revision above a received record that
// supersedes its own. A higher incarnation means that the host's clock was set
// back before this process started, or that two processes share the node's ID:
// the incarnation is raised too, and a log line is written.
func refuteRecord(t *core.Turn, received *model.Member) {
	self := &t.Board.Self.Member
	if !received.Supersedes(self) {
		return
	}
	if received.Incarnation > self.Incarnation {
		t.Emit(core.Log{Part: "lifecycle", Text: "A record of this node has a higher incarnation. Its ID may be in use twice.",
			Fields: []any{"incarnation", self.Incarnation, "claimed", received.Incarnation}})
		self.Incarnation = received.Incarnation + 1
	}
	self.Revision = max(self.Revision, received.Revision) + 1
	t.Emit(core.Count{Name: "claims_refuted", Delta: 1})
}
