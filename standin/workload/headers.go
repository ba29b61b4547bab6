package workload

// HTTP headers that callers, agents and targets exchange.
const (
	// HeaderRequestID names one request. Targets return the ID of the request
	// that they ran.
	HeaderRequestID = "Request-Id"
	// HeaderIdempotencyKey marks repetitions of one non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the time left for a request, in milliseconds.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderTarget is the name of the target that ran the request, in the
	// target's own words.
	HeaderTarget = "Target-Name"
	// HeaderAgentTarget is the name of the target, in the agent's words.
	HeaderAgentTarget = "Amaranthwheel-Target"
	// HeaderOutcome tells what became of a request that has no answer.
	HeaderOutcome = "Amaranthwheel-Outcome"
)

// Values of HeaderOutcome.
const (
	// OutcomeNotRun promises that no target ran the request.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown says that a target may have run the request.
	OutcomeUnknown = "unknown"
)

// Attributes of the spans of callers and targets.
const (
	AttributeRequestID = "request.id"
	AttributeFlow      = "flow.id"
	AttributeService   = "service"
	AttributeTarget    = "target"
	AttributeOutcome   = "outcome"
)

// Query parameters of a request's path.
const (
	// QuerySize asks for an answer of so many bytes.
	QuerySize = "size"
	// QueryWork asks for so many milliseconds of work.
	QueryWork = "work_ms"
)
