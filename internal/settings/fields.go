package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// field is a key with the function that sets its value.
type field struct {
	Key
	// set checks the value and stores it, or reports its errors.
	set func(p *parseState, value any)
}

// namePattern matches names of nodes, failure domains and clusters. Names are
// part of store keys and log lines, so they contain no slash or space.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,62})$`)

const nameRange = "1 to 63 letters, digits, dots, hyphens and underscores"

func nameField[T ~string](name, description string, dst *T) field {
	key := Key{Name: name, Type: "string", Range: nameRange, Description: description, Required: true}
	return field{key, func(p *parseState, value any) {
		s, ok := asString(p, name, value)
		if !ok {
			return
		}
		if !namePattern.MatchString(s) {
			p.reportf(name, "%q is not a valid name: expected %s", s, nameRange)
			return
		}
		*dst = T(s)
	}}
}

func choiceField(name, description, def string, choices []string, dst *string) field {
	key := Key{Name: name, Type: "string", Default: quote(def), Range: strings.Join(choices, ", "), Description: description}
	*dst = def
	return field{key, func(p *parseState, value any) {
		s, ok := asString(p, name, value)
		if !ok {
			return
		}
		if !slices.Contains(choices, s) {
			p.reportf(name, "%q is not one of %s", s, key.Range)
			return
		}
		*dst = s
	}}
}

func boolField(name, description string, def bool, dst *bool) field {
	key := Key{Name: name, Type: "boolean", Default: strconv.FormatBool(def), Range: "true, false", Description: description}
	*dst = def
	return field{key, func(p *parseState, value any) {
		b, ok := value.(bool)
		if !ok {
			p.reportf(name, "must be a boolean, not %s", typeName(value))
			return
		}
		*dst = b
	}}
}

func durationField(name, description string, def, low, high time.Duration, dst *time.Duration) field {
	key := Key{
		Name: name, Type: "duration string", Unit: "ms, s, m, h", Default: quote(formatDuration(def)),
		Range: formatDuration(low) + " to " + formatDuration(high), Description: description,
	}
	*dst = def
	return field{key, func(p *parseState, value any) {
		s, ok := asUnitString(p, name, value, "5s")
		if !ok {
			return
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			p.reportf(name, "%q is not a duration with a unit, such as \"5s\"", s)
			return
		}
		if d < low || d > high {
			p.reportf(name, "%s is out of range: expected %s", s, key.Range)
			return
		}
		*dst = d
	}}
}

func sizeField(name, description string, def, low, high int64, dst *int64) field {
	key := Key{
		Name: name, Type: "size string", Unit: "B, KB, MB", Default: quote(formatSize(def)),
		Range: formatSize(low) + " to " + formatSize(high), Description: description,
	}
	*dst = def
	return field{key, func(p *parseState, value any) {
		s, ok := asUnitString(p, name, value, "64KB")
		if !ok {
			return
		}
		n, err := parseSize(s)
		if err != nil {
			p.reportf(name, "%v", err)
			return
		}
		if n < low || n > high {
			p.reportf(name, "%s is out of range: expected %s", s, key.Range)
			return
		}
		*dst = n
	}}
}

const addressRange = "an IP address that peers can reach, ports 1 to 65535"

func addressField(name, description string, dst *netip.AddrPort) field {
	key := Key{Name: name, Type: "ip:port string", Range: addressRange, Description: description, Required: true}
	return field{key, func(p *parseState, value any) {
		if s, ok := asString(p, name, value); ok {
			setAddress(p, name, s, dst)
		}
	}}
}

func setAddress(p *parseState, name, s string, dst *netip.AddrPort) {
	addr, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		p.reportf(name, "%q is not an address of the form ip:port", s)
	case addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		p.reportf(name, "%s is out of range: expected %s", s, addressRange)
	default:
		*dst = addr
	}
}

func addressesField(name, description string, required bool, dst *[]netip.AddrPort) field {
	key := Key{Name: name, Type: "list of ip:port strings", Range: addressRange, Description: description, Required: required}
	if !required {
		key.Default = "[]"
	}
	return field{key, func(p *parseState, value any) {
		items, ok := asStrings(p, name, value, required)
		if !ok {
			return
		}
		for i, s := range items {
			var addr netip.AddrPort
			setAddress(p, elementKey(name, i), s, &addr)
			*dst = append(*dst, addr)
		}
	}}
}

func ipField(name, description string, dst *netip.Addr) field {
	key := Key{Name: name, Type: "ip string", Default: "none", Range: "a local IP address", Description: description}
	return field{key, func(p *parseState, value any) {
		s, ok := asString(p, name, value)
		if !ok {
			return
		}
		addr, err := netip.ParseAddr(s)
		if err != nil {
			p.reportf(name, "%q is not an IP number", s)
			return
		}
		*dst = addr
	}}
}

func endpointsField(name, description string, dst *[]string) field {
	key := Key{Name: name, Type: "list of http://ip:port strings", Range: "at least one, no path", Description: description, Required: true}
	return field{key, func(p *parseState, value any) {
		items, ok := asStrings(p, name, value, true)
		if !ok {
			return
		}
		for i, s := range items {
			if err := checkEndpoint(s); err != nil {
				p.reportf(elementKey(name, i), "%v", err)
			}
		}
		*dst = items
	}}
}

func checkEndpoint(s string) error {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || s != "http://"+u.Host {
		return fmt.Errorf("%q is not an endpoint of the form http://ip:port", s)
	}
	addr, err := netip.ParseAddrPort(u.Host)
	if err != nil || addr.Port() == 0 {
		return fmt.Errorf("%q is not an endpoint of the form http://ip:port", s)
	}
	return nil
}

func pathField(name, description string, required bool, dst *string) field {
	key := Key{Name: name, Type: "path string", Range: "relative to the directory of the settings file, or absolute", Description: description, Required: required}
	if !required {
		key.Default = quote("")
	}
	return field{key, func(p *parseState, value any) {
		s, ok := asString(p, name, value)
		if !ok {
			return
		}
		if s == "" && required {
			p.reportf(name, "is empty; expected %s", key.Type)
			return
		}
		*dst = p.resolvePath(s)
	}}
}
