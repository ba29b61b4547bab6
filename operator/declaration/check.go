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

// Check validates the values of a file and returns all findings.
func Check(f *File) []findings.Finding {
	c := fileChecker{
		domains:  make(map[string]findings.Place),
		services: make(map[string]findings.Place),
		ports:    make(map[uint16]portOwner),
	}
	if len(f.Domains) == 0 && len(f.Services) == 0 {
		c.found.Addf(f.Origin, "declares nothing; a file is the whole declaration, so it would remove every service")
	}
	for i := range f.Domains {
		c.checkDomain(&f.Domains[i], i)
	}
	for i := range f.Services {
		c.checkService(&f.Services[i], i)
	}
	return c.found.All()
}

// fileChecker checks a file. It records the names and ports that the objects
// checked so far use, to find duplicates.
type fileChecker struct {
	found    findings.List
	domains  map[string]findings.Place
	services map[string]findings.Place
	ports    map[uint16]portOwner
}

// portOwner is the service that uses a port.
type portOwner struct {
	service string
	place   findings.Place
}

// objectChecker checks one failure domain or service.
type objectChecker struct {
	path   string
	origin *Origin
	found  *findings.List
}

// addFindingf adds a finding about a key.
func (o *objectChecker) addFindingf(key, format string, args ...any) {
	o.found.Addf(o.origin.keyPlace(o.path, key), format, args...)
}

// checkRequiredKeys adds a finding for each required key that is not set.
func (o *objectChecker) checkRequiredKeys(table string) {
	for _, key := range Keys() {
		if key.Table == table && key.Required() && !o.origin.isSet(key.Key) {
			o.addFindingf(key.Key, "missing")
		}
	}
}

// checkName checks the name and that no other object of its kind has it.
func (o *objectChecker) checkName(name string, declared map[string]findings.Place) {
	if !o.origin.isReadable(KeyName) {
		return
	}
	if problem := nameProblem(name); problem != "" {
		o.addFindingf(KeyName, "%s", problem)
		return
	}
	if first, ok := declared[name]; ok {
		o.addFindingf(KeyName, "%q is declared already at %s", name, fileAndLine(first))
		return
	}
	declared[name] = o.origin.keyPlace(o.path, KeyName)
}

// checkInteger checks that an integer is in its range.
func (o *objectChecker) checkInteger(key string, got, low, high int) {
	if o.origin.isReadable(key) && (got < low || got > high) {
		o.addFindingf(key, "%d is out of range; want %s", got, integerRange(low, high))
	}
}

// checkDuration checks that a duration is in its range.
func (o *objectChecker) checkDuration(key string, got, low, high time.Duration) {
	if o.origin.isReadable(key) && (got < low || got > high) {
		o.addFindingf(key, "%s is out of range; want %s", FormatDuration(got), durationRange(low, high))
	}
}

// checkDomain checks a failure domain.
func (c *fileChecker) checkDomain(d *Domain, index int) {
	o := objectChecker{findingPath(TableDomain, d.Name, index), &d.Origin, &c.found}
	o.checkRequiredKeys(TableDomain)
	o.checkName(d.Name, c.domains)
	if !d.Origin.isReadable(KeyRegion) {
		return
	}
	if problem := nameProblem(d.Region); problem != "" {
		o.addFindingf(KeyRegion, "%s", problem)
	}
}

// checkService checks a service.
func (c *fileChecker) checkService(s *Service, index int) {
	o := objectChecker{findingPath(TableService, s.Name, index), &s.Origin, &c.found}
	o.checkRequiredKeys(TableService)
	o.checkName(s.Name, c.services)
	o.checkMode(s.Mode)
	c.checkAddress(&o, s)
	c.checkServiceDomains(&o, s)
	o.checkTargets(s.Targets)
	o.checkInteger(KeyMaxSlots, s.MaxSlots, MinSlots, MaxSlotsLimit)
	o.checkInteger(KeyMaxConnections, s.MaxConnections, MinConnections, MaxConnLimit)
	o.checkDuration(KeyIdleTimeout, s.IdleTimeout, MinIdleTimeout, MaxIdleTimeout)
	o.checkDuration(KeyRequestTimeout, s.RequestTimeout, MinRequestTimeout, MaxRequestTimeout)
}

// checkMode checks that the mode is known.
func (o *objectChecker) checkMode(m Mode) {
	if o.origin.isReadable(KeyMode) && m != ModeRequest && m != ModeFlow {
		o.addFindingf(KeyMode, "%q is not a mode; want %q or %q", m, ModeRequest, ModeFlow)
	}
}

// checkAddress checks the address and that no other service has its port.
func (c *fileChecker) checkAddress(o *objectChecker, s *Service) {
	if !s.Origin.isReadable(KeyAddress) {
		return
	}
	if problem := addressProblem(s.Address); problem != "" {
		o.addFindingf(KeyAddress, "%s", problem)
		return
	}
	port := s.Address.Port()
	if first, ok := c.ports[port]; ok {
		o.addFindingf(KeyAddress, "port %d belongs to service %q already, at %s", port, first.service, fileAndLine(first.place))
		return
	}
	c.ports[port] = portOwner{s.Name, o.origin.keyPlace(o.path, KeyAddress)}
}

// checkServiceDomains checks that a service lists at least one failure domain,
// only declared ones, and each once.
func (c *fileChecker) checkServiceDomains(o *objectChecker, s *Service) {
	if !s.Origin.isReadable(KeyDomains) {
		return
	}
	if len(s.Domains) == 0 {
		o.addFindingf(KeyDomains, "is empty; name at least one failure domain")
	}
	seen := make(map[string]bool)
	for _, name := range s.Domains {
		if _, ok := c.domains[name]; !ok {
			o.addFindingf(KeyDomains, "failure domain %q is not declared", name)
		}
		if seen[name] {
			o.addFindingf(KeyDomains, "names %q twice", name)
		}
		seen[name] = true
	}
}

// checkTargets checks the target patterns.
func (o *objectChecker) checkTargets(patterns []string) {
	if !o.origin.isReadable(KeyTargets) {
		return
	}
	if len(patterns) == 0 {
		o.addFindingf(KeyTargets, "is empty; name at least one target pattern")
	}
	if len(patterns) > MaxPatterns {
		o.addFindingf(KeyTargets, "has %d patterns; the limit is %d", len(patterns), MaxPatterns)
	}
	seen := make(map[string]bool)
	for _, pattern := range patterns {
		if problem := patternProblem(pattern); problem != "" {
			o.addFindingf(KeyTargets, "%s", problem)
		}
		if seen[pattern] {
			o.addFindingf(KeyTargets, "names %q twice", pattern)
		}
		seen[pattern] = true
	}
}

// findingPath returns the dotted path of an object for findings, with its
// position in place of an invalid name.
func findingPath(table, name string, index int) string {
	if nameProblem(name) != "" {
		name = ""
	}
	return objectPath(table, name, index)
}

// fileAndLine formats a place without its key.
func fileAndLine(p findings.Place) string {
	p.Key = ""
	return p.String()
}

// namePattern matches valid names; the daemons' settings use the same pattern.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// nameProblem returns what is wrong with a name, or "".
func nameProblem(name string) string {
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

// addressProblem returns what is wrong with a service's address, or "".
func addressProblem(address netip.AddrPort) string {
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

// patternProblem returns what is wrong with a target pattern, or "".
func patternProblem(pattern string) string {
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
