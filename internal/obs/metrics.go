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

// reportInterval is how often the scope's values reach the metrics page.
const reportInterval = time.Second

// metricPrefix starts the name of every metric of the product.
const metricPrefix = "amaranthwheel"

// Metrics is the metrics of one process.
type Metrics struct {
	// Scope is where parts create their metrics.
	Scope tally.Scope
	// Handler serves the metrics in Prometheus's text format, along with those
	// of the Go runtime and the process.
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns the metrics of a process whose role, such as "balancer",
// becomes a tag. Close stops the reporting.
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
			_ = level.Error(logger).Log("msg", "A metric could not be registered.", "err", err)
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

// Close reports the last values and stops.
func (m *Metrics) Close() error { return m.closer.Close() }
