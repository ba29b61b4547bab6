package direct

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/internal/process"
	"amaranthwheel.example/amaranthwheel/internal/settings"
	"amaranthwheel.example/amaranthwheel/internal/steerwire"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// Buckets of the latency histograms: 0.5 ms to 8 s, each twice the one before.
const (
	latencyFirstBucket  = 500 * time.Microsecond
	latencyBucketFactor = 2
	latencyBuckets      = 15
)

// headerTimeout bounds the reading of an HTTP request's header.
const headerTimeout = 5 * time.Second

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// Platform is what the daemons need of the place where they run.
type Platform struct {
	Segments Segments
	Store    store.Polled
	// MoveStore sends further calls to another address.
	MoveStore func(netip.AddrPort)
	// ReadyPath is where routers ask whether the node takes traffic.
	ReadyPath string
	// AgentPrefix starts the keys of the agents' records, FollowPrefix these and
	// those that operators write.
	AgentPrefix, FollowPrefix string
	// FlowPrefix starts the keys of the flows that agents save, ServedPrefix those
	// of the target lifetimes that they have served.
	FlowPrefix, ServedPrefix string
	// ByOperators reports whether operators write a key.
	ByOperators func(key string) bool
	// OperatorState decodes what operators wrote.
	OperatorState func([]store.KeyValue) (steering.OperatorState, []error)
}

// nodeCounters counts what the sockets of a node carry.
type nodeCounters struct {
	SegmentsMalformed, MessagesMalformed, SendFailed, ReportsSuppressed atomic.Uint64
}

// core is a decision core of package steering.
type core interface {
	Step(now time.Time, e steering.Event) []steering.Effect
	View(now time.Time) steering.View
	Explain(now time.Time, f steering.Flow) steering.FlowView
}

// node is what balancers and agents have in common.
type node struct {
	settings *settings.Direct
	// live is the settings as they were read last.
	live     atomic.Pointer[settings.Direct]
	platform Platform
	logger   log.Logger
	metrics  tally.Scope
	counters nodeCounters
	reports  reportLimiter
	// latencies is the histograms by steering.Latency.
	latencies [3]tally.Histogram

	mu   sync.Mutex // guards core and out
	core core
	// carryOwn carries out an effect that only nodes of the role have; mu is held.
	carryOwn func(*steering.Effect)
	// toCallers is the socket from which callers hear.
	toCallers *net.UDPConn

	started time.Time
	// message is the event of the goroutine that reads from other nodes.
	message steering.MessageReceived

	peer    *net.UDPConn
	servers []*http.Server
	out     []byte // a datagram that is being coded

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func newNode(s *settings.Direct, p Platform, part string, logs *obs.Logs, metrics tally.Scope) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		settings: s, platform: p, logger: logs.Part(part), metrics: metrics,
		out: make([]byte, 0, maxDatagram), started: time.Now(), ctx: ctx, cancel: cancel,
	}
	n.live.Store(s)
	buckets := tally.MustMakeExponentialDurationBuckets(latencyFirstBucket, latencyBucketFactor, latencyBuckets)
	n.latencies = [...]tally.Histogram{
		steering.LatencyHandshake: metrics.Histogram("direct_handshake_time", buckets),
		steering.LatencyRequest:   metrics.Histogram("direct_request_time", buckets),
		steering.LatencyQueue:     metrics.Histogram("direct_queue_time", buckets),
	}
	return n
}

// serve answers HTTP requests on an address.
func (n *node) serve(address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return fmt.Errorf("listen for HTTP on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	n.servers = append(n.servers, server)
	n.group.Go(func() { _ = server.Serve(listener) })
	return nil
}

// readyHandler answers 200 while the node takes traffic and 503 otherwise.
func readyHandler(path string, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// every runs a function at each interval until the node stops.
func (n *node) every(interval time.Duration, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			run()
		}
	}
}

// sendMessage codes a message and sends it to a node; mu is held.
func (n *node) sendMessage(to netip.AddrPort, m *steering.Message) {
	n.out = steerwire.Append(n.out[:0], m)
	n.send(n.peer, n.out, to)
}

// send sends a datagram; one that can't be sent counts as lost on the way.
func (n *node) send(conn *net.UDPConn, raw []byte, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(raw, to); err != nil {
		n.counters.SendFailed.Add(1)
	}
}

