package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"amaranthwheel.example/amaranthwheel/internal/configstore"
	"amaranthwheel.example/amaranthwheel/internal/declare"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// conflictError reports a change that was rejected because another one was
// accepted first.
type conflictError struct {
	// Description names the rejected change.
	Description string
	// Base is the version on which the rejected change was based.
	Base    uint64
	Current uint64
	// Winners are the changes accepted after the base, the oldest first.
	Winners []configstore.Record
	// Remaining lists the changes from the current version to the requested
	// state.
	Remaining []declare.Change
}

// Error returns a report of several lines.
func (e *conflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: %s was made for version %d, but version %d is current; it was not accepted", e.Description, e.Base, e.Current)
	for _, w := range e.Winners {
		fmt.Fprintf(&b, "\n  won: version %d by %s at %s%s: %s",
			w.Version, authorOrUnknown(w.Change.Author), formatTime(w.Change.At), formatNote(w.Change.Note), describeObjects(w.Change.Objects))
	}
	if len(e.Remaining) == 0 {
		b.WriteString("\n  version " + fmt.Sprint(e.Current) + " holds what you asked for already")
		return b.String()
	}
	fmt.Fprintf(&b, "\nversion %d differs from what you asked for; yours would now be:", e.Current)
	for i := range e.Remaining {
		change := &e.Remaining[i]
		fmt.Fprintf(&b, "\n  %s%s", change.String(), e.describeOverlap(change.Key()))
	}
	return b.String()
}

// describeOverlap names the latest accepted change of the same object, if there
// is one.
func (e *conflictError) describeOverlap(key model.ObjectKey) string {
	for _, w := range slices.Backward(e.Winners) {
		for _, o := range w.Change.Objects {
			if o.Key == key {
				return fmt.Sprintf(" (changed by %s in version %d)", authorOrUnknown(w.Change.Author), w.Version)
			}
		}
	}
	return ""
}

// newFileConflict returns the conflict error of a declared file. It reads the
// current configuration for the remaining differences.
func (s *session) newFileConflict(storeConflict *configstore.ConflictError, desired []model.Object) error {
	current, err := loadConfig(s.ctx, s.store)
	if err != nil {
		return fmt.Errorf("%w; the remaining differences can't be read: %v", storeConflict, err)
	}
	return &conflictError{
		Description: "your file",
		Base:        storeConflict.Base,
		Current:     current.Version,
		Winners:     sortByVersion(storeConflict.Winners),
		Remaining:   declare.Diff(current, desired),
	}
}

// sortByVersion returns the records sorted by version, the oldest first.
func sortByVersion(records []configstore.Record) []configstore.Record {
	return slices.SortedFunc(slices.Values(records), func(a, b configstore.Record) int {
		return cmp.Compare(a.Version, b.Version)
	})
}

// describeObjects lists the objects that a change wrote.
func describeObjects(objects []model.Object) string {
	names := make([]string, len(objects))
	for i, o := range objects {
		names[i] = string(o.Key.Kind) + " " + o.Key.Name
		if o.Deleted() {
			names[i] += " removed"
		}
	}
	return strings.Join(names, ", ")
}

// formatNote returns " (note)" with the note in quotes, or nothing if it is
// empty.
func formatNote(note string) string {
	if note == "" {
		return ""
	}
	return fmt.Sprintf(" (%q)", note)
}

func authorOrUnknown(author string) string {
	return cmp.Or(author, "unknown")
}
