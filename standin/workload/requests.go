package workload

import "time"

// RequestOutcome is what became of a request, as its caller sees it. Every
// request that was sent has exactly one.
type RequestOutcome string

// The outcomes of requests.
const (
	// RequestAnswered is a whole answer to the caller's own request.
	RequestAnswered RequestOutcome = "answered"
	// RequestRefused is a refusal that says "not run".
	RequestRefused RequestOutcome = "refused"
	// RequestUnknown is a stated unknown outcome, an error status without a
	// stated outcome, a timeout, or a request that the caller cancelled.
	RequestUnknown RequestOutcome = "unknown"
	// RequestLost is a request without an answer or with a wrong one.
	RequestLost RequestOutcome = "lost"
)

// AnswerFault is what is wrong with an answer.
type AnswerFault string

// The faults of answers.
const (
	AnswerWhole AnswerFault = ""
	// AnswerTruncated is an answer that ended too early as if it were whole.
	AnswerTruncated AnswerFault = "truncated"
	// AnswerReset is an answer that was given up halfway, so that its caller
	// knows that it is not whole.
	AnswerReset AnswerFault = "reset"
	// AnswerCrossed is an answer to another request or by another service.
	AnswerCrossed AnswerFault = "crossed"
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
	// Size is the length of the answer that was asked for, in bytes.
	Size    int64          `json:"size"`
	Sent    time.Time      `json:"sent"`
	Done    time.Time      `json:"done,omitzero"`
	Outcome RequestOutcome `json:"outcome"`
	Status  int            `json:"status,omitempty"`
	// AnswerID is the request that the answer says it belongs to. It differs
	// from ID when an earlier request with the same key is answered again.
	AnswerID string      `json:"answer_id,omitempty"`
	Answer   Digest      `json:"answer,omitzero"`
	Fault    AnswerFault `json:"fault,omitempty"`
	// Target is the target in its own words, AgentTarget in the agent's.
	Target      string `json:"target,omitempty"`
	AgentTarget string `json:"agent_target,omitempty"`
	Error       string `json:"error,omitempty"`
}

// MethodDatagram stands for the method of requests that are datagrams of a
// flow service. Targets keep no runs of them.
const MethodDatagram = "DATAGRAM"

// Idempotent reports whether the method may run more than once.
func Idempotent(method string) bool {
	return method != "POST" && method != "PATCH"
}

// Move is a change of a flow's target.
type Move struct {
	From string    `json:"from"`
	To   string    `json:"to"`
	At   time.Time `json:"at"`
	// Declared reports whether the agent named the new target itself: it kept
	// the caller's connection and handed the request over.
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
	// Long marks flows that are meant to last for the whole load.
	Long   bool      `json:"long"`
	Opened time.Time `json:"opened,omitzero"`
	Closed time.Time `json:"closed,omitzero"`
	// Target is the target that answered last.
	Target string `json:"target,omitempty"`
	// Established is set by the first whole answer.
	Established bool   `json:"established"`
	Moves       []Move `json:"moves,omitempty"`
	// GoAway reports that the agent asked the caller to leave, by HTTP/3's
	// GOAWAY.
	GoAway bool `json:"go_away,omitempty"`
	// Broken is the cause, if an established flow ended other than by its
	// caller or moved without being allowed to.
	Broken string `json:"broken,omitempty"`
}

// Second is one second of a load, by the time requests were sent.
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

// Latency summarises the time from sending a request to its whole answer.
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
	// BrokenFlows counts broken flows, GoAways those that ended by GOAWAY,
	// Moves the changes of target.
	BrokenFlows int `json:"broken_flows"`
	GoAways     int `json:"go_aways"`
	Moves       int `json:"moves"`
	// Pending counts requests still under way; they are not yet in Sent.
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
	// WorstStall is the longest time without an answer in time.
	WorstStall time.Duration `json:"worst_stall_ns"`
	Series     []Second      `json:"series"`
	Flows      []Flow        `json:"flows"`
	Requests   []Request     `json:"requests"`
}
