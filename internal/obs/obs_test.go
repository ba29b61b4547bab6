package obs

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxtest"
)

func TestLogLinesIncludePart(t *testing.T) {
	var out bytes.Buffer
	logger := Logger(&out, "warn", "routing")
	_ = level.Info(logger).Log("msg", "Below the level.")
	_ = level.Warn(logger).Log("msg", "A peer left.", "peer", "entry-1")
	want := regexp.MustCompile(`^level=warn ts=\S+ part=routing msg="A peer left." peer=entry-1\n$`)
	if !want.Match(out.Bytes()) {
		t.Errorf("got %s", out.String())
	}
}

func TestMetricsHandler(t *testing.T) {
	m := NewMetrics("balancer", log.NewNopLogger())
	m.Scope.Tagged(map[string]string{"call": "txn"}).Counter("store_calls").Inc(3)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	m.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`amaranthwheel_store_calls{call="txn",role="balancer"} 3`,
		"process_resident_memory_bytes",
		"go_goroutines",
	} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("the response does not contain %s", want)
		}
	}
}

// span is one span in a trace file.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ TraceID, SpanID string }
}

func TestTraceContextPropagation(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trace")
	shutdown, err := SetupTracing("test", file)
	if err != nil {
		t.Fatal(err)
	}
	ctx, first := Tracer("caller").Start(t.Context(), "first")
	header := make(http.Header)
	Inject(ctx, header)
	if got := Traceparent(ctx); got == "" || got != header.Get(traceparent) {
		t.Errorf("traceparent %q, header %q", got, header.Get(traceparent))
	}
	_, second := Tracer("agent").Start(Extract(context.Background(), header), "second")
	_, third := Tracer("agent").Start(WithTraceparent(context.Background(), "junk"), "third")
	third.End()
	second.End()
	first.End()
	if err := shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	spans := readSpans(t, file)
	if len(spans) != 3 {
		t.Fatalf("spans: %+v", spans)
	}
	if spans["second"].Parent != spans["first"].SpanContext {
		t.Errorf("the second span's parent is not the first: %+v", spans)
	}
	if spans["third"].SpanContext.TraceID == spans["first"].SpanContext.TraceID {
		t.Errorf("span with a malformed traceparent: %+v", spans)
	}
}

func readSpans(t *testing.T, file string) map[string]span {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	spans := make(map[string]span)
	decoder := json.NewDecoder(bytes.NewReader(data))
	for decoder.More() {
		var s span
		if err := decoder.Decode(&s); err != nil {
			t.Fatal(err)
		}
		spans[s.Name] = s
	}
	return spans
}

func TestSetupTracingReportsUnusableFile(t *testing.T) {
	if _, err := SetupTracing("test", filepath.Join(t.TempDir(), "absent", "trace")); err == nil {
		t.Error("no error")
	}
	shutdown, err := SetupTracing("test", "")
	if err != nil || shutdown(t.Context()) != nil {
		t.Errorf("tracing off: %v", err)
	}
}

func TestModule(t *testing.T) {
	var out bytes.Buffer
	var scope tally.Scope
	var logs *LoggerFactory
	app := fxtest.New(t,
		Module(Options{Role: "agent", LogWriter: &out, LogLevel: "info"}),
		WithLogger(),
		fx.Populate(&scope, &logs),
	)
	app.RequireStart()
	scope.Counter("starts").Inc(1)
	app.RequireStop()
	if out.Len() > 0 {
		t.Errorf("a run without errors logged %s", out.String())
	}
	failing := fx.New(Module(Options{Role: "agent", LogWriter: &out, TraceFile: "/dev/null/trace"}), WithLogger())
	if err := failing.Start(t.Context()); err == nil {
		t.Error("started although the trace file cannot be opened")
	}
	if !strings.Contains(out.String(), `part=fx msg="A start hook failed."`) {
		t.Errorf("log: %s", out.String())
	}
}
