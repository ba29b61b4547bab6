package core

import (
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// maxLoggedChanges bounds the change log. A reader that is further behind
// compares all records.
const maxLoggedChanges = 4096

// memberLog lists the records that the latest generations changed.
type memberLog struct {
	// nodes has one entry for each logged generation; the newest is last.
	nodes []model.NodeID
	last  uint64
}

// Put stores a record and increments the generation.
func (s *MemberSection) Put(m model.Member) {
	s.Records[m.Node] = m
	s.logChange(m.Node)
}

// Remove deletes a record and increments the generation.
func (s *MemberSection) Remove(node model.NodeID) {
	delete(s.Records, node)
	s.logChange(node)
}

// logChange logs a change. If the generation was raised without a log entry,
// the earlier entries are discarded, since the log has a gap.
func (s *MemberSection) logChange(node model.NodeID) {
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

// ChangedSince returns the nodes whose records changed after a generation; a
// node that changed twice is listed twice. It returns false if the log does not
// reach back that far; any record may then have changed. The result is valid
// until the next change.
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
