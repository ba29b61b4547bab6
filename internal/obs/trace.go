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

// traceparent is the header of the W3C trace context.
const traceparent = "traceparent"

// traceContext carries spans between hops.
var traceContext propagation.TraceContext

// ShutdownFunc writes the spans that still wait and closes their file.
type ShutdownFunc func(context.Context) error

// SetupTracing starts tracing for the process: spans go as JSON lines to the file, to
// standard output if it is "-", and nowhere if it is "". The caller calls
// shutdown in the end.
//
// Tracers come from Tracer. Spans that arrive faster than they can be written
// are dropped; they never hold up the process.
func SetupTracing(serviceName, file string) (shutdown ShutdownFunc, err error) {
	otel.SetTextMapPropagator(traceContext)
	if file == "" {
		return func(context.Context) error { return nil }, nil
	}
	out, closer, err := openTrace(file)
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
			return oops.In("obs").Wrapf(err, "write the last spans")
		}
		return closer.Close()
	}, nil
}

// openTrace opens the file for appending.
func openTrace(file string) (io.Writer, io.Closer, error) {
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
	service := resource.NewSchemaless(attribute.String("service.name", serviceName))
	return sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(service)), nil
}

// Tracer returns the tracer of one part. It starts no-op spans while tracing
// is off.
func Tracer(part string) trace.Tracer { return otel.Tracer(part) }

// Inject writes the context's span into the headers of a request.
func Inject(ctx context.Context, h http.Header) {
	traceContext.Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract returns the context with the span that the headers name, if any.
func Extract(ctx context.Context, h http.Header) context.Context {
	return traceContext.Extract(ctx, propagation.HeaderCarrier(h))
}

// Traceparent returns the context's span in the form of the traceparent
// header, or "" if there is none.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	traceContext.Inject(ctx, carrier)
	return carrier[traceparent]
}

// WithTraceparent returns the context with the span that a traceparent names.
// A malformed one is ignored.
func WithTraceparent(ctx context.Context, parent string) context.Context {
	return traceContext.Extract(ctx, propagation.MapCarrier{traceparent: parent})
}
