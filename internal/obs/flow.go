package obs

import (
	"context"
	"encoding/binary"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// FlowSpanContext returns the span context of a flow, which every node derives
// from the flow's key. Datagrams carry no trace context, so the spans of all hops
// of a flow share this trace, and spans of requests link to it.
func FlowSpanContext(flow model.FlowKey) trace.SpanContext {
	hash := flow.Hash()
	var traceID trace.TraceID
	binary.BigEndian.PutUint64(traceID[:8], hash)
	binary.BigEndian.PutUint64(traceID[8:], uint64(flow.Service))
	var spanID trace.SpanID
	binary.BigEndian.PutUint64(spanID[:], hash)
	return trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: traceID, SpanID: spanID, TraceFlags: trace.FlagsSampled, Remote: true,
	})
}

// RecordFlowSpan records one hop of a flow as a span without duration.
func RecordFlowSpan(tracer trace.Tracer, name string, flow model.FlowKey, attributes ...attribute.KeyValue) {
	ctx := trace.ContextWithSpanContext(context.Background(), FlowSpanContext(flow))
	attributes = append(attributes, attribute.String("caller", flow.Caller.String()))
	_, span := tracer.Start(ctx, name, trace.WithAttributes(attributes...))
	span.End()
}
