package reconcile

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// scene is a faultless pair of ledgers, for tests to spoil: a GET, a POST with
// a key, its repetition answered from the first run, and a refusal.
type scene struct {
	caller  workload.CallerLedger
	targets Targets
}

func newScene() *scene {
	const service, size = "lease-desk", 300
	answered := func(id, answerID, method, key string) workload.Request {
		r := workload.Request{
			ID: id, ResponseID: answerID, IdempotencyKey: key, Service: service, Flow: "f-1", Method: method,
			Size: size, Outcome: workload.RequestAnswered, Status: 200, Target: "mast-1",
			Response: workload.ResponseDigest(answerID, service, size),
		}
		if method == "POST" {
			r.Body = workload.RequestBodyDigest(key, service, 50)
		}
		return r
	}
	requests := []workload.Request{
		answered("r-1", "r-1", "GET", ""),
		answered("r-2", "r-2", "POST", "k-1"),
		answered("r-3", "r-2", "POST", "k-1"),
		{ID: "r-4", Service: service, Method: "POST", Outcome: workload.RequestRefused, Status: 503},
		{ID: "r-5", Service: service, Method: "GET", Outcome: workload.RequestUnknown},
	}
	run := func(number uint64, r workload.Request) workload.Run {
		return workload.Run{
			Number: number, Target: "mast-1", Instance: "a", Service: service, RequestID: r.ID,
			IdempotencyKey: r.IdempotencyKey, Method: r.Method, Body: r.Body, Outcome: workload.RunCompleted,
		}
	}
	return &scene{
		caller: workload.CallerLedger{
			Caller: "engineer", Service: service, Requests: requests,
			Counts: workload.Counts{Sent: 5, Answered: 3, Refused: 1, Unknown: 1},
			Series: []workload.Second{{Sent: 4}, {Second: 1, Sent: 1}},
			Flows:  []workload.Flow{{ID: "f-1", Established: true, Target: "mast-1"}},
		},
		targets: Targets{
			Services: map[string]string{"mast-1": service, "plan-1": "drawings"},
			Runs:     []workload.Run{run(1, requests[0]), run(2, requests[1])},
		},
	}
}

func (s *scene) reconcile(givenUp ...string) Report {
	return Reconcile([]workload.CallerLedger{s.caller}, s.targets, givenUp...)
}

// runAgain adds a run of a request by another target.
func (s *scene) runAgain(r workload.Request, target, service string) {
	s.targets.Runs = append(s.targets.Runs, workload.Run{
		Number: 1, Target: target, Service: service, RequestID: r.ID, IdempotencyKey: r.IdempotencyKey,
		Method: r.Method, Body: r.Body, Outcome: workload.RunCompleted,
	})
}

func TestFaultlessLedgersReconcile(t *testing.T) {
	report := newScene().reconcile()
	if len(report.Findings) != 0 {
		t.Errorf("findings %v, want none", report.Findings)
	}
	if want := (Totals{Sent: 5, Answered: 3, Refused: 1, Unknown: 1}); report.Totals != want {
		t.Errorf("totals %v, want %v", report.Totals, want)
	}
}

func TestSeededFaultsAreCaught(t *testing.T) {
	cases := []struct {
		name    string
		spoil   func(*scene)
		kind    Kind
		subject string
	}{
		{"run twice under one request ID", func(s *scene) {
			r := s.caller.Requests[3]
			s.caller.Requests[3].Outcome = workload.RequestUnknown
			s.caller.Counts.Refused, s.caller.Counts.Unknown = 0, 2
			s.runAgain(r, "mast-1", "lease-desk")
			s.runAgain(r, "mast-2", "lease-desk")
		}, KindDuplicated, "r-4"},
		{"run twice under one key", func(s *scene) {
			s.runAgain(s.caller.Requests[2], "mast-2", "lease-desk")
		}, KindDuplicated, "k-1"},
		{"false not run", func(s *scene) {
			s.runAgain(s.caller.Requests[3], "mast-2", "lease-desk")
		}, KindFalseNotRun, "r-4"},
		{"crossed answer that the caller took", func(s *scene) {
			s.caller.Requests[0].Response = workload.ResponseDigest("r-2", "lease-desk", 300)
		}, KindCrossed, "r-1"},
		{"crossed answer that the caller saw", func(s *scene) {
			s.caller.Requests[4].Fault = workload.ResponseMismatched
		}, KindCrossed, "r-5"},
		{"answer of another target than the agent says", func(s *scene) {
			s.caller.Requests[0].AgentTarget = "mast-2"
		}, KindCrossed, "r-1"},
		{"truncated answer that the caller took", func(s *scene) {
			s.caller.Requests[0].Response = workload.ResponseDigest("r-1", "lease-desk", 299)
		}, KindTruncated, "r-1"},
		{"truncated answer that the caller saw", func(s *scene) {
			s.caller.Requests[4].Fault = workload.ResponseTruncated
		}, KindTruncated, "r-5"},
		{"run by another service", func(s *scene) {
			s.runAgain(s.caller.Requests[4], "plan-1", "drawings")
		}, KindCrossService, "r-5"},
		{"datagram answered by another service", func(s *scene) {
			s.caller.Requests[0].Method = workload.MethodDatagram
			s.caller.Requests[0].Response = s.caller.Requests[0].Body
			s.caller.Requests[0].Target = "plan-1"
		}, KindCrossService, "r-1"},
		{"answer without a run", func(s *scene) {
			s.targets.Runs = s.targets.Runs[1:]
		}, KindUnrecorded, "r-1"},
		{"run with another body", func(s *scene) {
			s.targets.Runs[1].Body = workload.RequestBodyDigest("k-1", "lease-desk", 49)
		}, KindCorrupted, "r-2"},
		{"overload", func(s *scene) {
			s.targets.Violations = []workload.Violation{{Kind: workload.ViolationOverloaded, Target: "mast-1"}}
		}, KindOverloaded, "mast-1"},
		{"broken flow", func(s *scene) {
			s.caller.Flows[0].Broken = "moved"
		}, KindBrokenFlow, "f-1"},
		{"request without an outcome", func(s *scene) {
			s.caller.Requests[4].Outcome = ""
			s.caller.Counts.Unknown = 0
		}, KindMiscounted, "engineer"},
		{"wrong total", func(s *scene) { s.caller.Counts.Answered++ }, KindMiscounted, "engineer"},
		{"wrong series", func(s *scene) { s.caller.Series[0].Sent++ }, KindMiscounted, "engineer"},
		{"request twice", func(s *scene) { s.caller.Requests[4].ID = "r-4" }, KindMiscounted, "r-4"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newScene()
			tc.spoil(s)
			report := s.reconcile()
			if len(report.Findings) != 1 || report.Findings[0].Kind != tc.kind || report.Findings[0].Subject != tc.subject {
				t.Errorf("findings %v, want only %s of %s", report.Findings, tc.kind, tc.subject)
			}
		})
	}
}

