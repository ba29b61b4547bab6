package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// dialTimeout bounds connecting to a target on the same host.
const dialTimeout = 2 * time.Second

// destination is the target or agent to which an attempt is sent.
type destination struct {
	name string // span name
	// peer is the agent of a hand-over; it is empty for the target.
	peer model.NodeID
	dial func(ctx context.Context) (net.Conn, error)
	// header contains fields to add to the request.
	header   http.Header
	deadline time.Time
}

func (f *Front) targetDestination(deadline time.Time) destination {
	addr := f.target.Load().Addr
	return destination{name: "target", deadline: deadline, dial: func(ctx context.Context) (net.Conn, error) {
		return dialTarget(ctx, addr)
	}}
}

func dialTarget(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

func (f *Front) peerDestination(e core.HandOver, flow model.FlowKey) destination {
	header := http.Header{}
	header.Set(headerCaller, flow.Caller.String())
	header.Set(headerVisited, joinNodes(e.Visited))
	if e.ReplayOnly {
		header.Set(headerReplay, "1")
	}
	return destination{name: "hand-over", peer: e.To, header: header, deadline: e.Deadline,
		dial: func(ctx context.Context) (net.Conn, error) {
			if f.opts.OpenStream == nil {
				return nil, errNotSent
			}
			return f.opts.OpenStream(ctx, e.To, e.Addr)
		}}
}

// attempt is one attempt to run a request.
type attempt struct {
	destination destination
	ctx         context.Context
	cancel      context.CancelFunc
	span        trace.Span
	exchange    *exchange // nil if there was no connection
	response    *http.Response
	outcome     core.RequestOutcome
	latency     time.Duration
}

// startAttempt sends the request to the destination and waits for the response
// header. The outcome is core.OutcomeCompleted if there is a response to forward,
// whose body has not been read yet.
func (f *Front) startAttempt(ctx context.Context, dest destination, r *http.Request, body *requestBody) *attempt {
	a := &attempt{destination: dest}
	a.ctx, a.cancel = context.WithDeadline(ctx, dest.deadline)
	a.ctx, a.span = f.tracer.Start(a.ctx, dest.name, trace.WithSpanKind(trace.SpanKindClient))
	conn, err := dest.dial(a.ctx)
	if err != nil {
		a.fail(ctx, errors.Join(errNotSent, err))
		return a
	}
	start := time.Now()
	a.exchange, a.response, err = startExchange(a.ctx, conn, outgoingRequest(a.ctx, dest, r, body))
	a.latency = time.Since(start)
	if err != nil {
		a.fail(ctx, err)
		return a
	}
	a.outcome = responseOutcome(dest, a.response)
	a.span.SetAttributes(attribute.Int("http.response.status_code", a.response.StatusCode))
	return a
}

// fail sets the outcome of an attempt without a response.
func (a *attempt) fail(callerCtx context.Context, err error) {
	a.span.SetStatus(codes.Error, err.Error())
	switch {
	case errors.Is(err, errNotSent):
		a.outcome = core.OutcomeNotSent
	case callerCtx.Err() != nil:
		a.outcome = core.OutcomeAborted
	default:
		a.outcome = core.OutcomeUnknown
	}
}

// responseOutcome returns the outcome that a response reports for its request.
// Only a 503 or 429 can report that the request did not run.
func responseOutcome(dest destination, resp *http.Response) core.RequestOutcome {
	reported := resp.Header.Get(HeaderOutcome)
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if reported == OutcomeNotRun && refused {
		return core.OutcomeShed
	}
	if reported == OutcomeUnknown && dest.peer != "" {
		return core.OutcomeUnknown
	}
	return core.OutcomeCompleted
}

// outgoingRequest returns the request to send to the destination.
func outgoingRequest(ctx context.Context, dest destination, r *http.Request, body *requestBody) *http.Request {
	out := r.Clone(ctx)
	out.Close = true
	out.URL.Scheme, out.URL.Host = "http", r.Host
	out.RequestURI = ""
	removeHopByHopHeaders(out.Header)
	removeInternalHeaders(out.Header)
	for name, values := range dest.header {
		out.Header[name] = values
	}
	setTimeoutHeader(out.Header, dest.deadline, time.Now())
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(out.Header))
	out.Body = http.NoBody
	out.ContentLength = body.length
	if len(body.prefix) > 0 {
		out.Body = nopCloser{body.newReader()}
	}
	out.Trailer = nil
	out.TransferEncoding = nil
	return out
}

// status returns the HTTP status of the response, or 0 if there is none.
func (a *attempt) status() int {
	if a.response == nil {
		return 0
	}
	return a.response.StatusCode
}

// close ends the attempt and waits until the destination has closed the
// connection, or for lingerTimeout.
func (a *attempt) close() {
	a.cancel()
	a.span.SetAttributes(attribute.String("amaranthwheel.outcome", a.outcome.String()))
	a.span.End()
	if a.exchange != nil {
		a.exchange.closeAndWait()
	}
}

// requestIDAttribute identifies a request in spans.
func requestIDAttribute(id core.RequestID) attribute.KeyValue {
	return attribute.String("amaranthwheel.request", strconv.FormatUint(uint64(id), 10))
}
