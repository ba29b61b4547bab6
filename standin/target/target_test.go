package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// testLimit bounds how long a test waits for something to happen.
const testLimit = 10 * time.Second

func testConfig() Config {
	return Config{
		Name: "mast-1", Service: "lease-desk", Mode: model.ModeRequest,
		Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Slots: 4, Connections: 100,
		ColdSlowdown: 1, OverloadFactor: 2, FallOver: time.Minute, StopLimit: time.Second,
	}
}

func startTarget(t *testing.T, cfg Config) *Target {
	t.Helper()
	tgt, err := Start(cfg, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tgt.Stop)
	return tgt
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testLimit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", testLimit, what)
}

func newRequest(t *testing.T, method, url, id string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader("rent amendment"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(workload.HeaderRequestID, id)
	return req
}

func do(t *testing.T, req *http.Request) (*http.Response, []byte) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, body
}

func TestAnswerBelongsToRequest(t *testing.T) {
	cfg := testConfig()
	cfg.LedgerFile = filepath.Join(t.TempDir(), "ledger")
	tgt := startTarget(t, cfg)
	req := newRequest(t, "POST", "http://"+tgt.Address()+"/lease?size=5000", "r-1")
	req.Header.Set(workload.HeaderIdempotencyKey, "k-1")
	resp, body := do(t, req)
	got, _ := workload.ComputeDigest(strings.NewReader(string(body)))
	if got != workload.ResponseDigest("r-1", "lease-desk", 5000) {
		t.Errorf("answer digest %+v is not that of the request", got)
	}
	if resp.Header.Get(workload.HeaderTarget) != "mast-1" {
		t.Errorf("target header %q", resp.Header.Get(workload.HeaderTarget))
	}
	run := tgt.Ledger().Runs[0]
	body1, _ := workload.ComputeDigest(strings.NewReader("rent amendment"))
	if run.RequestID != "r-1" || run.IdempotencyKey != "k-1" || run.Method != "POST" ||
		run.Body != body1 || run.Outcome != workload.RunCompleted || run.Finished.Before(run.Started) {
		t.Errorf("ledger has %+v", run)
	}
	text, err := os.ReadFile(cfg.LedgerFile)
	if err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(string(text), "\n"); lines != 3 {
		t.Errorf("ledger file has %d lines, want the target's start and the start and end of one run", lines)
	}
}

func TestColdTargetShedsThenFallsOver(t *testing.T) {
	cfg := testConfig()
	cfg.WarmUp = time.Hour
	tgt := startTarget(t, cfg)
	url := "http://" + tgt.Address() + "/?work_ms=60000"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var runs sync.WaitGroup
	defer runs.Wait()
	statuses := make(chan int, 1)
	runs.Go(func() {
		resp, err := http.DefaultClient.Do(newRequest(t, "GET", url, "first").WithContext(ctx))
		if err != nil {
			statuses <- 0
			return
		}
		resp.Body.Close()
		statuses <- resp.StatusCode
	})
	eventually(t, "the first request runs", func() bool { return tgt.Ledger().Stats.Running == 1 })

	resp, _ := do(t, newRequest(t, "GET", url, "second"))
	if resp.StatusCode != 503 || resp.Header.Get(workload.HeaderOutcome) != workload.OutcomeNotRun ||
		resp.Header.Get("Retry-After") == "" {
		t.Errorf("second request: %d %v, want a refusal", resp.StatusCode, resp.Header)
	}
	if v := tgt.Ledger().Violations; len(v) != 0 {
		t.Errorf("violations %+v before the overload", v)
	}
	for i := range 4 {
		runs.Go(func() {
			resp, err := http.DefaultClient.Do(newRequest(t, "GET", url, fmt.Sprint("burst-", i)))
			if err == nil {
				resp.Body.Close()
			}
		})
	}
	if status := <-statuses; status != 500 {
		t.Errorf("running request of a target that fell over got status %d, want 500", status)
	}
	ledger := tgt.Ledger()
	if len(ledger.Violations) != 1 || ledger.Violations[0].Kind != workload.ViolationOverloaded {
		t.Errorf("violations %+v, want one overload", ledger.Violations)
	}
	if len(ledger.Runs) != 1 || ledger.Runs[0].Outcome != workload.RunFailed {
		t.Errorf("runs %+v, want the first only, failed", ledger.Runs)
	}
}

func TestCapacityGrowsByTimeAndRequests(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 11
	cfg.WarmUp = 10 * time.Second
	cfg.WarmUpRequests = 20
	start := time.Unix(0, 0)
	c := newCapacity(&cfg, start)
	after := func(d time.Duration, served int) int {
		c.served = served
		return c.state(start.Add(d)).bears
	}
	cases := []struct {
		after  time.Duration
		served int
		want   int
	}{
		{0, 0, 1}, {5 * time.Second, 0, 1}, {5 * time.Second, 10, 6}, {5 * time.Second, 20, 6},
		{10 * time.Second, 10, 6}, {10 * time.Second, 20, 11}, {time.Hour, 100, 11},
	}
	for _, tc := range cases {
		if got := after(tc.after, tc.served); got != tc.want {
			t.Errorf("after %v and %d requests it bears %d, want %d", tc.after, tc.served, got, tc.want)
		}
	}
	c.turnCold(start.Add(time.Hour))
	if got := c.state(start.Add(time.Hour)).bears; got != 1 {
		t.Errorf("turned cold it bears %d, want 1", got)
	}
}

