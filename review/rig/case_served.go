package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["served"] = caseServed }

// caseServed: an endpoint crashes and starts again while the store is down; the agent
// beside it is restarted before the store is back. Flows that were opened at the new
// lifetime meanwhile pause, and go on when everything has been calm for contact_ms.
func caseServed(r *rig) error {
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
		r.record("the store is down (503)")
		r.store.setBusy(true)
		r.touchCore()
		h.server.crash()
		h.disturb()
		at(t0, 300*time.Millisecond)
		if _, err := r.startServer(h, "i-again", desk); err != nil {
			return err
		}
		h.disturb()
	}
	at(t0, 1300*time.Millisecond)
	flows := r.openAt(h, r.deskRoute(), 4, t0.Add(2600*time.Millisecond))
	if len(flows) == 0 {
		return fmt.Errorf("%w: no flow opened at %s", errSetup, h.name)
	}
	if r.trouble {
		at(t0, 2800*time.Millisecond)
		if err := r.endAndRestart(h, syscall.SIGTERM); err != nil {
			return err
		}
		at(t0, 4500*time.Millisecond)
		r.record("the store is back")
		r.store.setBusy(false)
		r.touchCore()
	}
	at(t0, 10*time.Second)
	r.record("served: %s", r.store.value("served/"+h.name))
	r.requestOn(flows)
	return nil
}
