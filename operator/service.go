package operator

import (
	"fmt"
	"time"

	"amaranthwheel.example/amaranthwheel/operator/declaration"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Service builds the declaration of one service. Its methods return the
// service, so that calls can be chained; each may be called once.
type Service struct {
	configuration *Configuration
	declared      declaration.Service
}

// Service declares a service without a mode, address, failure domains,
// targets or limits: all of these must be set. Timeouts have defaults.
func (c *Configuration) Service(name string) *Service {
	place := callerPlace(1)
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
	s.give(declaration.KeyMode)
	s.declared.Mode = declaration.ModeRequest
	return s
}

// Flows makes the service admit whole flows of opaque UDP datagrams.
func (s *Service) Flows() *Service {
	s.give(declaration.KeyMode)
	s.declared.Mode = declaration.ModeFlow
	return s
}

// Address sets the "IP:port" where callers send datagrams. No two services
// may have the same port.
func (s *Service) Address(address string) *Service {
	place := s.give(declaration.KeyAddress)
	parsed, err := declaration.ParseAddress(address)
	if err != nil {
		s.findingf(place, "%s", err)
		s.declared.Origin.MarkUnreadable(declaration.KeyAddress)
		return s
	}
	s.declared.Address = parsed
	return s
}

// Domains sets the failure domains that may serve the service.
func (s *Service) Domains(domains ...*Domain) *Service {
	place := s.give(declaration.KeyDomains)
	for _, d := range domains {
		if problem := s.domainProblem(d); problem != "" {
			s.findingf(place, "%s", problem)
			s.declared.Origin.MarkUnreadable(declaration.KeyDomains)
			continue
		}
		s.declared.Domains = append(s.declared.Domains, d.declared.Name)
	}
	return s
}

// domainProblem returns why the service can't name the failure domain, or "".
func (s *Service) domainProblem(d *Domain) string {
	switch {
	case d == nil:
		return "a failure domain is nil"
	case d.configuration != s.configuration:
		return fmt.Sprintf("failure domain %q belongs to another configuration", d.declared.Name)
	}
	return ""
}

// Targets sets the patterns of the names of the targets that the service may
// use: * stands for any text, ? for one character, [a-c] for a range.
func (s *Service) Targets(patterns ...string) *Service {
	s.give(declaration.KeyTargets)
	s.declared.Targets = patterns
	return s
}

// MaxSlots caps the concurrent requests of one target.
func (s *Service) MaxSlots(slots int) *Service {
	s.give(declaration.KeyMaxSlots)
	s.declared.MaxSlots = slots
	return s
}

// MaxConnections caps the concurrent flows of one target.
func (s *Service) MaxConnections(connections int) *Service {
	s.give(declaration.KeyMaxConnections)
	s.declared.MaxConnections = connections
	return s
}

// IdleTimeout ends a flow without traffic.
func (s *Service) IdleTimeout(timeout time.Duration) *Service {
	s.give(declaration.KeyIdleTimeout)
	s.declared.IdleTimeout = timeout
	return s
}

// RequestTimeout bounds one request when the caller names no deadline.
func (s *Service) RequestTimeout(timeout time.Duration) *Service {
	s.give(declaration.KeyRequestTimeout)
	s.declared.RequestTimeout = timeout
	return s
}

// Comment sets the text that is printed above the service.
func (s *Service) Comment(text string) *Service {
	s.declared.Comment = text
	return s
}

// give records the place of the builder call that sets the key, and reports a
// second call.
func (s *Service) give(key string) findings.Place {
	place := callerPlace(2)
	place.Key = declaration.TableService + "." + s.declared.Name + "." + key
	if first, ok := s.declared.Origin.Keys[key]; ok {
		first.Key = ""
		s.findingf(place, "set already at %s", first)
		return place
	}
	s.declared.Origin.Give(key, place)
	return place
}

// findingf reports a finding about the service.
func (s *Service) findingf(place findings.Place, format string, args ...any) {
	s.configuration.found.Addf(place, format, args...)
}
