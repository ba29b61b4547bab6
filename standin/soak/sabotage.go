package soak

import (
	"net"
	"syscall"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/platform/platformtest"
)

// Sabotage is a promise that the run itself breaks, to test that its checks notice.
type Sabotage string

// The promises that a run can break.
const (
	// SabotageReset resets an open flow.
	SabotageReset Sabotage = "reset"
	// SabotageAnswer sends a caller the answer of another one.
	SabotageAnswer Sabotage = "answer"
	// SabotageGarbage sends a caller bytes that are no packet.
	SabotageGarbage Sabotage = "garbage"
	// SabotageDrain opens a flow at a target that has been draining for long.
	SabotageDrain Sabotage = "drain"
	// SabotageOut opens a flow in a failure domain that is out.
	SabotageOut Sabotage = "out"
	// SabotageExit kills a process behind the run's back.
	SabotageExit Sabotage = "exit"
	// SabotageLinks cuts the datagrams between balancers and agents for good.
	SabotageLinks Sabotage = "links"
	// SabotageService ends all targets for good.
	SabotageService Sabotage = "service"
	// SabotageTwice runs a post a second time.
	SabotageTwice Sabotage = "twice"
	// SabotageNotRun refuses a post that runs.
	SabotageNotRun Sabotage = "not-run"
	// SabotageLimit sends a target more requests at once than it has places for.
	SabotageLimit Sabotage = "limit"
	// SabotageLate has callers wait for longer than their timeouts.
	SabotageLate Sabotage = "late"
	// SabotageStarve loses the posts of a crowd.
	SabotageStarve Sabotage = "starve"
)

// sabotage breaks a promise once.
func (r *run) sabotage(what Sabotage) {
	a := r.agents[1] // of the domain that is taken out
	switch what {
	case SabotageReset:
		r.toCallers(platformtest.FlagRST, nil)
	case SabotageAnswer:
		r.toCallers(platformtest.FlagACK, []byte("of another"))
	case SabotageGarbage:
		r.toCaller([]byte("no packet"))
	case SabotageDrain:
		time.AfterFunc(drainGrace+time.Second, func() { r.openAt(a.target) })
		r.replaceTarget(a, drainGrace+2*time.Second)
	case SabotageOut:
		time.AfterFunc(outGrace+200*time.Millisecond, func() { r.openAt(a.target) })
		r.takeOut(a.domain)
	case SabotageExit:
		a.signal(syscall.SIGKILL)
	case SabotageLinks:
		for _, a := range r.agents {
			a.link.Close()
		}
	case SabotageService:
		for _, each := range r.agents {
			each.target.end()
		}
	default:
		r.sabotageOverload(what)
	}
}

// toCallers sends packets of open flows to callers: of many, as a caller looks at them
// only while it waits for an answer, and may have ended its flow by then.
func (r *run) toCallers(flags byte, data []byte) {
	for range 100 {
		f := r.anyFlow()
		r.toCaller(platformtest.NewPacket(f.Address, f.Caller, flags, 1, 0, data))
		r.sleep(10 * time.Millisecond)
	}
}

// anyFlow waits for a flow that a target holds and a caller uses, and returns it.
func (r *run) anyFlow() steering.Flow {
	for r.ctx.Err() == nil {
		r.callers.mu.Lock()
		for _, f := range r.callers.flows {
			if r.holder(f.flow) != nil {
				r.callers.mu.Unlock()
				return f.flow
			}
		}
		r.callers.mu.Unlock()
		r.sleep(time.Millisecond)
	}
	return steering.Flow{}
}

// toCaller sends bytes to the callers' host.
func (r *run) toCaller(raw []byte) {
	_, _ = r.fabric.conn.WriteToUDP(raw, &net.UDPAddr{IP: net.ParseIP(r.callers.ip), Port: portSegments}) // tried once, as any datagram
}

// openAt sends an opening segment past the balancers and the agent.
func (r *run) openAt(t *target) {
	t.handle(steering.Segment{Flow: steering.Flow{Address: platformtest.RouteAddress}, Flags: steering.FlagOpen})
}
