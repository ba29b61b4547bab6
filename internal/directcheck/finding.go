package directcheck

import (
	"cmp"
	"fmt"
	"slices"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Severity says whether a configuration with the finding may be stored.
type Severity string

// The severities.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is a problem in a configuration.
type Finding struct {
	findings.Finding
	Severity Severity
}

// String returns the finding on one line: its place, severity and message.
func (f Finding) String() string {
	return findings.Finding{Place: f.Place, Message: string(f.Severity) + ": " + f.Message}.String()
}

// Errorf returns an error.
func Errorf(place findings.Place, format string, args ...any) Finding {
	return Finding{findings.Finding{Place: place, Message: fmt.Sprintf(format, args...)}, SeverityError}
}

// Warnf returns a warning.
func Warnf(place findings.Place, format string, args ...any) Finding {
	return Finding{findings.Finding{Place: place, Message: fmt.Sprintf(format, args...)}, SeverityWarning}
}

// Sort sorts findings by place. Those with the same place keep their order.
func Sort(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Place.File, b.Place.File), cmp.Compare(a.Place.Line, b.Place.Line),
			cmp.Compare(a.Place.Column, b.Place.Column))
	})
}
