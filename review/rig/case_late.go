package main

import (
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["late"] = caseLate }

// caseLate: the store loses an answer to the agent that is being stopped, and executes the
// write some seconds later, when the agent's next process is at work. That process is killed.
// Flows that it had opened pause, and go on when everything has been calm for contact_ms.
func caseLate(r *rig) error {
	var sides []*host
	for n := 1; n <= 3; n++ {
		sides = append(sides, r.addHost(fmt.Sprintf("side-d0-%d", n), "d0", r.ip(2, n), "agent", desk))
	}
	if err := r.deploy("d0", 2, sides...); err != nil {
		return err
	}
	h := sides[0]
	t0 := time.Now()
	if r.trouble {
		var lost atomic.Bool
		r.store.setLose(func(keys []string) (time.Duration, bool) {
			return 6 * time.Second, slices.Contains(keys, "saved-flows/"+h.name) && lost.CompareAndSwap(false, true)
		})
		r.touchCore()
		r.end(h, syscall.SIGTERM)
		time.Sleep(restart)
		if err := r.startProcess(h); err != nil {
			return err
		}
		r.touchCore()
		r.store.setLose(nil)
	}
	at(t0, 4*time.Second)
	flows := r.openAt(h, r.deskRoute(), 4, t0.Add(5500*time.Millisecond))
	if len(flows) == 0 {
		return fmt.Errorf("%w: no flow opened at %s", errSetup, h.name)
	}
	if r.trouble {
		at(t0, 6500*time.Millisecond)
		r.touchCore()
		r.record("saved flows: %s", r.store.value("saved-flows/"+h.name))
		if err := r.endAndRestart(h, syscall.SIGKILL); err != nil {
			return err
		}
	}
	at(t0, 12500*time.Millisecond)
	r.requestOn(flows)
	return nil
}
