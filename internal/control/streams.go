package control

import (
	"net"
	"sync"
)

// streamListener is a net.Listener that accepts the hand-over streams of all
// sessions.
type streamListener struct {
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newStreamListener() *streamListener {
	return &streamListener{
		accepted: make(chan net.Conn, handoverBacklog),
		closed:   make(chan struct{}),
	}
}

// enqueue queues a stream for Accept. It closes the stream if the listener is
// closed or its backlog is full.
func (l *streamListener) enqueue(stream net.Conn) {
	select {
	case <-l.closed:
		_ = stream.Close()
		return
	default:
	}
	select {
	case l.accepted <- stream:
	default:
		_ = stream.Close()
	}
}

// Accept returns the next hand-over stream, or net.ErrClosed once the listener
// is closed.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case stream := <-l.accepted:
		return stream, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and makes pending calls of Accept return.
func (l *streamListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a fixed address, because streams arrive over control sessions.
func (l *streamListener) Addr() net.Addr { return handoverAddr{} }

type handoverAddr struct{}

func (handoverAddr) Network() string { return "control" }
func (handoverAddr) String() string  { return "handover" }
