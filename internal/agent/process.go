// Package agent implements the daemon on a target's host: it handles announcements,
// receives and sends datagrams and performs the effects of its controllers.
package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/attribute"

	"amaranthwheel.example/amaranthwheel/internal/admin"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/admission"
	"amaranthwheel.example/amaranthwheel/internal/core/claims"
	"amaranthwheel.example/amaranthwheel/internal/core/configuration"
	"amaranthwheel.example/amaranthwheel/internal/core/directory"
	"amaranthwheel.example/amaranthwheel/internal/core/dissemination"
	"amaranthwheel.example/amaranthwheel/internal/core/lifecycle"
	"amaranthwheel.example/amaranthwheel/internal/core/membership"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/internal/process"
	"amaranthwheel.example/amaranthwheel/internal/settings"
)

// Part is the value of the log field "part" for this package.
const Part = "agent"

const (
	// announceHeaderTimeout bounds the reading of an announcement's header.
	announceHeaderTimeout = 5 * time.Second
	// leaveMargin is added to the stop timeout, so that the agent's departure
	// can reach its peers.
	leaveMargin = 2 * time.Second
)

// Process is a running agent.
type Process struct {
	settings      *settings.Agent
	base          *process.Base
	logger        log.Logger
	tls           *tls.Config
	directory     *directory.Controller
	announcements *announcementAPI
	receiver      *receiver
	sender        *sender
	// undelivered counts datagrams that the local endpoint could not accept.
	undelivered    atomic.Uint64
	local          localEndpoint // nil until a target is accepted
	announceServer *http.Server
	ctx            context.Context
	cancel         context.CancelFunc
	receiverDone   chan struct{} // closed when the receiver has returned
}

// NewProcess returns an agent that has not started.
func NewProcess(s *settings.Agent, base *process.Base) (*Process, error) {
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("load the TLS certificate for callers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{
		ctx:          ctx,
		cancel:       cancel,
		settings:     s,
		base:         base,
		logger:       base.Logs.ForPart(Part),
		tls:          &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13},
		directory:    directory.New(directory.Options{}),
		sender:       &sender{conn: base.Data, keys: base.Keys},
		receiverDone: make(chan struct{}),
	}
	p.announcements = &announcementAPI{post: func(ev core.Event) { base.Loop.Post(ev) }}
	p.receiver = &receiver{conn: base.Data, keys: base.Keys, tryPost: func(ev core.Event) bool { return base.Loop.TryPost(ev) }}
	return p, nil
}

// Start joins the cluster and serves announcements of targets.
func (p *Process) Start(metrics http.Handler) error {
	announceListener, err := net.Listen("tcp", p.settings.Announce.String())
	if err != nil {
		return fmt.Errorf("listen for announcements: %w", err)
	}
	self := p.base.Member(model.RoleAgent)
	claimController := claims.New()
	node := core.NewNode(core.NewBoard(self), self.Incarnation,
		lifecycle.New(lifecycle.Options{DrainTimeout: p.settings.StopTimeout}),
		membership.New(membership.Options{}),
		configuration.New(configuration.Options{}),
		routing.New(),
		claimController,
		admission.New(),
		claimController.Recorder(),
		p.directory,
		dissemination.New(dissemination.Options{Seeds: p.settings.Seeds}),
	)
	if err := p.base.Start(node, p.performEffect, admin.Handler(p.adminNode(metrics))); err != nil {
		_ = announceListener.Close()
		return err
	}
	p.announceServer = &http.Server{Handler: p.announcements.handler(), ReadHeaderTimeout: announceHeaderTimeout}
	go func() { _ = p.announceServer.Serve(announceListener) }()
	go func() {
		p.receiver.run()
		close(p.receiverDone)
	}()
	go p.countersByName().Report(p.ctx, p.base.Metrics)
	return nil
}

// countersByName returns the counters of the data socket by metric name.
func (p *Process) countersByName() process.Counters {
	return process.Counters{
		"datagram_rejected":      &p.receiver.rejected,
		"datagram_queue_full":    &p.receiver.dropped,
		"datagram_send_failed":   &p.sender.failed,
		"datagram_not_delivered": &p.undelivered,
	}
}

// Submit implements front.EventSink.
func (p *Process) Submit(ev core.Event) {
	if e, ok := ev.(core.FlowEstablished); ok && p.settings.TraceFile != "" {
		obs.RecordFlowSpan(obs.Tracer(Part), "flow established", e.Flow, attribute.String("holder", string(p.settings.Node)))
	}
	p.base.Loop.Post(ev)
}

// performEffect performs the effects that only agents have.
func (p *Process) performEffect(b *core.Board, e core.Effect) {
	switch e := e.(type) {
	case core.SendDatagram:
		p.sender.send(e)
	case core.DeliverDatagram:
		p.deliverDatagram(e)
	case core.CloseFlow:
		p.closeFlow(e)
	case core.RequestEffect:
		p.deliverDecision(e)
	case core.AnnouncementChecked:
		p.handleAnnouncementChecked(b, e)
	}
}

func (p *Process) deliverDatagram(e core.DeliverDatagram) {
	if p.local == nil || !p.local.deliverDatagram(e.Flow, e.Payload) {
		p.undelivered.Add(1)
	}
}

func (p *Process) closeFlow(e core.CloseFlow) {
	if p.local != nil {
		p.local.closeFlow(e.Flow, e.Reason)
	}
}

func (p *Process) deliverDecision(e core.RequestEffect) {
	if p.local != nil {
		p.local.deliverDecision(e)
	}
}

// Stop shuts the agent down gracefully: it accepts no new work, asks callers to
// reconnect elsewhere, lets requests complete for up to the stop timeout and
// leaves the cluster.
func (p *Process) Stop(ctx context.Context) {
	_ = level.Info(p.logger).Log("msg", "Stopping. No new work.", "limit", p.settings.StopTimeout)
	ctx, cancel := context.WithTimeout(ctx, p.settings.StopTimeout+leaveMargin)
	defer cancel()
	endpointStopped := make(chan struct{})
	go func() {
		p.shutdownEndpoint(ctx)
		close(endpointStopped)
	}()
	p.base.LeaveCluster(ctx)
	<-endpointStopped
	p.cancel()
	_ = p.announceServer.Close()
	p.base.Close()
	<-p.receiverDone
}

// shutdownEndpoint shuts the local endpoint down and logs the result.
func (p *Process) shutdownEndpoint(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.StopTimeout)
	defer cancel()
	var local localEndpoint
	p.base.Inspect(func(*core.Board) { local = p.local })
	if local == nil {
		return
	}
	err := local.shutdown(ctx)
	p.base.Loop.Post(core.EndpointClosed{})
	remaining := 0
	p.base.Inspect(func(b *core.Board) { remaining = b.Load.InFlight })
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		_ = level.Warn(p.logger).Log("msg", "Stop timeout reached. Requests aborted.", "in_flight", remaining)
	case err != nil:
		_ = level.Warn(p.logger).Log("msg", "Graceful shutdown failed.", "err", err)
	default:
		_ = level.Info(p.logger).Log("msg", "All requests finished.")
	}
}
