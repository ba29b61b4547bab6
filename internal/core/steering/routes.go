package steering

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthwheel.example/amaranthwheel/internal/revision"
)

// ServiceIDOf returns the identifier of a service's name. It is never 0.
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

// Route determines the service of new flows to an address.
type Route struct {
	Name   string
	Shares []Share
	// NonIdempotent reports that requests of the route must not run twice.
	NonIdempotent bool
	// SingleRequest reports that each flow of the route carries a single request.
	SingleRequest bool
	// Demand is what operators declared about the route's requests.
	Demand Demand
}

// pickService returns the service for a flow. All balancers with the same route
// pick the same one.
func (r *Route) pickService(hash uint64) ServiceID {
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
	// The high bits, as the low ones rank the agents.
	point := int((hash >> 32) % uint64(total))
	for _, s := range r.Shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return 0
}

// Configuration is the routes and rates that operators declared.
type Configuration struct {
	Version int64
	Routes  map[Endpoint]*Route
	// ColdOpensPerSecond is the rate at which a cold target of a service can accept new
	// flows.
	ColdOpensPerSecond map[ServiceID]float32
	// ServiceNames are the names of the declared services and of those of routes.
	ServiceNames map[ServiceID]string
}

// OperatorState is everything that operators have written to the store.
type OperatorState struct {
	// Era rises each time the store is restored from a copy.
	Era uint64
	// Revision is that of the last known change by operators.
	Revision revision.Revision
	// VerifiedRevision is the store revision up to which no later change by operators
	// exists.
	VerifiedRevision revision.Revision
	Configuration    *Configuration
	// DomainsOut is the failure domains that are taken out of service.
	DomainsOut map[string]bool
}

// ConfigurationLoaded is the operators' state as read from the store.
type ConfigurationLoaded struct {
	State OperatorState
	// ConfirmedAt is a time at which the store held this state.
	ConfirmedAt time.Time
}

func (*ConfigurationLoaded) event() {}

// configSection is the operators' state in force. Its version never decreases
// during a process's life.
type configSection struct {
	state  OperatorState
	loaded bool
	held   heldDomains
	// kept is set while the configuration in force is not the store's: that is older, or can't
	// be decoded.
	kept bool
	// withObjective is the services of the routes of objectivesOf that have an objective.
	withObjective map[ServiceID]bool
	objectivesOf  *Configuration
}

// update applies a newer state and reports whether it differs.
func (c *configSection) update(now time.Time, s OperatorState) bool {
	if c.loaded && s.VerifiedRevision.Before(c.state.VerifiedRevision) {
		return false
	}
	s.Revision = revision.Later(s.Revision, c.state.Revision)
	if c.loaded && s.Revision == c.state.Revision {
		c.state.VerifiedRevision = s.VerifiedRevision
		return false
	}
	current := c.state.Configuration
	c.kept = current != nil && (s.Configuration == nil || s.Configuration.Version < current.Version)
	if c.kept {
		s.Configuration = current
	}
	if c.loaded && s.Era > c.state.Era {
		c.held.hold(now, c.state.DomainsOut)
	}
	s.DomainsOut = c.held.merge(now, s.DomainsOut)
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

// hasObjective reports whether a route of the service has an objective.
func (c *configSection) hasObjective(service ServiceID) bool {
	if current := c.state.Configuration; c.objectivesOf != current {
		c.objectivesOf, c.withObjective = current, make(map[ServiceID]bool)
		for _, r := range current.Routes {
			for _, s := range r.Shares {
				if r.hasObjective() {
					c.withObjective[s.Service] = true
				}
			}
		}
	}
	return c.withObjective[service]
}

// limits returns the limits that an agent has to enforce.
func (c *configSection) limits(m *member, memberRevision revision.Revision) Limits {
	l := Limits{Revision: c.state.Revision, MemberRevision: memberRevision, DomainOut: c.state.DomainsOut[m.record.Domain]}
	if c.state.Configuration != nil {
		l.ColdOpensPerSecond = c.state.Configuration.ColdOpensPerSecond[m.service]
	}
	return l
}

// applyConfiguration puts the configuration into force and announces it to the
// agents.
func (b *Balancer) applyConfiguration(now time.Time, e *ConfigurationLoaded) {
	previous := b.confirmation.knownAt
	changed := b.config.update(now, e.State)
	if !e.State.VerifiedRevision.Before(b.config.state.VerifiedRevision) {
		b.confirmation.recordRead(e.ConfirmedAt)
	}
	defer b.resolveUnrouted(now)
	if !changed {
		b.announceConfirmation(now)
		return
	}
	b.demand.retain(b.config.state.Configuration)
	b.refreshRequested = false // announceChange reaches more agents
	if version := b.Version(); version > 0 {
		report := Report{Text: "Configuration is in force.", Version: version, Revision: b.config.state.Revision}
		if !previous.IsZero() {
			report.Age = now.Sub(previous)
		}
		b.report(report)
	} else {
		b.report(Report{Text: "The store holds no configuration yet."})
	}
	b.announceChange(now)
}
