package declaration

import (
	"fmt"
	"net/netip"
	"path"
	"regexp"
	"strings"
	"time"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Check returns everything that is wrong with the values of a file.
func Check(f *File) []findings.Finding {
	c := checker{
		domains:  make(map[string]findings.Place),
		services: make(map[string]findings.Place),
		ports:    make(map[uint16]portUse),
	}
	if len(f.Domains) == 0 && len(f.Services) == 0 {
		c.found.Addf(f.Origin, "declares nothing; a file is the whole declaration, so it would remove every service")
	}
	for i := range f.Domains {
		c.domain(&f.Domains[i], i)
	}
	for i := range f.Services {
		c.service(&f.Services[i], i)
	}
	return c.found.All()
}

// checker holds what the checked objects have claimed so far.
type checker struct {
	found    findings.List
	domains  map[string]findings.Place
	services map[string]findings.Place
	ports    map[uint16]portUse
}

// portUse is the service that claims a port.
type portUse struct {
	service string
	place   findings.Place
}

// object is one table under check.
type object struct {
	path   string
	origin *Origin
	found  *findings.List
}

// addf reports a finding about a key.
func (o *object) addf(key, format string, args ...any) {
	o.found.Addf(o.origin.place(o.path, key), format, args...)
}

// missing reports the required keys that the table lacks.
func (o *object) missing(table string) {
	for _, key := range Keys() {
		if key.Table == table && key.Required() && !o.origin.given(key.Key) {
			o.addf(key.Key, "missing")
		}
	}
}

// name checks a name and that no other object of its kind has it.
func (o *object) name(name string, taken map[string]findings.Place) {
	if !o.origin.checkable(KeyName) {
		return
	}
	if problem := checkName(name); problem != "" {
		o.addf(KeyName, "%s", problem)
		return
	}
	if first, ok := taken[name]; ok {
		o.addf(KeyName, "%q is declared already at %s", name, location(first))
		return
	}
	taken[name] = o.origin.place(o.path, KeyName)
}

// integer checks a range.
func (o *object) integer(key string, got, low, high int) {
	if o.origin.checkable(key) && (got < low || got > high) {
		o.addf(key, "%d is out of range; want %s", got, integerRange(low, high))
	}
}

// duration checks a range.
func (o *object) duration(key string, got, low, high time.Duration) {
	if o.origin.checkable(key) && (got < low || got > high) {
		o.addf(key, "%s is out of range; want %s", FormatDuration(got), durationRange(low, high))
	}
}

// domain checks a failure domain.
func (c *checker) domain(d *Domain, index int) {
	o := object{pathOf(TableDomain, d.Name, index), &d.Origin, &c.found}
	o.missing(TableDomain)
	o.name(d.Name, c.domains)
	if !d.Origin.checkable(KeyRegion) {
		return
	}
	if problem := checkName(d.Region); problem != "" {
		o.addf(KeyRegion, "%s", problem)
	}
}

// service checks a service.
func (c *checker) service(s *Service, index int) {
	o := object{pathOf(TableService, s.Name, index), &s.Origin, &c.found}
	o.missing(TableService)
	o.name(s.Name, c.services)
	o.mode(s.Mode)
	c.address(&o, s)
	c.serviceDomains(&o, s)
	o.targets(s.Targets)
	o.integer(KeyMaxSlots, s.MaxSlots, MinSlots, MaxSlotsLimit)
	o.integer(KeyMaxConnections, s.MaxConnections, MinConnections, MaxConnLimit)
	o.duration(KeyIdleTimeout, s.IdleTimeout, MinIdleTimeout, MaxIdleTimeout)
	o.duration(KeyRequestTimeout, s.RequestTimeout, MinRequestTimeout, MaxRequestTimeout)
}

// mode checks that the mode is known.
func (o *object) mode(m Mode) {
	if o.origin.checkable(KeyMode) && m != ModeRequest && m != ModeFlow {
		o.addf(KeyMode, "%q is not a mode; want %q or %q", m, ModeRequest, ModeFlow)
	}
}

// address checks the address and that no other service has its port.
func (c *checker) address(o *object, s *Service) {
	if !s.Origin.checkable(KeyAddress) {
		return
	}
	if problem := checkAddress(s.Address); problem != "" {
		o.addf(KeyAddress, "%s", problem)
		return
	}
	port := s.Address.Port()
	if first, ok := c.ports[port]; ok {
		o.addf(KeyAddress, "port %d belongs to service %q already, at %s", port, first.service, location(first.place))
		return
	}
	c.ports[port] = portUse{s.Name, o.origin.place(o.path, KeyAddress)}
}

// serviceDomains checks that a service names declared failure domains, each
// once.
func (c *checker) serviceDomains(o *object, s *Service) {
	if !s.Origin.checkable(KeyDomains) {
		return
	}
	if len(s.Domains) == 0 {
		o.addf(KeyDomains, "is empty; name at least one failure domain")
	}
	seen := make(map[string]bool)
	for _, name := range s.Domains {
		if _, ok := c.domains[name]; !ok {
			o.addf(KeyDomains, "failure domain %q is not declared", name)
		}
		if seen[name] {
			o.addf(KeyDomains, "names %q twice", name)
		}
		seen[name] = true
	}
}

// targets checks the target patterns.
func (o *object) targets(patterns []string) {
	if !o.origin.checkable(KeyTargets) {
		return
	}
	if len(patterns) == 0 {
		o.addf(KeyTargets, "is empty; name at least one target pattern")
	}
	if len(patterns) > MaxPatterns {
		o.addf(KeyTargets, "has %d patterns; the limit is %d", len(patterns), MaxPatterns)
	}
	seen := make(map[string]bool)
	for _, pattern := range patterns {
		if problem := checkPattern(pattern); problem != "" {
			o.addf(KeyTargets, "%s", problem)
		}
		if seen[pattern] {
			o.addf(KeyTargets, "names %q twice", pattern)
		}
		seen[pattern] = true
	}
}

// pathOf returns the dotted path of an object, by position if its name is no
// name.
func pathOf(table, name string, index int) string {
	if checkName(name) != "" {
		name = ""
	}
	return objectPath(table, name, index)
}

// location returns a place without its key.
func location(p findings.Place) string {
	p.Key = ""
	return p.String()
}

// namePattern is the form of names, the same as in the daemons' settings.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checkName returns what is wrong with a name, or "".
func checkName(name string) string {
	switch {
	case name == "":
		return "is empty"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("has %d bytes; the limit is %d", len(name), MaxNameBytes)
	case !namePattern.MatchString(name):
		return fmt.Sprintf("%q is not a name; want letters, digits, dots, hyphens and underscores, a letter or digit first", name)
	}
	return ""
}

// checkAddress returns what is wrong with a service's address, or "".
func checkAddress(address netip.AddrPort) string {
	ip := address.Addr()
	switch {
	case !address.IsValid():
		return "is not an address"
	case address.Port() == 0:
		return "port 0 can't be reached; want 1 to 65535"
	case ip.IsUnspecified():
		return fmt.Sprintf("%s stands for any address; name one", ip)
	case ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return fmt.Sprintf("%s is not a unicast address", ip)
	case ip.Is4In6():
		return fmt.Sprintf("write the IPv4 address as %s", ip.Unmap())
	case ip.Zone() != "":
		return fmt.Sprintf("%s has a zone, which means something else on each host", ip)
	}
	return ""
}

// checkPattern returns what is wrong with a target pattern, or "".
func checkPattern(pattern string) string {
	if pattern == "" {
		return "has an empty target pattern"
	}
	if len(pattern) > MaxPatternBytes {
		return fmt.Sprintf("a target pattern has %d bytes; the limit is %d", len(pattern), MaxPatternBytes)
	}
	if strings.Contains(pattern, "/") {
		return fmt.Sprintf("%q can match no target, because names of targets have no /", pattern)
	}
	if _, err := path.Match(pattern, ""); err != nil {
		return fmt.Sprintf("%q is a bad target pattern; * matches any text, ? one character, [a-c] a range", pattern)
	}
	return ""
}
