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
	// stopMargin is the time beyond the stop timeout for closing what is left.
	stopMargin = 5 * time.Second
)

// process that fx starts and stops.
type runnable interface {
	Start(metrics http.Handler) error
	Stop(ctx context.Context)
}

// runBalancer runs a balancer until the context ends.
func runBalancer(ctx context.Context, logs io.Writer, s *settings.Balancer) error {
	return run(ctx, "balancer", logs, s.Common, fx.Options(
		fx.Supply(s),
		fx.Provide(newConfigClient, balancer.NewProcess),
		fx.Invoke(register[*balancer.Process]),
	))
}

// runAgent runs an agent until the context ends.
func runAgent(ctx context.Context, logs io.Writer, s *settings.Agent) error {
	return run(ctx, "agent", logs, s.Common, fx.Options(
		fx.Supply(s),
		fx.Provide(agent.NewProcess),
		fx.Invoke(register[*agent.Process]),
	))
}

// run assembles a daemon around its common parts, starts it, waits for the
// context's end and stops it.
func run(ctx context.Context, name string, logs io.Writer, s settings.Common, role fx.Option) error {
	return runApp(ctx, s.StopTimeout, fx.Options(
		obs.WithLogger(),
		fx.Supply(s),
		obs.Module(obs.Options{Role: name, LogWriter: logs, LogLevel: s.LogLevel, TraceFile: s.TraceFile}),
		fx.Provide(process.NewBase),
		role,
	))
}

// runApp runs an application until the context ends.
func runApp(ctx context.Context, stopTimeout time.Duration, parts fx.Option) error {
	app := fx.New(fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout+stopMargin), parts)
	if err := app.Start(ctx); err != nil {
		return &RunError{err}
	}
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stop); err != nil {
		return &RunError{err}
	}
	return nil
}

// register ties a process to the daemon's start and stop.
func register[P runnable](lc fx.Lifecycle, p P, metrics *obs.Metrics) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return p.Start(metrics.Handler) },
		OnStop: func(ctx context.Context) error {
			p.Stop(ctx)
			return nil
		},
	})
}

// newConfigClient returns the client of the configuration in the store.
func newConfigClient(s *settings.Balancer, metrics tally.Scope) *configstore.Client {
	kv := store.NewEtcd(store.Options{
		Endpoints:   s.Store.Endpoints,
		Timeout:     s.Store.Timeout,
		MaxResponse: s.Store.MaxResponse,
		Counter:     store.NewTallyCounter(metrics),
	})
	return configstore.New(kv, s.Cluster)
}
