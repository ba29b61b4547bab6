package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// callerQueueSize is the number of callers' datagrams that can be queued for the
// local endpoint.
const callerQueueSize = 1024

// callerConn is the net.PacketConn of an agent's local endpoint. It reads the
// callers' datagrams that the node delivers and sends responses directly to the
// callers from the response socket.
type callerConn struct {
	responses *net.UDPConn
	inbound   chan inboundDatagram
	closed    chan struct{}
	once      sync.Once

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{} // closed when the deadline changes
}

type inboundDatagram struct {
	payload []byte
	caller  netip.AddrPort
}

func newCallerConn(responses *net.UDPConn) *callerConn {
	return &callerConn{
		responses: responses,
		inbound:   make(chan inboundDatagram, callerQueueSize),
		closed:    make(chan struct{}),
		changed:   make(chan struct{}),
	}
}

// enqueue queues a caller's datagram. It reports false if the queue is full.
func (c *callerConn) enqueue(caller netip.AddrPort, payload []byte) bool {
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
		deadline, changed := c.currentDeadline()
		expired, stopTimer := newDeadlineTimer(deadline)
		select {
		case d := <-c.inbound:
			stopTimer()
			return copy(p, d.payload), net.UDPAddrFromAddrPort(d.caller), nil
		case <-c.closed:
			stopTimer()
			return 0, nil, net.ErrClosed
		case <-expired:
			return 0, nil, os.ErrDeadlineExceeded
		case <-changed:
			stopTimer()
		}
	}
}

func (c *callerConn) currentDeadline() (time.Time, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, c.changed
}

// newDeadlineTimer returns a channel that fires at the deadline, or never if the
// deadline is zero, and a function that stops the timer.
func newDeadlineTimer(deadline time.Time) (<-chan time.Time, func()) {
	if deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(deadline))
	return timer.C, func() { timer.Stop() }
}

// WriteTo implements net.PacketConn.
func (c *callerConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	return c.responses.WriteTo(p, addr)
}

// Close implements net.PacketConn. The response socket stays open.
func (c *callerConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *callerConn) LocalAddr() net.Addr { return c.responses.LocalAddr() }

// SetReadDeadline implements net.PacketConn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// SetWriteDeadline implements net.PacketConn. It does nothing, as writes do not
// block.
func (c *callerConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.PacketConn.
func (c *callerConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }
