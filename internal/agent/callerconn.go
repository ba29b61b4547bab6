package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// callersQueue bounds the callers' datagrams that wait for the local end.
const callersQueue = 1024

// callerConn is the net.PacketConn of an agent's local end: it reads the
// callers' datagrams that the node delivers, and sends answers straight to the
// callers from the answer socket.
type callerConn struct {
	answers *net.UDPConn
	inbound chan inboundDatagram
	closed  chan struct{}
	once    sync.Once

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{} // closed when the deadline changes
}

type inboundDatagram struct {
	payload []byte
	caller  netip.AddrPort
}

func newCallerConn(answers *net.UDPConn) *callerConn {
	return &callerConn{
		answers: answers,
		inbound: make(chan inboundDatagram, callersQueue),
		closed:  make(chan struct{}),
		changed: make(chan struct{}),
	}
}

// deliver queues a caller's datagram. It reports whether there was room.
func (c *callerConn) deliver(caller netip.AddrPort, payload []byte) bool {
	select {
	case c.inbound <- inboundDatagram{payload, caller}:
		return true
	default:
		return false
	}
}

// ReadFrom implements net.PacketConn.
func (c *callerConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		deadline, changed := c.readDeadline()
		expired, stop := expiry(deadline)
		select {
		case d := <-c.inbound:
			stop()
			return copy(p, d.payload), net.UDPAddrFromAddrPort(d.caller), nil
		case <-c.closed:
			stop()
			return 0, nil, net.ErrClosed
		case <-expired:
			return 0, nil, os.ErrDeadlineExceeded
		case <-changed:
			stop()
		}
	}
}

func (c *callerConn) readDeadline() (time.Time, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, c.changed
}

// expiry returns a channel that fires at the deadline, never if it is zero.
func expiry(deadline time.Time) (<-chan time.Time, func()) {
	if deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(deadline))
	return timer.C, func() { timer.Stop() }
}

// WriteTo implements net.PacketConn.
func (c *callerConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	return c.answers.WriteTo(p, addr)
}

// Close implements net.PacketConn. The answer socket stays open.
func (c *callerConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *callerConn) LocalAddr() net.Addr { return c.answers.LocalAddr() }

// SetReadDeadline implements net.PacketConn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// SetWriteDeadline implements net.PacketConn. Writes do not block.
func (c *callerConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.PacketConn.
func (c *callerConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }
