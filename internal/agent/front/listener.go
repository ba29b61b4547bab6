package front

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// flowListener adds accepted connections to a flowTracker.
type flowListener struct {
	*quic.Listener
	flows *flowTracker
}

// Accept returns the next connection whose handshake is complete.
func (l *flowListener) Accept(ctx context.Context) (*quic.Conn, error) {
	conn, err := l.Listener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	flow := l.flows.flowKey(conn.RemoteAddr())
	l.flows.addConnection(flow, conn)
	context.AfterFunc(conn.Context(), func() { l.flows.removeConnection(flow, conn) })
	return conn, nil
}

// flowTracker tracks the connections of each flow. A caller that reconnects from
// the same address opens a second connection of the same flow.
type flowTracker struct {
	events  EventSink
	service model.ServiceID

	mu          sync.Mutex
	connsByFlow map[model.FlowKey][]*quic.Conn
	reserved    int  // number of connections, including those in handshake
	closing     bool // new connections are refused
	// served are the open connections that the server has begun to serve.
	served map[*quic.Conn]struct{}
}

func newFlowTracker(events EventSink, service model.ServiceID) flowTracker {
	return flowTracker{
		events: events, service: service,
		connsByFlow: make(map[model.FlowKey][]*quic.Conn), served: make(map[*quic.Conn]struct{}),
	}
}

// reserveConnection counts a connection whose handshake begins. It fails during a
// shutdown and above the limit.
func (t *flowTracker) reserveConnection(limit int) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return errClosing
	}
	if t.reserved >= limit {
		return errTooManyConnections
	}
	t.reserved++
	return nil
}

// refuseConnections makes further reservations fail.
func (t *flowTracker) refuseConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
}

// pendingHandshakes returns the number of connections that the server does not serve
// yet.
func (t *flowTracker) pendingHandshakes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.reserved-len(t.served))
}

// addServed records that the server serves the connection until it ends.
func (t *flowTracker) addServed(conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served[conn] = struct{}{}
	context.AfterFunc(conn.Context(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.served, conn)
	})
}

func (t *flowTracker) releaseConnection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reserved--
}

// addConnection and removeConnection submit events under the lock, so that the
// events of one flow keep their order.
func (t *flowTracker) addConnection(flow model.FlowKey, conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connsByFlow[flow] = append(t.connsByFlow[flow], conn)
	if len(t.connsByFlow[flow]) == 1 {
		t.events.Submit(core.FlowEstablished{Flow: flow})
	}
}

func (t *flowTracker) removeConnection(flow model.FlowKey, conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connsByFlow[flow] = slices.DeleteFunc(t.connsByFlow[flow], func(other *quic.Conn) bool { return other == conn })
	if len(t.connsByFlow[flow]) == 0 {
		delete(t.connsByFlow, flow)
		t.events.Submit(core.FlowClosed{Flow: flow})
	}
}

// connections returns the open connections of a flow.
func (t *flowTracker) connections(flow model.FlowKey) []*quic.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.connsByFlow[flow])
}

// CloseFlow closes the connections of a flow immediately. The caller receives the
// reason.
func (f *Front) CloseFlow(flow model.FlowKey, reason string) {
	for _, conn := range f.flows.connections(flow) {
		go func() { _ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason) }()
	}
}

func (t *flowTracker) flowKey(addr net.Addr) model.FlowKey {
	var caller netip.AddrPort
	if udp, ok := addr.(*net.UDPAddr); ok {
		ap := udp.AddrPort()
		caller = netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	}
	return model.FlowKey{Caller: caller, Service: t.service}
}

type flowContextKey struct{}

// connContext is called when the server begins to serve a connection. It stores the
// connection's flow in the context of its requests, because the remote address may
// change when a caller migrates.
func (t *flowTracker) connContext(ctx context.Context, conn *quic.Conn) context.Context {
	t.addServed(conn)
	return context.WithValue(ctx, flowContextKey{}, t.flowKey(conn.RemoteAddr()))
}

func flowFromContext(ctx context.Context) model.FlowKey {
	flow, _ := ctx.Value(flowContextKey{}).(model.FlowKey)
	return flow
}
