package lifecycle

import (
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// refuteClaims looks for records of this node in a message that others have
// changed, and outbids them.
func refuteClaims(t *core.Turn, m core.Message) {
	var members []model.Member
	switch m := m.(type) {
	case core.Delta:
		members = m.Members
	case core.MemberBuckets:
		members = m.Members
	}
	for i := range members {
		if members[i].Node == t.Board.Self.Member.Node {
			refute(t, &members[i])
		}
	}
}

// refute raises the node's revision above a claim that supersedes its own
// record. A claim of a higher incarnation means that the host's clock was set
// back before this process started, or that two processes share the node's ID:
// the incarnation is raised too, and operators are told.
func refute(t *core.Turn, claim *model.Member) {
	self := &t.Board.Self.Member
	if !claim.Supersedes(self) {
		return
	}
	if claim.Incarnation > self.Incarnation {
		t.Emit(core.Log{Part: "lifecycle", Text: "A record of this node has a higher incarnation. Is its ID used twice?",
			Fields: []any{"incarnation", self.Incarnation, "claimed", claim.Incarnation}})
		self.Incarnation = claim.Incarnation + 1
	}
	self.Revision = max(self.Revision, claim.Revision) + 1
	t.Emit(core.Count{Name: "claims_refuted", Delta: 1})
}
