package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"amaranthwheel.example/amaranthwheel/internal/agent/front"
	"amaranthwheel.example/amaranthwheel/internal/agent/relay"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// flowPollInterval is the interval at which a graceful shutdown checks for open
// flows.
const flowPollInterval = 100 * time.Millisecond

// target describes an accepted target.
type target struct {
	name           model.TargetName
	service        model.ServiceName
	address        netip.AddrPort
	maxConnections int
}

// localEndpoint terminates the agent's local flows. The node's loop calls all
// methods except shutdown.
type localEndpoint interface {
	// deliverDatagram passes on a caller's datagram. It reports false if the
	// datagram was dropped.
	deliverDatagram(flow model.FlowKey, payload []byte) bool
	// closeFlow closes a flow immediately.
	closeFlow(flow model.FlowKey, reason string)
	// deliverDecision passes on the node's decision about one request.
	deliverDecision(e core.RequestEffect)
	// setTarget sets the target's address and limits.
	setTarget(t target)
	// shutdown waits for open requests or flows until the context is done.
	shutdown(ctx context.Context) error
}

// handleAnnouncementChecked replies to an announcement. If the target is accepted,
// it opens or updates the local endpoint.
func (p *Process) handleAnnouncementChecked(b *core.Board, e core.AnnouncementChecked) {
	pending := b.Config.CompleteVersion(b.Self.Subscription) == 0
	p.announcements.deliverResult(announcementResult{pending: pending, findings: e.Findings})
	if pending || len(e.Findings) > 0 {
		return
	}
	self := &b.Self.Member
	t := target{name: self.Target, service: self.Service, address: p.announcements.targetAddress(), maxConnections: self.Connections}
	if p.local == nil {
		p.openEndpoint(b.Config.Current.Service(self.Service), t)
	}
	p.local.setTarget(t)
}

// openEndpoint opens the local endpoint for the first accepted target.
func (p *Process) openEndpoint(s *model.Service, t target) {
	_ = level.Info(p.logger).Log("msg", "Target accepted.",
		"target", t.name, "service", t.service, "address", t.address)
	if s.Mode == model.ModeFlow {
		p.local = p.openRelay(s, t)
		return
	}
	p.local = p.openFront(s)
}

// openResponseSocket returns the socket from which responses are sent: one bound
// to the service's address, or the data socket if the host lacks that address.
func (p *Process) openResponseSocket(s *model.Service) *net.UDPConn {
	conn, err := listenResponses(s.Address)
	if err != nil {
		_ = level.Warn(p.logger).Log("msg", "Responses are sent from the data address. Callers may drop them.", "err", err)
		return p.base.Data
	}
	context.AfterFunc(p.ctx, func() { _ = conn.Close() })
	return conn
}

// openFront opens the local endpoint of a service of mode request.
func (p *Process) openFront(s *model.Service) localEndpoint {
	conn := newCallerConn(p.openResponseSocket(s))
	f := front.New(front.Options{
		Events:      p,
		TLS:         p.tls,
		Service:     s.Name.ID(),
		OpenStream:  p.base.Hub.OpenStream,
		IdleTimeout: s.IdleTimeout,
	})
	go p.runServer("callers", func() error { return f.Serve(conn) })
	go p.runServer("hand-overs", func() error { return f.ServeHandOver(p.base.Hub.StreamListener()) })
	return &requestEndpoint{conn: conn, front: f}
}

// openRelay opens the local endpoint of a service of mode flow.
func (p *Process) openRelay(s *model.Service, t target) localEndpoint {
	responses := p.openResponseSocket(s)
	return &flowEndpoint{relay.New(relay.Options{
		Events: p,
		SendResponse: func(flow model.FlowKey, payload []byte) {
			_, _ = responses.WriteToUDPAddrPort(payload, flow.Caller)
		},
		MaxFlows:    t.maxConnections,
		IdleTimeout: s.IdleTimeout,
	})}
}

// runServer runs a server and logs its error unless it was shut down.
func (p *Process) runServer(name string, run func() error) {
	if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = level.Warn(p.logger).Log("msg", "Server failed.", "server", name, "err", err)
	}
}

// requestEndpoint is the local endpoint of services of mode request.
type requestEndpoint struct {
	conn  *callerConn
	front *front.Front
}

func (ep *requestEndpoint) deliverDatagram(flow model.FlowKey, payload []byte) bool {
	return ep.conn.enqueue(flow.Caller, payload)
}

func (ep *requestEndpoint) closeFlow(flow model.FlowKey, reason string) {
	ep.front.CloseFlow(flow, reason)
}

func (ep *requestEndpoint) deliverDecision(e core.RequestEffect) {
	ep.front.DeliverDecision(e)
}

func (ep *requestEndpoint) setTarget(t target) {
	ep.front.SetTarget(front.Target{Addr: t.address, Name: t.name, MaxConnections: t.maxConnections})
}

func (ep *requestEndpoint) shutdown(ctx context.Context) error {
	return errors.Join(ep.front.Shutdown(ctx), ep.conn.Close())
}

// flowEndpoint is the local endpoint of services of mode flow.
type flowEndpoint struct {
	relay *relay.Relay
}

func (ep *flowEndpoint) deliverDatagram(flow model.FlowKey, payload []byte) bool {
	return ep.relay.Deliver(flow, payload) == nil
}

func (ep *flowEndpoint) closeFlow(flow model.FlowKey, _ string) {
	ep.relay.CloseFlow(flow)
}

func (ep *flowEndpoint) deliverDecision(core.RequestEffect) {}

func (ep *flowEndpoint) setTarget(t target) {
	ep.relay.SetTarget(t.address)
}

// shutdown waits for the flows to close. Callers of opaque flows cannot be asked
// to reconnect elsewhere.
func (ep *flowEndpoint) shutdown(ctx context.Context) error {
	defer ep.relay.Close()
	for ep.relay.FlowCount() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(flowPollInterval):
		}
	}
	return nil
}
