package daemon

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"amaranthwheel.example/amaranthwheel/internal/agent"
	"amaranthwheel.example/amaranthwheel/internal/balancer"
	"amaranthwheel.example/amaranthwheel/internal/configstore"
	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/internal/process"
	"amaranthwheel.example/amaranthwheel/internal/settings"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

const (
	// startTimeout bounds the start of a daemon.
	startTimeout = 15 * time.Second
	// stopMargin is added to the stop timeout, for closing the remaining resources.
	stopMargin = 5 * time.Second
)

// daemonProcess is a process that fx starts and stops.
type daemonProcess interface {
	Start(metrics http.Handler) error
	Stop(ctx context.Context)
}

// runBalancer runs a balancer until the context is done.
func runBalancer(ctx context.Context, logs io.Writer, s *settings.Balancer) error {
	return run(ctx, "balancer", logs, s.Common, fx.Options(
		fx.Supply(s),
		fx.Provide(newConfigClient, balancer.NewProcess),
		fx.Invoke(registerProcess[*balancer.Process]),
	))
}

// runAgent runs an agent until the context is done.
func runAgent(ctx context.Context, logs io.Writer, s *settings.Agent) error {
	return run(ctx, "agent", logs, s.Common, fx.Options(
		fx.Supply(s),
		fx.Provide(agent.NewProcess),
		fx.Invoke(registerProcess[*agent.Process]),
	))
}

// run assembles a daemon from its common parts and its role, and runs it until
// the context is done.
func run(ctx context.Context, name string, logs io.Writer, s settings.Common, role fx.Option) error {
	return runApp(ctx, s.StopTimeout, fx.Options(
		obs.WithLogger(),
		fx.Supply(s),
		obs.Module(obs.Options{Role: name, LogWriter: logs, LogLevel: s.LogLevel, TraceFile: s.TraceFile}),
		fx.Provide(process.NewBase),
		role,
	))
}

// runApp runs an application until the context is done.
func runApp(ctx context.Context, stopTimeout time.Duration, options fx.Option) error {
	app := fx.New(fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout+stopMargin), options)
	if err := app.Start(ctx); err != nil {
		return &RunError{err}
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return &RunError{err}
	}
	return nil
}

// registerProcess makes fx start and stop a process with the application.
func registerProcess[P daemonProcess](lifecycle fx.Lifecycle, p P, metrics *obs.Metrics) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return p.Start(metrics.Handler) },
		OnStop: func(ctx context.Context) error {
			p.Stop(ctx)
			return nil
		},
	})
}

// newConfigClient returns a client for the configuration in the store.
func newConfigClient(s *settings.Balancer, metrics tally.Scope) *configstore.Client {
	kv := store.NewEtcd(store.Options{
		Endpoints:   s.Store.Endpoints,
		Timeout:     s.Store.Timeout,
		MaxResponse: s.Store.MaxResponse,
		Counter:     store.NewTallyCounter(metrics),
	})
	return configstore.New(kv, s.Cluster)
}
