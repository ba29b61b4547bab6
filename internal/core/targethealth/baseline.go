package targethealth

import (
	"math/bits"
	"time"
)

const (
	// minBaseline is the number of answers of a healthy target after which further ones can be
	// too fast.
	minBaseline = 32
	// maxBaseline is the number of answers at which the weight of all is halved, so that the
	// baseline follows a service that changes.
	maxBaseline = 1024
	// fastShareDivisor bounds the share of fast answers in the baseline: one in 20. Above it,
	// the service has short requests and fast answers are normal.
	fastShareDivisor = 20
	// numBuckets bounds the distinguished times: 4 s and longer are one bucket.
	numBuckets = 23
)

// baseline is a histogram of the times in which a healthy target answered. Bucket n holds times
// below 2^n µs that are not in the one before. It does not depend on the typical time, so that a
// target is not judged by the slowness of others: when those become eight times slower, this
// target's usual answers are below an eighth of the typical time.
type baseline struct {
	counts [numBuckets]uint16
	total  int
}

func bucketOf(elapsed time.Duration) int {
	return min(bits.Len64(uint64(max(elapsed, 0)/time.Microsecond)), numBuckets-1)
}

func (b *baseline) add(bucket int) {
	b.counts[bucket]++
	b.total++
	if b.total < maxBaseline {
		return
	}
	b.total = 0
	for i := range b.counts {
		b.counts[i] /= 2
		b.total += int(b.counts[i])
	}
}

// hardlyEverFaster reports whether the target is known to answer hardly ever in less than a
// time. Times in the bucket of the limit count as faster.
func (b *baseline) hardlyEverFaster(limit time.Duration) bool {
	faster := 0
	for _, n := range b.counts[:bucketOf(limit)+1] {
		faster += int(n)
	}
	return b.total >= minBaseline && faster*fastShareDivisor < b.total
}
