package store

import (
	"context"
	"time"
)

// Trace is a set of hooks that run during a call.
type Trace struct {
	// ResponseStarted is called when a response begins to arrive.
	ResponseStarted func()
	// ResponseDecoded is called when it has been decoded, with the time in which it was received
	// and the time in which it was decoded.
	ResponseDecoded func(received, decoded time.Duration)
}

type traceKey struct{}

// WithTrace returns a context whose calls run the hooks of a trace.
func WithTrace(ctx context.Context, t *Trace) context.Context {
	return context.WithValue(ctx, traceKey{}, t)
}

// TraceOf returns the trace of a context. Its hooks are never nil.
func TraceOf(ctx context.Context) Trace {
	t := Trace{ResponseStarted: func() {}, ResponseDecoded: func(_, _ time.Duration) {}}
	if set, ok := ctx.Value(traceKey{}).(*Trace); ok {
		if set.ResponseStarted != nil {
			t.ResponseStarted = set.ResponseStarted
		}
		if set.ResponseDecoded != nil {
			t.ResponseDecoded = set.ResponseDecoded
		}
	}
	return t
}
