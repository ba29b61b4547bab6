package balancer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/attribute"

	"amaranthwheel.example/amaranthwheel/internal/admin"
	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/configstore"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/configuration"
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
const Part = "balancer"

// storeTimeout bounds one read of the configuration with its retries.
const storeTimeout = 5 * time.Second

// Process is a running balancer.
type Process struct {
	settings  *settings.Balancer
	base      *process.Base
	logger    log.Logger
	forwarder *Forwarder
	config    *configstore.Client

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	watch  context.CancelFunc // ends the store watch; nil while it is off
	store  storeState
}

// NewProcess returns a balancer that has not started.
func NewProcess(s *settings.Balancer, base *process.Base, config *configstore.Client) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{
		settings:  s,
		base:      base,
		logger:    base.Logs.Part(Part),
		forwarder: NewForwarder(base.Keys, s.Bind),
		config:    config,
		ctx:       ctx,
		cancel:    cancel,
	}
	config.WatchFailed = p.storeFailed
	if s.TraceFile != "" {
		p.forwarder.OnOpeningDatagram = traceOpener
	}
	return p
}

// Start joins the cluster and forwards datagrams.
func (p *Process) Start(metrics http.Handler) error {
	p.group.Go(func() { p.forwarder.Counters.byName().Report(p.ctx, p.base.Metrics) })
	self := p.base.Member(model.RoleBalancer)
	node := core.NewNode(core.NewBoard(self), self.Incarnation,
		lifecycle.New(lifecycle.Options{BalancerDrainDuration: p.settings.StopTimeout}),
		membership.New(membership.Options{}),
		configuration.New(configuration.Options{}),
		routing.New(),
		dissemination.New(dissemination.Options{Seeds: p.settings.Seeds}),
		aliveness{p.forwarder},
	)
	return p.base.Start(node, p.carryOut, admin.Handler(admin.Node{
		Inspector: p.base,
		Status:    p.status,
		Metrics:   metrics,
	}))
}

// traceOpener records the balancer's hop of a new flow.
func traceOpener(flow model.FlowKey, home model.NodeID) {
	obs.RecordFlow(obs.Tracer(Part), "forward to home", flow, attribute.String("home", string(home)))
}

// aliveness tells the forwarder with every step that the loop runs.
type aliveness struct {
	forwarder *Forwarder
}

// Handle implements core.Controller.
func (a aliveness) Handle(*core.Turn, core.Event) {
	a.forwarder.RecordLoopStep()
}

// carryOut carries out the effects that only balancers have.
func (p *Process) carryOut(_ *core.Board, e core.Effect) {
	switch e := e.(type) {
	case core.PublishViews:
		p.publish(e)
	case core.LoadStore:
		p.group.Go(func() { p.load(e.Since) })
	case core.WatchStore:
		p.setWatch(e)
	}
}

func (p *Process) publish(e core.PublishViews) {
	if err := p.forwarder.SetViews(e.Views); err != nil {
		_ = level.Error(p.logger).Log("msg", "Services could not be bound.", "err", err)
	}
}

// load reads the configuration that changed since a version.
func (p *Process) load(since uint64) {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	snapshot, err := p.config.Load(ctx, since)
	if err != nil {
		p.storeFailed(err)
		return
	}
	p.loaded(snapshot)
}

func (p *Process) storeFailed(err error) {
	p.store.failed(err)
	p.base.Loop.Post(core.StoreFailed{Err: err})
}

func (p *Process) loaded(s configstore.Snapshot) {
	p.store.read()
	p.base.Loop.Post(core.StoreLoaded{Version: s.Version, Objects: s.Objects})
}

// setWatch starts or ends the watch over the store; the loop's goroutine calls
// it.
func (p *Process) setWatch(e core.WatchStore) {
	if e.On == (p.watch != nil) {
		return
	}
	if !e.On {
		p.watch()
		p.watch = nil
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.watch = cancel
	p.group.Go(func() { _ = p.config.Watch(ctx, e.After, p.loaded) })
}

// status completes the admin API's status.
func (p *Process) status(_ *core.Board, s *adminapi.Status) {
	s.Cluster = p.settings.Cluster
	s.Store = p.store.report()
}

// Stop goes on forwarding for the stop timeout, in which the fabric learns to
// send datagrams elsewhere, and leaves the cluster.
func (p *Process) Stop(ctx context.Context) {
	_ = level.Info(p.logger).Log("msg", "Stopping. Still forwarding.", "for", p.settings.StopTimeout)
	p.base.LeaveCluster(ctx)
	p.cancel()
	p.forwarder.Close()
	p.base.Close()
	p.group.Wait()
}
