package caller

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// initialPacketSize is the size of QUIC packets, in bytes. Callers do not
// search for a larger one.
const initialPacketSize = 1200

// session is one QUIC connection with its own socket: one flow.
type session struct {
	caller    *Caller
	flow      string
	socket    *fabricConn
	transport *quic.Transport
	conn      *quic.Conn
	http      *http3.ClientConn
	// closing is set before the caller closes the connection itself.
	closing atomic.Bool
	watched chan struct{}
}

// open opens a session. The handshake is bounded by the caller's timeout.
func (c *Caller) open(ctx context.Context, long bool) (*session, error) {
	number := c.flowNumber.Add(1)
	socket, err := c.fabric.listen(number)
	if err != nil {
		return nil, err
	}
	s := &session{
		caller: c, flow: c.flowID(number), socket: socket,
		transport: &quic.Transport{Conn: socket}, watched: make(chan struct{}),
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	s.conn, err = s.transport.Dial(ctx, socket.service, c.tls, c.quicConfig())
	if err != nil {
		s.transport.Close()
		socket.Close()
		return nil, fmt.Errorf("open flow %s: %w", s.flow, err)
	}
	s.http = c.http.NewClientConn(s.conn)
	c.recorder.openFlow(workload.Flow{
		ID: s.flow, Service: c.cfg.Service, Address: socket.LocalAddr().String(),
		LongLived: long, Opened: time.Now(),
	})
	go s.watch()
	return s, nil
}

func (c *Caller) quicConfig() *quic.Config {
	return &quic.Config{
		InitialPacketSize:       initialPacketSize,
		DisablePathMTUDiscovery: true,
		HandshakeIdleTimeout:    c.cfg.Timeout,
		MaxIdleTimeout:          c.cfg.IdleTimeout,
		KeepAlivePeriod:         c.cfg.KeepAlive,
	}
}

// watch records the end of the connection.
func (s *session) watch() {
	defer close(s.watched)
	ctx := s.conn.Context()
	<-ctx.Done()
	var end flowEnd
	if !s.closing.Load() {
		cause := context.Cause(ctx)
		end = flowEnd{cause: cause.Error(), goAway: closedOnGoAway(cause)}
	}
	s.caller.recorder.closeFlow(s.flow, end, time.Now())
}

// closedOnGoAway reports whether the HTTP/3 client has closed the connection
// by itself, which it does without an error only after a GOAWAY.
func closedOnGoAway(cause error) bool {
	var closed *quic.ApplicationError
	return errors.As(cause, &closed) && !closed.Remote &&
		closed.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError)
}

// alive reports whether the connection is open.
func (s *session) alive() bool { return s.conn.Context().Err() == nil }

// close ends the connection on the caller's behalf.
func (s *session) close() {
	if s.alive() {
		s.closing.Store(true)
		s.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
	<-s.watched
	s.transport.Close()
	s.socket.Close()
}

// refusedFlow reports whether the error refuses a flow, so that no request
// was sent on it.
func refusedFlow(err error) bool {
	var transport *quic.TransportError
	return errors.As(err, &transport) && transport.ErrorCode == quic.ConnectionRefused
}
