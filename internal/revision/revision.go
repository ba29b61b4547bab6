// Package revision orders the states of a store that may be restored from a copy.
package revision

import (
	"cmp"
	"fmt"
)

// FirstEra is the era of a store that was never restored from a copy.
const FirstEra = 1

// Revision is a state of a store: the number that the store counts with each change, in an
// era. An era begins when the store is restored from a copy; its numbers may be smaller than
// those of the era before, and stand for other changes. Both are held whole, for all values of
// their types. The zero value is before every state; a key that does not exist has it.
type Revision struct {
	era    uint64
	number int64
}

// New returns the revision with a number in an era.
func New(era uint64, number int64) Revision { return Revision{era, number} }

// Era returns the era, 0 for the zero value.
func (r Revision) Era() uint64 { return r.era }

// Number returns the revision as the store counts it.
func (r Revision) Number() int64 { return r.number }

// IsZero reports whether no state is known.
func (r Revision) IsZero() bool { return r == Revision{} }

// Compare returns -1 if r is before other, 1 if it is after, and 0 if they are equal.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.era, other.era), cmp.Compare(r.number, other.number))
}

// Before reports whether r is before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Later returns the later of two revisions.
func Later(x, y Revision) Revision {
	if x.Before(y) {
		return y
	}
	return x
}

// String returns the number, with the era before it unless that is the first.
func (r Revision) String() string {
	if r.era <= FirstEra {
		return fmt.Sprint(r.number)
	}
	return fmt.Sprintf("%d:%d", r.era, r.number)
}
