package directcheck

import (
	"strings"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

func set[T any](value T, line int) Field[T] {
	return Field[T]{Value: value, Set: true, Place: findings.Place{Line: line}}
}

func address(last byte) Field[steering.Endpoint] {
	return set(steering.Endpoint{IP: [4]byte{198, 18, 0, last}, Port: 80}, int(last))
}

// newDocument returns a document without findings.
func newDocument() *Document {
	return &Document{
		Version: set(int64(3), 1),
		Routes: []Route{{
			Name: set("r", 1), Address: address(1), Service: set("x", 1), Type: set("idempotent", 1), Kind: KindIdempotent,
			Timeout: set(3*time.Second, 1), Objective: set(time.Second, 1),
		}},
		Services:    []Service{{Name: set("x", 2), MaxConnections: set(int64(10), 2), ColdTime: set(2.0, 2), ColdRate: set(float32(5), 2)}},
		IdleTimeout: set(15*time.Second, 3),
	}
}

func share(service string, weight int) Share {
	return Share{set(service, 1), set(weight, 1)}
}

// Each mistake must be found with its severity, and no finding may appear without one.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(d *Document, r *Route, s *Service)
		want   string
	}{
		{"valid", func(*Document, *Route, *Service) {}, ""},
		{"no version", func(d *Document, _ *Route, _ *Service) { d.Version = Field[int64]{} }, "error: the version is missing"},
		{"version 0", func(d *Document, _ *Route, _ *Service) { d.Version.Value = 0 }, "error: version 0 is not above 0"},
		{"second route", func(d *Document, r *Route, _ *Service) {
			second := *r
			second.Name.Value = "second"
			d.Routes = append(d.Routes, second)
		}, `error: route "second": route "r" in line 1 has the same address`},
		{"no service", func(_ *Document, r *Route, _ *Service) { r.Service, r.Shares = Field[string]{}, nil }, `error: route "r" has no service|warning: service "x": no route names it`},
		{"undeclared", func(_ *Document, r *Route, _ *Service) { r.Shares = []Share{share("q", 1)}; r.Service.Value = "" },
			`error: route "r": service "q" is not declared|warning: service "x": no route names it`},
		{"weight 0", func(_ *Document, r *Route, _ *Service) {
			r.Service.Value, r.Shares = "", []Share{share("x", 0), share("x", 2)}
		}, "has weight 0 and never gets a flow"},
		{"only share", func(_ *Document, r *Route, _ *Service) { r.Service.Value, r.Shares = "", []Share{share("x", 0)} },
			"warning: route \"r\": the only share has weight 0"},
		{"weights of 0", func(_ *Document, r *Route, _ *Service) {
			r.Service.Value, r.Shares = "", []Share{share("x", 0), share("x", 0)}
		}, "error: route \"r\": the weights sum to 0"},
		{"negative weight", func(_ *Document, r *Route, _ *Service) {
			r.Service.Value, r.Shares = "", []Share{share("x", -1), share("x", 2)}
		}, "error: route \"r\": weight -1 is negative"},
		{"both", func(_ *Document, r *Route, _ *Service) { r.Shares = []Share{share("x", 1)} }, "warning: route \"r\" has both"},
		{"unknown type", func(_ *Document, r *Route, _ *Service) { r.Kind, r.Type.Value = KindUnknown, "safe" }, `error: route "r": type "safe" is unknown`},
		{"no type", func(_ *Document, r *Route, _ *Service) { r.Kind, r.Type = KindUnknown, Field[string]{} }, `warning: route "r" has no type`},
		{"timeout", func(_ *Document, r *Route, _ *Service) { r.Timeout.Value = time.Second / 2 }, "warning: route \"r\": timeout 500ms is below the latency objective 1s"},
		{"low priority", func(_ *Document, r *Route, _ *Service) { r.Priority.Value = 4 }, "warning: route \"r\": priority 4 is outside 0 to 3; nodes treat it as 3"},
		{"high priority", func(_ *Document, r *Route, _ *Service) { r.Priority.Value = -1 }, "nodes treat it as 0"},
		{"no cold time", func(_ *Document, _ *Route, s *Service) { s.ColdTime.Value = 0 }, "but no cold time"},
		{"cold rate", func(_ *Document, _ *Route, s *Service) { s.ColdRate.Value = 11 }, "cold rate 11 is above the limit of 10 connections"},
		{"negative cold rate", func(_ *Document, _ *Route, s *Service) { s.ColdRate.Value = -1 }, "warning: service \"x\": cold rate -1 is negative"},
		{"idle timeout", func(d *Document, _ *Route, _ *Service) { d.IdleTimeout.Value = 2 * time.Second }, "timeout 3s is above the idle timeout 2s (line 3)"},
		{"same service", func(d *Document, _ *Route, s *Service) { d.Services = append(d.Services, *s) }, `error: service "x" is declared twice`},
		{"unnamed service", func(d *Document, _ *Route, _ *Service) { d.Services = append(d.Services, Service{}) }, "error: the service has no name"},
	} {
		d := newDocument()
		c.change(d, &d.Routes[0], &d.Services[0])
		found := Check(d)
		var want []string
		if c.want != "" {
			want = strings.Split(c.want, "|")
		}
		if len(found) != len(want) {
			t.Errorf("%s: findings are %v, want %q", c.name, found, want)
			continue
		}
		for i, f := range found {
			if !strings.Contains(f.String(), want[i]) {
				t.Errorf("%s: finding is %q, want %q", c.name, f, want[i])
			}
		}
	}
}

// Operators decide by the differences: each change of a route must be named, and a removed
// route warned about.
func TestCompare(t *testing.T) {
	inForce, next := newDocument(), newDocument()
	inForce.Routes = append(inForce.Routes, Route{Name: set("gone", 1), Address: address(2), Service: set("x", 1)})
	inForce.Limits = []Limit{{"a", set("1", 1)}, {"b", set("2", 1)}}
	next.Limits = []Limit{{"b", set("3", 1)}}
	next.Version.Value = 4
	r := &next.Routes[0]
	r.Name.Value, r.Service.Value, r.Kind, r.Priority.Value = "renamed", "y", KindDownload, 9
	r.Objective.Value, r.Timeout.Value = 0, time.Second
	next.Services[0].ColdRate.Value = 7
	next.Services = append(next.Services, Service{Name: set("y", 1)})
	changes, found := Compare(inForce, next)
	var got []string
	for _, c := range changes {
		got = append(got, c.String())
	}
	want := `removed route gone (198.18.0.2:80)
changed route renamed (198.18.0.1:80): name r -> renamed, services x -> y, requests idempotent -> download, priority 0 -> 3, objective 1s -> none, timeout 3s -> 1s
changed service x: cold rate 5 -> 7
added service y
removed limit a
changed limit b: 2 -> 3`
	if text := strings.Join(got, "\n"); text != want {
		t.Errorf("changes are\n%s\nwant\n%s", text, want)
	}
	if len(found) != 1 || found[0].Severity != SeverityWarning || !strings.Contains(found[0].Message, "its open flows end") {
		t.Errorf("findings are %v, want a warning of the removed route", found)
	}
}

// Nodes keep the version in force if the new one is below it, and nodes with the same
// version may hold different documents.
func TestCompareRequiresAHigherVersion(t *testing.T) {
	for version, want := range map[int64]int{2: 1, 3: 1, 4: 0} {
		next := newDocument()
		next.Version.Value = version
		if _, found := Compare(newDocument(), next); len(found) != want {
			t.Errorf("version %d after 3: findings are %v, want %d", version, found, want)
		}
	}
}