func TestCancellationAndDeadlineStopWork(t *testing.T) {
	tgt := startTarget(t, testConfig())
	url := "http://" + tgt.Address() + "/?work_ms=60000"
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := http.DefaultClient.Do(newRequest(t, "POST", url, "cancelled").WithContext(ctx)); err == nil {
		t.Error("cancelled request got an answer")
	}
	eventually(t, "the cancelled run ends", func() bool {
		return tgt.Ledger().Runs[0].Outcome == workload.RunCancelled
	})
	req := newRequest(t, "GET", url, "late")
	req.Header.Set(workload.HeaderTimeout, "50")
	if resp, _ := do(t, req); resp.StatusCode != 504 || resp.Header.Get(workload.HeaderOutcome) != "" {
		t.Errorf("request past its deadline: %d %v", resp.StatusCode, resp.Header)
	}
	if got := tgt.Ledger().Runs[1].Outcome; got != workload.RunTimedOut {
		t.Errorf("run past its deadline is %q", got)
	}
	req = newRequest(t, "GET", url, "expired")
	req.Header.Set(workload.HeaderTimeout, "0")
	if resp, _ := do(t, req); resp.Header.Get(workload.HeaderOutcome) != workload.OutcomeNotRun {
		t.Errorf("request with no time left: %d %v, want not run", resp.StatusCode, resp.Header)
	}
	if runs := len(tgt.Ledger().Runs); runs != 2 {
		t.Errorf("%d runs, want 2", runs)
	}
}

func TestReportsLagAndLie(t *testing.T) {
	p := reporter{lag: time.Second}
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	p.sample(report{at: at(0), Health: healthOK, Load: 0.1})
	p.sample(report{at: at(500), Health: healthBad, Load: 0.9})
	if got := p.current(at(1200)); got.Load != 0.1 || got.Health != healthOK {
		t.Errorf("lagging report is %+v", got)
	}
	if got := p.current(at(1500)); got.Load != 0.9 || got.Health != healthBad {
		t.Errorf("report after the lag is %+v", got)
	}
	claimed := healthOK
	p.setLie(lie{health: &claimed})
	if got := p.current(at(1500)); got.Load != 0.9 || got.Health != healthOK {
		t.Errorf("lying report is %+v", got)
	}
}

func TestAnnouncesUntilItLeaves(t *testing.T) {
	var mu sync.Mutex
	var puts []announcement
	deleted := 0
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		var a announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil || r.URL.Path != "/v1/target" {
			t.Errorf("%s %s: %v", r.Method, r.URL.Path, err)
		}
		switch {
		case r.Method == http.MethodDelete:
			deleted++
		case len(puts) == 0:
			puts = append(puts, a)
			w.WriteHeader(http.StatusAccepted)
		default:
			puts = append(puts, a)
		}
	}))
	defer agent.Close()
	cfg := testConfig()
	cfg.Announce = strings.TrimPrefix(agent.URL, "http://")
	tgt, err := Start(cfg, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the pending announcement is repeated and accepted", func() bool { return tgt.Ledger().Stats.Accepted })
	tgt.Stop()
	mu.Lock()
	defer mu.Unlock()
	first, last := puts[0], puts[len(puts)-1]
	want := announcement{"mast-1", "lease-desk", tgt.Address(), 4, 100, tgt.cfg.Instance, false}
	if first != want {
		t.Errorf("announced %+v, want %+v", first, want)
	}
	if want.Draining = true; last != want || deleted != 1 {
		t.Errorf("last announced %+v, withdrawn %d times", last, deleted)
	}
}

func TestEchoCountsEachFlow(t *testing.T) {
	cfg := testConfig()
	cfg.Mode = model.ModeFlow
	cfg.Connections = 1
	tgt := startTarget(t, cfg)
	dial := func() net.Conn {
		conn, err := net.Dial("udp", tgt.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	conn := dial()
	buf := make([]byte, workload.MaxDatagramSize)
	for want := uint64(1); want <= 2; want++ {
		fmt.Fprintf(conn, "a\nb %d", want)
		conn.SetReadDeadline(time.Now().Add(testLimit))
		n, err := conn.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		echo, err := workload.DecodeEcho(buf[:n])
		if err != nil || echo.Target != "mast-1" || echo.Sequence != want || string(echo.Payload) != fmt.Sprintf("a\nb %d", want) {
			t.Errorf("echo %+v, %v", echo, err)
		}
	}
	fmt.Fprint(dial(), "another flow")
	eventually(t, "the flow above the cap is a violation", func() bool {
		v := tgt.Ledger().Violations
		return len(v) == 1 && v[0].Kind == workload.ViolationConnections
	})
}

func TestStopFinishesRunningWork(t *testing.T) {
	tgt, err := Start(testConfig(), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	status := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(newRequest(t, "GET", "http://"+tgt.Address()+"/?work_ms=200&size=9", "r"))
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	eventually(t, "the request runs", func() bool { return tgt.Ledger().Stats.Running == 1 })
	tgt.Stop()
	if got := <-status; got != http.StatusOK {
		t.Errorf("request during a planned stop got status %d", got)
	}
}

func TestSettingsAreCheckedWhole(t *testing.T) {
	_, err := Start(Config{ColdSlowdown: 1, OverloadFactor: 1}, log.NewNopLogger())
	if err == nil || strings.Count(err.Error(), "\n") != 4 {
		t.Errorf("error %v, want five findings", err)
	}
}
