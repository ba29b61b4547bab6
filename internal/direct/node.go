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

// The latency histograms have buckets from 0.5 ms to 8 s, each twice the previous
// one.
const (
	latencyFirstBucket  = 500 * time.Microsecond
	latencyBucketFactor = 2
	latencyBuckets      = 15
)

func newLatencyBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(latencyFirstBucket, latencyBucketFactor, latencyBuckets)
}

// headerTimeout bounds the reading of an HTTP request's header.
const headerTimeout = 5 * time.Second

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// Platform is what the daemons use of the platform that they run on.
type Platform struct {
	Segments SegmentCodec
	Store    store.PollingStore
	// SetStoreAddress directs later calls to another address of the store.
	SetStoreAddress func(netip.AddrPort)
	// ReadyPath is the HTTP path at which routers check that the node is ready for
	// traffic.
	ReadyPath string
	// AgentPrefix is the key prefix of agents' records. WatchPrefix is that of
	// agents' records and operators' entries, so that one watch covers both.
	AgentPrefix, WatchPrefix string
	// SavedFlowPrefix is the key prefix of the flows that agents save,
	// ServedIncarnationPrefix that of the target incarnations that they served.
	SavedFlowPrefix, ServedIncarnationPrefix string
	// IsOperatorKey reports whether operators write a key.
	IsOperatorKey func(key string) bool
	// DecodeOperatorState decodes operators' entries.
	DecodeOperatorState func([]store.KeyValue) (steering.OperatorState, []error)
}

// nodeCounters are the counters that both roles have.
type nodeCounters struct {
	SegmentsMalformed, MessagesMalformed, SendFailed, ReportsSuppressed atomic.Uint64
}

// core makes a role's decisions; steering.Balancer and steering.Agent implement it.
type core interface {
	Step(now time.Time, e steering.Event) []steering.Effect
	View(now time.Time) steering.View
	Explain(now time.Time, f steering.Flow) steering.FlowView
	DemandCounts() []steering.DemandCount
}

// node is the part that balancers and agents have in common.
type node struct {
	settings *settings.Direct
	// current is the settings as last reloaded.
	current  atomic.Pointer[settings.Direct]
	platform Platform
	logger   log.Logger
	metrics  tally.Scope
	counters nodeCounters
	reports  reportLimiter
	// latencies are the histograms, indexed by steering.Latency.
	latencies [4]tally.Histogram

	mu   sync.Mutex // guards core and sendBuf
	core core
	// performRoleEffect performs an effect that only the node's role has; mu is held.
	performRoleEffect func(*steering.Effect)
	// callerConn is the socket that sends to callers.
	callerConn *net.UDPConn

	started time.Time
	// message is the event that the goroutine reading from peers reuses.
	message steering.MessageReceived

	peerConn *net.UDPConn
	servers  []*http.Server
	sendBuf  []byte // the datagram that is being encoded

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newNode(s *settings.Direct, p Platform, part string, logs *obs.LoggerFactory, metrics tally.Scope) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		settings: s, platform: p, logger: logs.ForPart(part), metrics: metrics,
		sendBuf: make([]byte, 0, maxDatagram), started: time.Now(), ctx: ctx, cancel: cancel,
	}
	n.current.Store(s)
	buckets := newLatencyBuckets()
	n.latencies = [...]tally.Histogram{
		steering.LatencyHandshake: metrics.Histogram("direct_handshake_time", buckets),
		steering.LatencyRequest:   metrics.Histogram("direct_request_time", buckets),
		steering.LatencyQueue:     metrics.Histogram("direct_queue_time", buckets),
		steering.LatencyKept:      metrics.Histogram("direct_requests_kept_time", buckets),
	}
	return n
}

// serve starts an HTTP server on an address.
func (n *node) serve(address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return fmt.Errorf("listen for HTTP on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	n.servers = append(n.servers, server)
	n.wg.Go(func() { _ = server.Serve(listener) })
	return nil
}

// readyHandler responds with 200 while the node is ready for traffic, and otherwise with 503
// and the reason.
func readyHandler(path string, unreadyReason func() string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		reason := unreadyReason()
		if reason == "" {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusServiceUnavailable)
		writeJSON(w, map[string]string{"reason": reason})
	})
	return mux
}

