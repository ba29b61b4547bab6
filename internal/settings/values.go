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

// sizeUnits are the units of sizes, largest first, so that "B" is tried last.
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

// formatSize formats a size in the largest unit that divides it.
func formatSize(n int64) string {
	for _, unit := range sizeUnits {
		if n%unit.bytes == 0 && n >= unit.bytes {
			return strconv.FormatInt(n/unit.bytes, 10) + unit.suffix
		}
	}
	return "0B"
}

// formatDuration formats a duration without trailing zero minutes and seconds.
func formatDuration(d time.Duration) string {
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

// elementKey returns the key of one element of a list.
func elementKey(name string, index int) string {
	return fmt.Sprintf("%s[%d]", name, index)
}

// typeName returns the TOML type of a decoded value with its article.
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

// asString returns the value as a string, or reports that its type is wrong.
func asString(p *parseState, key string, value any) (string, bool) {
	s, ok := value.(string)
	if !ok {
		p.reportf(key, "must be a string, not %s", typeName(value))
	}
	return s, ok
}

// asUnitString is like asString for a value with a unit, where a bare number is a
// likely mistake.
func asUnitString(p *parseState, key string, value any, example string) (string, bool) {
	s, ok := value.(string)
	if !ok {
		p.reportf(key, "must be a string with a unit, such as %q, not %s", example, typeName(value))
	}
	return s, ok
}

// asStrings returns the value as a list of distinct strings, or reports its
// errors.
func asStrings(p *parseState, key string, value any, required bool) ([]string, bool) {
	items, ok := value.([]any)
	if !ok {
		p.reportf(key, "must be a list of strings, not %s", typeName(value))
		return nil, false
	}
	if required && len(items) == 0 {
		p.reportf(key, "must not be empty")
	}
	var out []string
	seen := make(map[string]bool)
	for i, item := range items {
		s, isString := asString(p, elementKey(key, i), item)
		if isString && seen[s] {
			p.reportf(elementKey(key, i), "stands twice in the list")
		}
		seen[s] = true
		ok = ok && isString
		out = append(out, s)
	}
	return out, ok
}

// resolvePath resolves a relative path against the settings file's directory. It
// returns the empty path and "-" unchanged.
func (p *parseState) resolvePath(path string) string {
	if path == "" || path == "-" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(p.doc.file), path)
}
