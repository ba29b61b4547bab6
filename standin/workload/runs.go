package workload

import "time"

// RunOutcome is the outcome of a target's work on a request.
type RunOutcome string

// The outcomes of runs. A refused request has no run.
const (
	RunRunning   RunOutcome = "running"
	RunCompleted RunOutcome = "completed"
	// RunCancelled is work that stopped because the connection closed.
	RunCancelled RunOutcome = "cancelled"
	// RunTimedOut is work that stopped at the request's deadline.
	RunTimedOut RunOutcome = "timed-out"
	// RunFailed is work that failed because the target became overloaded and
	// went down.
	RunFailed RunOutcome = "failed"
)

// Run is one execution of a request by a target.
type Run struct {
	// Number counts the runs of a target's instance, from 1.
	Number         uint64     `json:"number"`
	Target         string     `json:"target"`
	Instance       string     `json:"instance"`
	Service        string     `json:"service"`
	RequestID      string     `json:"request_id"`
	IdempotencyKey string     `json:"idempotency_key,omitempty"`
	Method         string     `json:"method"`
	Path           string     `json:"path"`
	Body           Digest     `json:"body"`
	Started        time.Time  `json:"started"`
	Finished       time.Time  `json:"finished,omitzero"`
	Outcome        RunOutcome `json:"outcome"`
}

// ViolationKind is the kind of a limit violation at a target.
type ViolationKind string

// The kinds of violations.
const (
	// ViolationOverloaded is a target that went down under overload.
	ViolationOverloaded ViolationKind = "overloaded"
	// ViolationConnections is a connection above the target's limit.
	ViolationConnections ViolationKind = "connections"
)

// Violation is one breach of a target's limits by whoever sent it work.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	Target string        `json:"target"`
	At     time.Time     `json:"at"`
	Detail string        `json:"detail"`
}

// TargetStart identifies a target's process instance.
type TargetStart struct {
	Target   string    `json:"target"`
	Instance string    `json:"instance"`
	Service  string    `json:"service"`
	Started  time.Time `json:"started"`
}

// TargetRecord is one line of a target's ledger file: exactly one field is
// set. A run is written when it starts and again when it ends.
type TargetRecord struct {
	Start     *TargetStart `json:"start,omitempty"`
	Run       *Run         `json:"run,omitempty"`
	Violation *Violation   `json:"violation,omitempty"`
}

// TargetStats are the counters of one target instance.
type TargetStats struct {
	// Capacity is the current limit on concurrent requests.
	Capacity int `json:"bears"`
	// Running counts the requests running now, PeakRunning their maximum so
	// far.
	Running     int `json:"running"`
	PeakRunning int `json:"peak_running"`
	// Connections counts the open HTTP connections.
	Connections int    `json:"connections"`
	Runs        uint64 `json:"runs"`
	// Shed counts the requests refused with "not run".
	Shed uint64 `json:"shed"`
	// Failed counts the requests that failed because the target was down.
	Failed    uint64    `json:"failed"`
	Cancelled uint64    `json:"cancelled"`
	TimedOut  uint64    `json:"timed_out"`
	LastRun   time.Time `json:"last_run,omitzero"`
	// Datagrams counts the datagrams of flow services, Flows their senders.
	Datagrams uint64 `json:"datagrams"`
	Flows     int    `json:"flows"`
	Draining  bool   `json:"draining"`
	Withdrawn bool   `json:"left"`
	// Accepted reports whether the agent accepted the last announcement.
	Accepted bool `json:"accepted"`
}

// TargetLedger is the whole ledger of one target instance.
type TargetLedger struct {
	Target     string      `json:"target"`
	Instance   string      `json:"instance"`
	Service    string      `json:"service"`
	Stats      TargetStats `json:"stats"`
	Runs       []Run       `json:"runs"`
	Violations []Violation `json:"violations"`
}
