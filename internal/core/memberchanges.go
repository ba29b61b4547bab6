package core

import (
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// maxMemberChanges bounds the remembered changes. A reader that is further
// behind compares all records.
const maxMemberChanges = 4096

// memberChanges remembers which records the latest generations changed.
type memberChanges struct {
	// nodes are the records changed by the generations that end with last, one
	// each.
	nodes []model.NodeID
	last  uint64
}

// Put stores a record and raises the generation.
func (s *MemberSection) Put(m model.Member) {
	s.Records[m.Node] = m
	s.note(m.Node)
}

// Remove forgets a record and raises the generation.
func (s *MemberSection) Remove(node model.NodeID) {
	delete(s.Records, node)
	s.note(node)
}

// note remembers a change. A generation that was raised without a note makes
// the earlier ones useless.
func (s *MemberSection) note(node model.NodeID) {
	c := &s.changes
	if c.last != s.Generation {
		c.nodes = c.nodes[:0]
	}
	s.Generation++
	c.last = s.Generation
	if len(c.nodes) == maxMemberChanges {
		c.nodes = slices.Delete(c.nodes, 0, maxMemberChanges/2)
	}
	c.nodes = append(c.nodes, node)
}

// ChangedSince returns the nodes whose records changed after a generation, a
// node that changed twice named twice. It returns false if that is not known;
// any record may then have changed. The result is valid until the next change.
func (s *MemberSection) ChangedSince(generation uint64) ([]model.NodeID, bool) {
	c := &s.changes
	if generation == s.Generation {
		return nil, true
	}
	if c.last != s.Generation || generation > s.Generation {
		return nil, false
	}
	behind := s.Generation - generation
	if behind > uint64(len(c.nodes)) {
		return nil, false
	}
	return c.nodes[uint64(len(c.nodes))-behind:], true
}
