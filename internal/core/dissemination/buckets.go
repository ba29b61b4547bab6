package dissemination

import (
	"cmp"
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// recordsPerBucket is the mean that the number of buckets aims at.
	recordsPerBucket = 16
	// maxBuckets bounds a pull to about 1 KiB.
	maxBuckets = 256
)

// memberPull returns a pull over the records that this node follows.
func memberPull(b *core.Board) core.MemberPull {
	self := core.Subscriber{Role: b.Self.Member.Role, Service: b.Self.Subscription}
	count := min(maxBuckets, 1+len(b.Members.Records)/recordsPerBucket)
	return core.MemberPull{Buckets: b.Members.BucketHashes(self, count)}
}

// memberAnswer returns the content of the buckets in which this node's
// records differ, in messages of about limit bytes.
func memberAnswer(b *core.Board, subscriber core.Subscriber, pull *core.MemberPull, limit int) []sizedMessage {
	count := len(pull.Buckets)
	if count == 0 {
		return nil
	}
	mine := b.Members.BucketHashes(subscriber, count)
	contents := make(map[int][]model.Member)
	for node, m := range b.Members.Records {
		bucket := core.MemberBucket(node, count)
		if mine[bucket] != pull.Buckets[bucket] && subscriber.Follows(&m) {
			contents[bucket] = append(contents[bucket], m)
		}
	}
	var out []sizedMessage
	answer := core.MemberBuckets{Count: uint32(count)}
	bytes := messageOverhead
	for bucket := range count {
		if mine[bucket] == pull.Buckets[bucket] {
			continue
		}
		members := contents[bucket]
		slices.SortFunc(members, func(a, b model.Member) int { return cmp.Compare(a.Node, b.Node) })
		answer.Indexes = append(answer.Indexes, uint32(bucket))
		answer.Members = append(answer.Members, members...)
		for i := range members {
			bytes += memberSize(&members[i])
		}
		if bytes >= limit {
			out = append(out, sizedMessage{answer, bytes})
			answer = core.MemberBuckets{Count: uint32(count)}
			bytes = messageOverhead
		}
	}
	if len(answer.Indexes) > 0 {
		out = append(out, sizedMessage{answer, bytes})
	}
	return out
}

// lackingIn returns this node's records in the answered buckets that the
// answer lacks.
func lackingIn(b *core.Board, answer *core.MemberBuckets) []model.NodeID {
	if answer.Count == 0 {
		return nil
	}
	listed := make(map[model.NodeID]bool, len(answer.Members))
	for i := range answer.Members {
		listed[answer.Members[i].Node] = true
	}
	var out []model.NodeID
	for node, m := range b.Members.Records {
		if listed[node] || m.Gone() {
			continue
		}
		if slices.Contains(answer.Indexes, uint32(core.MemberBucket(node, int(answer.Count)))) {
			out = append(out, node)
		}
	}
	return out
}
