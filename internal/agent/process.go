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

// Part is the log prefix of this package.
const Part = "agent"

const (
	// announceHeaderTimeout bounds the reading of an announcement's header.
	announceHeaderTimeout = 5 * time.Second
	// leaveMargin is the time beyond the stop timeout in which the news of the
	// stop reaches the peers.
	leaveMargin = 2 * time.Second
)

// Process is a running agent.
type Process struct {
	settings  *settings.Agent
	base      *process.Base
	logger    log.Logger
	tls       *tls.Config
	directory *directory.Controller
	announcer *announcer
	receiver  *receiver
	sender    *sender
	// undelivered counts datagrams that the local end had no room for.
	undelivered atomic.Uint64
	local       localEnd // nil until a target is accepted
	announce    *http.Server
	ctx         context.Context
	cancel      context.CancelFunc
	done        chan struct{} // closed when the receiver has ended
}

// NewProcess returns an agent that has not started.
func NewProcess(s *settings.Agent, base *process.Base) (*Process, error) {
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("load the certificate shown to callers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{
		ctx:       ctx,
		cancel:    cancel,
		settings:  s,
		base:      base,
		logger:    base.Logs.Part(Part),
		tls:       &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13},
		directory: directory.New(directory.Options{}),
		sender:    &sender{conn: base.Data, keys: base.Keys},
		done:      make(chan struct{}),
	}
	p.announcer = &announcer{post: func(ev core.Event) { base.Loop.Post(ev) }}
	p.receiver = &receiver{conn: base.Data, keys: base.Keys, offer: func(ev core.Event) bool { return base.Loop.TryPost(ev) }}
	return p, nil
}

// Start joins the cluster and waits for a target to announce itself.
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
	if err := p.base.Start(node, p.carryOut, admin.Handler(p.adminNode(metrics))); err != nil {
		_ = announceListener.Close()
		return err
	}
	p.announce = &http.Server{Handler: p.announcer.handler(), ReadHeaderTimeout: announceHeaderTimeout}
	go func() { _ = p.announce.Serve(announceListener) }()
	go func() {
		p.receiver.run()
		close(p.done)
	}()
	go p.counters().Report(p.ctx, p.base.Metrics)
	return nil
}

// counters returns the counters of the data socket by metric name.
func (p *Process) counters() process.Counters {
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
		obs.RecordFlow(obs.Tracer(Part), "flow established", e.Flow, attribute.String("holder", string(p.settings.Node)))
	}
	p.base.Loop.Post(ev)
}

// carryOut carries out the effects that only agents have.
func (p *Process) carryOut(b *core.Board, e core.Effect) {
	switch e := e.(type) {
	case core.SendDatagram:
		p.sender.send(e)
	case core.DeliverDatagram:
		p.deliver(e)
	case core.CloseFlow:
		p.closeFlow(e)
	case core.RequestEffect:
		p.verdict(e)
	case core.AnnouncementChecked:
		p.announced(b, e)
	}
}

func (p *Process) deliver(e core.DeliverDatagram) {
	if p.local == nil || !p.local.deliver(e.Flow, e.Payload) {
		p.undelivered.Add(1)
	}
}

func (p *Process) closeFlow(e core.CloseFlow) {
	if p.local != nil {
		p.local.closeFlow(e.Flow, e.Reason)
	}
}

func (p *Process) verdict(e core.RequestEffect) {
	if p.local != nil {
		p.local.verdict(e)
	}
}

// Stop takes no new work, tells the callers to move, lets requests finish up
// to the stop timeout and leaves the cluster.
func (p *Process) Stop(ctx context.Context) {
	_ = level.Info(p.logger).Log("msg", "Stopping. No new work.", "limit", p.settings.StopTimeout)
	ctx, cancel := context.WithTimeout(ctx, p.settings.StopTimeout+leaveMargin)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		p.shutdownLocal(ctx)
		close(ended)
	}()
	p.base.LeaveCluster(ctx)
	<-ended
	p.cancel()
	_ = p.announce.Close()
	p.base.Close()
	<-p.done
}

// shutdownLocal ends the local end and logs what was left.
func (p *Process) shutdownLocal(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.StopTimeout)
	defer cancel()
	var local localEnd
	p.base.Inspect(func(*core.Board) { local = p.local })
	if local == nil {
		return
	}
	err := local.shutdown(ctx)
	left := 0
	p.base.Inspect(func(b *core.Board) { left = b.Load.InFlight })
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		_ = level.Warn(p.logger).Log("msg", "Stop limit reached. Requests cut.", "in_flight", left)
	case err != nil:
		_ = level.Warn(p.logger).Log("msg", "Stop failed in part.", "err", err)
	default:
		_ = level.Info(p.logger).Log("msg", "All requests finished.")
	}
}
