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
	reserved    int // number of connections, including those in handshake
}

func (t *flowTracker) reserveConnection(limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reserved >= limit {
		return false
	}
	t.reserved++
	return true
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

// connContext stores the flow of a connection in the context of its requests,
// because the remote address may change when a caller migrates.
func (t *flowTracker) connContext(ctx context.Context, conn *quic.Conn) context.Context {
	return context.WithValue(ctx, flowContextKey{}, t.flowKey(conn.RemoteAddr()))
}

func flowFromContext(ctx context.Context) model.FlowKey {
	flow, _ := ctx.Value(flowContextKey{}).(model.FlowKey)
	return flow
}
