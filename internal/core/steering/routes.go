package steering

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceIDOf returns the identifier of a service's name.
func ServiceIDOf(name string) ServiceID {
	id := ServiceID(xxhash.Sum64String(name))
	if id == 0 {
		id = 1
	}
	return id
}

// Share is a service's share of the new flows of a route.
type Share struct {
	Service ServiceID
	Weight  int
}

// Route says where new flows to an address go.
type Route struct {
	Name   string
	Shares []Share
	// NonIdempotent reports that the requests of the route must not be repeated
	// once they may have run.
	NonIdempotent bool
	// SingleRequest reports that each flow of the route carries one request.
	SingleRequest bool
}

// pick returns the service for a flow. All balancers with the same route pick
// the same one.
func (r *Route) pick(hash uint64) ServiceID {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return 0
	}
	// The high bits: the low ones rank the agents.
	point := int((hash >> 32) % uint64(total))
	for _, s := range r.Shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return 0
}

// Configuration is what operators declared.
type Configuration struct {
	Version int64
	Routes  map[Endpoint]*Route
	// ColdOpensPerSecond is the openings a second that a cold target of a service
	// bears.
	ColdOpensPerSecond map[ServiceID]float32
}

// OperatorState is everything that operators wrote.
type OperatorState struct {
	// Revision is that of the last change by operators that was seen.
	Revision uint64
	// VerifiedRevision is the revision of the store up to which there is no other.
	VerifiedRevision uint64
	Configuration    *Configuration
	// DomainsOut is the failure domains that are taken out.
	DomainsOut map[string]bool
}

// ConfigurationLoaded is the operators' state as the store has it.
type ConfigurationLoaded struct{ State OperatorState }

func (*ConfigurationLoaded) event() {}

// configSection is the operators' state in force. Versions never fall in the
// life of a process.
type configSection struct {
	state  OperatorState
	loaded bool
	// confirmed is when the store confirmed the state last.
	confirmed time.Time
}

// load takes a newer state and reports whether something in it has changed.
func (c *configSection) load(s OperatorState) bool {
	if c.loaded && s.VerifiedRevision < c.state.VerifiedRevision {
		return false
	}
	if s.Revision < c.state.Revision {
		s.Revision = c.state.Revision
	}
	if c.loaded && s.Revision == c.state.Revision {
		c.state.VerifiedRevision = s.VerifiedRevision
		return false
	}
	if held := c.state.Configuration; held != nil && (s.Configuration == nil || s.Configuration.Version < held.Version) {
		s.Configuration = held
	}
	c.state = s
	c.loaded = s.Configuration != nil
	return true
}

func (c *configSection) route(address Endpoint) *Route {
	if c.state.Configuration == nil {
		return nil
	}
	return c.state.Configuration.Routes[address]
}

// limits returns what an agent has to enforce.
func (c *configSection) limits(m *member, memberRevision uint64) Limits {
	l := Limits{Revision: c.state.Revision, MemberRevision: memberRevision, DomainOut: c.state.DomainsOut[m.record.Domain]}
	if c.state.Configuration != nil {
		l.ColdOpensPerSecond = c.state.Configuration.ColdOpensPerSecond[m.service]
	}
	return l
}

// loadConfiguration brings the configuration into force and tells agents.
func (b *Balancer) loadConfiguration(now time.Time, s OperatorState) {
	b.config.confirmed = now
	if !b.config.load(s) {
		return
	}
	if version := b.Version(); version > 0 {
		b.report(Report{Text: "Configuration is in force.", Version: version})
	} else {
		b.report(Report{Text: "The store holds no configuration yet."})
	}
	b.pingAll(now)
}
