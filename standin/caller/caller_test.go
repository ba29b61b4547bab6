package caller

import (
	"context"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/standin/certs"
	"amaranthwheel.example/amaranthwheel/standin/internal/fakeagent"
	"amaranthwheel.example/amaranthwheel/standin/target"
	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// testLimit bounds how long a test waits for something to happen.
const testLimit = 20 * time.Second

// resetDelay is how long a fake agent waits between a part of an answer and
// the reset of its stream, which would otherwise overtake it.
const resetDelay = 200 * time.Millisecond

// bench is a target behind a fake agent, and the settings of a caller of it.
type bench struct {
	target *target.Target
	agent  *fakeagent.Agent
	caller Config
}

func newBench(t *testing.T, mode model.Mode, handler fakeagent.Handler) *bench {
	t.Helper()
	dir := t.TempDir()
	if err := certs.Write(dir, []string{"localhost"}); err != nil {
		t.Fatal(err)
	}
	tgt, err := target.Start(target.Config{
		Name: "mast-1", Service: "lease-desk", Mode: mode, Listen: "127.0.0.1:0", Admin: "127.0.0.1:0",
		Slots: 50, Connections: 500, ColdSlowdown: 1, OverloadFactor: 2, StopLimit: time.Second,
	}, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tgt.Stop)
	agent, err := fakeagent.Start("0.0.0.0:0", dir, tgt.Address(), handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	service := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), agent.Port())
	balancers, err := ParseBalancers("127.0.0.1,127.0.0.2", service)
	if err != nil {
		t.Fatal(err)
	}
	return &bench{tgt, agent, Config{
		Name: "engineer", Service: "lease-desk", Mode: mode, Address: service, Balancers: balancers,
		Local: netip.MustParseAddr("127.0.0.1"), CAFile: filepath.Join(dir, certs.CertFile), ServerName: "localhost",
		Sessions: 3, SessionInterval: 20 * time.Millisecond, ShortRate: 20, MaxShort: 20,
		Duration: testLimit, MaxRequests: 100, Timeout: 5 * time.Second, LateAfter: 5 * time.Second,
		IdleTimeout: 5 * time.Second, PostShare: 0.5, KeyShare: 0.5, MinSize: 100, MaxSize: 20_000, BodySize: 3000, Seed: 7,
	}}
}

func (b *bench) newCaller(t *testing.T) *Caller {
	t.Helper()
	c, err := New(b.caller, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (b *bench) run(t *testing.T) workload.CallerLedger {
	t.Helper()
	return runCaller(t, b.newCaller(t))
}

func runCaller(t *testing.T, c *Caller) workload.CallerLedger {
	t.Helper()
	ledger, err := c.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return ledger
}

// during runs the load beside the steps of a test, and ends it after them.
func during(t *testing.T, c *Caller, steps func()) workload.CallerLedger {
	t.Helper()
	go func() {
		steps()
		c.stop()
	}()
	return runCaller(t, c)
}

// await waits until the counts of a load are as wanted, at most testLimit.
func await(c *Caller, ok func(workload.Counts) bool) {
	for deadline := time.Now().Add(testLimit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok(c.recorder.counts()) {
			return
		}
	}
}

func TestSprayedFlowsGetTheirAnswers(t *testing.T) {
	t.Parallel()
	b := newBench(t, model.ModeRequest, nil)
	c := b.newCaller(t)
	counts := runCaller(t, c).Counts
	if counts != (workload.Counts{Sent: 100, Answered: 100}) {
		t.Errorf("counts %+v, want all of 100 requests answered", counts)
	}
	if runs := len(b.target.Ledger().Runs); runs != counts.Sent {
		t.Errorf("target ran %d requests of %d", runs, counts.Sent)
	}
	for balancer, sent := range c.fabric.counts() {
		if sent < 50 {
			t.Errorf("balancer %v was sent %d datagrams, want a fair share", balancer, sent)
		}
	}
	if got := len(c.fabric.counts()); got != 2 {
		t.Errorf("%d balancers were used, want 2", got)
	}
}

func TestLoadIsBoundedInCount(t *testing.T) {
	t.Parallel()
	b := newBench(t, model.ModeRequest, nil)
	b.caller.MaxRequests = 11
	if got := b.run(t).Counts.Sent; got != 11 {
		t.Errorf("sent %d requests, want 11", got)
	}
}

func TestOutcomesAreToldApart(t *testing.T) {
	t.Parallel()
	refuse := func(outcome string, status int) fakeagent.Handler {
		return func(w http.ResponseWriter, _ *http.Request, _ http.HandlerFunc) {
			w.Header().Set(workload.HeaderOutcome, outcome)
			w.WriteHeader(status)
		}
	}
	cases := []struct {
		name    string
		handler fakeagent.Handler
		outcome workload.RequestOutcome
		fault   workload.ResponseFault
	}{
		{"not run", refuse(workload.OutcomeNotRun, 503), workload.RequestRefused, ""},
		{"unknown", refuse(workload.OutcomeUnknown, 502), workload.RequestUnknown, ""},
		{"unstated", refuse("", 500), workload.RequestUnknown, ""},
		{"timeout", func(_ http.ResponseWriter, r *http.Request, _ http.HandlerFunc) { <-r.Context().Done() }, workload.RequestUnknown, ""},
		{"crossed", func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
			r.Header.Set(workload.HeaderRequestID, "another")
			next(w, r)
		}, workload.RequestLost, workload.ResponseMismatched},
		{"short", func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
			r.URL.RawQuery = workload.QuerySize + "=10"
			next(w, r)
		}, workload.RequestLost, workload.ResponseTruncated},
		{"ended early", func(w http.ResponseWriter, _ *http.Request, _ http.HandlerFunc) {
			w.Header().Set("Content-Length", "100")
			w.Write([]byte("half"))
		}, workload.RequestLost, workload.ResponseTruncated},
		{"reset", func(w http.ResponseWriter, _ *http.Request, _ http.HandlerFunc) {
			w.Header().Set("Content-Length", "100")
			w.Write([]byte("half"))
			w.(http.Flusher).Flush()
			time.Sleep(resetDelay)
			panic(http.ErrAbortHandler)
		}, workload.RequestLost, workload.ResponseReset},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, model.ModeRequest, tc.handler)
			b.caller.Sessions, b.caller.MaxRequests, b.caller.ShortRate = 1, 1, 0
			b.caller.Timeout = time.Second
			ledger := b.run(t)
			if len(ledger.Requests) != 1 {
				t.Fatalf("requests %+v, want one", ledger.Requests)
			}
			if r := ledger.Requests[0]; r.Outcome != tc.outcome || r.Fault != tc.fault {
				t.Errorf("outcome %q, fault %q (%s), want %q, %q", r.Outcome, r.Fault, r.Error, tc.outcome, tc.fault)
			}
		})
	}
}

