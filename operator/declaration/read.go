package declaration

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

// kindNames names TOML kinds in findings.
var kindNames = map[unstable.Kind]string{
	unstable.Array:         "an array",
	unstable.InlineTable:   "an inline table",
	unstable.String:        "a string",
	unstable.Bool:          "a boolean",
	unstable.Float:         "a float",
	unstable.Integer:       "an integer",
	unstable.LocalDate:     "a date",
	unstable.LocalTime:     "a time",
	unstable.LocalDateTime: "a date",
	unstable.DateTime:      "a date",
}

// typeError reports a value of the wrong TOML type.
type typeError struct {
	want string
	got  unstable.Kind
}

func (e *typeError) Error() string {
	return fmt.Sprintf("want %s, found %s", e.want, kindNames[e.got])
}

// readString reads a string.
func readString(v value) (string, error) {
	if v.kind != unstable.String {
		return "", &typeError{"a string", v.kind}
	}
	return v.text, nil
}

// readStrings reads an array of strings.
func readStrings(v value) ([]string, error) {
	if v.kind != unstable.Array {
		return nil, &typeError{"an array of strings", v.kind}
	}
	out := make([]string, 0, len(v.elements))
	for _, element := range v.elements {
		if element.kind != unstable.String {
			return nil, &typeError{"an array of strings", element.kind}
		}
		out = append(out, element.text)
	}
	return out, nil
}

// readInteger reads an integer.
func readInteger(v value) (int, error) {
	if v.kind != unstable.Integer {
		return 0, &typeError{"an integer", v.kind}
	}
	n, err := strconv.ParseInt(v.text, 0, strconv.IntSize)
	if err != nil {
		return 0, fmt.Errorf("%s is not an integer of %d bits", v.text, strconv.IntSize)
	}
	return int(n), nil
}

// readDuration reads a duration with its unit.
func readDuration(v value) (time.Duration, error) {
	if v.kind != unstable.String {
		return 0, &typeError{`a duration with its unit in quotes, such as "30s"`, v.kind}
	}
	d, err := time.ParseDuration(v.text)
	if err != nil {
		return 0, fmt.Errorf(`%q is not a duration; write a number with a unit (ms, s, m, h), such as "30s"`, v.text)
	}
	return d, nil
}

// readAddress reads an "IP:port" address.
func readAddress(v value) (netip.AddrPort, error) {
	if v.kind != unstable.String {
		return netip.AddrPort{}, &typeError{`an address in quotes, such as "10.20.0.1:4433"`, v.kind}
	}
	return ParseAddress(v.text)
}

// ParseAddress parses an "IP:port" address; its error tells how to write one.
func ParseAddress(text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf(`%q is not an address; write IP:port by numbers, such as "10.20.0.1:4433"`, text)
	}
	return addr, nil
}
