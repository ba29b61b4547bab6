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

// Part is the value of the log field "part" for this package.
const Part = "balancer"

// storeTimeout bounds one read of the configuration, including its retries.
const storeTimeout = 5 * time.Second

// Process is a running balancer.
type Process struct {
	settings  *settings.Balancer
	base      *process.Base
	logger    log.Logger
	forwarder *Forwarder
	config    *configstore.Client

	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	stopWatch context.CancelFunc // stops the store watch; nil while there is none
	store     storeStatus
}

// NewProcess returns a balancer that has not started.
func NewProcess(s *settings.Balancer, base *process.Base, config *configstore.Client) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{
		settings:  s,
		base:      base,
		logger:    base.Logs.ForPart(Part),
		forwarder: NewForwarder(base.Keys, s.Bind),
		config:    config,
		ctx:       ctx,
		cancel:    cancel,
	}
	config.OnWatchError = p.handleStoreFailure
	if s.TraceFile != "" {
		p.forwarder.OnOpeningDatagram = traceOpeningDatagram
	}
	return p
}

// Start joins the cluster and starts forwarding datagrams.
func (p *Process) Start(metrics http.Handler) error {
	p.wg.Go(func() { p.forwarder.Counters.byMetricName().Report(p.ctx, p.base.Metrics) })
	self := p.base.Member(model.RoleBalancer)
	node := core.NewNode(core.NewBoard(self), self.Incarnation,
		lifecycle.New(lifecycle.Options{BalancerDrainDuration: p.settings.StopTimeout}),
		membership.New(membership.Options{}),
		configuration.New(configuration.Options{}),
		routing.New(),
		dissemination.New(dissemination.Options{Seeds: p.settings.Seeds}),
		loopMonitor{p.forwarder},
	)
	return p.base.Start(node, p.performEffect, admin.Handler(admin.Node{
		Inspector: p.base,
		Status:    p.addStatus,
		Metrics:   metrics,
	}))
}

// traceOpeningDatagram records the balancer's hop of a new flow.
func traceOpeningDatagram(flow model.FlowKey, home model.NodeID) {
	obs.RecordFlowSpan(obs.Tracer(Part), "forward to home", flow, attribute.String("home", string(home)))
}

// loopMonitor reports each step of the node's loop to the forwarder.
type loopMonitor struct {
	forwarder *Forwarder
}

// Handle implements core.Controller.
func (m loopMonitor) Handle(*core.Turn, core.Event) {
	m.forwarder.RecordLoopStep()
}

// performEffect performs the effects that only balancers have.
func (p *Process) performEffect(_ *core.Board, e core.Effect) {
	switch e := e.(type) {
	case core.PublishViews:
		p.publishViews(e)
	case core.LoadStore:
		p.wg.Go(func() { p.loadConfig(e.Since) })
	case core.WatchStore:
		p.setStoreWatch(e)
	}
}

func (p *Process) publishViews(e core.PublishViews) {
	if err := p.forwarder.SetViews(e.Views); err != nil {
		_ = level.Error(p.logger).Log("msg", "Services could not be bound.", "err", err)
	}
}

// loadConfig reads the configuration objects that changed since a version.
func (p *Process) loadConfig(since uint64) {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	snapshot, err := p.config.Load(ctx, since)
	if err != nil {
		p.handleStoreFailure(err)
		return
	}
	p.handleSnapshot(snapshot)
}

func (p *Process) handleStoreFailure(err error) {
	p.store.recordFailure(err)
	p.base.Loop.Post(core.StoreFailed{Err: err})
}

func (p *Process) handleSnapshot(s configstore.Snapshot) {
	p.store.recordRead()
	p.base.Loop.Post(core.StoreLoaded{Version: s.Version, Objects: s.Objects})
}

// setStoreWatch starts or stops the watch on the store. It is called only by the
// loop's goroutine.
func (p *Process) setStoreWatch(e core.WatchStore) {
	if e.On == (p.stopWatch != nil) {
		return
	}
	if !e.On {
		p.stopWatch()
		p.stopWatch = nil
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.stopWatch = cancel
	p.wg.Go(func() { _ = p.config.Watch(ctx, e.After, p.handleSnapshot) })
}

// addStatus adds the balancer's fields to the admin API's status.
func (p *Process) addStatus(_ *core.Board, s *adminapi.Status) {
	s.Cluster = p.settings.Cluster
	s.Store = p.store.report()
}

// Stop leaves the cluster. The balancer continues to forward for the stop
// timeout, so that the fabric can redirect datagrams to other balancers.
func (p *Process) Stop(ctx context.Context) {
	_ = level.Info(p.logger).Log("msg", "Stopping. Still forwarding.", "for", p.settings.StopTimeout)
	p.base.LeaveCluster(ctx)
	p.cancel()
	p.forwarder.Close()
	p.base.Close()
	p.wg.Wait()
}
