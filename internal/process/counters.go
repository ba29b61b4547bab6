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

// reportInterval is the interval at which totals and gauges are reported.
const reportInterval = time.Second

// Counters are the counters that the packet path increments without a lock, by
// metric name.
type Counters map[string]*atomic.Uint64

// totalCounters reports growing totals as counters of a metrics scope.
type totalCounters struct {
	scope    tally.Scope
	reported map[string]uint64
}

func newTotalCounters(scope tally.Scope) *totalCounters {
	return &totalCounters{scope: scope, reported: make(map[string]uint64)}
}

// set adds the growth of a total since the last call to its counter.
func (t *totalCounters) set(name string, total uint64) {
	t.scope.Counter(name).Inc(int64(total - t.reported[name]))
	t.reported[name] = total
}

// Report periodically reports the counters as metrics until the context is done.
func (c Counters) Report(ctx context.Context, scope tally.Scope) {
	t := newTotalCounters(scope)
	runPeriodically(ctx, func() {
		for name, counter := range c {
			t.set(name, counter.Load())
		}
	})
}

// runPeriodically runs a function immediately and then every reportInterval until
// the context is done.
func runPeriodically(ctx context.Context, run func()) {
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

// reportMetrics periodically reports the metrics of the board and of the control
// sessions until the context is done.
func (b *Base) reportMetrics(ctx context.Context) {
	t := newTotalCounters(b.Metrics)
	runPeriodically(ctx, func() {
		b.Inspect(func(board *core.Board) { reportBoard(b.Metrics, t, board) })
		reportControl(t, b.Hub.Counters())
	})
}

func reportBoard(scope tally.Scope, t *totalCounters, board *core.Board) {
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

func reportControl(t *totalCounters, c control.Counters) {
	t.set("control_bytes_sent", c.BytesSent)
	t.set("control_bytes_received", c.BytesReceived)
	t.set("control_failed_handshakes", c.FailedHandshakes)
	t.set("control_rejected_proof", c.RejectedProof)
	t.set("control_malformed", c.Malformed)
	t.set("control_dropped_messages", c.DroppedMessages)
}
