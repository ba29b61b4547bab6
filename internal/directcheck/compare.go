package directcheck

import (
	"fmt"
	"strings"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// Change is a difference between two configurations.
type Change struct {
	// Action is "added", "removed" or "changed", Kind "route", "service" or "limit".
	Action string `json:"action"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	// Address is that of a route.
	Address string `json:"address,omitempty"`
	// Details are the values of an added entry or the changed values.
	Details []string `json:"details,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	text := c.Action + " " + c.Kind + " " + c.Name
	if c.Address != "" {
		text += " (" + c.Address + ")"
	}
	if len(c.Details) > 0 {
		text += ": " + strings.Join(c.Details, ", ")
	}
	return text
}

// Compare returns what differs from the configuration in force, and findings about the
// change itself. Routes are the same if their addresses are.
func Compare(inForce, next *Document) ([]Change, []Finding) {
	var found []Finding
	if v := next.Version; v.Set && v.Value > 0 && v.Value <= inForce.Version.Value {
		found = append(found, Errorf(v.Place, "version %d is not above version %d in force", v.Value, inForce.Version.Value))
	}
	changes, removed := compareRoutes(inForce, next)
	found = append(found, removed...)
	changes = append(changes, compareEntries("service", serviceEntries(inForce), serviceEntries(next))...)
	changes = append(changes, compareEntries("limit", limitEntries(inForce), limitEntries(next))...)
	return changes, found
}

func compareRoutes(inForce, next *Document) ([]Change, []Finding) {
	previous, current := routeEntries(inForce), routeEntries(next)
	changes := compareEntries("route", previous, current)
	kept := make(map[string]bool, len(current))
	for _, e := range current {
		kept[e.id] = true
	}
	var found []Finding
	for _, e := range previous {
		if !kept[e.id] {
			found = append(found, Warnf(e.route.Address.Place, "route %q (%s) is removed: its open flows end", e.name, e.address))
		}
	}
	return changes, found
}

// entry is an entry of a configuration in a comparable form.
type entry struct {
	// id identifies the entry in both configurations.
	id, name, address string
	values            []value
	// route is set for routes.
	route *Route
}

// value is a value of an entry; an empty text means that none is declared.
type value struct{ label, text string }

// labelName labels the name of an entry that has another ID. Added entries are shown by
// name anyway.
const labelName = "name"

// compareEntries returns the changes between two lists of entries with the same values:
// removed ones, then added and changed ones in the order of the new list.
func compareEntries(kind string, previous, current []entry) []Change {
	old := make(map[string]entry, len(previous))
	for _, e := range previous {
		old[e.id] = e
	}
	kept := make(map[string]bool, len(current))
	for _, e := range current {
		kept[e.id] = true
	}
	var changes []Change
	for _, e := range previous {
		if !kept[e.id] {
			changes = append(changes, Change{Action: "removed", Kind: kind, Name: e.name, Address: e.address})
		}
	}
	for _, e := range current {
		change := Change{Action: "added", Kind: kind, Name: e.name, Address: e.address}
		before, known := old[e.id]
		if known {
			change.Action = "changed"
		}
		for i, v := range e.values {
			switch {
			case !known && v.text != "" && v.label != labelName:
				change.Details = append(change.Details, strings.TrimSpace(v.label+" "+v.text))
			case known && v.text != before.values[i].text:
				change.Details = append(change.Details, strings.TrimSpace(fmt.Sprintf("%s %s -> %s", v.label, orNone(before.values[i].text), orNone(v.text))))
			}
		}
		if !known || len(change.Details) > 0 {
			changes = append(changes, change)
		}
	}
	return changes
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// routeEntries returns the routes that nodes use: the last one of each address.
func routeEntries(doc *Document) []entry {
	last := make(map[steering.Endpoint]int, len(doc.Routes))
	for i := range doc.Routes {
		if r := &doc.Routes[i]; r.Address.Set {
			last[r.Address.Value] = i
		}
	}
	var entries []entry
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if !r.Address.Set || last[r.Address.Value] != i {
			continue
		}
		address := r.Address.Value.String()
		entries = append(entries, entry{
			id: address, name: r.Name.Value, address: address, route: r,
			values: []value{
				{labelName, r.Name.Value},
				{"services", describeServices(r)},
				{"requests", describeKind(r.Kind)},
				{"priority", fmt.Sprint(effectivePriority(r.Priority.Value))},
				{"objective", describePositive(r.Objective.Value)},
				{"timeout", describePositive(r.Timeout.Value)},
			},
		})
	}
	return entries
}

func describeServices(r *Route) string {
	var parts []string
	if r.Service.Value != "" {
		parts = append(parts, r.Service.Value)
	}
	for _, s := range r.Shares {
		parts = append(parts, fmt.Sprintf("%s weight %d", s.Service.Value, s.Weight.Value))
	}
	return strings.Join(parts, " + ")
}

func describeKind(k RequestKind) string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindDownload:
		return "download"
	}
	return "non-idempotent"
}

// describePositive formats a value, or returns "" if it is not above 0 and so declares
// nothing.
func describePositive[T interface{ ~int64 | ~float32 | ~float64 }](v T) string {
	if v <= 0 {
		return ""
	}
	return fmt.Sprint(v)
}

// serviceEntries returns the declared services, the last one of each name.
func serviceEntries(doc *Document) []entry {
	return lastEntries(doc.Services, func(s *Service) entry {
		return entry{id: s.Name.Value, name: s.Name.Value, values: []value{
			{"cold rate", describePositive(s.ColdRate.Value)},
			{"cold seconds", describePositive(s.ColdTime.Value)},
			{"connections", describePositive(s.MaxConnections.Value)},
			{"health check", s.HealthPath.Value},
		}}
	})
}

func limitEntries(doc *Document) []entry {
	return lastEntries(doc.Limits, func(l *Limit) entry {
		return entry{id: l.Name, name: l.Name, values: []value{{"", l.Value.Value}}}
	})
}

// lastEntries converts items to entries and keeps the last one of each ID.
func lastEntries[T any](items []T, convert func(*T) entry) []entry {
	var entries []entry
	index := make(map[string]int, len(items))
	for i := range items {
		e := convert(&items[i])
		if at, ok := index[e.id]; ok {
			entries[at] = e
			continue
		}
		index[e.id] = len(entries)
		entries = append(entries, e)
	}
	return entries
}