func TestIdempotentRequestMayRunTwice(t *testing.T) {
	s := newScene()
	s.runAgain(s.caller.Requests[0], "mast-2", "lease-desk")
	if report := s.reconcile(); len(report.Findings) != 0 {
		t.Errorf("findings %v, want none", report.Findings)
	}
}

func (s *scene) write(t *testing.T) options {
	t.Helper()
	dir := t.TempDir()
	text, err := json.Marshal(s.caller)
	if err != nil {
		t.Fatal(err)
	}
	var lines bytes.Buffer
	encode := json.NewEncoder(&lines)
	encode.Encode(workload.TargetRecord{Start: &workload.TargetStart{Target: "mast-1", Service: "lease-desk", Started: time.Now()}})
	for _, run := range s.targets.Runs {
		running := run
		running.Outcome = workload.RunRunning
		encode.Encode(workload.TargetRecord{Run: &running})
		encode.Encode(workload.TargetRecord{Run: &run})
	}
	files := map[string][]byte{"caller.json": text, "mast-1.jsonl": lines.Bytes()}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return options{
		callers: []string{filepath.Join(dir, "*.json")}, targets: []string{filepath.Join(dir, "*.jsonl")},
		prefix: "demo", maxLost: noBound,
	}
}

func TestLastLineAndVerdict(t *testing.T) {
	s := newScene()
	s.runAgain(s.caller.Requests[2], "mast-2", "lease-desk")
	o := s.write(t)
	var out strings.Builder
	if err := o.run(&out); !errors.Is(err, ErrFindings) {
		t.Errorf("error %v, want %v", err, ErrFindings)
	}
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	want := "demo: sent=5 answered=3 refused=1 unknown=1 lost=0 duplicated=1 broken_flows=0"
	if last := lines[len(lines)-1]; last != want {
		t.Errorf("last line %q, want %q", last, want)
	}
	if !slices.Contains(lines, "demo: runs=3 foreign_runs=0 resets=0 moves=0 findings=1") {
		t.Errorf("output %q lacks the number of runs", out.String())
	}
	o.allowed = []string{string(KindDuplicated)}
	if err := o.run(&out); err != nil {
		t.Errorf("allowed finding: %v", err)
	}
}

func TestBoundOnLostRequests(t *testing.T) {
	s := newScene()
	s.caller.Requests[4].Outcome = workload.RequestLost
	s.caller.Counts.Unknown, s.caller.Counts.Lost = 0, 1
	o := s.write(t)
	for bound, want := range map[int]error{noBound: nil, 1: nil, 0: ErrFindings} {
		o.maxLost = bound
		if err := o.run(&strings.Builder{}); !errors.Is(err, want) {
			t.Errorf("at most %d lost: %v, want %v", bound, err, want)
		}
	}
}

func TestMissingLedgerIsAnError(t *testing.T) {
	o := newScene().write(t)
	o.targets = append(o.targets, filepath.Join(t.TempDir(), "none*"))
	if err := o.run(&strings.Builder{}); !errors.Is(err, ErrNoLedger) {
		t.Errorf("error %v, want %v", err, ErrNoLedger)
	}
}
