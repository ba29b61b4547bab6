package relay

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// maxDatagramSize is the largest datagram that is forwarded, in bytes.
const maxDatagramSize = 64 << 10

// DatagramFault describes how a relay impairs datagrams.
type DatagramFault struct {
	// DropRate and DuplicateRate are the fractions of datagrams that are dropped and
	// duplicated.
	DropRate, DuplicateRate float64
	// MaxDelay bounds the random delay of each copy, which also reorders datagrams.
	MaxDelay time.Duration
	// CutTo and CutFrom drop all datagrams to the upstream or from it.
	CutTo, CutFrom bool
}

// DatagramRelay forwards UDP datagrams to one upstream address. Each sender has its
// own upstream socket, so that replies can be routed back to it.
type DatagramRelay struct {
	upstream   netip.AddrPort
	sourceAddr func(sender netip.Addr) netip.AddrPort
	listener   *net.UDPConn
	fault      atomic.Pointer[DatagramFault]
	closed     atomic.Bool
	workers    sync.WaitGroup

	mu      sync.Mutex
	sockets map[netip.AddrPort]*net.UDPConn
}

// StartDatagramRelay starts a relay. The upstream sees a sender at the address that
// sourceAddr returns, which nothing else may use. The caller must Close the relay.
func StartDatagramRelay(listen, upstream netip.AddrPort, sourceAddr func(sender netip.Addr) netip.AddrPort) (*DatagramRelay, error) {
	listener, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	d := &DatagramRelay{upstream: upstream, sourceAddr: sourceAddr, listener: listener, sockets: make(map[netip.AddrPort]*net.UDPConn)}
	d.fault.Store(&DatagramFault{})
	d.workers.Go(func() { d.receive(listener, d.forward) })
	return d, nil
}

// SetFault replaces the fault; the zero value clears it.
func (d *DatagramRelay) SetFault(f DatagramFault) { d.fault.Store(&f) }

// Close closes all sockets and waits until the relay has stopped.
func (d *DatagramRelay) Close() {
	d.closed.Store(true)
	d.mu.Lock()
	_ = d.listener.Close()
	for _, socket := range d.sockets {
		_ = socket.Close()
	}
	d.mu.Unlock()
	d.workers.Wait()
}

// receive calls handle with a copy of each datagram until the socket is closed.
func (d *DatagramRelay) receive(conn *net.UDPConn, handle func(raw []byte, from netip.AddrPort)) {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(bytes.Clone(buf[:n]), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

func (d *DatagramRelay) forward(raw []byte, from netip.AddrPort) {
	socket := d.upstreamSocket(from)
	if f := d.fault.Load(); socket != nil && !f.CutTo {
		f.Deliver(func() { _, _ = socket.WriteToUDPAddrPort(raw, d.upstream) }) // a failed send counts as packet loss
	}
}

// upstreamSocket returns the sender's upstream socket, creating it on first use. It
// returns nil if the socket cannot be opened or the relay is closed.
func (d *DatagramRelay) upstreamSocket(sender netip.AddrPort) *net.UDPConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if socket := d.sockets[sender]; socket != nil || d.closed.Load() {
		return socket
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.sourceAddr(sender.Addr())))
	if err != nil {
		return nil
	}
	d.sockets[sender] = socket
	d.workers.Go(func() {
		d.receive(socket, func(raw []byte, _ netip.AddrPort) {
			if f := d.fault.Load(); !f.CutFrom {
				f.Deliver(func() { _, _ = d.listener.WriteToUDPAddrPort(raw, sender) }) // a failed send counts as packet loss
			}
		})
	})
	return socket
}

// Deliver applies the fault to a datagram: it calls send never, once or twice, at
// once or after a delay.
func (f DatagramFault) Deliver(send func()) {
	if rand.Float64() < f.DropRate {
		return
	}
	copies := 1
	if rand.Float64() < f.DuplicateRate {
		copies = 2
	}
	for range copies {
		if f.MaxDelay == 0 {
			send()
		} else {
			time.AfterFunc(rand.N(f.MaxDelay), send)
		}
	}
}

// String describes the fault for the fault timeline.
func (f DatagramFault) String() string {
	switch {
	case f.CutTo && f.CutFrom:
		return "cut"
	case f.CutTo:
		return "cut towards the other side"
	case f.CutFrom:
		return "cut from the other side"
	}
	return fmt.Sprintf("%.0f %% lost, %.0f %% twice, up to %v late", 100*f.DropRate, 100*f.DuplicateRate, f.MaxDelay)
}
