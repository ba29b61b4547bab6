package obs

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// traceparent is the name of the W3C Trace Context header.
const traceparent = "traceparent"

// traceContext propagates span contexts between hops.
var traceContext propagation.TraceContext

// ShutdownFunc writes the remaining spans and closes the trace file.
type ShutdownFunc func(context.Context) error

// SetupTracing enables tracing in the process. Spans are written as JSON lines to
// the file, or to standard output if the file is "-"; an empty file name disables
// tracing. The caller must call shutdown before the process exits.
//
// Tracers are created by Tracer. Spans that end faster than they can be written
// are dropped and never block the process.
func SetupTracing(serviceName, file string) (shutdown ShutdownFunc, err error) {
	otel.SetTextMapPropagator(traceContext)
	if file == "" {
		return func(context.Context) error { return nil }, nil
	}
	out, closer, err := openTraceFile(file)
	if err != nil {
		return nil, err
	}
	provider, err := newProvider(serviceName, out)
	if err != nil {
		return nil, err
	}
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		if err := provider.Shutdown(ctx); err != nil {
			return oops.In("obs").Wrapf(err, "write the remaining spans")
		}
		return closer.Close()
	}, nil
}

// openTraceFile opens the trace file for appending.
func openTraceFile(file string) (io.Writer, io.Closer, error) {
	if file == "-" {
		return os.Stdout, io.NopCloser(nil), nil
	}
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, oops.In("obs").Wrapf(err, "open the trace file")
	}
	return f, f, nil
}

func newProvider(serviceName string, out io.Writer) (*sdktrace.TracerProvider, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, oops.In("obs").Wrapf(err, "create the trace exporter")
	}
	serviceResource := resource.NewSchemaless(attribute.String("service.name", serviceName))
	return sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(serviceResource)), nil
}

// Tracer returns the tracer of one part of the process. Its spans are no-ops if
// tracing is disabled.
func Tracer(part string) trace.Tracer { return otel.Tracer(part) }

// Inject adds the span context in ctx to the headers of a request.
func Inject(ctx context.Context, h http.Header) {
	traceContext.Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract returns a copy of ctx with the span context from the headers, if there
// is one.
func Extract(ctx context.Context, h http.Header) context.Context {
	return traceContext.Extract(ctx, propagation.HeaderCarrier(h))
}

// Traceparent returns the span context in ctx as the value of a traceparent
// header, or "" if there is none.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	traceContext.Inject(ctx, carrier)
	return carrier[traceparent]
}

// WithTraceparent returns a copy of ctx with the span context from the value of a
// traceparent header. A malformed value is ignored.
func WithTraceparent(ctx context.Context, value string) context.Context {
	return traceContext.Extract(ctx, propagation.MapCarrier{traceparent: value})
}
