package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// errNoField is returned for a path without a value.
var errNoField = errors.New("no such field")

// lengthSegment is the path segment for the length of a list or object.
const lengthSegment = "length"

// lookUp returns the value at a dotted path. A segment is the name
// of a field, the index of an element, FIELD=VALUE for the first element with
// that field, or "length" for the length of a list or object.
func lookUp(value any, path string) (any, error) {
	if path == "." {
		return value, nil
	}
	for segment := range strings.SplitSeq(path, ".") {
		next, err := resolveSegment(value, segment)
		if err != nil {
			return nil, fmt.Errorf("%w: %q in %q", err, segment, path)
		}
		value = next
	}
	return value, nil
}

// resolveSegment returns the value that one path segment selects.
func resolveSegment(value any, segment string) (any, error) {
	switch v := value.(type) {
	case map[string]any:
		if next, ok := v[segment]; ok {
			return next, nil
		}
		if segment == lengthSegment {
			return json.Number(strconv.Itoa(len(v))), nil
		}
	case []any:
		return resolveListSegment(v, segment)
	case nil:
		if segment == lengthSegment {
			return json.Number("0"), nil
		}
	}
	return nil, errNoField
}

// resolveListSegment returns the element of a list that a path segment selects.
func resolveListSegment(list []any, segment string) (any, error) {
	if segment == lengthSegment {
		return json.Number(strconv.Itoa(len(list))), nil
	}
	if field, want, ok := strings.Cut(segment, "="); ok {
		for _, element := range list {
			object, isObject := element.(map[string]any)
			if isObject && formatValue(object[field]) == want {
				return element, nil
			}
		}
		return nil, errNoField
	}
	index, err := strconv.Atoi(segment)
	if err != nil || index < 0 || index >= len(list) {
		return nil, errNoField
	}
	return list[index], nil
}

// formatValue formats a value as scripts write it.
func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case nil:
		return "null"
	}
	out, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(out)
}

// compare reports whether the relation holds between got and want. Order
// relations compare numbers; "~" matches a regular expression.
func compare(got, relation, want string) (bool, error) {
	switch relation {
	case "==":
		return got == want, nil
	case "!=":
		return got != want, nil
	case "~":
		expr, err := regexp.Compile(want)
		if err != nil {
			return false, err
		}
		return expr.MatchString(got), nil
	}
	a, err := strconv.ParseFloat(got, 64)
	if err != nil {
		return false, fmt.Errorf("%q is not a number", got)
	}
	b, err := strconv.ParseFloat(want, 64)
	if err != nil {
		return false, fmt.Errorf("%q is not a number", want)
	}
	switch relation {
	case "<":
		return a < b, nil
	case "<=":
		return a <= b, nil
	case ">":
		return a > b, nil
	case ">=":
		return a >= b, nil
	}
	return false, fmt.Errorf("unknown relation %q", relation)
}
