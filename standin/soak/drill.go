package soak

import (
	"time"

	"amaranthwheel.example/amaranthwheel/platform/platformtest"
)

const (
	// drillEvery is how many faults there are for one drill of the store.
	drillEvery = 3
	// lostChanges is how many changes of other writers the store loses when it is restored:
	// enough that its revisions do not catch up within a drill.
	lostChanges = 500
	// restoreTime is how long the store refuses calls before it is back from a copy.
	restoreTime = 300 * time.Millisecond
)

// drill drops the watches that wait at the store, or restores it from the last copy. A
// failure domain that is taken out then must be out in time all the same.
func (r *run) drill() {
	if r.drills.IntN(3) == 0 {
		r.note("the waiting watches are dropped")
		r.store.DropWatches()
	} else {
		r.note("the store is restored from a copy")
		r.store.SetFaults(platformtest.Faults{Refuse: true})
		r.sleep(restoreTime)
		r.store.Restore(r.copied)
	}
	r.takeOut("d0") // that of the balancers, which get flows there first
	r.copyStore()
}

// copyStore copies the store for the next drill, before changes of other writers.
func (r *run) copyStore() {
	r.copied = r.store.Copy()
	for range lostChanges {
		r.store.Write("servers/other", []byte("{}"))
	}
}
