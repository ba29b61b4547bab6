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

// flowPoll is how often a planned stop looks for flows that are left.
const flowPoll = 100 * time.Millisecond

// target is an accepted target.
type target struct {
	name        model.TargetName
	service     model.ServiceName
	address     netip.AddrPort
	connections int
}

// localEnd is where the flows that an agent holds end. The node's loop calls
// all methods but shutdown.
type localEnd interface {
	// deliver passes on a caller's datagram. It reports whether there was room.
	deliver(flow model.FlowKey, payload []byte) bool
	// closeFlow ends a flow at once.
	closeFlow(flow model.FlowKey, reason string)
	// verdict passes on a decision about one request.
	verdict(e core.RequestEffect)
	// retarget changes the target's address or limits.
	retarget(a target)
	// shutdown lets requests finish until the context ends.
	shutdown(ctx context.Context) error
}

// announced answers an announcement and opens or updates the local end.
func (p *Process) announced(b *core.Board, e core.AnnouncementChecked) {
	pending := b.Config.CompleteVersion(b.Self.Subscription) == 0
	p.announcer.answer(verdict{pending: pending, findings: e.Findings})
	if pending || len(e.Findings) > 0 {
		return
	}
	self := &b.Self.Member
	a := target{name: self.Target, service: self.Service, address: p.announcer.address(), connections: self.Connections}
	if p.local == nil {
		p.openLocal(b.Config.Current.Service(self.Service), a)
	}
	p.local.retarget(a)
}

// openLocal opens the local end for the first target that is accepted.
func (p *Process) openLocal(s *model.Service, a target) {
	_ = level.Info(p.logger).Log("msg", "Target accepted.",
		"target", a.name, "service", a.service, "address", a.address)
	if s.Mode == model.ModeFlow {
		p.local = p.openRelay(s, a)
		return
	}
	p.local = p.openFront(s)
}

// answerSocket returns the socket that answers leave from: one on the service's
// address, or the data socket where the host does not have that address.
func (p *Process) answerSocket(s *model.Service) *net.UDPConn {
	conn, err := listenAnswers(s.Address)
	if err != nil {
		_ = level.Warn(p.logger).Log("msg", "Answers leave from the data address. Callers may drop them.", "err", err)
		return p.base.Data
	}
	context.AfterFunc(p.ctx, func() { _ = conn.Close() })
	return conn
}

// openFront opens the local end of a service of mode request.
func (p *Process) openFront(s *model.Service) localEnd {
	conn := newCallerConn(p.answerSocket(s))
	f := front.New(front.Options{
		Events:      p,
		TLS:         p.tls,
		Service:     s.Name.ID(),
		OpenStream:  p.base.Hub.OpenStream,
		IdleTimeout: s.IdleTimeout,
	})
	go p.serve("callers", func() error { return f.Serve(conn) })
	go p.serve("hand-overs", func() error { return f.ServeHandOver(p.base.Hub.Streams()) })
	return &requestEnd{conn: conn, front: f}
}

// openRelay opens the local end of a service of mode flow.
func (p *Process) openRelay(s *model.Service, a target) localEnd {
	answers := p.answerSocket(s)
	return &flowEnd{relay.New(relay.Options{
		Events: p,
		SendResponse: func(flow model.FlowKey, payload []byte) {
			_, _ = answers.WriteToUDPAddrPort(payload, flow.Caller)
		},
		MaxFlows:    a.connections,
		IdleTimeout: s.IdleTimeout,
	})}
}

// serve logs the end of a server unless it was shut down.
func (p *Process) serve(what string, run func() error) {
	if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = level.Warn(p.logger).Log("msg", "Server ended.", "server", what, "err", err)
	}
}

// requestEnd is the local end of services of mode request.
type requestEnd struct {
	conn  *callerConn
	front *front.Front
}

func (r *requestEnd) deliver(flow model.FlowKey, payload []byte) bool {
	return r.conn.deliver(flow.Caller, payload)
}

func (r *requestEnd) closeFlow(flow model.FlowKey, reason string) {
	r.front.CloseFlow(flow, reason)
}

func (r *requestEnd) verdict(e core.RequestEffect) {
	r.front.DeliverDecision(e)
}

func (r *requestEnd) retarget(a target) {
	r.front.SetTarget(front.Target{Addr: a.address, Name: a.name, MaxConnections: a.connections})
}

func (r *requestEnd) shutdown(ctx context.Context) error {
	return errors.Join(r.front.Shutdown(ctx), r.conn.Close())
}

// flowEnd is the local end of services of mode flow.
type flowEnd struct {
	relay *relay.Relay
}

func (r *flowEnd) deliver(flow model.FlowKey, payload []byte) bool {
	return r.relay.Deliver(flow, payload) == nil
}

func (r *flowEnd) closeFlow(flow model.FlowKey, _ string) {
	r.relay.CloseFlow(flow)
}

func (r *flowEnd) verdict(core.RequestEffect) {}

func (r *flowEnd) retarget(a target) {
	r.relay.SetTarget(a.address)
}

// shutdown waits for the flows to end: opaque flows cannot be told to move.
func (r *flowEnd) shutdown(ctx context.Context) error {
	defer r.relay.Close()
	for r.relay.FlowCount() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(flowPoll):
		}
	}
	return nil
}
