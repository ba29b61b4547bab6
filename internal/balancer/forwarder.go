// Package balancer implements the daemon on an entry host: it forwards callers'
// datagrams to the home agents of their flows, monitors the agents and reads the
// configuration.
package balancer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/process"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// socketBufferSize is the size of a socket's kernel receive buffer, in bytes.
const socketBufferSize = 4 << 20

// maxLoopStall is how long the forwarder uses its views without a step of the
// node's loop. After a pause of the process, it forwards nothing until the loop
// runs again.
const maxLoopStall = 2 * time.Second

// Forwarder is the packet path: it sends each caller's datagram to the home of
// its flow. It keeps no per-flow state; forwarding a datagram takes no lock and
// does not allocate.
type Forwarder struct {
	keys         wire.Keys
	bind         netip.Addr
	views        atomic.Pointer[map[model.ServiceID]*core.View]
	lastLoopStep atomic.Int64 // time of the loop's last step, nanoseconds since startedAt
	startedAt    time.Time

	mu        sync.Mutex
	listeners map[model.ServiceID]*listener
	wg        sync.WaitGroup

	// OnOpeningDatagram, if set, is called for datagrams that may open a flow.
	// It must be set before the first view.
	OnOpeningDatagram func(flow model.FlowKey, home model.NodeID)

	// Counters are exported as metrics.
	Counters Counters
}

// Counters counts datagrams since the start of the process.
type Counters struct {
	Forwarded, NoService, NoCandidate, Stale, TooLong, SendFailed atomic.Uint64
}

// byMetricName returns the counters by metric name.
func (c *Counters) byMetricName() process.Counters {
	return process.Counters{
		"forwarder_forwarded":    &c.Forwarded,
		"forwarder_no_service":   &c.NoService,
		"forwarder_no_candidate": &c.NoCandidate,
		"forwarder_stale":        &c.Stale,
		"forwarder_too_long":     &c.TooLong,
		"forwarder_send_failed":  &c.SendFailed,
	}
}

// listener receives the datagrams of one service.
type listener struct {
	conn    *net.UDPConn
	address netip.AddrPort
}

// NewForwarder returns a forwarder without services. Their sockets are bound to
// the address bind if it is valid, and to the services' own addresses otherwise.
func NewForwarder(keys wire.Keys, bind netip.Addr) *Forwarder {
	f := &Forwarder{keys: keys, bind: bind, startedAt: time.Now(), listeners: make(map[model.ServiceID]*listener)}
	f.views.Store(&map[model.ServiceID]*core.View{})
	return f
}

// RecordLoopStep records that the node's loop has handled an event.
func (f *Forwarder) RecordLoopStep() {
	f.lastLoopStep.Store(int64(time.Since(f.startedAt)))
}

// SetViews replaces the views. It opens a socket for each new service and closes
// those of services that were removed or have a new address. Errors of addresses
// that could not be bound are joined; the next call retries these addresses.
func (f *Forwarder) SetViews(views map[model.ServiceID]*core.View) error {
	f.views.Store(&views)
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, l := range f.listeners {
		if v := views[id]; v == nil || f.bindAddress(v) != l.address {
			_ = l.conn.Close()
			delete(f.listeners, id)
		}
	}
	var errs []error
	for id, v := range views {
		if f.listeners[id] != nil {
			continue
		}
		if err := f.openSocket(id, f.bindAddress(v)); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (f *Forwarder) bindAddress(v *core.View) netip.AddrPort {
	if f.bind.IsValid() {
		return netip.AddrPortFrom(f.bind, v.Address.Port())
	}
	return v.Address
}

// openSocket opens the socket of one service. The caller must hold f.mu.
func (f *Forwarder) openSocket(id model.ServiceID, address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("listen for callers on %s: %w", address, err)
	}
	if err := conn.SetReadBuffer(socketBufferSize); err != nil {
		_ = conn.Close()
		return fmt.Errorf("set the receive buffer size of %s: %w", address, err)
	}
	f.listeners[id] = &listener{conn: conn, address: address}
	f.wg.Go(func() { f.serve(conn, id) })
	return nil
}

// serve forwards the datagrams that a socket receives until it is closed.
func (f *Forwarder) serve(conn *net.UDPConn, id model.ServiceID) {
	// The extra byte distinguishes a truncated datagram from one of maximum size.
	buf := make([]byte, wire.MaxDatagramSize+1)
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(buf[wire.HeaderSize:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		f.forward(conn, buf, n, model.FlowKey{Caller: unmapAddrPort(caller), Service: id})
	}
}

func unmapAddrPort(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// forward sends the payload of n bytes in buf to the flow's home. Each service
// sends from its own socket, because a shared socket would serialize the
// services on its lock.
func (f *Forwarder) forward(conn *net.UDPConn, buf []byte, n int, flow model.FlowKey) {
	if wire.HeaderSize+n > wire.MaxDatagramSize {
		f.Counters.TooLong.Add(1)
		return
	}
	if time.Since(f.startedAt)-time.Duration(f.lastLoopStep.Load()) > maxLoopStall {
		f.Counters.Stale.Add(1)
		return
	}
	home, header, ok := f.route(flow)
	if !ok {
		return
	}
	if f.OnOpeningDatagram != nil && wire.IsQUICInitial(buf[wire.HeaderSize:wire.HeaderSize+n]) {
		f.OnOpeningDatagram(flow, home.Node)
	}
	f.keys.Encode(buf, &header, n)
	if _, err := conn.WriteToUDPAddrPort(buf[:wire.HeaderSize+n], home.DataAddr); err != nil {
		f.Counters.SendFailed.Add(1)
		return
	}
	f.Counters.Forwarded.Add(1)
}

// route returns the flow's home and the header to send.
func (f *Forwarder) route(flow model.FlowKey) (*model.Member, wire.Header, bool) {
	view := (*f.views.Load())[flow.Service]
	if view == nil {
		f.Counters.NoService.Add(1)
		return nil, wire.Header{}, false
	}
	home := routing.Home(view, flow.Hash())
	if home == nil {
		f.Counters.NoCandidate.Add(1)
		return nil, wire.Header{}, false
	}
	return &home.Member, wire.Header{
		Kind: wire.KindPacket, Service: flow.Service, Caller: flow.Caller, ViewDigest: view.Digest,
	}, true
}

// Close closes the services' sockets and waits for their goroutines.
func (f *Forwarder) Close() {
	f.mu.Lock()
	for _, l := range f.listeners {
		_ = l.conn.Close()
	}
	clear(f.listeners)
	f.mu.Unlock()
	f.wg.Wait()
}
