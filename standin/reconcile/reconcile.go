package reconcile

import (
	"cmp"
	"slices"
	"strings"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// checker holds the ledgers under comparison, with indexes.
type checker struct {
	report  Report
	callers []workload.CallerLedger
	targets Targets
	// requests holds the callers' requests by ID, runs the targets' runs by
	// request ID, ids the request IDs sent with one Idempotency-Key.
	requests map[string]*workload.Request
	runs     map[string][]workload.Run
	ids      map[string][]string
	// givenUp holds the targets whose flows operators gave up, givenUpFlows
	// the flows that were there.
	givenUp      map[string]bool
	givenUpFlows map[string]bool
	// answeredFlows holds the flows that had an answer.
	answeredFlows map[string]bool
}

// Reconcile compares the ledgers of all callers and targets of a scenario.
// Findings are in the order of their kinds and subjects. Broken flows and lost
// requests at the targets that were given up are no findings; they are counted.
func Reconcile(callers []workload.CallerLedger, targets Targets, givenUp ...string) Report {
	c := &checker{
		callers: callers, targets: targets,
		requests: make(map[string]*workload.Request),
		runs:     make(map[string][]workload.Run),
		ids:      make(map[string][]string),
		givenUp:  make(map[string]bool), givenUpFlows: make(map[string]bool),
		answeredFlows: make(map[string]bool),
	}
	for _, target := range givenUp {
		c.givenUp[target] = true
	}
	c.index()
	for i := range callers {
		c.checkCounts(&callers[i])
		c.checkFlows(&callers[i])
		for j := range callers[i].Requests {
			c.checkRequest(&callers[i].Requests[j])
		}
	}
	c.checkRuns()
	c.checkDuplicates()
	for _, v := range targets.Violations {
		c.report.add(Kind(v.Kind), v.Target, "%s", v.Detail)
	}
	slices.SortStableFunc(c.report.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return c.report
}

// index fills the indexes.
func (c *checker) index() {
	for i := range c.callers {
		for j := range c.callers[i].Requests {
			r := &c.callers[i].Requests[j]
			if _, twice := c.requests[r.ID]; twice {
				c.report.add(KindMiscounted, r.ID, "request is in the callers' ledgers twice")
			}
			c.requests[r.ID] = r
			if r.IdempotencyKey != "" {
				c.ids[r.IdempotencyKey] = append(c.ids[r.IdempotencyKey], r.ID)
			}
		}
	}
	for _, run := range c.targets.Runs {
		c.runs[run.RequestID] = append(c.runs[run.RequestID], run)
	}
	c.report.Runs = len(c.targets.Runs)
}

// checkCounts compares a ledger's totals and time series with its requests.
func (c *checker) checkCounts(ledger *workload.CallerLedger) {
	var own Totals
	for i := range ledger.Requests {
		own.Sent++
		switch ledger.Requests[i].Outcome {
		case workload.RequestAnswered:
			own.Answered++
		case workload.RequestRefused:
			own.Refused++
		case workload.RequestUnknown:
			own.Unknown++
		case workload.RequestLost:
			own.Lost++
		}
	}
	if own.Sent != own.Answered+own.Refused+own.Unknown+own.Lost {
		c.report.add(KindMiscounted, ledger.Caller, "requests without an outcome: %v", own)
	}
	stated := ledger.Counts
	if stated.Sent != own.Sent || stated.Answered != own.Answered || stated.Refused != own.Refused ||
		stated.Unknown != own.Unknown || stated.Lost != own.Lost || stated.Pending != 0 {
		c.report.add(KindMiscounted, ledger.Caller, "totals %+v differ from the requests: %v", stated, own)
	}
	if inSeries := sentInSeries(ledger.Series); inSeries != own.Sent {
		c.report.add(KindMiscounted, ledger.Caller, "time series has %d requests, the ledger %d", inSeries, own.Sent)
	}
	c.report.Totals.Sent += own.Sent
	c.report.Totals.Answered += own.Answered
	c.report.Totals.Refused += own.Refused
	c.report.Totals.Unknown += own.Unknown
	c.report.Totals.Lost += own.Lost
}

func sentInSeries(series []workload.Second) int {
	sent := 0
	for _, second := range series {
		sent += second.Sent
	}
	return sent
}

// checkFlows reports the broken flows of a caller.
func (c *checker) checkFlows(ledger *workload.CallerLedger) {
	for i := range ledger.Flows {
		flow := &ledger.Flows[i]
		c.report.Moves += len(flow.Moves)
		c.answeredFlows[flow.ID] = flow.Target != ""
		if c.wasGivenUp(flow) {
			c.givenUpFlows[flow.ID] = true
		}
		if flow.Broken != "" && c.givenUpFlows[flow.ID] {
			c.report.GivenUpFlows++
			continue
		}
		if flow.Broken != "" {
			c.report.Totals.BrokenFlows++
			c.report.add(KindBrokenFlow, flow.ID, "%s (target %s)", flow.Broken, flow.Target)
		}
	}
}

// wasGivenUp reports whether a flow was ever at a target that was given up.
func (c *checker) wasGivenUp(flow *workload.Flow) bool {
	return c.givenUp[flow.Target] || slices.ContainsFunc(flow.Moves, func(m workload.Move) bool {
		return c.givenUp[m.From] || c.givenUp[m.To]
	})
}

// domainOutReason is why an agent closes flows whose failure domain is out.
const domainOutReason = "failure domain out"

// givenUpBeforeAnswer reports whether an agent gave up a flow that had no
// answer yet, so that its target is unknown.
func (c *checker) givenUpBeforeAnswer(r *workload.Request) bool {
	return len(c.givenUp) > 0 && !c.answeredFlows[r.Flow] && strings.Contains(r.Error, domainOutReason)
}

// checkRequest compares one request with its answer and its runs.
func (c *checker) checkRequest(r *workload.Request) {
	switch r.Fault {
	case workload.ResponseMismatched:
		c.report.add(KindCrossed, r.ID, "answer is not the request's own (says it is for %q)", r.ResponseID)
	case workload.ResponseTruncated:
		c.report.add(KindTruncated, r.ID, "%d bytes of %d", r.Response.Bytes, r.Size)
	case workload.ResponseReset:
		c.report.Resets++
	}
	switch r.Outcome {
	case workload.RequestLost:
		switch {
		case r.Flow == "":
			c.report.Unsent++
		case c.givenUpFlows[r.Flow], c.givenUpBeforeAnswer(r):
			c.report.GivenUpRequests++
		default:
			c.report.Cut++
		}
	case workload.RequestAnswered:
		c.checkAnswered(r)
	case workload.RequestRefused:
		for _, run := range c.runs[r.ID] {
			c.report.add(KindFalseNotRun, r.ID, "refused as not run, but %s ran it (%s)", run.Target, run.Outcome)
		}
	}
}

// checkAnswered computes the answer anew, without trust in the caller's own
// verdict.
func (c *checker) checkAnswered(r *workload.Request) {
	if service, known := c.targets.Services[r.Target]; known && service != r.Service {
		c.report.add(KindCrossService, r.ID, "%s of %s answered a request to %s", r.Target, service, r.Service)
	}
	if r.AgentTarget != "" && r.AgentTarget != r.Target {
		c.report.add(KindCrossed, r.ID, "the agent says %s answered, the target says %s", r.AgentTarget, r.Target)
	}
	if r.Method == workload.MethodDatagram {
		if r.Response != r.Body {
			c.report.add(KindCrossed, r.ID, "echo differs from the datagram")
		}
		return
	}
	id := r.ID
	if r.ResponseID != "" && slices.Contains(c.ids[r.IdempotencyKey], r.ResponseID) {
		id = r.ResponseID
	}
	want := workload.ResponseDigest(id, r.Service, r.Size)
	switch {
	case r.Response == want:
	case r.Response.Bytes < want.Bytes:
		c.report.add(KindTruncated, r.ID, "%d bytes of %d", r.Response.Bytes, want.Bytes)
	default:
		c.report.add(KindCrossed, r.ID, "answer's digest is not the request's")
	}
	if len(c.runs[id]) == 0 {
		c.report.add(KindUnrecorded, r.ID, "answered by %q, but in no target's ledger", r.Target)
	}
}

// checkRuns compares each run with the request that it belongs to.
func (c *checker) checkRuns() {
	for i := range c.targets.Runs {
		run := &c.targets.Runs[i]
		r, ok := c.requests[run.RequestID]
		if !ok {
			c.report.ForeignRuns++
			continue
		}
		if run.Service != r.Service {
			c.report.add(KindCrossService, r.ID, "%s of %s ran a request to %s", run.Target, run.Service, r.Service)
		}
		if run.Body.Bytes != r.Body.Bytes || (r.Body.Bytes > 0 && run.Body != r.Body) {
			c.report.add(KindCorrupted, r.ID, "%s ran it with another body (%d bytes of %d)", run.Target, run.Body.Bytes, r.Body.Bytes)
		}
	}
}

// checkDuplicates finds the non-idempotent requests that ran more than once.
// Requests with one Idempotency-Key are one request.
func (c *checker) checkDuplicates() {
	ran := make(map[string][]workload.Run)
	for _, run := range c.targets.Runs {
		if !workload.Idempotent(run.Method) {
			name := cmp.Or(run.IdempotencyKey, run.RequestID)
			ran[name] = append(ran[name], run)
		}
	}
	for name, runs := range ran {
		if len(runs) < 2 {
			continue
		}
		c.report.Totals.Duplicated += len(runs) - 1
		c.report.add(KindDuplicated, name, "%d runs, by %s and %s", len(runs), runs[0].Target, runs[1].Target)
	}
}
