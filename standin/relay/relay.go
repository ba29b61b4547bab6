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
	// dialTimeout bounds a dial to the upstream.
	dialTimeout = 5 * time.Second
	// bufferSize is the copy buffer of one direction, in bytes.
	bufferSize = 32 << 10
)

// Relay forwards TCP connections to one upstream address.
type Relay struct {
	upstream string
	log      log.Logger
	listener net.Listener
	workers  sync.WaitGroup

	mu sync.Mutex
	// flowing is closed while bytes may flow, and open during the fault Stalled.
	flowing chan struct{}
	fault   Fault
	closed  chan struct{}
	conns   map[net.Conn]struct{}
}

// Start listens and forwards connections. The caller must Close the relay.
func Start(listen, upstream string, logger log.Logger) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Relay{
		upstream: upstream, log: log.With(logger, "part", "relay"), listener: listener,
		flowing: make(chan struct{}), closed: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	close(r.flowing)
	r.workers.Go(r.accept)
	return r, nil
}

// Address returns the listening address.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close closes the listener and all connections, and waits until the relay has
// stopped.
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
			r.log.Log("msg", "accept failed", "err", err)
			continue
		}
		r.workers.Go(func() { r.serveConn(conn) })
	}
}

// serveConn forwards one connection. While bytes are stalled it delays the dial to the
// upstream.
func (r *Relay) serveConn(client net.Conn) {
	defer client.Close()
	if !r.track(client) || !r.awaitFlowing() {
		return
	}
	defer r.untrack(client)
	server, err := net.DialTimeout("tcp", r.upstream, dialTimeout)
	if err != nil {
		r.log.Log("msg", "upstream dial failed", "err", err)
		return
	}
	defer server.Close()
	if !r.track(server) {
		return
	}
	defer r.untrack(server)
	var directions sync.WaitGroup
	directions.Go(func() { r.copyDirection(server, client, DropToUpstream) })
	directions.Go(func() { r.copyDirection(client, server, DropFromUpstream) })
	directions.Wait()
}

// copyDirection copies one direction of a connection, subject to the current fault. From the
// first data that arrives during dropFault on, it discards everything.
func (r *Relay) copyDirection(dst, src net.Conn, dropFault Fault) {
	defer closeWrite(dst)
	buf := make([]byte, bufferSize)
	dropping := false
	for {
		n, readErr := src.Read(buf)
		if !r.awaitFlowing() {
			return
		}
		fault := r.currentFault()
		if fault == Slow {
			time.Sleep(slowDelay)
		}
		dropping = dropping || n > 0 && fault == dropFault
		if !dropping {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}

// awaitFlowing blocks while bytes are stalled. It reports false once the relay is closed.
func (r *Relay) awaitFlowing() bool {
	r.mu.Lock()
	flowing := r.flowing
	r.mu.Unlock()
	select {
	case <-flowing:
		return true
	case <-r.closed:
		return false
	}
}

// track registers a connection for Close and Reset. It reports false if the relay is
// closed, or if it has reset the connection under the fault Reset.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
		return false
	default:
	}
	if r.fault == Reset {
		resetConnection(conn)
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

// closeWrite closes the write side of a connection.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the peer may have closed the connection
	}
}
