package main

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// linkMegabits is the link of the restarted machine; the pages have 10 to 200 Mbit/s.
	linkMegabits = 12
	// configApply is config_apply_ms, contact is contact_ms.
	configApply = 3 * time.Second
	contact     = 4 * time.Second
	// restartDelay is the platform's short delay before it starts a process again.
	restartDelay = 500 * time.Millisecond
	// idleRoutes is the number of routes without traffic.
	idleRoutes = 7450
)

// tornConfig returns a configuration of many routes in which one has a given service. The second
// version has a further route.
func tornConfig(version int, route netip.AddrPort, service string, added ...netip.AddrPort) []byte {
	c := NewConfig(version, "desk", "archive")
	c.Add("moved", route, "idempotent", service)
	for _, a := range added {
		c.Add("added", a, "non_idempotent", "desk")
	}
	for i := range idleRoutes {
		c.Add(fmt.Sprintf("r-%07d", i), RouteAddress(1+i/2, 8080+i%2*363), "idempotent", "desk")
	}
	return c.Encode()
}

// playTorn restarts a balancer in a planned way. While it reads the store page by page, the
// operator moves a route to another service and then takes a zone out.
func playTorn(w *World, trouble bool) (bool, error) {
	route, added := RouteAddress(0, 443), RouteAddress(1, 443)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		w.AddEndpoint(zone, "desk")
		w.AddEndpoint(zone, "archive")
	}
	w.AddBalancer("zone-a")
	restarted := w.AddBalancer("zone-b")
	link, err := NewRelay(fmt.Sprintf("%s:%d", restarted.IP, portStore), w.StoreAddr, linkMegabits)
	if err != nil {
		return false, err
	}
	defer link.Close()
	restarted.Store = fmt.Sprintf("%s:%d", restarted.IP, portStore)

	var mu sync.Mutex
	ranBy := make(map[string]string) // service by request
	for _, e := range w.Endpoints {
		e.OnRun = func(e *Endpoint, request string) {
			mu.Lock()
			defer mu.Unlock()
			ranBy[request] = e.Service
			w.Record.Note("%s runs %s", e.ID, request)
		}
	}
	v1, v2 := tornConfig(7, route, "desk"), tornConfig(9, route, "archive", added)
	w.Record.Say("configurations of %d and %d bytes", len(v1), len(v2))
	w.Store.Put("op/config", v1)
	w.Store.Put("op/evacuate/zone-c", []byte("{}"))

	pages := make(chan string, 64)
	w.Store.OnRange = func(from, after string, last bool) {
		w.Record.Note("a page after %q is read, the last: %v", after, last)
		if after == "" && !last {
			select {
			case pages <- from:
			default: // nobody waits
			}
		}
	}
	if err := w.Start(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	// One request after the other through each balancer.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	type sent struct {
		at  time.Time
		via *Node
	}
	requests := make(map[string]sent)
	for i, b := range w.Balancers {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				request := fmt.Sprintf("request %d-%d", i, n)
				mu.Lock()
				requests[request] = sent{time.Now(), b}
				mu.Unlock()
				w.Record.Note("%s is sent through %s", request, b.Name)
				f, err := w.Client.Open(route, b.IP)
				text := ""
				if err == nil {
					text, err = f.Request(request, 2*time.Second)
				}
				w.Record.Note("%s is answered: %s %v", request, strings.TrimPrefix(text, "200 "), err)
				f.Close()
			}
		})
	}
	time.Sleep(2 * time.Second)

	if trouble {
		for len(pages) > 0 {
			<-pages
		}
		restarted.Stop()
		time.Sleep(restartDelay)
		if err := restarted.Start(); err != nil {
			return false, err
		}
		select {
		case <-pages:
		case <-time.After(10 * time.Second):
			return false, fmt.Errorf("%s reads no pages", restarted.Name)
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.Store.Put("op/config", v2)
	acked := time.Now()
	w.Record.Say("version 9 is acknowledged: the route moves from desk to archive")
	time.Sleep(200 * time.Millisecond)
	w.Store.Put("op/evacuate/zone-b", []byte("{}"))
	w.Record.Say("the evacuation of zone-b is acknowledged")
	if err := WaitReady(restarted, 15*time.Second); err != nil {
		return false, err
	}
	// All machines are in touch from contact_ms after the start of the last process on.
	judgedFrom := time.Now().Add(contact)
	if t := acked.Add(configApply); t.After(judgedFrom) {
		judgedFrom = t
	}
	time.Sleep(time.Until(judgedFrom.Add(5 * time.Second)))
	resets := moveFlows(w, added, restarted)
	time.Sleep(time.Until(judgedFrom.Add(15 * time.Second)))
	close(stop)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	judged, stale := 0, 0
	for request, s := range requests {
		if s.at.Before(judgedFrom) || ranBy[request] == "" {
			continue
		}
		judged++
		if ranBy[request] == "desk" {
			stale++
			w.Record.Note("CONFIG: %s was sent %.1f s after the ack, through %s, and run by desk", request, s.at.Sub(acked).Seconds(), s.via.Name)
		}
	}
	w.Record.Say("%d of %d open flows of the added route were reset while their endpoint held them", resets, movedFlows)
	w.Record.Say("%d requests were judged, %d were handled as only the older version allows", judged, stale)
	if judged < 50 {
		return false, fmt.Errorf("too few requests were run")
	}
	return stale > 0, nil
}

// movedFlows is the number of flows of the added route.
const movedFlows = 10

// moveFlows opens flows of the added route through the other balancer, and has the router send
// their next packets to the restarted one, as it does whenever a node joins or leaves the rotation.
// It returns how many were reset while their endpoint held them.
func moveFlows(w *World, added netip.AddrPort, restarted *Node) (resets int) {
	for n := range movedFlows {
		f, err := w.Client.Open(added, w.Balancers[0].IP)
		if err != nil {
			w.Record.Note("flow %s of the added route: %v", f.Key.client, err)
			continue
		}
		text, err := f.Request(fmt.Sprintf("added %d", n), 2*time.Second)
		w.Record.Note("flow %s of the added route: %s %v", f.Key.client, text, err)
		f.Via = restarted.IP
		text, err = f.Request(fmt.Sprintf("added %d, moved", n), 2*time.Second)
		w.Record.Note("flow %s, through %s: %s %v", f.Key.client, restarted.Name, text, err)
		if errors.Is(err, errReset) && w.holds(f.Key) {
			resets++
		}
		f.Close()
	}
	return resets
}

// holds reports whether an endpoint holds an open flow.
func (w *World) holds(f flowKey) bool {
	for _, e := range w.Endpoints {
		if e.Holds(f) {
			return true
		}
	}
	return false
}
