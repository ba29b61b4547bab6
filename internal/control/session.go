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

// streamKind is the first byte sent on every stream.
type streamKind byte

const (
	streamControl  streamKind = 1
	streamHandover streamKind = 2
)

// session is an authenticated connection with one peer.
type session struct {
	hub       *Hub
	peer      peerInfo
	isDialer  bool // this node opened the connection
	mux       *yamux.Session
	sendQueue chan core.Message
	// predecessor is the session with the same peer that this one replaces.
	predecessor *session
	ready       chan struct{} // closed once the control stream is open
	closed      chan struct{} // closed by close
	done        chan struct{} // closed once all goroutines have finished
	closeOnce   sync.Once
	closeErr    error
}

// newSession starts a yamux session on an authenticated connection.
func newSession(h *Hub, conn net.Conn, peer peerInfo, isDialer bool) (*session, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = messageTimeout
	cfg.LogOutput = io.Discard
	open := yamux.Server
	if isDialer {
		open = yamux.Client
	}
	mux, err := open(conn, cfg)
	if err != nil {
		return nil, fmt.Errorf("start yamux: %w", err)
	}
	return &session{
		hub:       h,
		peer:      peer,
		isDialer:  isDialer,
		mux:       mux,
		sendQueue: make(chan core.Message, sendQueueLength),
		ready:     make(chan struct{}),
		closed:    make(chan struct{}),
		done:      make(chan struct{}),
	}, nil
}

// close closes the session without waiting for its goroutines. Only the first
// call has an effect; its cause is recorded.
func (s *session) close(cause error) {
	s.closeOnce.Do(func() {
		s.closeErr = cause
		close(s.closed)
		_ = s.mux.Close()
	})
}

// isClosed reports whether close has been called.
func (s *session) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// run serves the session until it is closed. It emits SessionOpened only after
// the predecessor's SessionClosed.
func (s *session) run() {
	defer close(s.done)
	defer s.hub.removeSession(s)
	if s.predecessor != nil {
		<-s.predecessor.done
		s.predecessor = nil
	}
	stream, err := s.establishControlStream()
	if err != nil {
		s.close(err)
		s.hub.reportClosed(s)
		return
	}
	close(s.ready)
	s.hub.options.Emit(core.SessionOpened{Member: s.peer.member, Service: s.peer.service})
	var group sync.WaitGroup
	group.Go(func() { s.close(s.writeLoop(stream)) })
	group.Go(func() { s.close(s.acceptStreams()) })
	s.close(s.readLoop(stream))
	group.Wait()
	s.hub.reportClosed(s)
	s.hub.options.Emit(core.SessionClosed{Peer: s.peer.member.Node})
}

// establishControlStream opens the first stream if this node is the dialer, and
// accepts it otherwise.
func (s *session) establishControlStream() (net.Conn, error) {
	if s.isDialer {
		return s.openStream(streamControl)
	}
	timer := time.AfterFunc(handshakeTimeout, func() { _ = s.mux.Close() })
	defer timer.Stop()
	stream, err := s.mux.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept control stream: %w", err)
	}
	return stream, checkStreamKind(stream, streamControl)
}

// openHandover opens a hand-over stream. It waits until the control stream is
// open, which must be the first.
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

// openStream opens a stream and sends its kind.
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

func checkStreamKind(stream net.Conn, want streamKind) error {
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

// readLoop emits received messages until the stream fails or a message is
// invalid. An idle stream is monitored by yamux's keepalive; a message that has
// begun is limited by messageTimeout.
func (s *session) readLoop(stream net.Conn) error {
	reader := bufio.NewReader(stream)
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	for {
		_ = stream.SetReadDeadline(time.Time{})
		if _, err := reader.Peek(1); err != nil {
			return err
		}
		_ = stream.SetReadDeadline(time.Now().Add(messageTimeout))
		m, size, err := readMessage(reader, options)
		if err != nil {
			return err
		}
		s.hub.countReceived(size)
		s.hub.options.Emit(core.MessageReceived{From: s.peer.member.Node, Message: m})
	}
}

// readMessage reads one message and returns its encoded size in bytes.
func readMessage(reader protodelim.Reader, options protodelim.UnmarshalOptions) (core.Message, int, error) {
	counter := &countingReader{Reader: reader}
	var frame controlpb.Frame
	if err := options.UnmarshalFrom(counter, &frame); err != nil {
		return nil, 0, classifyReadError(err)
	}
	m, err := decodeFrame(&frame)
	if err != nil {
		return nil, 0, &MalformedError{err}
	}
	return m, counter.bytes, nil
}

// classifyReadError returns errors of the connection and the size limit as they
// are and any other error, which comes from invalid protobuf, as a
// MalformedError.
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

// writeLoop sends queued messages until the session is closed.
func (s *session) writeLoop(stream net.Conn) error {
	var buf bytes.Buffer
	for {
		select {
		case <-s.closed:
			return s.closeErr
		case m := <-s.sendQueue:
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
		s.hub.reportOversized(s, m, buf.Len())
		return nil
	}
	_ = stream.SetWriteDeadline(time.Now().Add(messageTimeout))
	if _, err := stream.Write(buf.Bytes()); err != nil {
		return err
	}
	s.hub.countSent(buf.Len())
	return nil
}

// enqueue queues a message for sending. If the queue is full, it closes the
// session.
func (s *session) enqueue(m core.Message) {
	select {
	case s.sendQueue <- m:
	default:
		s.close(ErrSlowPeer)
	}
}

// acceptStreams passes incoming hand-over streams to the hub's listener until
// the session is closed.
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
	if err := checkStreamKind(stream, streamHandover); err != nil {
		_ = stream.Close()
		return
	}
	s.hub.streams.enqueue(stream)
}

// MessageSize returns the encoded size of a message in bytes, including its
// length prefix but not the headers of yamux, TCP and IP. It returns an error
// for a message type that has no frame.
func MessageSize(m core.Message) (int, error) {
	frame, err := encodeFrame(m)
	if err != nil {
		return 0, err
	}
	size := proto.Size(frame)
	return protowire.SizeBytes(size), nil
}
