package declare

import (
	"fmt"
	"strings"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Action says what a change does to its object.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is the difference of one object between two configurations.
type Change struct {
	Action Action           `json:"action"`
	Kind   model.ObjectKind `json:"kind"`
	Name   string           `json:"name"`
	// Fields lists the fields that differ, in the order of the file's keys.
	Fields []FieldChange `json:"fields,omitempty"`
	// object is what the change writes: a tombstone when it removes.
	object model.Object
}

// FieldChange is the difference of one field. Before is empty in an added
// object and After in a removed one.
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

// String returns the change as one line. The fields of a removed object are
// left out.
func (c *Change) String() string {
	head := fmt.Sprintf("%s %s %s", c.Action, c.Kind, c.Name)
	if len(c.Fields) == 0 || c.Action == Removed {
		return head
	}
	parts := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		parts[i] = f.String()
	}
	return head + ": " + strings.Join(parts, ", ")
}

// String returns the field with its old and new value.
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
