package soak

import (
	"time"

	"amaranthwheel.example/amaranthwheel/platform/platformtest"
)

const (
	// drillEvery is how many faults there are for one drill of the store.
	drillEvery = 4
	// restoreTime is how long the store refuses calls before it is back from a copy.
	restoreTime = 300 * time.Millisecond
)

// drill drops the watches that wait at the store, or restores it from the copy made after
// the last drill. A failure domain that is taken out then must be out in time all the same.
func (r *run) drill() {
	if r.drills.IntN(2) == 0 {
		r.note("the waiting watches are dropped")
		r.store.DropWatches()
	} else {
		r.note("the store is restored from a copy")
		r.store.SetFaults(platformtest.Faults{Refuse: true})
		r.sleep(restoreTime)
		r.store.Restore(r.copied)
	}
	r.takeOut("d1")
	r.copied = r.store.Copy()
}
