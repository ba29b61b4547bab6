package direct

import (
	"context"
	"fmt"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

// errLeaseOfEarlierEra reports a record that was written after the store was restored,
// under a lease that may be another agent's by now.
var errLeaseOfEarlierEra = fmt.Errorf("%w: the store was restored from a copy", store.ErrLeaseLapsed)

// checkEra restores in the store what the agent wrote before the store was restored from a
// copy. The record may be lost or back, under the lease, under one that is gone, or under
// one whose number another agent has got since.
func (r *registrar) checkEra(ctx context.Context) {
	era := r.store.Era()
	if r.era == 0 || era == r.era {
		r.era = era
		return
	}
	r.info("Store was restored from a copy.", "era", era)
	r.saver.forgetSaved()
	switch {
	case r.record != nil:
		r.verifyRecord(ctx)
	case r.deleted:
		r.storeDesired(ctx)
	}
	if !r.storeDown { // else the next call checks again
		r.era = era
	}
}
