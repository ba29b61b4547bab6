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
	// Self returns this node's current record, which every handshake carries.
	// It is called from any goroutine.
	Self func() model.Member
	// Cluster is the cluster's name. Peers of other clusters are refused.
	Cluster string
	// Secrets are the cluster's shared secrets. The first signs; all are
	// accepted. A hub without a secret opens no session.
	Secrets [][]byte
	// Service returns an agent's subscription, as in core.SelfSection, and is
	// empty for a balancer. It is called from any goroutine.
	Service func() model.ServiceName
	// Logger receives the hub's log, and carries its part.
	Logger log.Logger
	// Emit receives the hub's events. It is called from any goroutine and may
	// block, but not forever: Close waits for it.
	Emit func(core.Event)
}

// Hub holds this node's control sessions, at most one with each peer. Its
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

// dialCall is a dial in progress that several callers may wait for.
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
	if !h.track(ln) {
		_ = ln.Close()
		return ErrClosed
	}
	pending := make(chan struct{}, maxHandshakes)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if h.ctx.Err() != nil {
				return ErrClosed
			}
			return fmt.Errorf("accept control connection: %w", err)
		}
		select {
		case pending <- struct{}{}:
			h.start(func() { h.accept(conn, pending) }, conn)
		default:
			_ = conn.Close()
			h.count(&h.counters.FailedHandshakes, 1)
		}
	}
}

func (h *Hub) track(ln net.Listener) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.listeners[ln] = struct{}{}
	return true
}

// start runs f in a goroutine that Close waits for. After Close it closes
// the connection instead.
func (h *Hub) start(f func(), conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		_ = conn.Close()
		return
	}
	h.group.Go(f)
}

func (h *Hub) accept(conn net.Conn, pending chan struct{}) {
	stop := context.AfterFunc(h.ctx, func() { _ = conn.Close() })
	id := h.identity()
	peer, err := id.handshakeAsAcceptor(conn)
	stop()
	<-pending
	if err == nil {
		_, err = h.admit(conn, peer, false)
	}
	if err != nil {
		_ = conn.Close()
		h.reportHandshake(conn.RemoteAddr().String(), err)
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

// Dial opens a session to the address in the background. The outcome is the
// event SessionOpened or DialFailed.
func (h *Hub) Dial(addr netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	call := h.dialLocked(addr)
	h.group.Go(func() {
		<-call.done
		if call.err != nil {
			h.options.Emit(core.DialFailed{Addr: addr})
		}
	})
}

// dial starts a dial, or joins the one to the address in progress.
func (h *Hub) dial(addr netip.AddrPort) *dialCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dialLocked(addr)
}

// dialLocked is dial for callers that hold the hub's lock.
func (h *Hub) dialLocked(addr netip.AddrPort) *dialCall {
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
		_ = level.Debug(h.options.Logger).Log("msg", "dial failed", "addr", addr, "err", err)
		return nil, err
	}
	stop := context.AfterFunc(h.ctx, func() { _ = conn.Close() })
	id := h.identity()
	peer, err := id.handshakeAsDialer(conn)
	stop()
	var s *session
	if err == nil {
		s, err = h.admit(conn, peer, true)
	}
	if err != nil {
		_ = conn.Close()
		h.reportHandshake(addr.String(), err)
		return nil, err
	}
	return s, nil
}

// admit makes an authenticated connection the peer's session, unless the
// peer has a better one.
func (h *Hub) admit(conn net.Conn, peer peerInfo, dialer bool) (*session, error) {
	s, err := newSession(h, conn, peer, dialer)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		s.close(ErrClosed)
		return nil, ErrClosed
	}
	if held, ok := h.sessions[peer.member.Node]; ok {
		if !h.preferred(s, held) {
			s.close(ErrDuplicate)
			return nil, ErrDuplicate
		}
		held.close(ErrReplaced)
		s.predecessor = held
	}
	h.sessions[peer.member.Node] = s
	h.group.Go(s.run)
	return s, nil
}

