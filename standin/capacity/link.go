package capacity

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"amaranthwheel.example/amaranthwheel/internal/control"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// linkTimeout bounds the wait for a message on loopback.
const linkTimeout = 10 * time.Second

// errTimeout reports that a message did not arrive.
var errTimeout = errors.New("no message arrived in time")

// hub is one node's control sessions with the events that they report.
type hub struct {
	*control.Hub
	events chan core.Event
	addr   netip.AddrPort
	// received counts the bytes that accepted connections have read.
	received atomic.Int64
}

// newHub starts a node's hub on loopback.
func newHub(self model.Member) (*hub, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for control sessions: %w", err)
	}
	h := &hub{events: make(chan core.Event, 1024), addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	h.Hub = control.NewHub(control.Options{
		Self: func() model.Member { return self }, Cluster: "capacity", Secrets: [][]byte{[]byte("secret")},
		Service: func() model.ServiceName { return self.Service },
		Logger:  log.NewNopLogger(), Emit: func(ev core.Event) { h.events <- ev },
	})
	go func() { _ = h.Serve(countingListener{ln, &h.received}) }()
	return h, nil
}

// connect opens a session to another hub and waits until both report it.
func (h *hub) connect(to *hub) error {
	h.Dial(to.addr)
	if err := await[core.SessionOpened](h); err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	if err := await[core.SessionOpened](to); err != nil {
		return fmt.Errorf("accept: %w", err)
	}
	return nil
}

// await skips events until one of the type comes.
func await[E core.Event](h *hub) error {
	timeout := time.After(linkTimeout)
	for {
		select {
		case ev := <-h.events:
			if _, ok := ev.(E); ok {
				return nil
			}
		case <-timeout:
			return errTimeout
		}
	}
}

// countingListener counts what its connections read.
type countingListener struct {
	net.Listener
	received *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.received}, nil
}

type countingConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// sessionMemory returns the memory of one end of n sessions: both ends run
// here, and share it evenly.
func sessionMemory(n int) (float64, error) {
	center, err := newHub(balancerRecord(Letter1(), 0))
	if err != nil {
		return 0, err
	}
	defer center.Close()
	var peers []*hub
	defer func() {
		for _, p := range peers {
			_ = p.Close()
		}
	}()
	for i := range n {
		peer, err := newHub(balancerRecord(Letter1(), i+1))
		if err != nil {
			return 0, err
		}
		peers = append(peers, peer)
	}
	both, err := growth(func() (any, error) {
		for _, p := range peers {
			if err := p.connect(center); err != nil {
				return nil, err
			}
		}
		return center, nil
	})
	return both / 2, err
}
