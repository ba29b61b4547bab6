package core

import (
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// MemberPull carries the sender's bucket hashes. The receiver replies with its
// member records in the buckets whose hash differs from its own. A record's
// bucket is the hash of its node's name modulo the number of buckets; the hash
// of a bucket covers the records that the sender is subscribed to.
type MemberPull struct{ Buckets []uint32 }

// MemberBuckets replies to a MemberPull with the whole content of some buckets.
type MemberBuckets struct {
	// Count is the number of buckets of the pull, Indexes the ones returned.
	Count   uint32
	Indexes []uint32
	// Members are the records in these buckets, gone ones included.
	Members []model.Member
}

func (MemberPull) message()    {}
func (MemberBuckets) message() {}

// AnnouncementChecked is the result of the newest TargetAnnounced. Without
// findings the target is accepted.
type AnnouncementChecked struct {
	Target   model.TargetName
	Findings []findings.Finding
}

// StopFinished reports that a planned stop is complete: the node has announced
// that it left, and the process may exit.
type StopFinished struct {
	// OpenFlows is the number of flows that were still open.
	OpenFlows int
}

func (AnnouncementChecked) effect() {}
func (StopFinished) effect()        {}

// MemberChange is a change to one member record during the current step.
type MemberChange struct {
	Node model.NodeID
	// From is the peer that sent the record, empty if it is this node's own.
	From model.NodeID
	// PreviousService is the service of the record that was replaced.
	PreviousService model.ServiceName
}
