package dissemination

import (
	"cmp"
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// recordsPerBucket is the mean number of records in a bucket, from which
	// the number of buckets follows.
	recordsPerBucket = 16
	// maxBuckets limits a pull to about 1 KiB.
	maxBuckets = 256
)

// memberPull returns a pull for the records that this node follows.
func memberPull(b *core.Board) core.MemberPull {
	self := core.Subscriber{Role: b.Self.Member.Role, Service: b.Self.Subscription}
	count := min(maxBuckets, 1+len(b.Members.Records)/recordsPerBucket)
	return core.MemberPull{Buckets: b.Members.BucketHashes(self, count)}
}

// memberPullReply returns the content of the buckets whose hashes differ from
// the pull's, in messages of about limit bytes.
func memberPullReply(b *core.Board, subscriber core.Subscriber, pull *core.MemberPull, limit int) []sizedMessage {
	count := len(pull.Buckets)
	if count == 0 {
		return nil
	}
	localHashes := b.Members.BucketHashes(subscriber, count)
	bucketMembers := make(map[int][]model.Member)
	for node, m := range b.Members.Records {
		bucket := core.MemberBucket(node, count)
		if localHashes[bucket] != pull.Buckets[bucket] && subscriber.Follows(&m) {
			bucketMembers[bucket] = append(bucketMembers[bucket], m)
		}
	}
	var replies []sizedMessage
	reply := core.MemberBuckets{Count: uint32(count)}
	bytes := messageOverhead
	for bucket := range count {
		if localHashes[bucket] == pull.Buckets[bucket] {
			continue
		}
		members := bucketMembers[bucket]
		slices.SortFunc(members, func(a, b model.Member) int { return cmp.Compare(a.Node, b.Node) })
		reply.Indexes = append(reply.Indexes, uint32(bucket))
		reply.Members = append(reply.Members, members...)
		for i := range members {
			bytes += memberSize(&members[i])
		}
		if bytes >= limit {
			replies = append(replies, sizedMessage{reply, bytes})
			reply = core.MemberBuckets{Count: uint32(count)}
			bytes = messageOverhead
		}
	}
	if len(reply.Indexes) > 0 {
		replies = append(replies, sizedMessage{reply, bytes})
	}
	return replies
}

// recordsMissingFrom returns this node's records that belong to the reply's
// buckets and are absent from it.
func recordsMissingFrom(b *core.Board, reply *core.MemberBuckets) []model.NodeID {
	if reply.Count == 0 {
		return nil
	}
	listed := make(map[model.NodeID]bool, len(reply.Members))
	for i := range reply.Members {
		listed[reply.Members[i].Node] = true
	}
	var missing []model.NodeID
	for node, m := range b.Members.Records {
		if listed[node] || m.Gone() {
			continue
		}
		if slices.Contains(reply.Indexes, uint32(core.MemberBucket(node, int(reply.Count)))) {
			missing = append(missing, node)
		}
	}
	return missing
}
