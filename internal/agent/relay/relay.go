// Package relay carries opaque UDP flows between callers and the target of one
// agent (services of mode "flow").
//
// Each flow has a connected socket of its own towards the target, so that the
// target tells flows apart by their source port. A flow keeps the target
// address that it began with. It is established with the target's first
// answer and closed after the idle timeout; both are reported to the node.
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

// defaultIdleTimeout ends a flow without traffic.
const defaultIdleTimeout = 60 * time.Second

// Errors that Deliver returns.
var (
	// ErrFlowLimit means that the relay holds its maximum of flows.
	ErrFlowLimit = errors.New("the relay holds its maximum of flows")
	// ErrNoTarget means that no target address is set.
	ErrNoTarget = errors.New("the relay has no target")
	// ErrClosed means that the relay was closed.
	ErrClosed = errors.New("the relay is closed")
)

// EventSink takes events to the node.
type EventSink interface{ Submit(ev core.Event) }

// Options configures a Relay. Events and SendResponse are required.
type Options struct {
	Events EventSink
	// SendResponse sends a datagram of the target to the flow's caller. The payload
	// is valid only during the call.
	SendResponse func(flow model.FlowKey, payload []byte)
	// MaxFlows bounds the flows.
	MaxFlows int
	// IdleTimeout ends a flow without traffic; zero takes 60 s.
	IdleTimeout time.Duration
}

// Relay is the local end of opaque flows. It is safe for concurrent use.
type Relay struct {
	opts   Options
	target atomic.Pointer[netip.AddrPort]

	mu     sync.Mutex
	flows  map[model.FlowKey]*flow
	closed bool
	wg     sync.WaitGroup
}

// flow is one flow's socket to the target.
type flow struct {
	key         model.FlowKey
	conn        *net.UDPConn
	used        atomic.Int64 // last traffic, nanoseconds since the Unix epoch
	established bool         // of the reading goroutine
}

// New returns a relay without a target.
func New(opts Options) *Relay {
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	return &Relay{opts: opts, flows: make(map[model.FlowKey]*flow)}
}

// SetTarget sets where new flows go.
func (r *Relay) SetTarget(addr netip.AddrPort) { r.target.Store(&addr) }

// Deliver sends a caller's datagram to the target. It opens the flow if it is
// new.
func (r *Relay) Deliver(key model.FlowKey, payload []byte) error {
	f, err := r.flow(key)
	if err != nil {
		return err
	}
	f.touch()
	_, err = f.conn.Write(payload)
	return err
}

// flow returns the flow, opened if it is new.
func (r *Relay) flow(key model.FlowKey) (*flow, error) {
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
	f.touch()
	r.flows[key] = f
	r.wg.Go(func() { r.read(f) })
	return f, nil
}

// CloseFlow ends a flow. The node is told with FlowClosed.
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

// Close ends all flows and waits for their goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for _, f := range r.flows {
		_ = f.conn.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// read passes the target's datagrams on until the flow is idle or closed.
func (r *Relay) read(f *flow) {
	defer r.remove(f)
	buf := make([]byte, wire.MaxDatagram)
	for {
		_ = f.conn.SetReadDeadline(f.lastUse().Add(r.opts.IdleTimeout))
		n, err := f.conn.Read(buf)
		switch {
		case err == nil:
			r.answer(f, buf[:n])
		case errors.Is(err, syscall.ECONNREFUSED):
			// The target is restarting; the caller sends again.
		case time.Since(f.lastUse()) >= r.opts.IdleTimeout || !isTimeout(err):
			return
		}
	}
}

func (r *Relay) answer(f *flow, payload []byte) {
	f.touch()
	if !f.established {
		f.established = true
		r.opts.Events.Submit(core.FlowEstablished{Flow: f.key})
	}
	r.opts.SendResponse(f.key, payload)
}

func (r *Relay) remove(f *flow) {
	_ = f.conn.Close()
	r.mu.Lock()
	delete(r.flows, f.key)
	r.mu.Unlock()
	r.opts.Events.Submit(core.FlowClosed{Flow: f.key})
}

func (f *flow) touch() { f.used.Store(time.Now().UnixNano()) }

func (f *flow) lastUse() time.Time { return time.Unix(0, f.used.Load()) }

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
