package declare

import (
	"strconv"
	"strings"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/declaration"
)

// Field is one field of an object, formatted as text.
type Field struct {
	Name  string
	Value string
}

// Fields returns the fields of an object except its name, in the order of the
// file's keys. A tombstone has none.
func Fields(o *model.Object) []Field {
	switch {
	case o.Service != nil:
		return serviceFields(o.Service)
	case o.Domain != nil:
		return []Field{{declaration.KeyRegion, o.Domain.Region}}
	case o.DomainState != nil:
		return []Field{{"out", strconv.FormatBool(o.DomainState.Out)}}
	case o.TargetState != nil:
		return []Field{{"drain", strconv.FormatBool(o.TargetState.Drain)}}
	}
	return nil
}

func serviceFields(s *model.Service) []Field {
	domains := make([]string, len(s.Domains))
	for i, name := range s.Domains {
		domains[i] = string(name)
	}
	return []Field{
		{declaration.KeyMode, string(s.Mode)},
		{declaration.KeyAddress, s.Address.String()},
		{declaration.KeyDomains, formatList(domains)},
		{declaration.KeyTargets, formatList(s.Targets)},
		{declaration.KeyMaxSlots, strconv.Itoa(s.MaxSlots)},
		{declaration.KeyMaxConnections, strconv.Itoa(s.MaxConnections)},
		{declaration.KeyIdleTimeout, declaration.FormatDuration(s.IdleTimeout)},
		{declaration.KeyRequestTimeout, declaration.FormatDuration(s.RequestTimeout)},
	}
}

func formatList(list []string) string {
	return "[" + strings.Join(list, " ") + "]"
}

// compareFields returns the fields that differ between two objects of the same
// kind. Either may be a tombstone.
func compareFields(before, after *model.Object) []FieldChange {
	oldFields := Fields(before)
	newFields := Fields(after)
	var out []FieldChange
	for i := range max(len(oldFields), len(newFields)) {
		var change FieldChange
		if i < len(oldFields) {
			change.Field, change.Before = oldFields[i].Name, oldFields[i].Value
		}
		if i < len(newFields) {
			change.Field, change.After = newFields[i].Name, newFields[i].Value
		}
		if change.Before != change.After {
			out = append(out, change)
		}
	}
	return out
}
