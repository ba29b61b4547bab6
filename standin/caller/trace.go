package caller

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// startSpan starts the caller's span of a request, the root of its trace.
func startSpan(ctx context.Context, r *workload.Request) (context.Context, trace.Span) {
	return obs.Tracer("caller").Start(ctx, "caller",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String(workload.AttributeRequestID, r.ID),
			attribute.String(workload.AttributeFlow, r.Flow),
			attribute.String(workload.AttributeService, r.Service),
		))
}

// endSpan ends the span with the request's outcome.
func endSpan(span trace.Span, r *workload.Request) {
	span.SetAttributes(attribute.String(workload.AttributeOutcome, string(r.Outcome)))
	if r.Outcome != workload.RequestAnswered {
		span.SetStatus(codes.Error, r.Error)
	}
	span.End()
}
