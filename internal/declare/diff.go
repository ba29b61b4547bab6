package declare

import (
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// declaredKinds are the kinds of objects that a file declares. Objects of other
// kinds are operational state, which a file never changes.
var declaredKinds = []model.ObjectKind{model.KindDomain, model.KindService}

// Diff returns the changes from the current configuration to the desired objects,
// in key order. Declared objects that are not desired become tombstones;
// operational state is unchanged.
func Diff(current *model.Config, desired []model.Object) []Change {
	var changes []Change
	isDesired := make(map[model.ObjectKey]bool, len(desired))
	for _, after := range desired {
		isDesired[after.Key] = true
		before := current.Objects[after.Key]
		if change, ok := Compare(&before, &after); ok {
			changes = append(changes, change)
		}
	}
	for key, before := range current.Objects {
		if isDesired[key] || before.Deleted() || !slices.Contains(declaredKinds, key.Kind) {
			continue
		}
		change, _ := Compare(&before, &model.Object{Key: key})
		changes = append(changes, change)
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.Key().Compare(b.Key()) })
	return changes
}

// Compare returns the change from one object to another with the same key, and
// whether they differ. Either may be a tombstone.
func Compare(before, after *model.Object) (Change, bool) {
	change := Change{Kind: after.Key.Kind, Name: after.Key.Name, object: *after}
	switch {
	case before.Deleted() && after.Deleted():
		return Change{}, false
	case before.Deleted():
		change.Action = Added
	case after.Deleted():
		change.Action = Removed
	default:
		change.Action = Changed
	}
	change.Fields = compareFields(before, after)
	return change, change.Action != Changed || len(change.Fields) > 0
}
