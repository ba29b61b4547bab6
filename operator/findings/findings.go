// Package findings collects the problems found in an input, each with its
// place, so that all of them can be reported together.
package findings

import (
	"fmt"
	"slices"
	"strings"
)

// Place is a position in an input. Fields with the zero value are unknown.
type Place struct {
	// File is the path as given by the user.
	File string
	// Line counts from 1.
	Line int
	// Column counts bytes from 1.
	Column int
	// Key is the dotted path of the key or object.
	Key string
}

// String returns the place as "file:line:column: key".
func (p Place) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
		if p.Column > 0 {
			fmt.Fprintf(&b, ":%d", p.Column)
		}
	}
	if p.Key != "" {
		if b.Len() > 0 {
			b.WriteString(": ")
		}
		b.WriteString(p.Key)
	}
	return b.String()
}

// Finding is one problem in an input.
type Finding struct {
	Place   Place
	Message string
}

// String returns the finding on one line, the place first.
func (f Finding) String() string {
	if place := f.Place.String(); place != "" {
		return place + ": " + f.Message
	}
	return f.Message
}

// List collects findings. The zero value is an empty list.
type List struct {
	findings []Finding
}

// Addf adds a finding.
func (l *List) Addf(place Place, format string, args ...any) {
	l.findings = append(l.findings, Finding{place, fmt.Sprintf(format, args...)})
}

// Append adds the given findings.
func (l *List) Append(other []Finding) {
	l.findings = append(l.findings, other...)
}

// All returns the findings sorted by file and line; findings on the same line
// keep the order in which they were added.
func (l *List) All() []Finding {
	sorted := slices.Clone(l.findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		if c := strings.Compare(a.Place.File, b.Place.File); c != 0 {
			return c
		}
		return a.Place.Line - b.Place.Line
	})
	return sorted
}

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.All()}
}

// Error is an error that holds one or more findings.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
