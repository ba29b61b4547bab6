package soak

import (
	"syscall"
	"time"
)

// unannouncedEvery is how many faults there are for one restart of an agent before the first
// heartbeat of its target.
const unannouncedEvery = 4

// firstBeat draws how long a target waits before its first heartbeat.
func (r *run) firstBeat() time.Duration {
	return time.Duration(r.beats.Int64N(int64(heartbeatInterval)))
}

// unannounced crashes a target, which starts again in place, and restarts its agent before the
// target's first heartbeat. Flows that the agent opened at the target in between must go on.
func (r *run) unannounced() {
	a := r.agents[r.beats.IntN(len(r.agents))]
	s := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[r.beats.IntN(2)]
	r.note("the target of %s crashes and starts again", a.name)
	a.target.end()
	r.startTargetAfter(a, heartbeatInterval)
	r.sleep(heartbeatInterval * 9 / 10)
	r.restart(&a.host, s)
}
