package claims

import (
	"amaranthwheel.example/amaranthwheel/internal/core"
)

// Recorder returns the controller that records the outcomes of keyed requests.
// It runs after the admission controller.
func (c *Controller) Recorder() core.Controller { return &recorder{c} }

type recorder struct{ claims *Controller }

// Handle implements core.Controller.
func (r *recorder) Handle(t *core.Turn, _ core.Event) {
	for _, change := range t.Board.KeyedRequests.Changes {
		if change.State != core.KeyedStarted {
			r.claims.recordOutcome(t, change)
		}
	}
}

// recordOutcome records the outcome of a keyed request.
func (c *Controller) recordOutcome(t *core.Turn, change core.KeyedRequestChange) {
	delete(t.Board.Claims.Claims, change.ID)
	if p := c.pendingClaims[change.ID]; p != nil {
		delete(c.pendingClaims, change.ID)
		c.releaseClaim(t, p)
	}
	r := c.grantedRecords[change.ID]
	if r == nil {
		return
	}
	delete(c.grantedRecords, change.ID)
	c.setFinalState(t, r, change)
	c.pushRecords(t)
}

// setFinalState sets the record's final state.
func (c *Controller) setFinalState(t *core.Turn, r *record, change core.KeyedRequestChange) {
	if c.table.records[r.key] != r {
		return
	}
	switch change.State {
	case core.KeyedNotRun:
		r.setState(stateReleased, t.Now)
	case core.KeyedCompleted:
		r.status = change.Status
		c.table.storeResponse(r, change.Response)
		r.setState(stateDone, t.Now)
	default:
		r.setState(stateOutcomeUnknown, t.Now)
	}
	c.table.dirty[r.key] = r
}