func TestEndedConnectionBreaksEstablishedFlow(t *testing.T) {
	t.Parallel()
	b := newBench(t, model.ModeRequest, nil)
	b.caller.ShortRate, b.caller.Sessions = 0, 2
	b.caller.MaxRequests = 100_000
	c := b.newCaller(t)
	ledger := during(t, c, func() {
		await(c, func(now workload.Counts) bool { return now.Answered > 20 && now.OpenFlows == 2 })
		b.agent.Close()
		await(c, func(now workload.Counts) bool { return now.BrokenFlows == 2 })
	})
	if got := ledger.Counts.BrokenFlows; got != 2 {
		t.Errorf("%d broken flows, want 2; flows %+v", got, ledger.Flows)
	}
}

func TestGoAwayBreaksFlowsUnlessAllowed(t *testing.T) {
	t.Parallel()
	for _, allowed := range []bool{false, true} {
		b := newBench(t, model.ModeRequest, nil)
		b.caller.ShortRate, b.caller.Sessions, b.caller.MaxRequests = 0, 2, 100_000
		b.caller.Timeout = time.Second
		b.caller.AllowGoAway = allowed
		c := b.newCaller(t)
		counts := during(t, c, func() {
			await(c, func(now workload.Counts) bool { return now.Answered > 20 && now.OpenFlows == 2 })
			if err := b.agent.Shutdown(context.Background()); err != nil {
				t.Error(err)
			}
			await(c, func(now workload.Counts) bool { return now.GoAways == 2 })
		}).Counts
		if broken := counts.BrokenFlows == 2; counts.GoAways != 2 || broken == allowed {
			t.Errorf("GOAWAY allowed %t: counts %+v", allowed, counts)
		}
	}
}

func TestRequestsHeldBackByGoAwayAreRefused(t *testing.T) {
	t.Parallel()
	b := newBench(t, model.ModeRequest, nil)
	c := b.newCaller(t)
	s, err := c.open(context.Background(), true)
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	first := make(chan workload.Request, 1)
	go func() {
		first <- s.exchange(context.Background(), plan{method: "GET", size: 10, work: time.Second})
	}()
	await(c, func(workload.Counts) bool { return b.target.Ledger().Stats.Running == 1 })
	go b.agent.Shutdown(context.Background())
	var held workload.Request
	await(c, func(workload.Counts) bool {
		held = s.exchange(context.Background(), plan{method: "GET", size: 10})
		return held.Outcome != workload.RequestAnswered
	})
	if held.Outcome != workload.RequestRefused || held.Status != 0 {
		t.Errorf("request after GOAWAY: %+v, want it refused without a status", held)
	}
	if r := <-first; r.Outcome != workload.RequestAnswered {
		t.Errorf("request before GOAWAY: %+v, want it answered", r)
	}
}