// preferred reports whether a new session replaces the held one with the same
// peer. An ended session is always replaced. Otherwise it goes by the peer's incarnation, then the session that the lower NodeID has
// dialed, so that both sides of a simultaneous open keep the same one. Of two
// by the same dialer the newer one wins, because the dialer has given up the
// older.
func (h *Hub) preferred(s, held *session) bool {
	if held.ended() {
		return true
	}
	if s.peer.member.Incarnation != held.peer.member.Incarnation {
		return s.peer.member.Incarnation > held.peer.member.Incarnation
	}
	if s.dialer == held.dialer {
		return true
	}
	lowerIsSelf := h.options.Self().Node < s.peer.member.Node
	return s.dialer == lowerIsSelf
}

func (h *Hub) remove(s *session) {
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

// Send queues a message for a peer and never blocks. Without a session the
// message is dropped and counted.
func (h *Hub) Send(to model.NodeID, m core.Message) {
	s := h.session(to)
	if s == nil {
		h.count(&h.counters.DroppedMessages, 1)
		return
	}
	s.send(m)
}

// CloseSession ends the session with a peer, if there is one.
func (h *Hub) CloseSession(peer model.NodeID, reason string) {
	if s := h.session(peer); s != nil {
		s.close(&SessionClosedError{reason})
	}
}

// SessionClosedError is the cause of a session that this node ended.
type SessionClosedError struct{ Reason string }

// Error returns the reason of the hang-up.
func (e *SessionClosedError) Error() string { return "hung up: " + e.Reason }

// OpenStream opens a hand-over stream to a peer. Without a session it dials
// the address first, and returns an error if another node answers there.
func (h *Hub) OpenStream(ctx context.Context, peer model.NodeID, addr netip.AddrPort) (net.Conn, error) {
	if s := h.session(peer); s != nil {
		return s.openHandover(ctx)
	}
	call := h.dial(addr)
	select {
	case <-call.done:
	case <-ctx.Done():
		return nil, fmt.Errorf("open stream to %s: %w", peer, ctx.Err())
	}
	// A dial that lost to a simultaneous one leaves a session all the same.
	s := h.session(peer)
	if s == nil {
		return nil, fmt.Errorf("open stream to %s: %w", peer, errors.Join(call.err, ErrNoSession))
	}
	return s.openHandover(ctx)
}

// ErrNoSession reports that there is no session with the peer.
var ErrNoSession = errors.New("no control session with the peer")

// StreamListener returns the listener of hand-over streams that peers open.
func (h *Hub) StreamListener() net.Listener { return h.streams }

// Close closes every listener, session and stream and waits until all
// goroutines have ended.
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

// reportHandshake logs and counts a failed handshake. Two nodes that dial each
// other at once end one of two sessions, which is no failure.
func (h *Hub) reportHandshake(remote string, err error) {
	if errors.Is(err, ErrDuplicate) {
		_ = level.Debug(h.options.Logger).Log("msg", "Peer has a session already.", "remote", remote)
		return
	}
	h.count(&h.counters.FailedHandshakes, 1)
	h.countError(err)
	_ = level.Warn(h.options.Logger).Log("msg", "Control handshake failed.", "remote", remote, "err", err)
}

// report logs and counts the end of a session.
func (h *Hub) report(s *session) {
	<-s.closed
	h.countError(s.closeErr)
	_ = level.Info(h.options.Logger).Log("msg", "Control session closed.", "peer", s.peer.member.Node, "err", s.closeErr)
}

func (h *Hub) dropOversized(s *session, m core.Message, bytes int) {
	h.count(&h.counters.DroppedMessages, 1)
	_ = level.Error(h.options.Logger).Log("msg", "Message above the size limit dropped.",
		"peer", s.peer.member.Node, "type", fmt.Sprintf("%T", m), "bytes", bytes)
}
