package core

import (
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// maxLoggedChanges bounds the remembered changes. A reader that is further
// behind compares all records.
const maxLoggedChanges = 4096

// memberLog remembers which records the latest generations changed.
type memberLog struct {
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
	l := &s.log
	if l.last != s.Generation {
		l.nodes = l.nodes[:0]
	}
	s.Generation++
	l.last = s.Generation
	if len(l.nodes) == maxLoggedChanges {
		l.nodes = slices.Delete(l.nodes, 0, maxLoggedChanges/2)
	}
	l.nodes = append(l.nodes, node)
}

// ChangedSince returns the nodes whose records changed after a generation, a
// node that changed twice named twice. It returns false if that is not known;
// any record may then have changed. The result is valid until the next change.
func (s *MemberSection) ChangedSince(generation uint64) ([]model.NodeID, bool) {
	l := &s.log
	if generation == s.Generation {
		return nil, true
	}
	if l.last != s.Generation || generation > s.Generation {
		return nil, false
	}
	behind := s.Generation - generation
	if behind > uint64(len(l.nodes)) {
		return nil, false
	}
	return l.nodes[uint64(len(l.nodes))-behind:], true
}
