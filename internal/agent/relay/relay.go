// Package relay forwards opaque UDP flows between callers and the target of one
// agent (services of mode "flow").
//
// Each flow has its own connected socket to the target, so that the target can
// distinguish flows by their source port. A flow keeps the target address with
// which it was opened. It is established by the target's first response and
// closed after the idle timeout; both are reported to the node.
package relay

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// defaultIdleTimeout is the default of Options.IdleTimeout.
const defaultIdleTimeout = 60 * time.Second

// Errors that Deliver returns.
var (
	// ErrFlowLimit means that the relay has reached its maximum number of flows.
	ErrFlowLimit = errors.New("the relay's flow limit is reached")
	// ErrNoTarget means that no target address is set.
	ErrNoTarget = errors.New("the relay has no target")
	// ErrClosed means that the relay was closed.
	ErrClosed = errors.New("the relay is closed")
)

// EventSink passes events to the node.
type EventSink interface{ Submit(ev core.Event) }

// Options configures a Relay. Events and SendResponse are required.
type Options struct {
	Events EventSink
	// SendResponse sends a datagram from the target to the flow's caller. The
	// payload is valid only during the call.
	SendResponse func(flow model.FlowKey, payload []byte)
	// MaxFlows is the maximum number of open flows.
	MaxFlows int
	// IdleTimeout closes a flow without traffic; zero means 60 s.
	IdleTimeout time.Duration
}

// Relay is the local endpoint of opaque flows. It is safe for concurrent use.
type Relay struct {
	opts   Options
	target atomic.Pointer[netip.AddrPort]

	mu     sync.Mutex
	flows  map[model.FlowKey]*flow
	closed bool
	wg     sync.WaitGroup
}

// flow is an open flow with its socket to the target.
type flow struct {
	key           model.FlowKey
	conn          *net.UDPConn
	lastUsedNanos atomic.Int64 // last traffic, nanoseconds since the Unix epoch
	established   bool         // used only by the reading goroutine
}

// New returns a relay without a target.
func New(opts Options) *Relay {
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	return &Relay{opts: opts, flows: make(map[model.FlowKey]*flow)}
}

// SetTarget sets the target address of new flows.
func (r *Relay) SetTarget(addr netip.AddrPort) { r.target.Store(&addr) }

// Deliver sends a caller's datagram to the target and opens the flow if it is new.
func (r *Relay) Deliver(key model.FlowKey, payload []byte) error {
	f, err := r.getOrOpenFlow(key)
	if err != nil {
		return err
	}
	f.recordUse()
	_, err = f.conn.Write(payload)
	return err
}

// getOrOpenFlow returns an open flow, or opens it.
func (r *Relay) getOrOpenFlow(key model.FlowKey) (*flow, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[key]; f != nil {
		return f, nil
	}
	target := r.target.Load()
	switch {
	case r.closed:
		return nil, ErrClosed
	case target == nil:
		return nil, ErrNoTarget
	case len(r.flows) >= r.opts.MaxFlows:
		return nil, ErrFlowLimit
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(*target))
	if err != nil {
		return nil, err
	}
	f := &flow{key: key, conn: conn}
	f.recordUse()
	r.flows[key] = f
	r.wg.Go(func() { r.forwardResponses(f) })
	return f, nil
}

// CloseFlow closes a flow. The node receives core.FlowClosed.
func (r *Relay) CloseFlow(key model.FlowKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[key]; f != nil {
		_ = f.conn.Close()
	}
}

// FlowCount returns the number of open flows.
func (r *Relay) FlowCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.flows)
}

// Close closes all flows and waits for their goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for _, f := range r.flows {
		_ = f.conn.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// forwardResponses forwards the target's datagrams to the caller until the flow
// is idle or closed.
func (r *Relay) forwardResponses(f *flow) {
	defer r.removeFlow(f)
	buf := make([]byte, wire.MaxDatagramSize)
	for {
		_ = f.conn.SetReadDeadline(f.lastUsed().Add(r.opts.IdleTimeout))
		n, err := f.conn.Read(buf)
		switch {
		case err == nil:
			r.forwardResponse(f, buf[:n])
		case errors.Is(err, syscall.ECONNREFUSED):
			// The target is restarting; the caller retransmits.
		case time.Since(f.lastUsed()) >= r.opts.IdleTimeout || !isTimeout(err):
			return
		}
	}
}

func (r *Relay) forwardResponse(f *flow, payload []byte) {
	f.recordUse()
	if !f.established {
		f.established = true
		r.opts.Events.Submit(core.FlowEstablished{Flow: f.key})
	}
	r.opts.SendResponse(f.key, payload)
}

func (r *Relay) removeFlow(f *flow) {
	_ = f.conn.Close()
	r.mu.Lock()
	delete(r.flows, f.key)
	r.mu.Unlock()
	r.opts.Events.Submit(core.FlowClosed{Flow: f.key})
}

func (f *flow) recordUse() { f.lastUsedNanos.Store(time.Now().UnixNano()) }

func (f *flow) lastUsed() time.Time { return time.Unix(0, f.lastUsedNanos.Load()) }

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
