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

// hop is where an attempt goes: the target or another agent.
type hop struct {
	name string // span name
	// peer is the agent of a hand-over, empty for the target.
	peer model.NodeID
	dial func(ctx context.Context) (net.Conn, error)
	// header holds fields to add to the request.
	header   http.Header
	deadline time.Time
}

func (f *Front) targetHop(deadline time.Time) hop {
	addr := f.target.Load().Addr
	return hop{name: "target", deadline: deadline, dial: func(ctx context.Context) (net.Conn, error) {
		return dialTarget(ctx, addr)
	}}
}

func dialTarget(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

func (f *Front) peerHop(e core.HandOver, flow model.FlowKey) hop {
	header := http.Header{}
	header.Set(headerCaller, flow.Caller.String())
	header.Set(headerVisited, joinNodes(e.Visited))
	if e.ReplayOnly {
		header.Set(headerReplay, "1")
	}
	return hop{name: "hand-over", peer: e.To, header: header, deadline: e.Deadline,
		dial: func(ctx context.Context) (net.Conn, error) {
			if f.opts.OpenStream == nil {
				return nil, errNotSent
			}
			return f.opts.OpenStream(ctx, e.To, e.Addr)
		}}
}

// attempt is one try to run a request.
type attempt struct {
	hop      hop
	ctx      context.Context
	cancel   context.CancelFunc
	span     trace.Span
	exchange *exchange // nil if there was no connection
	response *http.Response
	outcome  core.RequestOutcome
	latency  time.Duration
}

// try sends the request along the hop. The outcome is OutcomeAnswered once
// there is an answer to pass on; its body is still to be read.
func (f *Front) try(ctx context.Context, h hop, r *http.Request, body *requestBody) *attempt {
	a := &attempt{hop: h}
	a.ctx, a.cancel = context.WithDeadline(ctx, h.deadline)
	a.ctx, a.span = f.tracer.Start(a.ctx, h.name, trace.WithSpanKind(trace.SpanKindClient))
	conn, err := h.dial(a.ctx)
	if err != nil {
		a.fail(ctx, errors.Join(errNotSent, err))
		return a
	}
	start := time.Now()
	a.exchange, a.response, err = startExchange(a.ctx, conn, outgoing(a.ctx, h, r, body))
	a.latency = time.Since(start)
	if err != nil {
		a.fail(ctx, err)
		return a
	}
	a.outcome = answerOutcome(h, a.response)
	a.span.SetAttributes(attribute.Int("http.response.status_code", a.response.StatusCode))
	return a
}

// fail sets the outcome of an attempt without an answer.
func (a *attempt) fail(caller context.Context, err error) {
	a.span.SetStatus(codes.Error, err.Error())
	switch {
	case errors.Is(err, errNotSent):
		a.outcome = core.OutcomeNotSent
	case caller.Err() != nil:
		a.outcome = core.OutcomeAborted
	default:
		a.outcome = core.OutcomeUnknown
	}
}

// answerOutcome reads the statement that an answer makes about its request.
// Only a 503 or 429 can say that the request did not run.
func answerOutcome(h hop, resp *http.Response) core.RequestOutcome {
	said := resp.Header.Get(HeaderOutcome)
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if said == OutcomeNotRun && refused {
		return core.OutcomeShed
	}
	if said == OutcomeUnknown && h.peer != "" {
		return core.OutcomeUnknown
	}
	return core.OutcomeCompleted
}

// outgoing returns the request as the hop's other side gets it.
func outgoing(ctx context.Context, h hop, r *http.Request, body *requestBody) *http.Request {
	out := r.Clone(ctx)
	out.Close = true
	out.URL.Scheme, out.URL.Host = "http", r.Host
	out.RequestURI = ""
	removeHopHeaders(out.Header)
	removeOwnHeaders(out.Header)
	for name, values := range h.header {
		out.Header[name] = values
	}
	setTimeout(out.Header, h.deadline, time.Now())
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(out.Header))
	out.Body = http.NoBody
	out.ContentLength = body.length
	if len(body.prefix) > 0 {
		out.Body = readCloser{body.open()}
	}
	out.Trailer = nil
	out.TransferEncoding = nil
	return out
}

// status returns the HTTP status of the answer, 0 without one.
func (a *attempt) status() int {
	if a.response == nil {
		return 0
	}
	return a.response.StatusCode
}

// close ends the attempt and returns when the other side has stopped.
func (a *attempt) close() {
	a.cancel()
	a.span.SetAttributes(attribute.String("amaranthwheel.outcome", a.outcome.String()))
	a.span.End()
	if a.exchange != nil {
		a.exchange.closeWait()
	}
}

// requestIDAttribute names a request in spans.
func requestIDAttribute(id core.RequestID) attribute.KeyValue {
	return attribute.String("amaranthwheel.request", strconv.FormatUint(uint64(id), 10))
}
