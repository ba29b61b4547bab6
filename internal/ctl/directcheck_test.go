package ctl

import (
	"encoding/json"
	"strings"
	"testing"
)

const (
	directInForce = `{
  "version": 7,
  "routes": [
    {"name": "desk", "host": "198.18.0.1", "prefix": "/8443/", "type": "idempotent",
     "timeout_ms": 3000, "slo_ms": 250, "prio": 2, "service": "x"},
    {"name": "maps", "host": "198.18.0.2", "prefix": "/80/", "type": "download", "service": "y"}
  ],
  "services": [
    {"name": "x", "max_conns": 100, "warmup_s": 2.0, "warmup_per_s": 5.5, "health_path": "/ready"},
    {"name": "y"}
  ],
  "limits": {"idle_timeout_ms": 15000}
}
`
	directNext = `{
  "version": 8,
  "routes": [
    {"name": "desk", "host": "198.18.0.1", "prefix": "/8443/", "type": "idempotent",
     "timeout_ms": 2000, "slo_ms": 200, "prio": 1,
     "traffic_split": [{"service": "x", "weight": 90}, {"service": "z", "weight": 10}]},
    {"name": "forms", "host": "198.18.0.3", "prefix": "/80/", "type": "non_idempotent", "service": "z"}
  ],
  "services": [
    {"name": "x", "max_conns": 100, "warmup_s": 2.0, "warmup_per_s": 8, "health_path": "/ready"},
    {"name": "z"}
  ],
  "limits": {"idle_timeout_ms": 20000}
}
`
	directContradictory = `{
  "version": 7,
  "routes": [
    {"name": "desk", "host": "198.18.0.1", "prefix": "/8443/", "type": "idempotent",
     "timeout_ms": 200, "slo_ms": 250, "prio": 4, "service": "x"},
    {"name": "copy", "host": "198.18.0.1", "prefix": "/8443/", "type": "download", "service": "x"},
    {"name": "maps", "host": "198.18.0.2", "prefix": "/80/", "type": "safe", "timeout_ms": 20000,
     "traffic_split": [{"service": "x", "weight": 0}, {"service": "q", "weight": 0}]},
    {"name": "lost", "host": "nowhere", "prefix": "80", "type": "download"}
  ],
  "services": [
    {"name": "x", "max_conns": 4, "warmup_per_s": 5.5},
    {"name": "y"}
  ],
  "limits": {"idle_timeout_ms": 15000}
}
`
	directMistyped = `{
  "version": "8",
  "routes": [
    {"name": "desk", "host": 1, "prefix": "/80/", "prio": 1.5, "service": "x"}
  ],
  "services": [{"name": "x", "max_conns": "many"}]
}
`
)

// Scripts rely on the exit code, and operators on the places, the findings and the
// differences.
func TestDirectCheck(t *testing.T) {
	h := newHarness(t)
	inForce := h.writeFile("in-force.json", directInForce)
	next := h.writeFile("next.json", directNext)
	h.run(ExitOK, "direct check "+inForce)
	h.run(ExitOK, "direct check --against "+inForce+" "+next)
	h.run(ExitBadInput, "direct check --against "+inForce+" "+inForce)
	h.run(ExitBadInput, "direct check "+h.writeFile("contradictory.json", directContradictory))
	mistyped := h.writeFile("mistyped.json", directMistyped)
	h.run(ExitBadInput, "direct check "+mistyped)
	h.run(ExitBadInput, "direct check --against "+mistyped+" "+next)
	h.run(ExitBadInput, "direct check "+h.writeFile("cut-off.json", directNext[:100]))
	h.run(ExitOK, "-o json direct check --against "+inForce+" "+next)
	h.run(ExitBadInput, "-o json direct check "+mistyped)
	h.run(ExitBadInput, "-o yaml direct check "+next)
	h.run(ExitBadInput, "direct check")
	h.run(ExitBadInput, "direct check missing.json")
	h.golden("direct-check")
}

// With errors, the output must still be one JSON document on standard output.
func TestDirectCheckPrintsJSONWithErrors(t *testing.T) {
	h := newHarness(t)
	out := h.run(ExitBadInput, "-o json direct check "+h.writeFile("mistyped.json", directMistyped))
	var report directCheckReport
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&report); err != nil {
		t.Fatal(err)
	}
	if report.Errors != 4 || len(report.Findings) != 4 || report.Findings[0].Line != 2 || report.Findings[0].Column != 14 {
		t.Errorf("the report is %+v", report)
	}
}
