package obs

import (
	"context"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// Options configures a Module.
type Options struct {
	// Role is the role of the process in metrics and traces, such as
	// "balancer".
	Role string
	// LogWriter receives the log lines.
	LogWriter io.Writer
	// LogLevel is the minimum level: debug, info, warn or error.
	LogLevel string
	// TraceFile receives the traces: "" disables tracing, "-" is standard
	// output.
	TraceFile string
}

// Module provides *LoggerFactory, *Metrics and tally.Scope, and enables tracing
// from the start of the application to its stop.
func Module(o Options) fx.Option {
	return fx.Module("obs",
		fx.Provide(
			func() *LoggerFactory { return NewLoggerFactory(o.LogWriter, o.LogLevel) },
			func(lc fx.Lifecycle, logs *LoggerFactory) *Metrics { return provideMetrics(lc, logs, o.Role) },
			func(m *Metrics) tally.Scope { return m.Scope },
		),
		fx.Invoke(func(lc fx.Lifecycle) { runTracing(lc, o) }),
	)
}

// WithLogger logs errors of fx under the part "fx". It is separate from Module,
// because fx accepts a custom logger only at the top level.
func WithLogger() fx.Option {
	return fx.WithLogger(func(logs *LoggerFactory) fxevent.Logger { return failureLogger{logs.ForPart("fx")} })
}

func provideMetrics(lc fx.Lifecycle, logs *LoggerFactory, role string) *Metrics {
	m := NewMetrics(role, logs.ForPart("metrics"))
	lc.Append(fx.StopHook(m.Close))
	return m
}

func runTracing(lc fx.Lifecycle, o Options) {
	var shutdown ShutdownFunc
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			var err error
			shutdown, err = SetupTracing(metricPrefix+"-"+o.Role, o.TraceFile)
			return err
		},
		OnStop: func(ctx context.Context) error { return shutdown(ctx) },
	})
}

// failureLogger logs the fx events that contain an error.
type failureLogger struct{ logger log.Logger }

// LogEvent implements fxevent.Logger.
func (l failureLogger) LogEvent(event fxevent.Event) {
	message, err := eventFailure(event)
	if err == nil {
		return
	}
	_ = level.Error(l.logger).Log("msg", message, "err", err)
}

// eventFailure returns a description of what failed and the error, or a nil error
// if nothing failed.
func eventFailure(event fxevent.Event) (string, error) {
	switch e := event.(type) {
	case *fxevent.Provided:
		return "Failed to provide a constructor.", e.Err
	case *fxevent.Invoked:
		return "An invoked function failed.", e.Err
	case *fxevent.OnStartExecuted:
		return "A start hook failed.", e.Err
	case *fxevent.OnStopExecuted:
		return "A stop hook failed.", e.Err
	case *fxevent.Started:
		return "The process failed to start.", e.Err
	case *fxevent.Stopped:
		return "The process did not stop cleanly.", e.Err
	}
	return "", nil
}
