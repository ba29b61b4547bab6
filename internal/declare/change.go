package declare

import (
	"fmt"
	"strings"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Action is the effect of a change on its object.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is the difference between two configurations in one object.
type Change struct {
	Action Action           `json:"action"`
	Kind   model.ObjectKind `json:"kind"`
	Name   string           `json:"name"`
	// Fields are the fields that differ, in the order of the file's keys.
	Fields []FieldChange `json:"fields,omitempty"`
	// object is the object that the change writes, a tombstone if Action is
	// Removed.
	object model.Object
}

// FieldChange is the difference in one field. Before is empty for an added
// object, After for a removed one.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Key returns the key of the changed object.
func (c *Change) Key() model.ObjectKey {
	return model.ObjectKey{Kind: c.Kind, Name: c.Name}
}

// Object returns the object that the change writes, without a version; it is
// a tombstone if the change removes the object.
func (c *Change) Object() model.Object { return c.object }

// String returns the change as one line, without the fields of a removed
// object.
func (c *Change) String() string {
	summary := fmt.Sprintf("%s %s %s", c.Action, c.Kind, c.Name)
	if len(c.Fields) == 0 || c.Action == Removed {
		return summary
	}
	parts := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		parts[i] = f.String()
	}
	return summary + ": " + strings.Join(parts, ", ")
}

// String returns the field's name with its old and new value.
func (f FieldChange) String() string {
	if f.Before == "" {
		return f.Field + " " + f.After
	}
	return f.Field + " " + f.Before + " -> " + f.After
}

// ChangedObjects returns the objects that the changes write.
func ChangedObjects(changes []Change) []model.Object {
	objects := make([]model.Object, len(changes))
	for i := range changes {
		objects[i] = changes[i].object
	}
	return objects
}
