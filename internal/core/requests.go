package core

import (
	"net/http"
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// RequestID identifies a request within one process instance of an agent.
type RequestID uint64

// RequestDigest is the SHA-256 digest of a request's method, path and body. It
// tells a retry from a different request with the same key.
type RequestDigest [32]byte

// RequestArrived reports a request that a caller sent on a local flow, or that
// another agent handed over.
type RequestArrived struct {
	ID     RequestID
	Flow   model.FlowKey
	Method string
	// Idempotent reports that the method is defined as idempotent.
	Idempotent bool
	// Key is the caller's Idempotency-Key, empty if there is none.
	Key    string
	Digest RequestDigest
	// Replayable reports that the whole request is buffered, so that it can be
	// sent to another agent after a target has refused it.
	Replayable bool
	// Deadline is when the caller stops waiting. Zero selects the service's
	// request timeout.
	Deadline time.Time
	// HandedOver reports that another agent sent the request. Its key, if any,
	// is already claimed by that agent.
	HandedOver bool
	// ReplayOnly requests the key's stored response; nothing may run.
	ReplayOnly bool
	// Visited lists the agents that had the request before; the first is the
	// flow's holder.
	Visited []model.NodeID
}

// RequestCancelled reports that the caller cancelled its request while no
// attempt was running. Decisions that follow, or that have not been carried
// out, have no effect. The end of a running attempt is reported by
// AttemptFinished or HandOverFinished instead.
type RequestCancelled struct{ ID RequestID }

// RequestOutcome is the way in which an attempt to run a request ended.
type RequestOutcome uint8

// The outcomes of an attempt.
const (
	// OutcomeCompleted is a response that was read to its end.
	OutcomeCompleted RequestOutcome = iota + 1
	// OutcomeShed is a rejection by a target or peer which states that it did
	// not run the request.
	OutcomeShed
	// OutcomeNotSent is an attempt of which no byte left the agent.
	OutcomeNotSent
	// OutcomeUnknown is an attempt that failed after a byte may have arrived.
	OutcomeUnknown
	// OutcomeAborted is an attempt that the caller's cancellation ended.
	OutcomeAborted
)

// String returns the outcome's name in logs and metrics.
func (o RequestOutcome) String() string {
	switch o {
	case OutcomeCompleted:
		return "answered"
	case OutcomeShed:
		return "shed"
	case OutcomeNotSent:
		return "not-sent"
	case OutcomeUnknown:
		return "unknown"
	case OutcomeAborted:
		return "aborted"
	}
	return "invalid"
}

// NotRun reports whether the outcome proves that the request did not run.
func (o RequestOutcome) NotRun() bool {
	return o == OutcomeShed || o == OutcomeNotSent
}

// AttemptFinished reports the end of an attempt at this agent's target.
type AttemptFinished struct {
	ID      RequestID
	Outcome RequestOutcome
	// Status is the HTTP status of a completed or shed attempt.
	Status int
	// Latency is the time from sending the request to the response header.
	Latency time.Duration
	// Response is the response to a request with a key, nil if it was too large.
	Response *StoredResponse
}

// TargetConnectionClosed reports that the connection that carried a request to
// the target is closed, so that the target no longer runs it. It follows every
// AttemptFinished, and frees the slot.
type TargetConnectionClosed struct{ ID RequestID }

// HandOverFinished reports the end of an attempt at another agent.
type HandOverFinished struct {
	ID       RequestID
	Peer     model.NodeID
	Outcome  RequestOutcome
	Status   int
	Response *StoredResponse
}

// StoredResponse is a response stored for retries with the same
// Idempotency-Key. It is immutable.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// RequestEffect is an effect that concerns one request.
type RequestEffect interface {
	Effect
	RequestID() RequestID
}

// GrantRequest sends the request to the target.
type GrantRequest struct {
	ID       RequestID
	Deadline time.Time
}

// RefuseReason is the reason for which a request is refused.
type RefuseReason uint8

// The reasons for refusals.
const (
	// RefuseNoTarget means that no target has announced itself.
	RefuseNoTarget RefuseReason = iota + 1
	// RefuseDraining means that the target or agent accepts no new work.
	RefuseDraining
	// RefuseDomainOut means that the failure domain is out of service.
	RefuseDomainOut
	// RefuseLeaseLapsed means that the agent's lease lapsed.
	RefuseLeaseLapsed
	// RefuseOverload means that the target has no free capacity.
	RefuseOverload
	// RefuseDeadlineExceeded means that the deadline passed.
	RefuseDeadlineExceeded
	// RefuseTargetRefused means that the target refused or could not be reached.
	RefuseTargetRefused
	// RefuseAttemptFailed means that an attempt ended without a complete
	// response.
	RefuseAttemptFailed
	// RefuseKeyInProgress means that a request with the same key is in progress.
	RefuseKeyInProgress
	// RefuseKeyCompleted means that a request with the same key completed, and
	// its response was too large to store.
	RefuseKeyCompleted
	// RefuseKeyOutcomeUnknown means that the outcome of an earlier request with
	// the same key is unknown.
	RefuseKeyOutcomeUnknown
	// RefuseKeyReused means that the key belongs to a different request.
	RefuseKeyReused
	// RefuseKeyOwnerTimeout means that the key's owner did not reply in time.
	RefuseKeyOwnerTimeout
)

var refuseReasonNames = map[RefuseReason]string{
	RefuseNoTarget: "no-target", RefuseDraining: "draining", RefuseDomainOut: "domain-out",
	RefuseLeaseLapsed: "lease-lapsed", RefuseOverload: "overload", RefuseDeadlineExceeded: "deadline-exceeded",
	RefuseTargetRefused: "target-refused", RefuseAttemptFailed: "broken", RefuseKeyInProgress: "key-in-progress",
	RefuseKeyCompleted: "key-done", RefuseKeyOutcomeUnknown: "key-outcome-unknown",
	RefuseKeyReused: "key-reused", RefuseKeyOwnerTimeout: "key-unsettled",
}

// String returns the reason's name in logs, metrics and responses.
func (r RefuseReason) String() string {
	if name, ok := refuseReasonNames[r]; ok {
		return name
	}
	return "invalid"
}

// RefuseRequest answers the caller with a refusal.
type RefuseRequest struct {
	ID     RequestID
	Reason RefuseReason
	// NotRun states that no target ran the request. Otherwise the outcome is
	// unknown.
	NotRun bool
	// RetryAfter is the time after which a retry is likely to be served, 0 if a retry is
	// of no use or the request may have run.
	RetryAfter time.Duration
}

// HandOver sends a request that did not run to another agent. The result is
// reported by HandOverFinished.
type HandOver struct {
	ID       RequestID
	To       model.NodeID
	Addr     netip.AddrPort
	Deadline time.Time
	// Visited lists the agents that must not get the request again, this one
	// included.
	Visited []model.NodeID
	// ReplayOnly requests the stored response of the request's key.
	ReplayOnly bool
}

// ReplayResponse answers the caller with the stored response of its key.
type ReplayResponse struct {
	ID       RequestID
	Response *StoredResponse
}

// RequestID returns the request that the effect concerns.
func (e GrantRequest) RequestID() RequestID { return e.ID }

// RequestID returns the request that the effect concerns.
func (e RefuseRequest) RequestID() RequestID { return e.ID }

// RequestID returns the request that the effect concerns.
func (e HandOver) RequestID() RequestID { return e.ID }

// RequestID returns the request that the effect concerns.
func (e ReplayResponse) RequestID() RequestID { return e.ID }

func (GrantRequest) effect()   {}
func (RefuseRequest) effect()  {}
func (HandOver) effect()       {}
func (ReplayResponse) effect() {}

func (RequestArrived) event()         {}
func (RequestCancelled) event()       {}
func (AttemptFinished) event()        {}
func (TargetConnectionClosed) event() {}
func (HandOverFinished) event()       {}
