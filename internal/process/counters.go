package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"amaranthwheel.example/amaranthwheel/internal/control"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// reportInterval is how often totals and gauges reach the metrics.
const reportInterval = time.Second

// Counters are counters that the packet path raises without a lock, by metric
// name.
type Counters map[string]*atomic.Uint64

// totals turns totals into counters of the metrics.
type totals struct {
	scope tally.Scope
	last  map[string]uint64
}

func newTotals(scope tally.Scope) *totals {
	return &totals{scope: scope, last: make(map[string]uint64)}
}

// set adds the growth of a total to its counter.
func (t *totals) set(name string, now uint64) {
	t.scope.Counter(name).Inc(int64(now - t.last[name]))
	t.last[name] = now
}

// Report adds the growth of the counters to the metrics until the context ends.
func (c Counters) Report(ctx context.Context, scope tally.Scope) {
	t := newTotals(scope)
	every(ctx, func() {
		for name, counter := range c {
			t.set(name, counter.Load())
		}
	})
}

// every runs a function now and each reportInterval until the context ends.
func every(ctx context.Context, run func()) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		run()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reportBoard reports what the board and the control sessions hold until the
// context ends.
func (b *Base) reportBoard(ctx context.Context) {
	t := newTotals(b.Metrics)
	every(ctx, func() {
		b.Inspect(func(board *core.Board) { gaugeBoard(b.Metrics, t, board) })
		countSessions(t, b.Hub.Counters())
	})
}

func gaugeBoard(scope tally.Scope, t *totals, board *core.Board) {
	gauge := func(name string, value int) { scope.Gauge(name).Update(float64(value)) }
	gauge("config_version", int(board.Config.Current.Version))
	gauge("control_sessions", len(board.Peers.Sessions))
	gauge("members_known", len(board.Members.Records))
	if board.Self.Member.Role != model.RoleAgent {
		return
	}
	gauge("flows_held", board.Flows.Local)
	gauge("flows_directory", board.Flows.DirectoryEntries)
	gauge("load_limit", board.Load.Limit)
	gauge("load_in_flight", board.Load.InFlight)
	gauge("load_queued", board.Load.Queued)
	t.set("requests_admitted", board.Requests.Admitted)
	t.set("requests_finished", board.Requests.Completed)
	t.set("requests_refused_not_run", board.Requests.RefusedNotRun)
	t.set("requests_outcome_unknown", board.Requests.OutcomeUnknown)
	t.set("requests_handed_over", board.Requests.HandedOver)
}

func countSessions(t *totals, c control.Counters) {
	t.set("control_bytes_sent", c.BytesSent)
	t.set("control_bytes_received", c.BytesReceived)
	t.set("control_failed_handshakes", c.FailedHandshakes)
	t.set("control_rejected_proof", c.RejectedProof)
	t.set("control_malformed", c.Malformed)
	t.set("control_dropped_messages", c.DroppedMessages)
}
