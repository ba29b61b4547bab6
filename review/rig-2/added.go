package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// probeInterval is the interval of the router's checks, maxMisses the failed ones after
	// which a node is out of rotation.
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
	// addedFlows is the number of flows of the added route.
	addedFlows = 10
	// addedApplyMs is config_apply_ms of the sheet that has links of 10 to 200 Mbit/s.
	addedApplyMs = 5000
)

// playAdded adds a route while a balancer is stopped in a planned way. Flows of the route open
// through that balancer, which has the new configuration at once and forwards until the router
// sends their packets to the other one. The other one gets the configuration later, over a slower
// link, but within the time that the operator allows.
func playAdded(w *World, trouble bool) (bool, error) {
	old, added := RouteAddress(0, 443), RouteAddress(1, 443)
	for _, zone := range []string{"zone-a", "zone-b"} {
		w.AddEndpoint(zone, "desk")
		w.AddEndpoint(zone, "archive")
	}
	first, second := w.AddBalancer("zone-a"), w.AddBalancer("zone-a")
	first.ApplyMs, second.ApplyMs = addedApplyMs, addedApplyMs
	link, err := NewRelay(fmt.Sprintf("%s:%d", second.IP, portStore), w.StoreAddr, linkMegabits)
	if err != nil {
		return false, err
	}
	defer link.Close()
	second.Store = fmt.Sprintf("%s:%d", second.IP, portStore)
	v1, v2 := tornConfig(7, old, "desk"), tornConfig(9, old, "desk", added)
	w.Record.Say("configurations of %d and %d bytes", len(v1), len(v2))
	w.Store.Put("op/config", v1)
	if err := w.Start(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)

	w.Store.Put("op/config", v2)
	acked := time.Now()
	w.Record.Say("version 9 is acknowledged: it adds a route")
	if trouble {
		first.Signal(syscall.SIGTERM)
	}
	moved := make(chan time.Time, 1)
	go func() {
		for misses := 0; misses < maxMisses; {
			time.Sleep(probeInterval)
			if first.Ready() {
				misses = 0
			} else {
				misses++
			}
			if !trouble && time.Since(acked) > 2*time.Second {
				break
			}
		}
		moved <- time.Now()
	}()
	var open []*ClientFlow
	for n := 0; len(open) < addedFlows; n++ {
		f, err := w.Client.Open(added, first.IP)
		if err == nil {
			var text string
			text, err = f.Request(fmt.Sprintf("added %d", n), time.Second)
			w.Record.Note("flow %s opens through %s: %s", f.Key.client, first.Name, text)
		}
		if err != nil {
			w.Record.Note("flow %s does not open through %s: %v", f.Key.client, first.Name, err)
			if time.Since(acked) > 3*time.Second {
				return false, errors.New("flows of the added route do not open")
			}
			continue
		}
		open = append(open, f)
	}
	w.Record.Say("%d flows of the added route are open %.2f s after the ack", len(open), time.Since(acked).Seconds())
	at := <-moved
	via := second
	if !trouble {
		via = first
	}
	w.Record.Say("%.2f s after the ack the router sends all packets to %s", at.Sub(acked).Seconds(), via.Name)
	resets := 0
	for n, f := range open {
		f.Via = via.IP
		text, err := f.Request(fmt.Sprintf("added %d, second", n), 3*time.Second)
		w.Record.Note("flow %s, %.2f s after the ack: %s %v", f.Key.client, time.Since(acked).Seconds(), text, err)
		if errors.Is(err, errReset) && w.holds(f.Key) {
			resets++
			w.Record.Note("FLOW: flow %s is reset while its endpoint holds it", f.Key.client)
		}
	}
	w.Record.Say("%d of %d flows were reset while their endpoint held them", resets, len(open))
	for n := 0; ; n++ {
		f, err := w.Client.Open(added, second.IP)
		if err == nil {
			w.Record.Say("%s opens flows of the route %.2f s after the ack; allowed are %d ms", second.Name, time.Since(acked).Seconds(), addedApplyMs)
			f.Close()
			break
		}
		if time.Since(acked) > 10*time.Second {
			return false, fmt.Errorf("%s does not get the configuration", second.Name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return resets > 0, nil
}