// step feeds an event to the core and carries out its effects.
func (n *node) step(e steering.Event) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	effects := n.core.Step(now, e)
	for i := range effects {
		n.carry(now, &effects[i])
	}
}

// carry carries out an effect of the core; mu is held.
func (n *node) carry(now time.Time, e *steering.Effect) {
	switch e.Kind {
	case steering.EffectSend:
		n.sendMessage(e.To, &e.Message)
	case steering.EffectReset:
		n.out = n.platform.Segments.AppendReset(n.out[:0], e.Flow, e.Seq)
		n.send(n.toCallers, n.out, n.answerTo(e.Flow))
	case steering.EffectReport:
		n.report(now, &e.Report)
	case steering.EffectObserve:
		n.latencies[e.Latency].RecordDuration(e.Elapsed)
	case steering.EffectDeliver, steering.EffectRespond, steering.EffectRegister, steering.EffectVerify, steering.EffectSave,
		steering.EffectRefresh:
		n.carryOwn(e)
	}
}

// startCommon serves what every role serves, reads from other nodes, lets time
// pass and reports counters.
func (n *node) startCommon(metrics http.Handler, ready func() bool, tick time.Duration, own process.Counters) error {
	if err := n.serve(n.settings.Ready, readyHandler(n.platform.ReadyPath, ready)); err != nil {
		return err
	}
	if err := n.serve(n.settings.Metrics, n.withViews(metrics)); err != nil {
		return err
	}
	maps.Copy(own, process.Counters{
		"direct_segments_malformed": &n.counters.SegmentsMalformed,
		"direct_messages_malformed": &n.counters.MessagesMalformed,
		"direct_send_failed":        &n.counters.SendFailed,
		"direct_reports_suppressed": &n.counters.ReportsSuppressed,
	})
	n.group.Go(func() { readAll(n.peer, n.fromPeer) })
	n.group.Go(func() { n.every(tick, func() { n.step(&steering.Tick{}) }) })
	n.group.Go(func() { own.Report(n.ctx, n.metrics) })
	return nil
}

// fromPeer handles a datagram from another node.
func (n *node) fromPeer(raw []byte, from netip.AddrPort) {
	m, err := steerwire.Decode(raw, n.platform.Segments.FromCaller)
	if err != nil {
		n.counters.MessagesMalformed.Add(1)
		return
	}
	n.message.From, n.message.Message = from, m
	n.step(&n.message)
}

// answerTo returns where the flow's caller receives answers.
func (n *node) answerTo(f steering.Flow) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.Caller.IP), n.settings.Segments.Port())
}

// report writes a log line about a decision, unless there are too many.
func (n *node) report(now time.Time, r *steering.Report) {
	suppressed, ok := n.reports.take(now, r.Text)
	if !ok {
		n.counters.ReportsSuppressed.Add(1)
		return
	}
	fields := []any{"msg", r.Text}
	if r.Flow != (steering.Flow{}) {
		fields = append(fields, "flow", r.Flow)
	}
	if r.Node != "" {
		fields = append(fields, "node", r.Node)
	}
	if r.Route != "" {
		fields = append(fields, "route", r.Route)
	}
	if r.Count != 0 {
		fields = append(fields, "flows", r.Count)
	}
	if r.Incarnation != 0 {
		fields = append(fields, "lifetime", r.Incarnation)
	}
	if r.Why != "" {
		fields = append(fields, "why", r.Why)
	}
	if r.Age != 0 {
		fields = append(fields, "age", r.Age.Round(time.Millisecond))
	}
	if r.Version != 0 {
		fields = append(fields, "version", r.Version)
	}
	if suppressed > 0 {
		fields = append(fields, "suppressed", suppressed)
	}
	_ = level.Info(n.logger).Log(fields...)
}

func (n *node) info(text string, fields ...any) {
	_ = level.Info(n.logger).Log(append([]any{"msg", text}, fields...)...)
}

func (n *node) warn(text string, err error) {
	_ = level.Warn(n.logger).Log("msg", text, "err", err)
}

// close ends the goroutines and closes what is open.
func (n *node) close() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.Close()
	}
	if n.peer != nil {
		_ = n.peer.Close()
	}
	n.group.Wait()
}
