package reconcile

import "fmt"

// Kind names a kind of finding.
type Kind string

// The kinds of findings.
const (
	// KindMiscounted is a caller's ledger that contradicts itself.
	KindMiscounted Kind = "miscounted"
	// KindDuplicated is a non-idempotent request that ran more than once.
	KindDuplicated Kind = "duplicated"
	// KindCrossed is an answer to another request or by another service.
	KindCrossed Kind = "crossed"
	// KindTruncated is an answer that ended too early as if it were whole.
	KindTruncated Kind = "truncated"
	// KindFalseNotRun is a refusal that says "not run" of a request that ran.
	KindFalseNotRun Kind = "false-not-run"
	// KindCrossService is a request that a target of another service ran.
	KindCrossService Kind = "cross-service"
	// KindUnrecorded is an answer to a request that no target ran.
	KindUnrecorded Kind = "unrecorded"
	// KindCorrupted is a run with another body than the caller's.
	KindCorrupted Kind = "corrupted-body"
	// KindOverloaded is a target that fell over under its load.
	KindOverloaded Kind = "overloaded"
	// KindConnections is a connection or flow above a target's cap.
	KindConnections Kind = "connections"
	// KindBrokenFlow is an established flow that did not survive.
	KindBrokenFlow Kind = "broken-flow"
)

// Finding is one thing that must not happen.
type Finding struct {
	Kind Kind `json:"kind"`
	// Subject is the request, key, flow or target that it happened to.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s: %s", f.Kind, f.Subject, f.Detail)
}

// Totals are the counts of all ledgers together.
type Totals struct {
	Sent        int `json:"sent"`
	Answered    int `json:"answered"`
	Refused     int `json:"refused"`
	Unknown     int `json:"unknown"`
	Lost        int `json:"lost"`
	Duplicated  int `json:"duplicated"`
	BrokenFlows int `json:"broken_flows"`
}

// String returns the totals as the fields of a summary line.
func (t Totals) String() string {
	return fmt.Sprintf("sent=%d answered=%d refused=%d unknown=%d lost=%d duplicated=%d broken_flows=%d",
		t.Sent, t.Answered, t.Refused, t.Unknown, t.Lost, t.Duplicated, t.BrokenFlows)
}

// Report is the outcome of a reconciliation.
type Report struct {
	Totals   Totals    `json:"totals"`
	Findings []Finding `json:"findings"`
	// Runs counts the runs of all targets, ForeignRuns those of requests that
	// are in no caller's ledger.
	Runs        int `json:"runs"`
	ForeignRuns int `json:"foreign_runs"`
	// Resets counts the answers that were given up halfway; they are lost.
	Resets int `json:"resets"`
	// GivenUpFlows counts the broken flows at targets that were given up,
	// GivenUpRequests the lost requests on flows there.
	GivenUpFlows    int `json:"given_up_flows"`
	GivenUpRequests int `json:"given_up_requests"`
	// Unsent counts the lost requests for which no flow could be opened, Cut
	// those on flows that were not given up.
	Unsent int `json:"unsent"`
	Cut    int `json:"cut"`
	// Moves counts the changes of target of flows.
	Moves int `json:"moves"`
}

// add adds a finding.
func (r *Report) add(kind Kind, subject, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{kind, subject, fmt.Sprintf(format, args...)})
}
