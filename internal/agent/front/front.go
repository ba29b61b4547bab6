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
	// quicPacketSize is the size of QUIC packets in bytes. It leaves room for
	// the encapsulation between balancers and agents.
	quicPacketSize = 1200
	// defaultMaxRequests bounds the requests that one front holds at a time.
	defaultMaxRequests = 256
	// maxStreams bounds the concurrent requests of one connection.
	maxStreams = 100
	// handOverHeaderTimeout bounds the reading of a handed-over request's header.
	handOverHeaderTimeout = 5 * time.Second
	// handshakeGrace is how long handshakes may take to finish at a stop.
	handshakeGrace = 200 * time.Millisecond
	tracerName     = "amaranthwheel.example/amaranthwheel/internal/agent/front"
)

// EventSink passes the events of a front to the node. Submit must not call back
// into the front before it returns, and keeps the order of the events of one
// request.
type EventSink interface {
	Submit(ev core.Event)
}

// OpenStream opens a stream to another agent, for requests handed over.
type OpenStream func(ctx context.Context, peer model.NodeID, addr netip.AddrPort) (net.Conn, error)

// Target is where requests go.
type Target struct {
	Addr netip.AddrPort
	Name model.TargetName
	// Connections bounds the callers' connections.
	MaxConnections int
}

// Options configures a Front. Events, TLS and Service are required.
type Options struct {
	Events     EventSink
	TLS        *tls.Config
	Service    model.ServiceID
	OpenStream OpenStream
	// IdleTimeout closes a connection without traffic; zero takes the default
	// of quic-go.
	IdleTimeout time.Duration
	// MaxRequests bounds the requests held at a time, waiting ones included.
	MaxRequests int
	// TracerProvider provides spans; nil takes the global one.
	TracerProvider trace.TracerProvider
}

// Front serves the callers of one agent. It is safe for concurrent use.
type Front struct {
	opts      Options
	tracer    trace.Tracer
	server    *http3.Server
	handOvers *http.Server
	target    atomic.Pointer[Target]
	flows     flowCounter
	slots     chan struct{} // one token for each request held
	lastID    atomic.Uint64

	mu        sync.Mutex
	mailboxes map[core.RequestID]chan core.RequestEffect
	transport *quic.Transport
	lingering sync.WaitGroup
	closing   atomic.Bool // new connections are refused
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
		opts:      opts,
		tracer:    opts.TracerProvider.Tracer(tracerName),
		slots:     make(chan struct{}, opts.MaxRequests),
		mailboxes: make(map[core.RequestID]chan core.RequestEffect),
	}
	f.flows = flowCounter{open: make(map[model.FlowKey][]*quic.Conn), events: opts.Events, service: opts.Service}
	f.target.Store(&Target{})
	f.server = &http3.Server{Handler: http.HandlerFunc(f.serveCaller), ConnContext: f.flows.connContext}
	f.handOvers = &http.Server{
		Handler:           http.HandlerFunc(f.serveHandOver),
		ReadHeaderTimeout: handOverHeaderTimeout,
	}
	return f
}

// SetTarget sets where requests go from now on.
func (f *Front) SetTarget(t Target) { f.target.Store(&t) }

// Serve accepts callers' connections on the packet connection until Shutdown.
// It returns http.ErrServerClosed after a shutdown.
func (f *Front) Serve(conn net.PacketConn) error {
	tr := &quic.Transport{Conn: conn, ConnContext: f.limitConnections}
	ln, err := tr.Listen(http3.ConfigureTLSConfig(f.opts.TLS), f.quicConfig())
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.transport = tr
	f.mu.Unlock()
	return f.server.ServeListener(&flowListener{Listener: ln, flows: &f.flows})
}

func (f *Front) quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:          f.opts.IdleTimeout,
		MaxIncomingStreams:      maxStreams,
		InitialPacketSize:       quicPacketSize,
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false, // 0-RTT data can be replayed
	}
}

var (
	errTooManyConnections = errors.New("the target takes no more connections")
	errClosing            = errors.New("the agent is stopping")
)

// limitConnections rejects handshakes above the target's connection limit.
func (f *Front) limitConnections(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if f.closing.Load() {
		return nil, errClosing
	}
	if !f.flows.reserve(f.target.Load().MaxConnections) {
		return nil, errTooManyConnections
	}
	context.AfterFunc(ctx, f.flows.unreserve)
	return ctx, nil
}

// ServeHandOver serves requests that other agents hand over, on the streams
// that the listener accepts, until Shutdown.
func (f *Front) ServeHandOver(ln net.Listener) error { return f.handOvers.Serve(ln) }

// Shutdown tells the callers to move (GOAWAY), lets requests finish and closes
// all connections. When the context ends first, what is left is cut off and
// the context's error returned.
func (f *Front) Shutdown(ctx context.Context) error {
	f.refuseConnections(ctx)
	err := errors.Join(f.server.Shutdown(ctx), f.handOvers.Shutdown(ctx))
	f.mu.Lock()
	tr := f.transport
	f.mu.Unlock()
	if tr == nil {
		return err
	}
	return errors.Join(err, tr.Close())
}

// refuseConnections refuses new connections and lets handshakes that are under
// way finish: one that is accepted during the server's shutdown would get
// neither answers nor a GOAWAY.
func (f *Front) refuseConnections(ctx context.Context) {
	f.closing.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(handshakeGrace):
	}
}

// DeliverDecision passes a decision of the node to the request that it concerns. It
// reports whether the request was still there.
func (f *Front) DeliverDecision(e core.RequestEffect) bool {
	f.mu.Lock()
	box, ok := f.mailboxes[e.RequestID()]
	f.mu.Unlock()
	if !ok {
		return false
	}
	select {
	case box <- e:
		return true
	default:
		return false
	}
}

// mailboxSize exceeds the verdicts that one request can have outstanding.
const mailboxSize = 4

// register opens the mailbox of a new request.
func (f *Front) register() (core.RequestID, <-chan core.RequestEffect) {
	id := core.RequestID(f.lastID.Add(1))
	box := make(chan core.RequestEffect, mailboxSize)
	f.mu.Lock()
	f.mailboxes[id] = box
	f.mu.Unlock()
	return id, box
}

func (f *Front) unregister(id core.RequestID) {
	f.mu.Lock()
	delete(f.mailboxes, id)
	f.mu.Unlock()
}
