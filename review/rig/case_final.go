package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["final"] = caseFinal }

// caseFinal: an agent is restarted in a planned way, and again during an outage of the
// store that began in between. Flows that were opened between the restarts pause, and go
// on when everything has been calm for contact_ms.
func caseFinal(r *rig) error {
	var sides []*host
	for n := 1; n <= 3; n++ {
		sides = append(sides, r.addHost(fmt.Sprintf("side-d0-%d", n), "d0", r.ip(2, n), "agent", desk))
	}
	if err := r.deploy("d0", 2, sides...); err != nil {
		return err
	}
	h := sides[0]
	if r.trouble {
		r.end(h, syscall.SIGTERM)
	}
	t0 := time.Now()
	if r.trouble {
		r.record("the store is down (503); saved flows: %s", r.store.value("saved-flows/"+h.name))
		r.store.setBusy(true)
		r.touchCore()
		time.Sleep(restart)
		if err := r.startProcess(h); err != nil {
			return err
		}
	}
	at(t0, 1800*time.Millisecond)
	flows := r.openAt(h, r.deskRoute(), 4, t0.Add(2900*time.Millisecond))
	if len(flows) == 0 {
		return fmt.Errorf("%w: no flow opened at %s", errSetup, h.name)
	}
	if r.trouble {
		at(t0, 3000*time.Millisecond)
		if err := r.endAndRestart(h, syscall.SIGTERM); err != nil {
			return err
		}
		at(t0, 4500*time.Millisecond)
		r.record("the store is back")
		r.store.setBusy(false)
		r.touchCore()
	}
	at(t0, 10*time.Second)
	r.requestOn(flows)
	return nil
}
