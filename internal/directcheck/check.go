package directcheck

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// checker collects the findings of a document.
type checker struct {
	doc      *Document
	declared map[string]bool
	used     map[string]bool
	findings []Finding
}

// Check returns the findings about the meaning of a document, in the order of its places.
func Check(doc *Document) []Finding {
	c := &checker{doc: doc, declared: make(map[string]bool), used: make(map[string]bool)}
	c.checkVersion()
	for i := range doc.Services {
		c.checkService(&doc.Services[i])
	}
	first := make(map[steering.Endpoint]*Route)
	for i := range doc.Routes {
		r := &doc.Routes[i]
		c.checkAddress(r, first)
		c.checkServices(r)
		c.checkDemand(r)
	}
	for i := range doc.Services {
		if name := doc.Services[i].Name; name.Value != "" && !c.used[name.Value] {
			c.add(Warnf(name.Place, "service %q: no route names it", name.Value))
		}
	}
	Sort(c.findings)
	return c.findings
}

func (c *checker) add(f Finding) { c.findings = append(c.findings, f) }

func (c *checker) checkVersion() {
	switch v := c.doc.Version; {
	case !v.Set:
		c.add(Errorf(v.Place, "the version is missing"))
	case v.Value <= 0:
		c.add(Errorf(v.Place, "version %d is not above 0", v.Value))
	}
}

func (c *checker) checkService(s *Service) {
	name := s.Name.Value
	if name == "" {
		c.add(Errorf(s.Name.Place, "the service has no name"))
		return
	}
	if c.declared[name] {
		c.add(Errorf(s.Name.Place, "service %q is declared twice; nodes use the last", name))
	}
	c.declared[name] = true
	rate := s.ColdRate
	switch {
	case rate.Value < 0:
		c.add(Warnf(rate.Place, "service %q: cold rate %g is negative; nodes treat it as none", name, rate.Value))
	case rate.Value > 0 && s.ColdTime.Value <= 0:
		c.add(Warnf(rate.Place, "service %q: a cold rate of %g requests per second, but no cold time", name, rate.Value))
	}
	if limit := s.MaxConnections; limit.Value > 0 && float64(rate.Value) > float64(limit.Value) {
		c.add(Warnf(rate.Place, "service %q: cold rate %g is above the limit of %d connections", name, rate.Value, limit.Value))
	}
}

// checkAddress reports a route whose address an earlier route has. Nodes use the last one.
func (c *checker) checkAddress(r *Route, first map[steering.Endpoint]*Route) {
	if !r.Address.Set {
		return
	}
	if earlier := first[r.Address.Value]; earlier != nil {
		c.add(Errorf(r.Address.Place, "route %q: route %q in line %d has the same address %s; nodes use the last, the others never match",
			r.Name.Value, earlier.Name.Value, earlier.Address.Place.Line, r.Address.Value))
		return
	}
	first[r.Address.Value] = r
}

// checkServices checks the services of a route and their weights.
func (c *checker) checkServices(r *Route) {
	if r.Service.Value == "" && len(r.Shares) == 0 {
		c.add(Errorf(r.Service.Place, "route %q has no service", r.Name.Value))
		return
	}
	if r.Service.Value != "" {
		c.useService(r, r.Service)
		if len(r.Shares) > 0 {
			c.add(Warnf(r.Service.Place, "route %q has both a service and shares; nodes give the service a weight of 1", r.Name.Value))
		}
	}
	for _, s := range r.Shares {
		if s.Service.Value == "" {
			c.add(Errorf(s.Service.Place, "route %q: a share has no service", r.Name.Value))
			continue
		}
		c.useService(r, s.Service)
	}
	c.checkWeights(r)
}

func (c *checker) useService(r *Route, service Field[string]) {
	c.used[service.Value] = true
	if !c.declared[service.Value] {
		c.add(Errorf(service.Place, "route %q: service %q is not declared", r.Name.Value, service.Value))
	}
}

func (c *checker) checkWeights(r *Route) {
	total, negative := 0, false
	if r.Service.Value != "" {
		total = 1
	}
	for _, s := range r.Shares {
		if s.Weight.Value < 0 {
			negative = true
			c.add(Errorf(s.Weight.Place, "route %q: weight %d is negative", r.Name.Value, s.Weight.Value))
		}
		total += s.Weight.Value
	}
	if negative || len(r.Shares) == 0 {
		return
	}
	if only := r.Shares[0]; len(r.Shares) == 1 && r.Service.Value == "" {
		if only.Weight.Value == 0 {
			c.add(Warnf(only.Weight.Place, "route %q: the only share has weight 0; nodes send it all flows", r.Name.Value))
		}
		return
	}
	if total <= 0 { // below 0 if the sum overflows
		c.add(Errorf(r.Shares[0].Weight.Place, "route %q: the weights sum to %d, so no flow gets a service", r.Name.Value, total))
		return
	}
	for _, s := range r.Shares {
		if s.Weight.Value == 0 {
			c.add(Warnf(s.Weight.Place, "route %q: service %q has weight 0 and never gets a flow", r.Name.Value, s.Service.Value))
		}
	}
}

// checkDemand checks what a route declares about its requests.
func (c *checker) checkDemand(r *Route) {
	name := r.Name.Value
	switch {
	case r.Kind != KindUnknown:
	case r.Type.Set:
		c.add(Errorf(r.Type.Place, "route %q: type %q is unknown; nodes treat its requests as non-idempotent", name, r.Type.Value))
	default:
		c.add(Warnf(r.Type.Place, "route %q has no type; nodes treat its requests as non-idempotent", name))
	}
	if p := r.Priority; p.Value < 0 || p.Value >= steering.NumPriorities {
		c.add(Warnf(p.Place, "route %q: priority %d is outside 0 to %d; nodes treat it as %d", name, p.Value,
			steering.NumPriorities-1, effectivePriority(p.Value)))
	}
	timeout := r.Timeout
	if timeout.Value <= 0 {
		return
	}
	if r.Objective.Value > timeout.Value {
		c.add(Warnf(timeout.Place, "route %q: timeout %s is below the latency objective %s", name, timeout.Value, r.Objective.Value))
	}
	if idle := c.doc.IdleTimeout; idle.Set && idle.Value < timeout.Value {
		c.add(Warnf(timeout.Place, "route %q: timeout %s is above the idle timeout %s (line %d): an idle flow may be discarded while its caller waits",
			name, timeout.Value, max(idle.Value, time.Duration(0)), idle.Place.Line))
	}
}

// effectivePriority returns the priority that nodes use for a declared one.
func effectivePriority(p int) int { return min(max(p, 0), steering.NumPriorities-1) }
