package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Options configures a Hub.
type Options struct {
	// Self returns this node's current record, which is sent in every
	// handshake. It may be called from any goroutine.
	Self func() model.Member
	// Cluster is the cluster's name. Peers of other clusters are rejected.
	Cluster string
	// Secrets are the cluster's shared secrets. The first signs; all are
	// accepted. A hub without a secret opens no session.
	Secrets [][]byte
	// Service returns an agent's subscription, as in core.SelfSection, and an
	// empty name on a balancer. It may be called from any goroutine.
	Service func() model.ServiceName
	// Logger receives the hub's log lines and already carries their part.
	Logger log.Logger
	// Emit receives the hub's events. It may be called from any goroutine and
	// may block, but not indefinitely, because Close waits for it.
	Emit func(core.Event)
}

// Hub manages this node's control sessions, at most one with each peer. Its
// methods are safe for concurrent use.
type Hub struct {
	options Options
	streams *streamListener
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	sessions  map[model.NodeID]*session
	dials     map[netip.AddrPort]*dialCall
	listeners map[net.Listener]struct{}

	countersMu sync.Mutex
	counters   Counters
}

// dialCall is a dial in progress, which several callers may wait for.
type dialCall struct {
	done    chan struct{}
	session *session
	err     error
}

// NewHub returns a hub without sessions.
func NewHub(o Options) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	return &Hub{
		options:   o,
		streams:   newStreamListener(),
		ctx:       ctx,
		cancel:    cancel,
		sessions:  make(map[model.NodeID]*session),
		dials:     make(map[netip.AddrPort]*dialCall),
		listeners: make(map[net.Listener]struct{}),
	}
}

// Serve accepts sessions until the listener or the hub is closed. It returns
// ErrClosed after Close, and otherwise the listener's error.
func (h *Hub) Serve(ln net.Listener) error {
	if !h.addListener(ln) {
		_ = ln.Close()
		return ErrClosed
	}
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if h.ctx.Err() != nil {
				return ErrClosed
			}
			return fmt.Errorf("accept control connection: %w", err)
		}
		select {
		case handshakes <- struct{}{}:
			h.startHandler(func() { h.handleConn(conn, handshakes) }, conn)
		default:
			_ = conn.Close()
			h.addCount(&h.counters.FailedHandshakes, 1)
		}
	}
}

func (h *Hub) addListener(ln net.Listener) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.listeners[ln] = struct{}{}
	return true
}

// startHandler runs f in a goroutine that Close waits for. Once the hub is
// closed, it closes the connection instead.
func (h *Hub) startHandler(f func(), conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		_ = conn.Close()
		return
	}
	h.group.Go(f)
}

func (h *Hub) handleConn(conn net.Conn, handshakes chan struct{}) {
	stop := context.AfterFunc(h.ctx, func() { _ = conn.Close() })
	id := h.identity()
	peer, err := id.handshakeAsAcceptor(conn)
	stop()
	<-handshakes
	if err == nil {
		_, err = h.addSession(conn, peer, false)
	}
	if err != nil {
		_ = conn.Close()
		h.reportHandshakeError(conn.RemoteAddr().String(), err)
	}
}

func (h *Hub) identity() *identity {
	return &identity{
		cluster: h.options.Cluster,
		secrets: h.options.Secrets,
		member:  h.options.Self(),
		service: h.options.Service(),
	}
}

// Dial opens a session to the address in the background. The result is
// reported by the event SessionOpened or DialFailed.
func (h *Hub) Dial(addr netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	call := h.startDialLocked(addr)
	h.group.Go(func() {
		<-call.done
		if call.err != nil {
			h.options.Emit(core.DialFailed{Addr: addr})
		}
	})
}

// startDial starts a dial to the address, or returns the one in progress.
func (h *Hub) startDial(addr netip.AddrPort) *dialCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startDialLocked(addr)
}

// startDialLocked is startDial for callers that hold the hub's lock.
func (h *Hub) startDialLocked(addr netip.AddrPort) *dialCall {
	if call, ok := h.dials[addr]; ok {
		return call
	}
	call := &dialCall{done: make(chan struct{})}
	if h.closed {
		call.err = ErrClosed
		close(call.done)
		return call
	}
	h.dials[addr] = call
	h.group.Go(func() {
		call.session, call.err = h.connect(addr)
		h.mu.Lock()
		delete(h.dials, addr)
		h.mu.Unlock()
		close(call.done)
	})
	return call
}

func (h *Hub) connect(addr netip.AddrPort) (*session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(h.ctx, "tcp", addr.String())
	if err != nil {
		_ = level.Debug(h.options.Logger).Log("msg", "Dial failed.", "addr", addr, "err", err)
		return nil, err
	}
	stop := context.AfterFunc(h.ctx, func() { _ = conn.Close() })
	id := h.identity()
	peer, err := id.handshakeAsDialer(conn)
	stop()
	var s *session
	if err == nil {
		s, err = h.addSession(conn, peer, true)
	}
	if err != nil {
		_ = conn.Close()
		h.reportHandshakeError(addr.String(), err)
		return nil, err
	}
	return s, nil
}

