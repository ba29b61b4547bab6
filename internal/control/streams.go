package control

import (
	"net"
	"sync"
)

// streamListener hands accepted hand-over streams to their user.
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

// offer queues a stream, or closes it if nobody takes them.
func (l *streamListener) offer(stream net.Conn) {
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

// Accept waits for a hand-over stream. It returns net.ErrClosed once the
// listener is closed.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case stream := <-l.accepted:
		return stream, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *streamListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a fixed name, because streams come through control sessions.
func (l *streamListener) Addr() net.Addr { return handoverAddr{} }

type handoverAddr struct{}

func (handoverAddr) Network() string { return "control" }
func (handoverAddr) String() string  { return "handover" }
