package declare

import (
	"cmp"
	"fmt"
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// SplitError reports changes that can't be split into several versions, because
// the configuration would be invalid after one of them.
type SplitError struct {
	// Step is the number of the first invalid step, counted from 1, of Steps.
	Step, Steps int
	Err         error
}

// Error returns the step and the findings of the configuration after it.
func (e *SplitError) Error() string {
	return fmt.Sprintf("the change needs %d versions, and the configuration would be invalid after version %d of them; "+
		"apply it as several smaller files:\n%s", e.Steps, e.Step, e.Err)
}

// Unwrap returns the findings.
func (e *SplitError) Unwrap() error { return e.Err }

// SplitChanges splits changes into steps of at most limit objects, ordered such
// that the configuration is valid after each: failure domains are added before
// the services that name them and removed after them, and ports are released
// before they are reused. It returns a *SplitError if the configuration would be
// invalid after a step.
func SplitChanges(current *model.Config, changes []Change, limit int) ([][]Change, error) {
	if len(changes) <= limit {
		return [][]Change{changes}, nil
	}
	ordered := slices.Clone(changes)
	slices.SortStableFunc(ordered, func(a, b Change) int { return cmp.Compare(splitRank(&a), splitRank(&b)) })
	steps := slices.Collect(slices.Chunk(ordered, limit))
	config := current.Clone()
	for i, step := range steps {
		setObjects(config, step)
		if err := Validate(config); err != nil {
			return nil, &SplitError{Step: i + 1, Steps: len(steps), Err: err}
		}
	}
	return steps, nil
}

// splitRank orders changes: added and changed failure domains, then services
// removed, changed and added, and last the failure domains removed.
func splitRank(c *Change) int {
	switch {
	case c.Kind == model.KindDomain && c.Action != Removed:
		return 0
	case c.Kind == model.KindService && c.Action == Removed:
		return 1
	case c.Kind == model.KindService && c.Action == Changed:
		return 2
	case c.Kind == model.KindService:
		return 3
	}
	return 4
}

// setObjects sets the objects that the changes write.
func setObjects(config *model.Config, changes []Change) {
	for _, o := range ChangedObjects(changes) {
		config.Objects[o.Key] = o
	}
}

// ApplyChanges returns a copy of the configuration with the changes applied.
func ApplyChanges(current *model.Config, changes []Change) *model.Config {
	config := current.Clone()
	setObjects(config, changes)
	return config
}
