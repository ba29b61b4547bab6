package caller

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// socketBuffer is the size of the send and receive buffers of a flow's
// socket, in bytes.
const socketBuffer = 1 << 20

// fabric stands in for the platform's fabric: it sends each datagram to a
// balancer picked at random. It is safe for concurrent use.
type fabric struct {
	service   netip.AddrPort
	local     netip.Addr
	seed      uint64
	strict    bool // drops answers from any address but the service's
	balancers atomic.Pointer[[]netip.AddrPort]
	// cut drops all datagrams in both directions.
	cut atomic.Bool

	mu   sync.Mutex
	sent map[netip.AddrPort]uint64
}

func newFabric(cfg *Config) *fabric {
	f := &fabric{service: cfg.Address, local: cfg.Local, seed: cfg.Seed, strict: cfg.StrictSource, sent: make(map[netip.AddrPort]uint64)}
	f.setBalancers(cfg.Balancers)
	return f
}

// setBalancers replaces the balancers that datagrams are sent to.
func (f *fabric) setBalancers(list []netip.AddrPort) {
	list = slices.Clone(list)
	f.balancers.Store(&list)
}

func (f *fabric) balancerList() []netip.AddrPort {
	return *f.balancers.Load()
}

// counts returns how many datagrams each balancer was sent.
func (f *fabric) counts() map[netip.AddrPort]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[netip.AddrPort]uint64, len(f.sent))
	for b, n := range f.sent {
		out[b] = n
	}
	return out
}

// listen opens the socket of one flow. The flow's number seeds its choice of
// balancers.
func (f *fabric) listen(number uint64) (*fabricConn, error) {
	addr := net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.local, 0))
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("bind a flow's socket: %w", err)
	}
	err = errors.Join(socket.SetReadBuffer(socketBuffer), socket.SetWriteBuffer(socketBuffer))
	if err != nil {
		socket.Close()
		return nil, fmt.Errorf("set socket buffers: %w", err)
	}
	return &fabricConn{
		fabric: f, socket: socket,
		service: net.UDPAddrFromAddrPort(f.service),
		rng:     rand.New(rand.NewPCG(f.seed, number)),
	}, nil
}

// fabricConn is the socket of one flow. It implements net.PacketConn and
// nothing more of *net.UDPConn, because quic-go would read and write a
// *net.UDPConn past this type.
type fabricConn struct {
	fabric  *fabric
	socket  *net.UDPConn
	service *net.UDPAddr

	mu  sync.Mutex
	rng *rand.Rand
}

// WriteTo sends a datagram to a balancer picked at random. The address is
// ignored; losses are silent, as in a network.
func (c *fabricConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	balancers := c.fabric.balancerList()
	if len(balancers) == 0 || c.fabric.cut.Load() {
		return len(p), nil
	}
	c.mu.Lock()
	to := balancers[c.rng.IntN(len(balancers))]
	c.mu.Unlock()
	c.fabric.mu.Lock()
	c.fabric.sent[to]++
	c.fabric.mu.Unlock()
	if _, err := c.socket.WriteToUDPAddrPort(p, to); errors.Is(err, net.ErrClosed) {
		return 0, err
	}
	return len(p), nil
}

// ReadFrom receives a datagram and reports the service's address. Unless the
// fabric is strict, the datagram may come from any address.
func (c *fabricConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(p)
		foreign := c.fabric.strict && from != c.fabric.service
		if err == nil && (foreign || c.fabric.cut.Load()) {
			continue
		}
		return n, c.service, err
	}
}

// Close implements net.PacketConn.
func (c *fabricConn) Close() error { return c.socket.Close() }

// LocalAddr implements net.PacketConn.
func (c *fabricConn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (c *fabricConn) SetDeadline(t time.Time) error { return c.socket.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *fabricConn) SetReadDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (c *fabricConn) SetWriteDeadline(t time.Time) error { return c.socket.SetWriteDeadline(t) }

// SetReadBuffer keeps the size that listen has set; quic-go asks for it.
func (c *fabricConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer keeps the size that listen has set; quic-go asks for it.
func (c *fabricConn) SetWriteBuffer(int) error { return nil }

// ParseBalancers parses addresses separated by commas or white space. An IP
// address without a port takes the port of the service's address.
func ParseBalancers(text string, service netip.AddrPort) ([]netip.AddrPort, error) {
	split := func(r rune) bool { return r == ',' || r == ' ' || r == '\n' || r == '\t' || r == '\r' }
	var out []netip.AddrPort
	for _, field := range strings.FieldsFunc(text, split) {
		if ip, err := netip.ParseAddr(field); err == nil {
			out = append(out, netip.AddrPortFrom(ip, service.Port()))
			continue
		}
		addr, err := netip.ParseAddrPort(field)
		if err != nil {
			return nil, fmt.Errorf("balancer %q is not an IP address with or without a port", field)
		}
		out = append(out, addr)
	}
	return out, nil
}

// readBalancers replaces the balancers by those in the file. A file that is
// missing or wrong changes nothing.
func (f *fabric) readBalancers(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	list, err := ParseBalancers(string(text), f.service)
	if err != nil {
		return err
	}
	f.setBalancers(list)
	return nil
}
