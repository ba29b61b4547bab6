package claims

import (
	"amaranthwheel.example/amaranthwheel/internal/core"
)

// Recorder returns the controller that records the progress of keyed requests.
// It runs after the admission controller.
func (c *Controller) Recorder() core.Controller { return &recorder{c} }

type recorder struct{ claims *Controller }

// Handle implements core.Controller.
func (r *recorder) Handle(t *core.Turn, _ core.Event) {
	for _, change := range t.Board.KeyedRequests.Changes {
		if change.State != core.KeyedStarted {
			r.claims.ended(t, change)
		}
	}
}

// ended records the outcome of a keyed request.
func (c *Controller) ended(t *core.Turn, change core.KeyedRequestChange) {
	delete(t.Board.Claims.Claims, change.ID)
	if p := c.pending[change.ID]; p != nil {
		delete(c.pending, change.ID)
		c.release(t, p)
	}
	r := c.granted[change.ID]
	if r == nil {
		return
	}
	delete(c.granted, change.ID)
	c.settle(t, r, change)
	c.push(t)
}

// settle gives the record its final state.
func (c *Controller) settle(t *core.Turn, r *record, change core.KeyedRequestChange) {
	if c.table.records[r.key] != r {
		return
	}
	switch change.State {
	case core.KeyedNotRun:
		r.changedTo(stateReleased, t.Now)
	case core.KeyedCompleted:
		r.status = change.Status
		c.table.keepAnswer(r, change.Response)
		r.changedTo(stateDone, t.Now)
	default:
		r.changedTo(stateUnknown, t.Now)
	}
	c.table.dirty[r.key] = r
}
