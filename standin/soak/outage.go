package soak

import (
	"syscall"
	"time"

	"amaranthwheel.example/amaranthwheel/platform/platformtest"
)

const (
	// outageEvery is how many faults there are for one outage.
	outageEvery = 4
	// outageTime is how long an agent opens flows during an outage: longer than it waits
	// before it does so.
	outageTime = 2200 * time.Millisecond
	// lateBy is how late the store executes the writes that it leaves unanswered.
	lateBy = 3 * time.Second
)

// outage restarts an agent around the start of an outage of the store, and again within it, or
// has its hand-over executed late; its target may restart too. Flows that are opened in between
// and pause must go on.
func (r *run) outage() {
	a := r.agents[r.outages.IntN(len(r.agents))]
	during := platformtest.Faults{Refuse: true}
	if r.outages.IntN(2) == 0 {
		during = platformtest.Faults{Lost: 1, LostBy: lateBy}
	}
	second := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[r.outages.IntN(2)]
	replace := r.outages.IntN(2) == 0
	r.note("outage: store %+v around restarts of %s", during, a.name)
	if during.Refuse {
		r.restart(&a.host, syscall.SIGTERM)
		r.store.SetFaults(during)
	} else {
		r.store.SetFaults(during)
		r.restart(&a.host, syscall.SIGTERM)
		r.store.SetFaults(platformtest.Faults{})
	}
	if replace {
		r.note("the target of %s crashes and starts again", a.name)
		a.target.end()
		r.restartTarget(a)
	}
	r.sleep(outageTime)
	r.restart(&a.host, second)
	r.store.SetFaults(platformtest.Faults{})
}
