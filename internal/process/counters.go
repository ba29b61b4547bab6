package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is how often counters of the packet path reach the metrics.
const reportInterval = time.Second

// Counters are counters that the packet path raises without a lock, by metric
// name.
type Counters map[string]*atomic.Uint64

// Report adds the growth of the counters to the metrics until the context ends.
func (c Counters) Report(ctx context.Context, scope tally.Scope) {
	last := make(map[string]uint64, len(c))
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		for name, counter := range c {
			now := counter.Load()
			scope.Counter(name).Inc(int64(now - last[name]))
			last[name] = now
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
