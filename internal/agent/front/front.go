package front

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// quicPacketSize is the size of QUIC packets in bytes. It leaves space for
	// the encapsulation between balancers and agents.
	quicPacketSize = 1200
	// defaultMaxRequests is the default limit of concurrent requests of a front.
	defaultMaxRequests = 256
	// maxStreams bounds the concurrent requests of one connection.
	maxStreams = 100
	// handOverHeaderTimeout bounds the reading of a handed-over request's header.
	handOverHeaderTimeout = 5 * time.Second
	// handshakeTimeout bounds a caller's silence during its handshake, and the time
	// that a shutdown waits for handshakes in progress.
	handshakeTimeout = 3 * time.Second
	// handshakePollInterval is the interval at which a shutdown checks for handshakes
	// in progress.
	handshakePollInterval = 10 * time.Millisecond
	tracerName            = "amaranthwheel.example/amaranthwheel/internal/agent/front"
)

// EventSink passes the front's events to the node. Submit must not call the front
// before it returns, and must keep the order of the events of one request.
type EventSink interface {
	Submit(ev core.Event)
}

// OpenStream opens a stream to another agent, for requests handed over.
type OpenStream func(ctx context.Context, peer model.NodeID, addr netip.AddrPort) (net.Conn, error)

// Target is the target to which requests are sent.
type Target struct {
	Addr netip.AddrPort
	Name model.TargetName
	// MaxConnections bounds the callers' connections.
	MaxConnections int
}

// Options configures a Front. Events, TLS and Service are required.
type Options struct {
	Events     EventSink
	TLS        *tls.Config
	Service    model.ServiceID
	OpenStream OpenStream
	// IdleTimeout closes a connection without traffic; zero means the default
	// of quic-go.
	IdleTimeout time.Duration
	// MaxRequests bounds the concurrent requests, including queued ones; zero
	// means the default.
	MaxRequests int
	// TracerProvider provides tracers; nil means the global provider.
	TracerProvider trace.TracerProvider
}

// Front serves the callers of one agent. It is safe for concurrent use.
type Front struct {
	opts           Options
	tracer         trace.Tracer
	server         *http3.Server
	handOverServer *http.Server
	target         atomic.Pointer[Target]
	flows          flowTracker
	requestSlots   chan struct{} // semaphore with one token per request
	lastID         atomic.Uint64

	mu              sync.Mutex
	decisionQueues  map[core.RequestID]chan core.RequestEffect
	transport       *quic.Transport
	closingAttempts sync.WaitGroup
}

// New returns a front without a target.
func New(opts Options) *Front {
	if opts.MaxRequests == 0 {
		opts.MaxRequests = defaultMaxRequests
	}
	if opts.TracerProvider == nil {
		opts.TracerProvider = otel.GetTracerProvider()
	}
	f := &Front{
		opts:           opts,
		tracer:         opts.TracerProvider.Tracer(tracerName),
		requestSlots:   make(chan struct{}, opts.MaxRequests),
		decisionQueues: make(map[core.RequestID]chan core.RequestEffect),
	}
	f.flows = newFlowTracker(opts.Events, opts.Service)
	f.target.Store(&Target{})
	f.server = &http3.Server{Handler: http.HandlerFunc(f.serveCaller), ConnContext: f.flows.connContext}
	f.handOverServer = &http.Server{
		Handler:           http.HandlerFunc(f.serveHandOver),
		ReadHeaderTimeout: handOverHeaderTimeout,
	}
	return f
}

// SetTarget sets the target of subsequent attempts.
func (f *Front) SetTarget(t Target) { f.target.Store(&t) }

// Serve accepts callers' connections on the packet connection. It returns
// http.ErrServerClosed after Shutdown.
func (f *Front) Serve(conn net.PacketConn) error {
	transport := &quic.Transport{Conn: conn, ConnContext: f.admitConnection}
	ln, err := transport.Listen(http3.ConfigureTLSConfig(f.opts.TLS), f.quicConfig())
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.transport = transport
	f.mu.Unlock()
	return f.server.ServeListener(&flowListener{Listener: ln, flows: &f.flows})
}

func (f *Front) quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:          f.opts.IdleTimeout,
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIncomingStreams:      maxStreams,
		InitialPacketSize:       quicPacketSize,
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false, // 0-RTT data can be replayed
	}
}

var (
	errTooManyConnections = errors.New("the target's connection limit is reached")
	errClosing            = errors.New("the agent is stopping")
)

// admitConnection rejects handshakes during a shutdown and above the target's
// connection limit.
func (f *Front) admitConnection(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if err := f.flows.reserveConnection(f.target.Load().MaxConnections); err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, f.flows.releaseConnection)
	return ctx, nil
}

// ServeHandOver serves requests that other agents hand over, on the streams
// that the listener accepts. It returns http.ErrServerClosed after Shutdown.
func (f *Front) ServeHandOver(ln net.Listener) error { return f.handOverServer.Serve(ln) }

// Shutdown sends GOAWAY to the callers, waits for requests to complete and closes
// all connections. If the context is done first, it aborts the remaining requests
// and returns the context's error.
func (f *Front) Shutdown(ctx context.Context) error {
	f.refuseConnections(ctx)
	err := errors.Join(f.server.Shutdown(ctx), f.handOverServer.Shutdown(ctx))
	f.mu.Lock()
	transport := f.transport
	f.mu.Unlock()
	if transport == nil {
		return err
	}
	return errors.Join(err, transport.Close())
}

// refuseConnections refuses new connections and waits for handshakes in progress:
// the server serves no connection whose handshake completes after its shutdown has
// begun. The wait is bounded by handshakeTimeout, as a caller may have left.
func (f *Front) refuseConnections(ctx context.Context) {
	f.flows.refuseConnections()
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	poll := time.NewTicker(handshakePollInterval)
	defer poll.Stop()
	for f.flows.pendingHandshakes() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}

// DeliverDecision passes a decision of the node to its request. It reports false
// if the request has ended.
func (f *Front) DeliverDecision(e core.RequestEffect) bool {
	f.mu.Lock()
	queue, ok := f.decisionQueues[e.RequestID()]
	f.mu.Unlock()
	if !ok {
		return false
	}
	select {
	case queue <- e:
		return true
	default:
		return false
	}
}

// decisionQueueSize exceeds the number of decisions that can be pending for one
// request.
const decisionQueueSize = 4

// registerRequest creates the ID and the decision queue of a new request.
func (f *Front) registerRequest() (core.RequestID, <-chan core.RequestEffect) {
	id := core.RequestID(f.lastID.Add(1))
	queue := make(chan core.RequestEffect, decisionQueueSize)
	f.mu.Lock()
	f.decisionQueues[id] = queue
	f.mu.Unlock()
	return id, queue
}

func (f *Front) unregisterRequest(id core.RequestID) {
	f.mu.Lock()
	delete(f.decisionQueues, id)
	f.mu.Unlock()
}
