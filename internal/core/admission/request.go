package admission

import (
	"cmp"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// phase is the progress of a request.
type phase uint8

const (
	phaseWaiting phase = iota + 1
	phaseRunning
	phaseHandedOver
	// phaseEnded is a request whose caller has been answered while the
	// connection to the target is still open.
	phaseEnded
)

// request is a request known to the controller.
type request struct {
	arrival   core.RequestArrived
	phase     phase
	deadline  time.Time
	arrivedAt time.Time
	grantedAt time.Time // zero before the grant
	// stalledAtArrival and stalledAtGrant are the host's total stalls at these times.
	stalledAtArrival, stalledAtGrant time.Duration
	// holdsSlot reports that the request counts as in flight.
	holdsSlot bool
	// atLimit reports that the request took the last slot of the limit.
	atLimit bool
	// attempts counts the attempts, here and at other agents.
	attempts int
	// replaying reports that the request was handed over to fetch its stored
	// response.
	replaying bool
	handOvers int
	visited   []model.NodeID
}

// needsClaim reports whether the request needs a claim at this agent.
func (r *request) needsClaim() bool {
	return r.arrival.Key != "" && (!r.arrival.HandedOver || r.arrival.ReplayOnly)
}

// waitQueue is the requests that wait for a slot, the earliest deadline first.
type waitQueue []*request

func (q *waitQueue) add(r *request) {
	at, _ := slices.BinarySearchFunc(*q, r, func(a, b *request) int {
		return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.arrival.ID, b.arrival.ID))
	})
	*q = slices.Insert(*q, at, r)
}

func (q *waitQueue) remove(r *request) {
	if at := slices.Index(*q, r); at >= 0 {
		*q = slices.Delete(*q, at, at+1)
	}
}
