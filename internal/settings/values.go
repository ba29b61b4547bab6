package settings

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Units of sizes, in bytes.
const (
	kilobyte = 1000
	megabyte = 1000 * kilobyte
)

// sizeUnits maps a size's unit to bytes, the longest suffix first.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"MB", megabyte}, {"KB", kilobyte}, {"B", 1}}

// parseSize parses a whole number with a unit, such as "64KB", into bytes.
func parseSize(s string) (int64, error) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(s, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 32)
		if err != nil {
			break
		}
		return int64(n) * unit.bytes, nil
	}
	return 0, fmt.Errorf("%q is not a size with a unit, such as \"64KB\"", s)
}

// formatSize writes a size in the largest unit that divides it.
func formatSize(n int64) string {
	for _, unit := range sizeUnits {
		if n%unit.bytes == 0 && n >= unit.bytes {
			return strconv.FormatInt(n/unit.bytes, 10) + unit.suffix
		}
	}
	return "0B"
}

// shortDuration writes a duration without zero minutes and seconds.
func shortDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func quote(s string) string { return strconv.Quote(s) }

// element returns the key of one element of a list.
func element(name string, index int) string {
	return fmt.Sprintf("%s[%d]", name, index)
}

// typeName names the TOML type of a decoded value.
func typeName(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}

// asString returns the value as a string, or reports its type.
func asString(r *reading, key string, value any) (string, bool) {
	s, ok := value.(string)
	if !ok {
		r.reportf(key, "must be a string, not %s", typeName(value))
	}
	return s, ok
}

// asUnitString is asString for a quantity, where a bare number is a likely
// mistake.
func asUnitString(r *reading, key string, value any, example string) (string, bool) {
	s, ok := value.(string)
	if !ok {
		r.reportf(key, "must be a string with a unit, such as %q, not %s", example, typeName(value))
	}
	return s, ok
}

// asStrings returns the value as a list of distinct strings, or reports what
// is wrong.
func asStrings(r *reading, key string, value any, required bool) ([]string, bool) {
	items, ok := value.([]any)
	if !ok {
		r.reportf(key, "must be a list of strings, not %s", typeName(value))
		return nil, false
	}
	if required && len(items) == 0 {
		r.reportf(key, "must not be empty")
	}
	var out []string
	seen := make(map[string]bool)
	for i, item := range items {
		s, isString := asString(r, element(key, i), item)
		if isString && seen[s] {
			r.reportf(element(key, i), "stands twice in the list")
		}
		seen[s] = true
		ok = ok && isString
		out = append(out, s)
	}
	return out, ok
}

// resolve returns a path relative to the settings file's directory. The empty
// path and "-" stay as they are.
func (r *reading) resolve(path string) string {
	if path == "" || path == "-" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(r.doc.file), path)
}
