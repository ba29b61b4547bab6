package operator

import (
	"fmt"
	"time"

	"amaranthwheel.example/amaranthwheel/operator/declaration"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Service builds the declaration of one service. Its methods return the
// service so that calls can be chained. A second call of a method that sets a
// key is reported as a finding.
type Service struct {
	configuration *Configuration
	declared      declaration.Service
}

// Service declares a service. Its mode, address, failure domains, targets and
// limits must be set; the timeouts have defaults.
func (c *Configuration) Service(name string) *Service {
	place := callSite(1)
	s := &Service{configuration: c}
	s.declared.Name = name
	s.declared.IdleTimeout = declaration.DefaultIdleTimeout
	s.declared.RequestTimeout = declaration.DefaultRequestTimeout
	s.declared.Origin.Object = place
	s.declared.Origin.Give(declaration.KeyName, place)
	c.services = append(c.services, s)
	return s
}

// Requests makes the service admit single HTTP/3 requests.
func (s *Service) Requests() *Service {
	s.recordKey(declaration.KeyMode)
	s.declared.Mode = declaration.ModeRequest
	return s
}

// Flows makes the service admit whole flows of opaque UDP datagrams.
func (s *Service) Flows() *Service {
	s.recordKey(declaration.KeyMode)
	s.declared.Mode = declaration.ModeFlow
	return s
}

// Address sets the "IP:port" to which callers send datagrams. Each service
// needs a port of its own.
func (s *Service) Address(address string) *Service {
	place := s.recordKey(declaration.KeyAddress)
	parsed, err := declaration.ParseAddress(address)
	if err != nil {
		s.addFindingf(place, "%s", err)
		s.declared.Origin.MarkUnreadable(declaration.KeyAddress)
		return s
	}
	s.declared.Address = parsed
	return s
}

// Domains sets the failure domains that may serve the service.
func (s *Service) Domains(domains ...*Domain) *Service {
	place := s.recordKey(declaration.KeyDomains)
	for _, d := range domains {
		if problem := s.domainProblem(d); problem != "" {
			s.addFindingf(place, "%s", problem)
			s.declared.Origin.MarkUnreadable(declaration.KeyDomains)
			continue
		}
		s.declared.Domains = append(s.declared.Domains, d.declared.Name)
	}
	return s
}

// domainProblem returns why the service can't refer to the failure domain, or
// "".
func (s *Service) domainProblem(d *Domain) string {
	switch {
	case d == nil:
		return "a failure domain is nil"
	case d.configuration != s.configuration:
		return fmt.Sprintf("failure domain %q belongs to another configuration", d.declared.Name)
	}
	return ""
}

// Targets sets the patterns that select the service's targets by name:
// * matches any text, ? one character, [a-c] a range.
func (s *Service) Targets(patterns ...string) *Service {
	s.recordKey(declaration.KeyTargets)
	s.declared.Targets = patterns
	return s
}

// MaxSlots limits the concurrent requests of one target.
func (s *Service) MaxSlots(slots int) *Service {
	s.recordKey(declaration.KeyMaxSlots)
	s.declared.MaxSlots = slots
	return s
}

// MaxConnections limits the concurrent flows of one target.
func (s *Service) MaxConnections(connections int) *Service {
	s.recordKey(declaration.KeyMaxConnections)
	s.declared.MaxConnections = connections
	return s
}

// IdleTimeout sets the time after which a flow without traffic is closed.
func (s *Service) IdleTimeout(timeout time.Duration) *Service {
	s.recordKey(declaration.KeyIdleTimeout)
	s.declared.IdleTimeout = timeout
	return s
}

// RequestTimeout sets the timeout of a request that carries no deadline.
func (s *Service) RequestTimeout(timeout time.Duration) *Service {
	s.recordKey(declaration.KeyRequestTimeout)
	s.declared.RequestTimeout = timeout
	return s
}

// Comment sets the comment that is printed above the service.
func (s *Service) Comment(text string) *Service {
	s.declared.Comment = text
	return s
}

// recordKey records and returns the place of the builder call that sets the
// key. It adds a finding if the key is set already.
func (s *Service) recordKey(key string) findings.Place {
	place := callSite(2)
	place.Key = declaration.TableService + "." + s.declared.Name + "." + key
	if first, ok := s.declared.Origin.Keys[key]; ok {
		first.Key = ""
		s.addFindingf(place, "set already at %s", first)
		return place
	}
	s.declared.Origin.Give(key, place)
	return place
}

// addFindingf adds a finding about the service.
func (s *Service) addFindingf(place findings.Place, format string, args ...any) {
	s.configuration.found.Addf(place, format, args...)
}
