package caller

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// Bounds of the latency histogram, in microseconds, and its precision in
// significant digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// allMoves allows moves from every target.
const allMoves = "*"

// flowRules say what breaks a flow.
type flowRules struct {
	// strictMoves breaks flows also on moves that the agent declared.
	strictMoves bool
	// allowGoAway lets established flows end by GOAWAY.
	allowGoAway bool
}

// recorder keeps the ledger of a caller. It is safe for concurrent use.
type recorder struct {
	lateAfter time.Duration
	rules     flowRules

	mu       sync.Mutex
	started  time.Time
	pending  int
	requests []workload.Request
	flows    map[string]*workload.Flow
	order    []string // flow IDs in the order of opening
	series   []workload.Second
	latency  *hdrhistogram.Histogram
	// inTime holds when answers in time were complete.
	inTime []time.Time
	// allowed holds the targets that flows may move away from.
	allowed map[string]bool
}

func newRecorder(lateAfter time.Duration, rules flowRules, now time.Time) *recorder {
	return &recorder{
		lateAfter: lateAfter, rules: rules, started: now,
		flows:   make(map[string]*workload.Flow),
		latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		allowed: make(map[string]bool),
	}
}

// start sets the time from which seconds are counted.
func (r *recorder) start(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = now
}

// sent counts a request that is under way.
func (r *recorder) sent(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending++
	r.second(at).Sent++
}

// done records a request with its outcome.
func (r *recorder) done(request workload.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending--
	r.requests = append(r.requests, request)
	second := r.second(request.Sent)
	switch request.Outcome {
	case workload.RequestAnswered:
		r.answered(request, second)
	case workload.RequestRefused:
		second.Refused++
	case workload.RequestUnknown:
		second.Unknown++
	default:
		second.Lost++
	}
}

func (r *recorder) answered(request workload.Request, second *workload.Second) {
	took := request.Done.Sub(request.Sent)
	_ = r.latency.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros)) // within bounds
	if took > r.lateAfter {
		second.Late++
	} else {
		second.InTime++
		r.inTime = append(r.inTime, request.Done)
	}
	flow, ok := r.flows[request.Flow]
	if !ok {
		return
	}
	flow.Established = true
	r.moveFlow(flow, &request)
}

// moveFlow notes the target that answered. A change breaks the flow unless
// the agent declared it or the scenario allowed it.
func (r *recorder) moveFlow(flow *workload.Flow, request *workload.Request) {
	from, to := flow.Target, request.Target
	flow.Target = to
	if from == "" || from == to {
		return
	}
	move := workload.Move{
		From: from, To: to, At: request.Done,
		Declared: request.AgentTarget == to && !r.rules.strictMoves,
		Allowed:  r.allowed[from] || r.allowed[allMoves],
	}
	flow.Moves = append(flow.Moves, move)
	if !move.Declared && !move.Allowed && flow.Broken == "" {
		flow.Broken = "moved from " + from + " to " + to
	}
}

// allowMoves lets flows move away from a target, or from all with "*".
func (r *recorder) allowMoves(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allowed[target] = true
}

// openFlow records a flow that is being used.
func (r *recorder) openFlow(flow workload.Flow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows[flow.ID] = &flow
	r.order = append(r.order, flow.ID)
}

// flowEnd is how a flow ended. The cause is empty when its caller closed it.
type flowEnd struct {
	cause  string
	goAway bool
}

// closeFlow records the end of a flow. Any end but by its caller breaks a flow
// that was established, unless GOAWAY is allowed.
func (r *recorder) closeFlow(id string, end flowEnd, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	flow := r.flows[id]
	if flow.Closed.IsZero() {
		flow.Closed = now
	}
	flow.GoAway = end.goAway
	if end.cause == "" || (end.goAway && r.rules.allowGoAway) {
		return
	}
	if flow.Established && flow.Broken == "" {
		flow.Broken = end.cause
	}
}

// second returns the second of the load that the time falls into.
func (r *recorder) second(at time.Time) *workload.Second {
	n := max(int(at.Sub(r.started)/time.Second), 0)
	for len(r.series) <= n {
		r.series = append(r.series, workload.Second{Second: len(r.series)})
	}
	return &r.series[n]
}

// counts returns the totals so far.
func (r *recorder) counts() workload.Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countsLocked()
}

func (r *recorder) countsLocked() workload.Counts {
	c := workload.Counts{Sent: len(r.requests), Pending: r.pending}
	for i := range r.requests {
		switch r.requests[i].Outcome {
		case workload.RequestAnswered:
			c.Answered++
		case workload.RequestRefused:
			c.Refused++
		case workload.RequestUnknown:
			c.Unknown++
		default:
			c.Lost++
		}
	}
	for _, flow := range r.flows {
		c.Moves += len(flow.Moves)
		if flow.Broken != "" {
			c.BrokenFlows++
		}
		if flow.GoAway {
			c.GoAways++
		}
		if flow.Closed.IsZero() {
			c.OpenFlows++
		}
	}
	return c
}

// openFlows returns the flows that are open now.
func (r *recorder) openFlows() []workload.Flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []workload.Flow{}
	for _, id := range r.order {
		if flow := r.flows[id]; flow.Closed.IsZero() {
			out = append(out, cloneFlow(flow))
		}
	}
	return out
}

// ledger returns a copy of everything recorded until now.
func (r *recorder) ledger(now time.Time) workload.CallerLedger {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := workload.CallerLedger{
		Started: r.started, Finished: now, Counts: r.countsLocked(),
		Latency: r.latencyLocked(), WorstStall: r.worstStall(now),
		Series: slices.Clone(r.series), Requests: slices.Clone(r.requests),
	}
	for _, id := range r.order {
		out.Flows = append(out.Flows, cloneFlow(r.flows[id]))
	}
	return out
}

func (r *recorder) latencyLocked() workload.Latency {
	quantile := func(q float64) time.Duration {
		return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
	}
	return workload.Latency{
		Count: r.latency.TotalCount(), P50: quantile(50), P90: quantile(90), P99: quantile(99),
		Max: time.Duration(r.latency.Max()) * time.Microsecond,
	}
}

// worstStall returns the longest time without an answer in time, from the
// start of the load until now.
func (r *recorder) worstStall(now time.Time) time.Duration {
	times := slices.SortedFunc(slices.Values(r.inTime), time.Time.Compare)
	last := r.started
	var worst time.Duration
	for _, at := range append(times, now) {
		worst = max(worst, at.Sub(last))
		last = at
	}
	return worst
}

func cloneFlow(flow *workload.Flow) workload.Flow {
	out := *flow
	out.Moves = slices.Clone(flow.Moves)
	return out
}