// addSession makes an authenticated connection the peer's session, unless the
// peer has a preferred one.
func (h *Hub) addSession(conn net.Conn, peer peerInfo, isDialer bool) (*session, error) {
	s, err := newSession(h, conn, peer, isDialer)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		s.close(ErrClosed)
		return nil, ErrClosed
	}
	if current, ok := h.sessions[peer.member.Node]; ok {
		if !h.isPreferred(s, current) {
			s.close(ErrDuplicate)
			return nil, ErrDuplicate
		}
		current.close(ErrReplaced)
		s.predecessor = current
	}
	h.sessions[peer.member.Node] = s
	h.group.Go(s.run)
	return s, nil
}

// isPreferred reports whether a new session replaces the current one with the
// same peer. A closed session is always replaced. Otherwise the session with the
// peer's higher incarnation wins, then the session dialed by the lower NodeID, so
// that both sides of a simultaneous open keep the same one. Of two sessions by
// the same dialer the newer one wins, because the dialer has abandoned the older.
func (h *Hub) isPreferred(s, current *session) bool {
	if current.isClosed() {
		return true
	}
	if s.peer.member.Incarnation != current.peer.member.Incarnation {
		return s.peer.member.Incarnation > current.peer.member.Incarnation
	}
	if s.isDialer == current.isDialer {
		return true
	}
	selfIsLower := h.options.Self().Node < s.peer.member.Node
	return s.isDialer == selfIsLower
}

func (h *Hub) removeSession(s *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sessions[s.peer.member.Node] == s {
		delete(h.sessions, s.peer.member.Node)
	}
}

func (h *Hub) session(peer model.NodeID) *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sessions[peer]
}

// Send queues a message for a peer without blocking. If there is no session
// with the peer, the message is dropped and counted.
func (h *Hub) Send(to model.NodeID, m core.Message) {
	s := h.session(to)
	if s == nil {
		h.addCount(&h.counters.DroppedMessages, 1)
		return
	}
	s.enqueue(m)
}

// CloseSession closes the session with a peer, if there is one.
func (h *Hub) CloseSession(peer model.NodeID, reason string) {
	if s := h.session(peer); s != nil {
		s.close(&SessionClosedError{reason})
	}
}

// SessionClosedError is the recorded cause when CloseSession closes a session.
type SessionClosedError struct{ Reason string }

// Error implements error.
func (e *SessionClosedError) Error() string { return "closed by this node: " + e.Reason }

// OpenStream opens a hand-over stream to a peer. If there is no session, it
// dials the address first, and returns an error if another node accepts there.
func (h *Hub) OpenStream(ctx context.Context, peer model.NodeID, addr netip.AddrPort) (net.Conn, error) {
	if s := h.session(peer); s != nil {
		return s.openHandover(ctx)
	}
	call := h.startDial(addr)
	select {
	case <-call.done:
	case <-ctx.Done():
		return nil, fmt.Errorf("open stream to %s: %w", peer, ctx.Err())
	}
	// A dial that lost to a simultaneous one still leaves a session.
	s := h.session(peer)
	if s == nil {
		return nil, fmt.Errorf("open stream to %s: %w", peer, errors.Join(call.err, ErrNoSession))
	}
	return s.openHandover(ctx)
}

// ErrNoSession reports that there is no session with the peer.
var ErrNoSession = errors.New("no control session with the peer")

// StreamListener returns the listener that accepts the hand-over streams opened
// by peers.
func (h *Hub) StreamListener() net.Listener { return h.streams }

// Close closes all listeners, sessions and streams and waits for all goroutines
// to finish.
func (h *Hub) Close() error {
	h.mu.Lock()
	h.closed = true
	for ln := range h.listeners {
		_ = ln.Close()
	}
	for _, s := range h.sessions {
		s.close(ErrClosed)
	}
	h.mu.Unlock()
	h.cancel()
	_ = h.streams.Close()
	h.group.Wait()
	return nil
}

func (h *Hub) countReceived(bytes int) {
	h.countersMu.Lock()
	defer h.countersMu.Unlock()
	h.counters.MessagesReceived++
	h.counters.BytesReceived += uint64(bytes)
}

func (h *Hub) countSent(bytes int) {
	h.countersMu.Lock()
	defer h.countersMu.Unlock()
	h.counters.MessagesSent++
	h.counters.BytesSent += uint64(bytes)
}

// reportHandshakeError logs and counts a failed handshake. A duplicate session is
// no failure: two nodes that dial each other at once close one of two sessions.
func (h *Hub) reportHandshakeError(remote string, err error) {
	if errors.Is(err, ErrDuplicate) {
		_ = level.Debug(h.options.Logger).Log("msg", "Peer already has a session.", "remote", remote)
		return
	}
	h.addCount(&h.counters.FailedHandshakes, 1)
	h.countError(err)
	_ = level.Warn(h.options.Logger).Log("msg", "Control handshake failed.", "remote", remote, "err", err)
}

// reportClosed logs and counts a closed session.
func (h *Hub) reportClosed(s *session) {
	<-s.closed
	h.countError(s.closeErr)
	_ = level.Info(h.options.Logger).Log("msg", "Control session closed.", "peer", s.peer.member.Node, "err", s.closeErr)
}

func (h *Hub) reportOversized(s *session, m core.Message, bytes int) {
	h.addCount(&h.counters.DroppedMessages, 1)
	_ = level.Error(h.options.Logger).Log("msg", "Dropped a message above the size limit.",
		"peer", s.peer.member.Node, "type", fmt.Sprintf("%T", m), "bytes", bytes)
}
