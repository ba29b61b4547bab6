package direct

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// loadTimes is how long the steps take by which a change of operators' entries comes into force,
// from the first byte of the store's response on.
type loadTimes struct{ receive, decode, apply time.Duration }

// loadHistograms records the steps.
type loadHistograms struct{ receive, decode, apply tally.Histogram }

func newLoadHistograms(metrics tally.Scope) loadHistograms {
	buckets := newLatencyBuckets()
	return loadHistograms{
		receive: metrics.Histogram("direct_change_receive_time", buckets),
		decode:  metrics.Histogram("direct_change_decode_time", buckets),
		apply:   metrics.Histogram("direct_change_apply_time", buckets),
	}
}

// reportLoad logs and records how long a change of operators' entries took.
func (b *Balancer) reportLoad(s *storeSnapshot, t loadTimes) {
	b.loads.receive.RecordDuration(t.receive)
	b.loads.decode.RecordDuration(t.decode)
	b.loads.apply.RecordDuration(t.apply)
	size := 0
	for _, kv := range s.pairs {
		if b.platform.IsOperatorKey(kv.Key) {
			size += len(kv.Value)
		}
	}
	b.info("Operators' entries were loaded.", "revision", s.operatorRevision.Number(), "era", s.operatorRevision.Era(), "bytes", size,
		"receive", t.receive.Round(time.Millisecond), "decode", t.decode.Round(time.Millisecond), "apply", t.apply.Round(time.Millisecond))
}
