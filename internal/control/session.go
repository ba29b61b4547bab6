package control

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"amaranthwheel.example/amaranthwheel/internal/controlpb"
	"amaranthwheel.example/amaranthwheel/internal/core"
)

// streamKind is the first byte of every stream.
type streamKind byte

const (
	streamControl  streamKind = 1
	streamHandover streamKind = 2
)

// session is an authenticated connection with one peer.
type session struct {
	hub    *Hub
	peer   peerInfo
	dialer bool // this node opened the connection
	mux    *yamux.Session
	queue  chan core.Message
	// predecessor is the session with the same peer that this one replaces.
	predecessor *session
	ready       chan struct{} // closed once the control stream is open
	closed      chan struct{} // closed by close
	done        chan struct{} // closed when all goroutines have ended
	closeOnce   sync.Once
	closeErr    error
}

// newSession starts yamux on an authenticated connection.
func newSession(h *Hub, conn net.Conn, peer peerInfo, dialer bool) (*session, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = messageTimeout
	cfg.LogOutput = io.Discard
	open := yamux.Server
	if dialer {
		open = yamux.Client
	}
	mux, err := open(conn, cfg)
	if err != nil {
		return nil, fmt.Errorf("start yamux: %w", err)
	}
	return &session{
		hub:    h,
		peer:   peer,
		dialer: dialer,
		mux:    mux,
		queue:  make(chan core.Message, sendQueueLength),
		ready:  make(chan struct{}),
		closed: make(chan struct{}),
		done:   make(chan struct{}),
	}, nil
}

// close ends the session without waiting for its goroutines. The first
// cause wins.
func (s *session) close(cause error) {
	s.closeOnce.Do(func() {
		s.closeErr = cause
		close(s.closed)
		_ = s.mux.Close()
	})
}

// ended reports whether close has been called.
func (s *session) ended() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// run carries the session until it ends. It reports SessionOpened after the
// predecessor's SessionClosed.
func (s *session) run() {
	defer close(s.done)
	defer s.hub.remove(s)
	if s.predecessor != nil {
		<-s.predecessor.done
		s.predecessor = nil
	}
	stream, err := s.controlStream()
	if err != nil {
		s.close(err)
		s.hub.report(s)
		return
	}
	close(s.ready)
	s.hub.options.Emit(core.SessionOpened{Member: s.peer.member, Service: s.peer.service})
	var group sync.WaitGroup
	group.Go(func() { s.close(s.write(stream)) })
	group.Go(func() { s.close(s.acceptStreams()) })
	s.close(s.read(stream))
	group.Wait()
	s.hub.report(s)
	s.hub.options.Emit(core.SessionClosed{Peer: s.peer.member.Node})
}

// controlStream opens the first stream as dialer or accepts it.
func (s *session) controlStream() (net.Conn, error) {
	if s.dialer {
		return s.openStream(streamControl)
	}
	timer := time.AfterFunc(handshakeTimeout, func() { _ = s.mux.Close() })
	defer timer.Stop()
	stream, err := s.mux.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept control stream: %w", err)
	}
	return stream, expectKind(stream, streamControl)
}