// runEvery calls run at each interval until the node stops.
func (n *node) runEvery(interval time.Duration, run func()) {
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

// sendMessage encodes a message and sends it to a peer; mu is held.
func (n *node) sendMessage(to netip.AddrPort, m *steering.Message) {
	n.sendBuf = steerwire.Append(n.sendBuf[:0], m)
	n.sendDatagram(n.peerConn, n.sendBuf, to)
}

// sendDatagram sends a datagram. A failure is only counted: the network may lose
// datagrams as well.
func (n *node) sendDatagram(conn *net.UDPConn, raw []byte, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(raw, to); err != nil {
		n.counters.SendFailed.Add(1)
	}
}

// handleEvent passes an event to the core and performs the effects.
func (n *node) handleEvent(e steering.Event) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	effects := n.core.Step(now, e)
	for i := range effects {
		n.performEffect(now, &effects[i])
	}
}

// performEffect performs an effect of the core; mu is held.
func (n *node) performEffect(now time.Time, e *steering.Effect) {
	switch e.Kind {
	case steering.EffectSend:
		n.sendMessage(e.To, &e.Message)
	case steering.EffectReset:
		n.sendBuf = n.platform.Segments.AppendReset(n.sendBuf[:0], e.Flow, e.Seq)
		n.sendDatagram(n.callerConn, n.sendBuf, n.callerAddress(e.Flow))
	case steering.EffectReport:
		n.logReport(now, &e.Report)
	case steering.EffectObserve:
		n.latencies[e.Latency].RecordDuration(e.Elapsed)
	case steering.EffectDeliver, steering.EffectRespond, steering.EffectRegister, steering.EffectVerify, steering.EffectUnregister,
		steering.EffectProbe, steering.EffectSave, steering.EffectRefresh:
		n.performRoleEffect(e)
	}
}

// startCommon starts what both roles have: the HTTP servers, the reading of
// messages from peers, the ticks and the export of counters.
func (n *node) startCommon(metrics http.Handler, unreadyReason func() string, tick time.Duration, roleCounters process.Counters) error {
	if err := n.serve(n.settings.Ready, readyHandler(n.platform.ReadyPath, unreadyReason)); err != nil {
		return err
	}
	if err := n.serve(n.settings.Metrics, n.withViewHandlers(metrics)); err != nil {
		return err
	}
	maps.Copy(roleCounters, process.Counters{
		"direct_segments_malformed": &n.counters.SegmentsMalformed,
		"direct_messages_malformed": &n.counters.MessagesMalformed,
		"direct_send_failed":        &n.counters.SendFailed,
		"direct_reports_suppressed": &n.counters.ReportsSuppressed,
	})
	n.wg.Go(func() { readDatagrams(n.peerConn, n.handlePeerDatagram) })
	n.wg.Go(func() { n.runEvery(tick, func() { n.handleEvent(&steering.Tick{}) }) })
	n.wg.Go(func() { roleCounters.Report(n.ctx, n.metrics) })
	n.wg.Go(func() { n.runEvery(gaugeInterval, newDemandReporter(n.metrics, n.demandCounts).report) })
	return nil
}

// handlePeerDatagram decodes a datagram from a peer and passes the message to the core.
func (n *node) handlePeerDatagram(raw []byte, from netip.AddrPort) {
	m, err := steerwire.Decode(raw, n.platform.Segments.DecodeFromCaller)
	if err != nil {
		n.counters.MessagesMalformed.Add(1)
		return
	}
	n.message.From, n.message.Message = from, m
	n.handleEvent(&n.message)
}

// callerAddress returns where the flow's caller receives responses.
func (n *node) callerAddress(f steering.Flow) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.Caller.IP), n.settings.Segments.Port())
}

// logReport logs a report of the core, within the rate limit of its text.
func (n *node) logReport(now time.Time, r *steering.Report) {
	suppressed, ok := n.reports.allow(now, r.Text)
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
	if !r.Revision.IsZero() {
		fields = append(fields, "revision", r.Revision.Number(), "era", r.Revision.Era())
	}
	if suppressed > 0 {
		fields = append(fields, "suppressed", suppressed)
	}
	_ = level.Info(n.logger).Log(fields...)
}

func (n *node) info(text string, fields ...any) {
	_ = level.Info(n.logger).Log(append([]any{"msg", text}, fields...)...)
}

// maxErrorLength bounds the length of a logged error, in bytes: some quote their input.
const maxErrorLength = 300

func (n *node) warn(text string, err error) {
	_ = level.Warn(n.logger).Log("msg", text, "err", errorText(err))
}

// errorText returns the text of an error, cut to maxErrorLength.
func errorText(err error) string {
	text := err.Error()
	return text[:min(len(text), maxErrorLength)]
}

// close stops the goroutines and closes the servers and the socket to peers.
func (n *node) close() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.Close()
	}
	if n.peerConn != nil {
		_ = n.peerConn.Close()
	}
	n.wg.Wait()
}
