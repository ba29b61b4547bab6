package workload

// HTTP headers that callers, agents and targets exchange.
const (
	// HeaderRequestID identifies a request. Targets return the ID of the request
	// that they ran.
	HeaderRequestID = "Request-Id"
	// HeaderIdempotencyKey identifies retries of one non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the remaining time of a request, in milliseconds.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderTarget is the name of the target that ran the request, as reported
	// by the target itself.
	HeaderTarget = "Target-Name"
	// HeaderAgentTarget is the name of the target, as reported by the agent.
	HeaderAgentTarget = "Amaranthwheel-Target"
	// HeaderOutcome is the outcome of a request that has no response from a target.
	HeaderOutcome = "Amaranthwheel-Outcome"
	// HeaderReason is why the system refused a request.
	HeaderReason = "Amaranthwheel-Reason"
)

// Values of HeaderOutcome.
const (
	// OutcomeNotRun guarantees that no target ran the request.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown = "unknown"
)

// Span attributes of callers and targets.
const (
	AttributeRequestID = "request.id"
	AttributeFlow      = "flow.id"
	AttributeService   = "service"
	AttributeTarget    = "target"
	AttributeOutcome   = "outcome"
)

// Query parameters of a request's URL.
const (
	// QuerySize is the requested length of the response body, in bytes.
	QuerySize = "size"
	// QueryWork is the requested duration of the work, in milliseconds.
	QueryWork = "work_ms"
)