// openHandover opens a hand-over stream once the control stream is open,
// which has to be the first.
func (s *session) openHandover(ctx context.Context) (net.Conn, error) {
	select {
	case <-s.ready:
		return s.openStream(streamHandover)
	case <-s.closed:
		return nil, s.closeErr
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// openStream opens a stream and names its kind.
func (s *session) openStream(kind streamKind) (net.Conn, error) {
	stream, err := s.mux.Open()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(messageTimeout))
	if _, err := stream.Write([]byte{byte(kind)}); err != nil {
		_ = stream.Close()
		return nil, fmt.Errorf("write stream kind: %w", err)
	}
	_ = stream.SetWriteDeadline(time.Time{})
	return stream, nil
}

func expectKind(stream net.Conn, want streamKind) error {
	_ = stream.SetReadDeadline(time.Now().Add(messageTimeout))
	var buf [1]byte
	if _, err := io.ReadFull(stream, buf[:]); err != nil {
		return fmt.Errorf("read stream kind: %w", err)
	}
	_ = stream.SetReadDeadline(time.Time{})
	if streamKind(buf[0]) != want {
		return &MalformedError{&InvalidFieldError{"stream kind", buf[0]}}
	}
	return nil
}

// read reports messages until the stream fails or a message is invalid. Idle
// time is bounded by yamux's keepalive, a message once begun by
// messageTimeout.
func (s *session) read(stream net.Conn) error {
	in := bufio.NewReader(stream)
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	for {
		_ = stream.SetReadDeadline(time.Time{})
		if _, err := in.Peek(1); err != nil {
			return err
		}
		_ = stream.SetReadDeadline(time.Now().Add(messageTimeout))
		m, size, err := readMessage(in, options)
		if err != nil {
			return err
		}
		s.hub.countReceived(size)
		s.hub.options.Emit(core.MessageReceived{From: s.peer.member.Node, Message: m})
	}
}

// readMessage reads one message and returns its encoded size in bytes.
func readMessage(in protodelim.Reader, options protodelim.UnmarshalOptions) (core.Message, int, error) {
	counted := &countingReader{Reader: in}
	var frame controlpb.Frame
	if err := options.UnmarshalFrom(counted, &frame); err != nil {
		return nil, 0, classifyReadError(err)
	}
	m, err := decodeFrame(&frame)
	if err != nil {
		return nil, 0, &MalformedError{err}
	}
	return m, counted.bytes, nil
}

// classifyReadError tells bytes that are no protobuf from a failed
// connection.
func classifyReadError(err error) error {
	var oversized *protodelim.SizeTooLargeError
	var network net.Error
	switch {
	case errors.As(err, &oversized), errors.As(err, &network):
		return err
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	case errors.Is(err, yamux.ErrSessionShutdown), errors.Is(err, yamux.ErrConnectionReset),
		errors.Is(err, yamux.ErrStreamClosed), errors.Is(err, yamux.ErrTimeout):
		return err
	}
	return &MalformedError{err}
}

type countingReader struct {
	protodelim.Reader
	bytes int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.bytes += n
	return n, err
}

func (c *countingReader) ReadByte() (byte, error) {
	b, err := c.Reader.ReadByte()
	if err == nil {
		c.bytes++
	}
	return b, err
}

// write sends queued messages until the session ends.
func (s *session) write(stream net.Conn) error {
	var buf bytes.Buffer
	for {
		select {
		case <-s.closed:
			return s.closeErr
		case m := <-s.queue:
			if err := s.writeMessage(stream, &buf, m); err != nil {
				return err
			}
		}
	}
}

func (s *session) writeMessage(stream net.Conn, buf *bytes.Buffer, m core.Message) error {
	frame, err := encodeFrame(m)
	if err != nil {
		return err
	}
	buf.Reset()
	if _, err := protodelim.MarshalTo(buf, frame); err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if buf.Len() > MaxMessageBytes {
		s.hub.dropOversized(s, m, buf.Len())
		return nil
	}
	_ = stream.SetWriteDeadline(time.Now().Add(messageTimeout))
	if _, err := stream.Write(buf.Bytes()); err != nil {
		return err
	}
	s.hub.countSent(buf.Len())
	return nil
}

// send queues a message. A peer whose queue is full is dropped.
func (s *session) send(m core.Message) {
	select {
	case s.queue <- m:
	default:
		s.close(ErrSlowPeer)
	}
}

// acceptStreams passes hand-over streams to the hub's listener.
func (s *session) acceptStreams() error {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		stream, err := s.mux.Accept()
		if err != nil {
			return err
		}
		group.Go(func() { s.acceptHandover(stream) })
	}
}

func (s *session) acceptHandover(stream net.Conn) {
	if err := expectKind(stream, streamHandover); err != nil {
		_ = stream.Close()
		return
	}
	s.hub.streams.offer(stream)
}

// MessageSize returns the encoded size of a message in bytes, with its length
// prefix but without the headers of yamux, TCP and IP. It returns an error
// for a message type that has no frame.
func MessageSize(m core.Message) (int, error) {
	frame, err := encodeFrame(m)
	if err != nil {
		return 0, err
	}
	size := proto.Size(frame)
	return protowire.SizeBytes(size), nil
}
