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

// maxDatagram is the longest datagram that is passed on, in bytes.
const maxDatagram = 64 << 10

// Loss is what goes wrong with datagrams on the way.
type Loss struct {
	// Drop and Repeat are the shares of datagrams that are lost and that arrive
	// twice.
	Drop, Repeat float64
	// Late bounds a random delay of each, by which they also overtake each other.
	Late time.Duration
	// To and From lose all that goes to the other side, or comes from it.
	To, From bool
}

// Datagrams passes UDP datagrams on to one address. Each sender gets a socket of
// its own towards it, so that answers find their way back.
type Datagrams struct {
	to     netip.AddrPort
	face   func(sender netip.Addr) netip.AddrPort
	front  *net.UDPConn
	loss   atomic.Pointer[Loss]
	closed atomic.Bool
	group  sync.WaitGroup

	mu    sync.Mutex
	backs map[netip.AddrPort]*net.UDPConn
}

// StartDatagrams listens and passes datagrams on. The other side sees a sender at
// the address that face returns, which must be the relay's alone. The caller must
// Close the relay.
func StartDatagrams(listen, to netip.AddrPort, face func(sender netip.Addr) netip.AddrPort) (*Datagrams, error) {
	front, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	d := &Datagrams{to: to, face: face, front: front, backs: make(map[netip.AddrPort]*net.UDPConn)}
	d.loss.Store(&Loss{})
	d.group.Go(func() { d.read(front, d.forward) })
	return d, nil
}

// Set lets things go wrong from now on; the zero Loss ends it.
func (d *Datagrams) Set(l Loss) { d.loss.Store(&l) }

// Close ends the relay.
func (d *Datagrams) Close() {
	d.closed.Store(true)
	d.mu.Lock()
	_ = d.front.Close()
	for _, back := range d.backs {
		_ = back.Close()
	}
	d.mu.Unlock()
	d.group.Wait()
}

// read hands on a copy of each datagram until the socket is closed.
func (d *Datagrams) read(conn *net.UDPConn, handle func(raw []byte, from netip.AddrPort)) {
	buf := make([]byte, maxDatagram)
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

func (d *Datagrams) forward(raw []byte, from netip.AddrPort) {
	back := d.back(from)
	if l := d.loss.Load(); back != nil && !l.To {
		l.Pass(func() { _, _ = back.WriteToUDPAddrPort(raw, d.to) }) // as lost on the way
	}
}

// back returns the sender's socket towards the other side, nil if there is none.
func (d *Datagrams) back(sender netip.AddrPort) *net.UDPConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if back := d.backs[sender]; back != nil || d.closed.Load() {
		return back
	}
	back, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.face(sender.Addr())))
	if err != nil {
		return nil
	}
	d.backs[sender] = back
	d.group.Go(func() {
		d.read(back, func(raw []byte, _ netip.AddrPort) {
			if l := d.loss.Load(); !l.From {
				l.Pass(func() { _, _ = d.front.WriteToUDPAddrPort(raw, sender) }) // as lost on the way
			}
		})
	})
	return back
}

// Pass sends a datagram never, once or twice, now or late.
func (l Loss) Pass(send func()) {
	if rand.Float64() < l.Drop {
		return
	}
	copies := 1
	if rand.Float64() < l.Repeat {
		copies = 2
	}
	for range copies {
		if l.Late == 0 {
			send()
		} else {
			time.AfterFunc(rand.N(l.Late), send)
		}
	}
}

// String tells a loss in timelines.
func (l Loss) String() string {
	switch {
	case l.To && l.From:
		return "cut"
	case l.To:
		return "cut towards the other side"
	case l.From:
		return "cut from the other side"
	}
	return fmt.Sprintf("%.0f %% lost, %.0f %% twice, up to %v late", 100*l.Drop, 100*l.Repeat, l.Late)
}
