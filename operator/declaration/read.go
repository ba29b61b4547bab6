package declaration

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

// kindNames maps TOML kinds to their names in findings.
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

// typeError is the error for a value of the wrong TOML type.
type typeError struct {
	want string
	got  unstable.Kind
}

func (e *typeError) Error() string {
	return fmt.Sprintf("want %s, found %s", e.want, kindNames[e.got])
}

// decodeString converts a TOML string.
func decodeString(v value) (string, error) {
	if v.kind != unstable.String {
		return "", &typeError{"a string", v.kind}
	}
	return v.text, nil
}

// decodeStrings converts a TOML array of strings.
func decodeStrings(v value) ([]string, error) {
	if v.kind != unstable.Array {
		return nil, &typeError{"an array of strings", v.kind}
	}
	list := make([]string, 0, len(v.elements))
	for _, element := range v.elements {
		if element.kind != unstable.String {
			return nil, &typeError{"an array of strings", element.kind}
		}
		list = append(list, element.text)
	}
	return list, nil
}

// decodeInteger converts a TOML integer.
func decodeInteger(v value) (int, error) {
	if v.kind != unstable.Integer {
		return 0, &typeError{"an integer", v.kind}
	}
	n, err := strconv.ParseInt(v.text, 0, strconv.IntSize)
	if err != nil {
		return 0, fmt.Errorf("%s is not an integer of %d bits", v.text, strconv.IntSize)
	}
	return int(n), nil
}

// decodeDuration converts a TOML string that holds a duration with its unit.
func decodeDuration(v value) (time.Duration, error) {
	if v.kind != unstable.String {
		return 0, &typeError{`a duration with its unit in quotes, such as "30s"`, v.kind}
	}
	d, err := time.ParseDuration(v.text)
	if err != nil {
		return 0, fmt.Errorf(`%q is not a duration; write a number with a unit (ms, s, m, h), such as "30s"`, v.text)
	}
	return d, nil
}

// decodeAddress converts a TOML string that holds an "IP:port" address.
func decodeAddress(v value) (netip.AddrPort, error) {
	if v.kind != unstable.String {
		return netip.AddrPort{}, &typeError{`an address in quotes, such as "10.20.0.1:4433"`, v.kind}
	}
	return ParseAddress(v.text)
}

// ParseAddress parses an "IP:port" address. Its error states the expected form.
func ParseAddress(text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf(`%q is not an address; write IP:port by numbers, such as "10.20.0.1:4433"`, text)
	}
	return addr, nil
}
