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

// serveCaller serves a request from a caller.
func (f *Front) serveCaller(w http.ResponseWriter, r *http.Request) {
	removeInternalHeaders(r.Header)
	f.serveRequest(w, r, core.RequestArrived{Flow: flowFromContext(r.Context())})
}

// serveHandOver serves a request handed over by another agent.
func (f *Front) serveHandOver(w http.ResponseWriter, r *http.Request) {
	caller, err := netip.ParseAddrPort(r.Header.Get(headerCaller))
	if err != nil {
		http.Error(w, "invalid or missing caller address in the hand-over", http.StatusBadRequest)
		return
	}
	f.serveRequest(w, r, core.RequestArrived{
		Flow:       model.FlowKey{Caller: caller, Service: f.opts.Service},
		HandedOver: true,
		ReplayOnly: r.Header.Get(headerReplay) != "",
		Visited:    splitNodes(r.Header.Get(headerVisited)),
	})
}

// pendingRequest is a request that the front is serving.
type pendingRequest struct {
	front     *Front
	id        core.RequestID
	decisions <-chan core.RequestEffect
	w         http.ResponseWriter
	r         *http.Request
	body      *requestBody
	arrived   core.RequestArrived
	// mayHaveRun is set once a target may have received a part of the request.
	mayHaveRun bool
}

// frontFullRetryAfter is when a request may be retried that exceeds the front's limit of
// concurrent requests.
const frontFullRetryAfter = time.Second

// serveRequest reports the request to the node and performs its decisions.
func (f *Front) serveRequest(w http.ResponseWriter, r *http.Request, ev core.RequestArrived) {
	select {
	case f.requestSlots <- struct{}{}:
		defer func() { <-f.requestSlots }()
	default:
		writeRefusal(w, core.RefuseOverload, true, frontFullRetryAfter)
		return
	}
	ev.Deadline = requestDeadline(r.Header, time.Now())
	body, err := readBody(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.tracer.Start(ctx, "agent", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithLinks(trace.Link{SpanContext: obs.FlowSpanContext(ev.Flow)}))
	defer span.End()
	ev.Method = r.Method
	ev.Idempotent = isIdempotent(r.Method)
	ev.Key = r.Header.Get(HeaderIdempotencyKey)
	ev.Digest = body.digest(r)
	ev.Replayable = body.replayable()
	p := &pendingRequest{front: f, w: w, r: r.WithContext(ctx), body: body}
	p.id, p.decisions = f.registerRequest()
	defer f.unregisterRequest(p.id)
	ev.ID = p.id
	span.SetAttributes(requestIDAttribute(p.id))
	p.arrived = ev
	f.opts.Events.Submit(ev)
	p.run(ctx)
}

// run performs decisions until the caller has received a response.
func (p *pendingRequest) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			p.front.opts.Events.Submit(core.RequestCancelled{ID: p.id})
			panic(http.ErrAbortHandler)
		case decision := <-p.decisions:
			if p.performDecision(ctx, decision) {
				return
			}
		}
	}
}

// performDecision performs one decision and reports whether the caller has
// received a response.
func (p *pendingRequest) performDecision(ctx context.Context, decision core.RequestEffect) bool {
	switch decision := decision.(type) {
	case core.GrantRequest:
		return p.sendToTarget(ctx, decision)
	case core.HandOver:
		return p.handOver(ctx, decision)
	case core.ReplayResponse:
		writeStoredResponse(p.w, decision.Response)
	case core.RefuseRequest:
		writeRefusal(p.w, decision.Reason, decision.NotRun && !p.mayHaveRun, decision.RetryAfter)
	}
	return true
}

// sendToTarget sends the request to the target.
func (p *pendingRequest) sendToTarget(ctx context.Context, e core.GrantRequest) bool {
	a := p.front.startAttempt(ctx, p.front.targetDestination(e.Deadline), p.r, p.body)
	if a.outcome == core.OutcomeNotSent && ctx.Err() != nil {
		p.cancel(a)
	}
	stored, err := p.forwardResponse(a, string(p.front.target.Load().Name))
	p.front.opts.Events.Submit(core.AttemptFinished{
		ID: p.id, Outcome: a.outcome, Status: a.status(), Latency: a.latency, Response: stored,
	})
	p.front.closingAttempts.Go(func() {
		a.close()
		p.front.opts.Events.Submit(core.TargetConnectionClosed{ID: p.id})
	})
	return p.finishAttempt(a, err)
}

// handOver sends the request to another agent.
func (p *pendingRequest) handOver(ctx context.Context, e core.HandOver) bool {
	a := p.front.startAttempt(ctx, p.front.peerDestination(e, p.arrived.Flow), p.r, p.body)
	if a.outcome == core.OutcomeNotSent && ctx.Err() != nil {
		p.cancel(a)
	}
	stored, err := p.forwardResponse(a, "")
	p.front.opts.Events.Submit(core.HandOverFinished{
		ID: p.id, Peer: e.To, Outcome: a.outcome, Status: a.status(), Response: stored,
	})
	p.front.closingAttempts.Go(a.close)
	return p.finishAttempt(a, err)
}

// cancel ends a request that the caller cancelled before anything was sent.
func (p *pendingRequest) cancel(a *attempt) {
	p.front.closingAttempts.Go(a.close)
	p.front.opts.Events.Submit(core.RequestCancelled{ID: p.id})
	panic(http.ErrAbortHandler)
}

// forwardResponse streams the attempt's response, if there is one, to the caller
// and updates the attempt's outcome.
func (p *pendingRequest) forwardResponse(a *attempt, target string) (*core.StoredResponse, error) {
	if a.outcome != core.OutcomeCompleted {
		return nil, nil
	}
	store := p.arrived.Key != "" && !p.arrived.HandedOver
	stored, err := streamResponse(p.w, a.response, target, store)
	switch {
	case errors.Is(err, errCallerWrite), err != nil && p.r.Context().Err() != nil:
		a.outcome = core.OutcomeAborted
	case err != nil:
		a.outcome = core.OutcomeUnknown
	}
	return stored, err
}

// finishAttempt reports whether the caller has received a response. An incomplete
// response aborts the caller's stream.
func (p *pendingRequest) finishAttempt(a *attempt, err error) bool {
	if err != nil || a.outcome == core.OutcomeAborted {
		panic(http.ErrAbortHandler)
	}
	p.mayHaveRun = p.mayHaveRun || !a.outcome.NotRun()
	return a.outcome == core.OutcomeCompleted
}
