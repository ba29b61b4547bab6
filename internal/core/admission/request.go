package admission

import (
	"cmp"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// phase is how far a request has come.
type phase uint8

const (
	phaseWaiting phase = iota + 1
	phaseRunning
	phaseHandedOver
	// phaseEnded is a request whose caller has its answer while the
	// connection to the target is still open.
	phaseEnded
)

// request is a request known to the controller.
type request struct {
	arrived  core.RequestArrived
	phase    phase
	deadline time.Time
	since    time.Time // arrival
	sent     time.Time // grant, zero before
	// slot reports that the request counts as in flight.
	slot bool
	// full reports that the request took the last slot of the limit.
	full bool
	// tried counts the attempts, here and at other agents.
	tried int
	// replay reports that the request was handed over for a stored answer.
	replay    bool
	handOvers int
	visited   []model.NodeID
}

// keyed reports whether the request needs a claim at this agent.
func (r *request) keyed() bool {
	return r.arrived.Key != "" && (!r.arrived.HandedOver || r.arrived.ReplayOnly)
}

// waitQueue is the requests that wait for a slot, the earliest deadline first.
type waitQueue []*request

func (q *waitQueue) add(r *request) {
	at, _ := slices.BinarySearchFunc(*q, r, func(a, b *request) int {
		return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.arrived.ID, b.arrived.ID))
	})
	*q = slices.Insert(*q, at, r)
}

func (q *waitQueue) remove(r *request) {
	if at := slices.Index(*q, r); at >= 0 {
		*q = slices.Delete(*q, at, at+1)
	}
}
