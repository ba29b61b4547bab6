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

// flowListener reports the flows of accepted connections.
type flowListener struct {
	*quic.Listener
	flows *flowCounter
}

// Accept returns the next connection whose handshake is complete.
func (l *flowListener) Accept(ctx context.Context) (*quic.Conn, error) {
	conn, err := l.Listener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	flow := l.flows.key(conn.RemoteAddr())
	l.flows.opened(flow, conn)
	context.AfterFunc(conn.Context(), func() { l.flows.closed(flow, conn) })
	return conn, nil
}

// flowCounter knows the connections by flow: a caller that connects again from
// the same address opens a second connection of one flow.
type flowCounter struct {
	events  EventSink
	service model.ServiceID

	mu       sync.Mutex
	open     map[model.FlowKey][]*quic.Conn
	reserved int // connections, those in handshake included
}

func (c *flowCounter) reserve(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserved >= limit {
		return false
	}
	c.reserved++
	return true
}

func (c *flowCounter) unreserve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved--
}

// opened and closed submit under the lock, so that the events of one flow
// keep their order.
func (c *flowCounter) opened(flow model.FlowKey, conn *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[flow] = append(c.open[flow], conn)
	if len(c.open[flow]) == 1 {
		c.events.Submit(core.FlowEstablished{Flow: flow})
	}
}

func (c *flowCounter) closed(flow model.FlowKey, conn *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[flow] = slices.DeleteFunc(c.open[flow], func(o *quic.Conn) bool { return o == conn })
	if len(c.open[flow]) == 0 {
		delete(c.open, flow)
		c.events.Submit(core.FlowClosed{Flow: flow})
	}
}

// connections returns the open connections of a flow.
func (c *flowCounter) connections(flow model.FlowKey) []*quic.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.open[flow])
}

// CloseFlow ends the connections of a flow at once and tells their caller why.
func (f *Front) CloseFlow(flow model.FlowKey, reason string) {
	for _, conn := range f.flows.connections(flow) {
		go func() { _ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason) }()
	}
}

func (c *flowCounter) key(addr net.Addr) model.FlowKey {
	var caller netip.AddrPort
	if udp, ok := addr.(*net.UDPAddr); ok {
		ap := udp.AddrPort()
		caller = netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	}
	return model.FlowKey{Caller: caller, Service: c.service}
}

type flowContextKey struct{}

// connContext keeps the flow of a connection for its requests, because the
// remote address may change when a caller migrates.
func (c *flowCounter) connContext(ctx context.Context, conn *quic.Conn) context.Context {
	return context.WithValue(ctx, flowContextKey{}, c.key(conn.RemoteAddr()))
}

func flowOf(ctx context.Context) model.FlowKey {
	flow, _ := ctx.Value(flowContextKey{}).(model.FlowKey)
	return flow
}
