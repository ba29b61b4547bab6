package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["reuse"] = caseReuse }

// caseReuse: a side machine is lost for good, and a new one gets its address. Flows are
// opened at the endpoint there through the balancer of the zone, which is then removed in
// a planned way. The flows pause, and go on through the balancer of the other zone.
func caseReuse(r *rig) error {
	a1 := r.addHost("side-d1-1", "d1", r.ip(2, 1), "agent", desk)
	a2 := r.addHost("side-d1-2", "d1", r.ip(2, 2), "agent", plans)
	a3 := r.addHost("side-d0-3", "d0", r.ip(2, 3), "agent", desk)
	h := r.addHost("side-d0-9", "d0", r.ip(2, 9), "agent", desk)
	b0 := r.addHost("frontend-d0-1", "d0", r.ip(1, 9), "balancer", "")
	if err := r.deploy("d1", 1, a1, a2, a3, h); err != nil {
		return err
	}
	t0 := time.Now()
	route := r.deskRoute()
	if r.trouble {
		address := h.ip
		h.server.crash()
		r.end(h, syscall.SIGKILL)
		r.removeHost(h)
		r.record("machine %s is lost for good", h.name)
		at(t0, 8*time.Second)
		h = r.addHost("side-d0-10", "d0", address, "agent", plans)
		r.record("machine %s gets the address %s", h.name, h.ip)
		if err := r.startProcess(h); err != nil {
			return err
		}
		time.Sleep(550 * time.Millisecond)
		if _, err := r.startServer(h, "i-"+h.name, h.service); err != nil {
			return err
		}
		route = r.plansRoute()
	}
	at(t0, 12*time.Second)
	flows := r.openAt(h, route, 4, t0.Add(15*time.Second))
	if len(flows) == 0 {
		return fmt.Errorf("%w: no flow opened at %s", errSetup, h.name)
	}
	at(t0, 15*time.Second)
	r.end(b0, syscall.SIGTERM)
	r.removeHost(b0)
	at(time.Now(), 7*time.Second)
	r.requestOn(flows)
	return nil
}
