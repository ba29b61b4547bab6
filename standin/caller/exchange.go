package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// errCancelled ends a request that the caller gives up.
var errCancelled = errors.New("cancelled by the caller")

// errTextGoAway is the text of http3's unexported error for a request that it
// does not send because of a GOAWAY.
const errTextGoAway = "connection in graceful shutdown"

// exchange sends a planned request on a session, reads and checks the whole
// answer and records the outcome.
func (s *session) exchange(ctx context.Context, p plan) workload.Request {
	cfg := &s.caller.cfg
	r := workload.Request{
		ID: s.caller.requestID(), IdempotencyKey: p.key, Service: cfg.Service,
		Flow: s.flow, Method: p.method, Size: p.size,
	}
	if p.body > 0 {
		r.Body = workload.RequestBodyDigest(p.bodyName(r.ID), cfg.Service, p.body)
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Timeout)
	defer cancel()
	if p.cancelAfter > 0 {
		var giveUp context.CancelCauseFunc
		ctx, giveUp = context.WithCancelCause(ctx)
		defer time.AfterFunc(p.cancelAfter, func() { giveUp(errCancelled) }).Stop()
	}
	ctx, span := startSpan(ctx, &r)
	defer endSpan(span, &r)
	r.Sent = time.Now()
	s.caller.recorder.sent(r.Sent)
	resp, err := s.roundTrip(ctx, p, &r)
	if err != nil {
		classifyError(ctx, err, &r)
	} else {
		readAnswer(ctx, resp, p, &r)
	}
	r.Done = time.Now()
	s.caller.recorder.done(r)
	return r
}

// roundTrip sends the request and returns the answer's header.
func (s *session) roundTrip(ctx context.Context, p plan, r *workload.Request) (*http.Response, error) {
	cfg := &s.caller.cfg
	var body io.Reader
	if p.body > 0 {
		body = workload.NewRequestBody(p.bodyName(r.ID), cfg.Service, p.body)
	}
	req, err := http.NewRequestWithContext(ctx, p.method, p.url(s.caller.authority), body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = p.body
	req.Header.Set(workload.HeaderRequestID, r.ID)
	req.Header.Set(workload.HeaderTimeout, strconv.FormatInt(cfg.Timeout.Milliseconds(), 10))
	if p.key != "" {
		req.Header.Set(workload.HeaderIdempotencyKey, p.key)
	}
	obs.Inject(ctx, req.Header)
	return s.http.RoundTrip(req)
}

// readAnswer reads an answer to its end and classifies it.
func readAnswer(ctx context.Context, resp *http.Response, p plan, r *workload.Request) {
	defer resp.Body.Close()
	r.Status = resp.StatusCode
	r.Target = resp.Header.Get(workload.HeaderTarget)
	r.AgentTarget = resp.Header.Get(workload.HeaderAgentTarget)
	r.ResponseID = resp.Header.Get(workload.HeaderRequestID)
	digest, err := workload.ComputeDigest(resp.Body)
	if resp.StatusCode != http.StatusOK {
		classifyStatus(resp, r)
		return
	}
	r.Response = digest
	if err != nil {
		classifyError(ctx, err, r)
		if r.Outcome == workload.RequestLost {
			r.Fault = brokenOff(err)
		}
		return
	}
	r.Fault = checkAnswer(p, r)
	r.Outcome = workload.RequestAnswered
	if r.Fault != workload.ResponseComplete {
		r.Outcome = workload.RequestLost
	}
}

// classifyStatus sets the outcome of an answer with an error status.
func classifyStatus(resp *http.Response, r *workload.Request) {
	r.Outcome = workload.RequestUnknown
	r.Reason = resp.Header.Get(workload.HeaderReason)
	if resp.Header.Get(workload.HeaderOutcome) == workload.OutcomeNotRun {
		r.Outcome = workload.RequestRefused
	}
}

// classifyError sets the outcome of a request without a whole answer.
func classifyError(ctx context.Context, err error, r *workload.Request) {
	r.Error = err.Error()
	var h3 *http3.Error
	switch {
	case ctx.Err() != nil:
		r.Outcome = workload.RequestUnknown
		r.Error = context.Cause(ctx).Error()
	case errors.As(err, &h3) && h3.ErrorCode == http3.ErrCodeRequestRejected:
		r.Outcome = workload.RequestRefused // RFC 9114: the request was not processed
	case strings.Contains(r.Error, errTextGoAway):
		r.Outcome = workload.RequestRefused // no byte of it was sent
	default:
		r.Outcome = workload.RequestLost
	}
}

// brokenOff returns the fault of an answer whose reading ended in an error: a
// reset of its stream or the end of its connection is plain to the caller,
// anything else is a wrong length.
func brokenOff(err error) workload.ResponseFault {
	var stream *quic.StreamError
	var application *quic.ApplicationError
	var transport *quic.TransportError
	var idle *quic.IdleTimeoutError
	var reset *quic.StatelessResetError
	if errors.As(err, &stream) || errors.As(err, &application) || errors.As(err, &transport) ||
		errors.As(err, &idle) || errors.As(err, &reset) {
		return workload.ResponseReset
	}
	return workload.ResponseTruncated
}

// checkAnswer compares a received answer with the one that the request, or an
// earlier one with the same key, must have.
func checkAnswer(p plan, r *workload.Request) workload.ResponseFault {
	id := r.ID
	if slices.Contains(p.earlier, r.ResponseID) {
		id = r.ResponseID
	} else if r.ResponseID != "" && r.ResponseID != r.ID {
		return workload.ResponseMismatched
	}
	want := workload.ResponseDigest(id, r.Service, p.size)
	switch {
	case r.Response == want:
		return workload.ResponseComplete
	case r.Response.Bytes < want.Bytes:
		return workload.ResponseTruncated
	default:
		return workload.ResponseMismatched
	}
}
