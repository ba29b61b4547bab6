package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["checkin"] = caseCheckIn }

// caseCheckIn: a check-in of another writer, which names a service that does not exist,
// reaches an agent whose endpoint holds open flows.
func caseCheckIn(r *rig) error {
	var sides []*host
	for n := 1; n <= 3; n++ {
		sides = append(sides, r.addHost(fmt.Sprintf("side-d0-%d", n), "d0", r.ip(2, n), "agent", desk))
	}
	if err := r.deploy("d0", 2, sides...); err != nil {
		return err
	}
	h := sides[0]
	flows := r.openAt(h, r.deskRoute(), 4, time.Now().Add(3*time.Second))
	if len(flows) == 0 {
		return fmt.Errorf("%w: no flow opened at %s", errSetup, h.name)
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		status := postCheckIn(&http.Client{Timeout: time.Second}, r, h, "i-elsewhere", map[string]any{
			"service": "not-named-anywhere", "addr": fmt.Sprintf("%s:%d", r.ip(2, 77), r.ports.app), "zone": "d0", "version": "v1",
			"slots": 9, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
		r.record("check-in of another writer at %s: %s", h.name, status)
	}
	time.Sleep(time.Second)
	r.requestOn(flows)
	return nil
}
