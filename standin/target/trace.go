package target

import (
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// traced wraps a handler in the target's span of the request. Its parent is
// the span of the hop before.
func (t *Target) traced(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.handlers.Add(1)
		defer t.handlers.Add(-1)
		ctx, span := obs.Tracer("target").Start(obs.Extract(r.Context(), r.Header), "target",
			trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(
				attribute.String(workload.AttributeRequestID, r.Header.Get(workload.HeaderRequestID)),
				attribute.String(workload.AttributeService, t.cfg.Service),
				attribute.String(workload.AttributeTarget, t.cfg.Name),
			))
		defer span.End()
		next(w, r.WithContext(ctx))
	})
}
