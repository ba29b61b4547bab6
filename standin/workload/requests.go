package workload

import "time"

// RequestOutcome is the outcome of a request as observed by its caller. Every
// request that was sent has exactly one.
type RequestOutcome string

// The outcomes of requests.
const (
	// RequestAnswered is a complete response to the caller's own request.
	RequestAnswered RequestOutcome = "answered"
	// RequestRefused is a refusal with the outcome "not run".
	RequestRefused RequestOutcome = "refused"
	// RequestUnknown is an outcome reported as unknown, an error status without
	// an outcome, a timeout, or a request that the caller cancelled.
	RequestUnknown RequestOutcome = "unknown"
	// RequestLost is a request without a response or with a wrong one.
	RequestLost RequestOutcome = "lost"
)

// ResponseFault is what is wrong with a response.
type ResponseFault string

// The faults of responses.
const (
	ResponseComplete ResponseFault = ""
	// ResponseTruncated is a response that ended early but looked complete.
	ResponseTruncated ResponseFault = "truncated"
	// ResponseReset is a response that was reset before its end, so its caller
	// knows that it is incomplete.
	ResponseReset ResponseFault = "reset"
	// ResponseMismatched is a response to another request or from another service.
	ResponseMismatched ResponseFault = "crossed"
)

// Request is one request that a caller sent.
type Request struct {
	ID             string `json:"id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Service        string `json:"service"`
	// Flow is the ID of the flow that carried the request.
	Flow   string `json:"flow"`
	Method string `json:"method"`
	// Body is the digest of the request's body.
	Body Digest `json:"body"`
	// Size is the requested length of the response body, in bytes.
	Size    int64          `json:"size"`
	Sent    time.Time      `json:"sent"`
	Done    time.Time      `json:"done,omitzero"`
	Outcome RequestOutcome `json:"outcome"`
	Status  int            `json:"status,omitempty"`
	// Reason is why the system refused the request, as it reported.
	Reason string `json:"reason,omitempty"`
	// ResponseID is the request ID in the response. It differs from ID when
	// the response to an earlier request with the same key is replayed.
	ResponseID string        `json:"answer_id,omitempty"`
	Response   Digest        `json:"answer,omitzero"`
	Fault      ResponseFault `json:"fault,omitempty"`
	// Target is the target's name as reported by the target, AgentTarget as
	// reported by the agent.
	Target      string `json:"target,omitempty"`
	AgentTarget string `json:"agent_target,omitempty"`
	Error       string `json:"error,omitempty"`
}

// MethodDatagram is the method recorded for datagrams of a flow service.
// Targets record no runs of them.
const MethodDatagram = "DATAGRAM"

// Idempotent reports whether requests with the method may run more than once.
func Idempotent(method string) bool {
	return method != "POST" && method != "PATCH"
}

// Move is a change of a flow's target.
type Move struct {
	From string    `json:"from"`
	To   string    `json:"to"`
	At   time.Time `json:"at"`
	// Declared reports whether the agent named the new target in its response:
	// it kept the caller's connection and handed the request over.
	Declared bool `json:"declared"`
	// Allowed reports whether the scenario had allowed moves from From.
	Allowed bool `json:"allowed"`
}

// Flow is one flow of a caller: a QUIC connection or a UDP flow.
type Flow struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Address is the caller's address.
	Address string `json:"address"`
	// LongLived marks flows that are meant to last for the whole load.
	LongLived bool      `json:"long"`
	Opened    time.Time `json:"opened,omitzero"`
	Closed    time.Time `json:"closed,omitzero"`
	// Target is the target that sent the last response.
	Target string `json:"target,omitempty"`
	// Established is set by the first complete response.
	Established bool   `json:"established"`
	Moves       []Move `json:"moves,omitempty"`
	// GoAway reports that the agent sent an HTTP/3 GOAWAY.
	GoAway bool `json:"go_away,omitempty"`
	// Broken is the cause if an established flow was closed other than by its
	// caller, or moved without permission.
	Broken string `json:"broken,omitempty"`
}

// Second is one second of a load; requests count by the time they were sent.
type Second struct {
	// Second counts from the start of the load, from 0.
	Second int `json:"second"`
	Sent   int `json:"sent"`
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Refused, Unknown and Lost count the other outcomes.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Lost    int `json:"lost"`
}

// Latency summarises the time from sending a request to its complete response.
type Latency struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Counts are the totals of a caller's ledger.
type Counts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Lost     int `json:"lost"`
	// BrokenFlows counts broken flows, GoAways the flows closed by GOAWAY,
	// Moves the changes of target.
	BrokenFlows int `json:"broken_flows"`
	GoAways     int `json:"go_aways"`
	Moves       int `json:"moves"`
	// Pending counts requests in flight; they are not yet in Sent.
	Pending int `json:"pending"`
	// OpenFlows counts the flows that are open now.
	OpenFlows int `json:"open_flows"`
}

// CallerLedger is the whole ledger of one caller.
type CallerLedger struct {
	Caller   string    `json:"caller"`
	Service  string    `json:"service"`
	Seed     uint64    `json:"seed"`
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished,omitzero"`
	Counts   Counts    `json:"counts"`
	Latency  Latency   `json:"latency"`
	// WorstStall is the longest time without an in-time response.
	WorstStall time.Duration `json:"worst_stall_ns"`
	Series     []Second      `json:"series"`
	Flows      []Flow        `json:"flows"`
	Requests   []Request     `json:"requests"`
}
