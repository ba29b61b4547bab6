package obs

import (
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the scope's values are reported to the
// registry.
const reportInterval = time.Second

// metricPrefix is the prefix of every metric name and of the trace service name.
const metricPrefix = "amaranthwheel"

// Metrics holds the metrics of one process.
type Metrics struct {
	// Scope is the root scope in which the parts create their metrics.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format, including those
	// of the Go runtime and the process.
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns the metrics of a process. Its role, such as "balancer", is a
// tag of every metric in the scope. Close stops the reporting.
func NewMetrics(role string, logger log.Logger) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			_ = level.Error(logger).Log("msg", "Failed to register a metric.", "err", err)
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Tags:                   map[string]string{"role": role},
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the final values and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
