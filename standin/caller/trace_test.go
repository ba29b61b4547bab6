package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// spanRecord is the part of a written span that the test reads.
type spanRecord struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ TraceID, SpanID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
}

func (s *spanRecord) attribute(key string) string {
	for _, a := range s.Attributes {
		if text, ok := a.Value.Value.(string); ok && a.Key == key {
			return text
		}
	}
	return ""
}

// readSpans returns the spans of a trace file by name and request ID.
func readSpans(t *testing.T, file string) map[string]map[string]spanRecord {
	t.Helper()
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]map[string]spanRecord{"caller": {}, "target": {}}
	decoder := json.NewDecoder(bytes.NewReader(content))
	for decoder.More() {
		var s spanRecord
		if err := decoder.Decode(&s); err != nil {
			t.Fatal(err)
		}
		out[s.Name][s.attribute(workload.AttributeRequestID)] = s
	}
	return out
}

// The test sets the tracer of the whole process, so it is not parallel.
func TestSpansOfOneRequestAreLinked(t *testing.T) {
	const requests = 20
	file := filepath.Join(t.TempDir(), "spans.json")
	stop, err := obs.SetupTracing("test", file)
	if err != nil {
		t.Fatal(err)
	}
	b := newBench(t, model.ModeRequest, nil)
	b.caller.MaxRequests = requests
	b.run(t)
	// A target's span ends after its answer was sent: its handlers must have returned.
	b.agent.Close()
	b.target.Stop()
	if err := stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	spans := readSpans(t, file)
	if len(spans["caller"]) != requests {
		t.Fatalf("%d spans of the caller, want %d", len(spans["caller"]), requests)
	}
	for id, sent := range spans["caller"] {
		ran, ok := spans["target"][id]
		if !ok {
			t.Errorf("request %s has no span of the target", id)
			continue
		}
		if ran.Parent.SpanID != sent.SpanContext.SpanID || ran.SpanContext.TraceID != sent.SpanContext.TraceID {
			t.Errorf("request %s: the target's span has parent %+v, want %+v", id, ran.Parent, sent.SpanContext)
		}
		if got := sent.attribute(workload.AttributeOutcome); got != string(workload.RequestAnswered) {
			t.Errorf("request %s: outcome %q", id, got)
		}
	}
}
