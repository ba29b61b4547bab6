// Package findings collects everything that is wrong with an input, each
// finding with its place, so that all are reported together.
package findings

import (
	"fmt"
	"slices"
	"strings"
)

// Place tells where in an input a finding is. Zero fields are unknown.
type Place struct {
	// File is the path as the user gave it.
	File string
	// Line counts from 1.
	Line int
	// Key is the dotted path of the setting or object.
	Key string
}

// String returns the place as "file:line: key".
func (p Place) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		if b.Len() > 0 {
			b.WriteString(": ")
		}
		b.WriteString(p.Key)
	}
	return b.String()
}

// Finding is one thing that is wrong.
type Finding struct {
	Place   Place
	Message string
}

// String returns the finding as one line.
func (f Finding) String() string {
	if place := f.Place.String(); place != "" {
		return place + ": " + f.Message
	}
	return f.Message
}

// List collects findings. The zero value is empty and ready to use.
type List struct {
	findings []Finding
}

// Addf adds a finding.
func (l *List) Addf(place Place, format string, args ...any) {
	l.findings = append(l.findings, Finding{place, fmt.Sprintf(format, args...)})
}

// Append adds the findings of another list.
func (l *List) Append(other []Finding) {
	l.findings = append(l.findings, other...)
}

// All returns the findings in the order of their places.
func (l *List) All() []Finding {
	out := slices.Clone(l.findings)
	slices.SortStableFunc(out, func(a, b Finding) int {
		if c := strings.Compare(a.Place.File, b.Place.File); c != 0 {
			return c
		}
		return a.Place.Line - b.Place.Line
	})
	return out
}

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.All()}
}

// Error reports one or more findings.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
