package relay

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// dialTimeout bounds connecting to the other side.
	dialTimeout = 5 * time.Second
	// bufferSize is the size of the buffer of one direction, in bytes.
	bufferSize = 32 << 10
)

// Relay passes TCP connections on to one address.
type Relay struct {
	to       string
	log      log.Logger
	listener net.Listener
	workers  sync.WaitGroup

	mu sync.Mutex
	// gate is closed while bytes may pass.
	gate   chan struct{}
	fault  Fault
	closed chan struct{}
	conns  map[net.Conn]struct{}
}

// Start listens and passes connections on. The caller must Close the relay.
func Start(listen, to string, logger log.Logger) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Relay{
		to: to, log: log.With(logger, "part", "relay"), listener: listener,
		gate: make(chan struct{}), closed: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	close(r.gate)
	r.workers.Go(r.accept)
	return r, nil
}

// Address returns the bound address.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	close(r.closed)
	r.listener.Close()
	for conn := range r.conns {
		conn.Close()
	}
	r.mu.Unlock()
	r.workers.Wait()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.log.Log("msg", "connection not accepted", "err", err)
			continue
		}
		r.workers.Go(func() { r.carry(conn) })
	}
}

// carry passes one connection on, from the time that bytes may pass.
func (r *Relay) carry(near net.Conn) {
	defer near.Close()
	if !r.track(near) || !r.wait() {
		return
	}
	defer r.untrack(near)
	far, err := net.DialTimeout("tcp", r.to, dialTimeout)
	if err != nil {
		r.log.Log("msg", "other side not reached", "err", err)
		return
	}
	defer far.Close()
	if !r.track(far) {
		return
	}
	defer r.untrack(far)
	var directions sync.WaitGroup
	directions.Go(func() { r.pass(far, near, LostTo) })
	directions.Go(func() { r.pass(near, far, LostFrom) })
	directions.Wait()
}

// pass copies one direction while no byte is held back. What is sent during the
// lossy fault is lost, with all after it.
func (r *Relay) pass(to, from net.Conn, lossy Fault) {
	defer closeWrite(to)
	buf := make([]byte, bufferSize)
	broken := false
	for {
		n, readErr := from.Read(buf)
		if !r.wait() {
			return
		}
		fault := r.current()
		if fault == Slow {
			time.Sleep(slowBy)
		}
		broken = broken || n > 0 && fault == lossy
		if !broken {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}

// wait waits until bytes may pass. It reports false once the relay is closed.
func (r *Relay) wait() bool {
	r.mu.Lock()
	gate := r.gate
	r.mu.Unlock()
	select {
	case <-gate:
		return true
	case <-r.closed:
		return false
	}
}

// track remembers a connection for Close. It reports false once the relay is
// closed, or if the connection is to be reset.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
		return false
	default:
	}
	if r.fault == Reset {
		reset(conn)
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relay) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// closeWrite ends one direction of a connection.
func closeWrite(conn net.Conn) {
	if half, ok := conn.(*net.TCPConn); ok {
		_ = half.CloseWrite() // the other side went away
	}
}
