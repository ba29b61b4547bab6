package front

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/obs"
)

// serveCaller serves a request that came from a caller.
func (f *Front) serveCaller(w http.ResponseWriter, r *http.Request) {
	removeOwnHeaders(r.Header)
	f.serve(w, r, core.RequestArrived{Flow: flowOf(r.Context())})
}

// serveHandOver serves a request that came from another agent.
func (f *Front) serveHandOver(w http.ResponseWriter, r *http.Request) {
	caller, err := netip.ParseAddrPort(r.Header.Get(headerCaller))
	if err != nil {
		http.Error(w, "the hand-over names no caller", http.StatusBadRequest)
		return
	}
	f.serve(w, r, core.RequestArrived{
		Flow:       model.FlowKey{Caller: caller, Service: f.opts.Service},
		HandedOver: true,
		ReplayOnly: r.Header.Get(headerReplay) != "",
		Visited:    splitNodes(r.Header.Get(headerVisited)),
	})
}

// call is one request in the front.
type call struct {
	front    *Front
	id       core.RequestID
	verdicts <-chan core.RequestEffect
	w        http.ResponseWriter
	r        *http.Request
	body     *requestBody
	arrived  core.RequestArrived
	// mayHaveRun is set once a target may have got a part of the request.
	mayHaveRun bool
}

// serve reports the request to the node and carries out its verdicts.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, ev core.RequestArrived) {
	select {
	case f.slots <- struct{}{}:
		defer func() { <-f.slots }()
	default:
		refuse(w, core.RefuseOverload, true)
		return
	}
	ev.Deadline = deadlineOf(r.Header, time.Now())
	body, err := readBody(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.tracer.Start(ctx, "agent", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithLinks(trace.Link{SpanContext: obs.FlowSpan(ev.Flow)}))
	defer span.End()
	ev.Method = r.Method
	ev.Idempotent = idempotent(r.Method)
	ev.Key = r.Header.Get(HeaderIdempotencyKey)
	ev.Digest = body.digest(r)
	ev.Replayable = body.replayable()
	c := &call{front: f, w: w, r: r.WithContext(ctx), body: body}
	c.id, c.verdicts = f.register()
	defer f.unregister(c.id)
	ev.ID = c.id
	span.SetAttributes(requestIDAttribute(c.id))
	c.arrived = ev
	f.opts.Events.Submit(ev)
	c.run(ctx)
}

// run carries out verdicts until the caller has its answer.
func (c *call) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			c.front.opts.Events.Submit(core.RequestCancelled{ID: c.id})
			panic(http.ErrAbortHandler)
		case v := <-c.verdicts:
			if c.carryOut(ctx, v) {
				return
			}
		}
	}
}

// carryOut carries out one verdict and reports whether the caller has its
// answer.
func (c *call) carryOut(ctx context.Context, v core.RequestEffect) bool {
	switch v := v.(type) {
	case core.GrantRequest:
		return c.runAtTarget(ctx, v)
	case core.HandOver:
		return c.handOver(ctx, v)
	case core.ReplayResponse:
		replay(c.w, v.Response)
	case core.RefuseRequest:
		refuse(c.w, v.Reason, v.NotRun && !c.mayHaveRun)
	}
	return true
}

// runAtTarget sends the request to the target.
func (c *call) runAtTarget(ctx context.Context, e core.GrantRequest) bool {
	a := c.front.try(ctx, c.front.targetHop(e.Deadline), c.r, c.body)
	if a.outcome == core.OutcomeNotSent && ctx.Err() != nil {
		c.cancel(a)
	}
	stored, err := c.pass(a, string(c.front.target.Load().Name))
	c.front.opts.Events.Submit(core.AttemptFinished{
		ID: c.id, Outcome: a.outcome, Status: a.status(), Latency: a.latency, Response: stored,
	})
	c.front.lingering.Go(func() {
		a.close()
		c.front.opts.Events.Submit(core.TargetConnectionClosed{ID: c.id})
	})
	return c.settle(a, err)
}

// handOver sends the request to another agent.
func (c *call) handOver(ctx context.Context, e core.HandOver) bool {
	a := c.front.try(ctx, c.front.peerHop(e, c.arrived.Flow), c.r, c.body)
	if a.outcome == core.OutcomeNotSent && ctx.Err() != nil {
		c.cancel(a)
	}
	stored, err := c.pass(a, "")
	c.front.opts.Events.Submit(core.HandOverFinished{
		ID: c.id, Peer: e.To, Outcome: a.outcome, Status: a.status(), Response: stored,
	})
	c.front.lingering.Go(a.close)
	return c.settle(a, err)
}

// cancel ends a request whose caller left before anything was sent.
func (c *call) cancel(a *attempt) {
	c.front.lingering.Go(a.close)
	c.front.opts.Events.Submit(core.RequestCancelled{ID: c.id})
	panic(http.ErrAbortHandler)
}

// pass streams the attempt's answer, if there is one to pass on, and settles
// the attempt's outcome.
func (c *call) pass(a *attempt, target string) (*core.StoredResponse, error) {
	if a.outcome != core.OutcomeCompleted {
		return nil, nil
	}
	keep := c.arrived.Key != "" && !c.arrived.HandedOver
	stored, err := passAnswer(c.w, a.response, target, keep)
	switch {
	case errors.Is(err, errCallerGone), err != nil && c.r.Context().Err() != nil:
		a.outcome = core.OutcomeAborted
	case err != nil:
		a.outcome = core.OutcomeUnknown
	}
	return stored, err
}

// settle reports whether the caller has its answer. An answer that broke off
// aborts the caller's stream.
func (c *call) settle(a *attempt, err error) bool {
	if err != nil || a.outcome == core.OutcomeAborted {
		panic(http.ErrAbortHandler)
	}
	c.mayHaveRun = c.mayHaveRun || !a.outcome.NotRun()
	return a.outcome == core.OutcomeCompleted
}