func TestOnlyDeclaredOrAllowedMovesKeepFlows(t *testing.T) {
	t.Parallel()
	cases := []struct {
		allowed, declared string
		strict, broken    bool
	}{
		{"", "", false, true}, {"mast-2", "", false, true}, {"mast-1", "", false, false}, {"*", "", false, false},
		{"", "mast-2", false, false}, {"", "mast-1", false, true}, {"", "mast-2", true, true}, {"mast-1", "mast-2", true, false},
	}
	for _, tc := range cases {
		r := newRecorder(time.Second, flowRules{strictMoves: tc.strict}, time.Now())
		r.allowMoves(tc.allowed)
		r.openFlow(workload.Flow{ID: "f"})
		for _, name := range []string{"mast-1", "mast-1", "mast-2"} {
			r.sent(time.Now())
			r.done(workload.Request{Flow: "f", Target: name, AgentTarget: tc.declared, Outcome: workload.RequestAnswered})
		}
		counts := r.counts()
		if broken := counts.BrokenFlows == 1; broken != tc.broken || counts.Moves != 1 {
			t.Errorf("%+v: counts %+v", tc, counts)
		}
	}
}

func TestRepeatedKeyMayBeAnsweredFromTheFirstRun(t *testing.T) {
	t.Parallel()
	var first atomic.Pointer[string]
	b := newBench(t, model.ModeRequest, func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		id := r.Header.Get(workload.HeaderRequestID)
		if !first.CompareAndSwap(nil, &id) {
			r.Header.Set(workload.HeaderRequestID, *first.Load())
		}
		next(w, r)
	})
	b.caller.Sessions, b.caller.ShortRate, b.caller.MaxRequests = 1, 0, 2
	b.caller.PostShare, b.caller.KeyShare, b.caller.RepeatShare = 1, 1, 1
	requests := b.run(t).Requests
	if len(requests) != 2 || requests[0].IdempotencyKey != requests[1].IdempotencyKey || requests[0].Flow == requests[1].Flow {
		t.Fatalf("requests %+v, want one key on two flows", requests)
	}
	if r := requests[1]; r.Outcome != workload.RequestAnswered || r.ResponseID != requests[0].ID {
		t.Errorf("repetition %+v, want the first answer", r)
	}
}

func TestDatagramFlows(t *testing.T) {
	t.Parallel()
	b := newBench(t, model.ModeFlow, nil)
	b.caller.Balancers = []netip.AddrPort{netip.MustParseAddrPort(b.target.Address())}
	counts := b.run(t).Counts
	if counts != (workload.Counts{Sent: 100, Answered: 100}) {
		t.Errorf("counts %+v, want all datagrams answered", counts)
	}
}

func TestSilentDatagramFlowIsBroken(t *testing.T) {
	t.Parallel()
	b := newBench(t, model.ModeFlow, nil)
	b.caller.Balancers = []netip.AddrPort{netip.MustParseAddrPort(b.target.Address())}
	b.caller.Sessions, b.caller.MaxRequests = 1, 100_000
	b.caller.IdleTimeout, b.caller.Timeout = time.Second, time.Second
	c := b.newCaller(t)
	counts := during(t, c, func() {
		await(c, func(now workload.Counts) bool { return now.Answered > 3 })
		c.fabric.cut.Store(true)
		await(c, func(now workload.Counts) bool { return now.BrokenFlows == 1 })
	}).Counts
	if counts.BrokenFlows != 1 || counts.Lost == 0 {
		t.Errorf("counts %+v, want the established flow broken", counts)
	}
}

func TestWorstStall(t *testing.T) {
	t.Parallel()
	start := time.Unix(0, 0)
	r := newRecorder(time.Second, flowRules{}, start)
	for _, second := range []int{1, 2, 6, 7} {
		at := start.Add(time.Duration(second) * time.Second)
		r.sent(at)
		r.done(workload.Request{Sent: at, Done: at, Outcome: workload.RequestAnswered})
	}
	if got := r.ledger(start.Add(8 * time.Second)).WorstStall; got != 4*time.Second {
		t.Errorf("worst stall %v, want 4s", got)
	}
}

func TestBadBalancersAreRefused(t *testing.T) {
	t.Parallel()
	service := netip.MustParseAddrPort("192.0.2.1:4433")
	if _, err := ParseBalancers("127.0.0.1, mast", service); err == nil || !strings.Contains(err.Error(), `"mast"`) {
		t.Errorf("error %v, want one that names the address", err)
	}
	got, err := ParseBalancers("127.0.0.1\n127.0.0.2:99", service)
	if err != nil || len(got) != 2 || got[0].Port() != 4433 || got[1].Port() != 99 {
		t.Errorf("parsed %v, %v", got, err)
	}
}
