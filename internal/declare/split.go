package declare

import (
	"cmp"
	"fmt"
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// SplitError reports changes that can't be made in several versions, because
// one version in between would not hold together.
type SplitError struct {
	// Step counts from 1.
	Step, Steps int
	Err         error
}

// Error returns the step and what would be wrong after it.
func (e *SplitError) Error() string {
	return fmt.Sprintf("the change needs %d versions, and version %d of them would not hold together; "+
		"apply it as several smaller files:\n%s", e.Steps, e.Step, e.Err)
}

// Unwrap returns the findings.
func (e *SplitError) Unwrap() error { return e.Err }

// SplitChanges cuts changes into steps of at most limit objects, so that the
// configuration holds together after each: failure domains come before the
// services that name them and go after them, and ports are given up before
// they are taken. It returns a *SplitError if a step would not hold together.
func SplitChanges(current *model.Config, changes []Change, limit int) ([][]Change, error) {
	if len(changes) <= limit {
		return [][]Change{changes}, nil
	}
	ordered := slices.Clone(changes)
	slices.SortStableFunc(ordered, func(a, b Change) int { return cmp.Compare(splitRank(&a), splitRank(&b)) })
	steps := slices.Collect(slices.Chunk(ordered, limit))
	config := current.Clone()
	for i, step := range steps {
		write(config, step)
		if err := Validate(config); err != nil {
			return nil, &SplitError{Step: i + 1, Steps: len(steps), Err: err}
		}
	}
	return steps, nil
}

// splitRank orders changes: new failure domains, then services given up,
// services changed and added, and last the failure domains given up.
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

// write stores the objects of the changes.
func write(config *model.Config, changes []Change) {
	for _, o := range ChangedObjects(changes) {
		config.Objects[o.Key] = o
	}
}

// ApplyChanges returns the configuration after the changes.
func ApplyChanges(current *model.Config, changes []Change) *model.Config {
	config := current.Clone()
	write(config, changes)
	return config
}
