package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// leaveDelay is how late the old lifetime's last call arrives: a cut of 5.5 s at most.
	leaveDelay = 5 * time.Second
	// exitAfter is how long an endpoint waits for the ack of its last call before it exits.
	exitAfter = 2 * time.Second
	// heldFlows is the number of flows that clients keep open at the endpoint.
	heldFlows = 5
	// pauseTime is how long clients pause on them, below idle_timeout_ms.
	pauseTime = 12 * time.Second
)

// leave sends the last call of a lifetime.
func leave(e *Endpoint, born int64) {
	body, _ := json.Marshal(map[string]any{"born": born})
	client := &http.Client{Timeout: time.Second}
	response, err := client.Post(fmt.Sprintf("http://%s:%d/v1/Instances.Deregister/%s", e.IP, portControl, e.ID), "application/json", strings.NewReader(string(body)))
	if err != nil {
		e.record.Note("the last call of the lifetime %d of %s: %v", born, e.ID, err)
		return
	}
	_ = response.Body.Close()
	e.record.Note("the last call of the lifetime %d of %s arrives: status %d", born, e.ID, response.StatusCode)
}

// playLeave has the last call of an endpoint arrive after the endpoint has started again under the
// same id. Then the balancers are restarted in turn, in a planned way.
func playLeave(w *World, trouble bool) (bool, error) {
	route := RouteAddress(0, 443)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for _, zone := range zones {
		w.AddEndpoint(zone, "desk")
	}
	w.AddBalancer("zone-a")
	w.AddBalancer("zone-b")
	c := NewConfig(7, "desk")
	c.Add("desk", route, "non_idempotent", "desk")
	w.Store.Put("op/config", c.Encode())
	if err := w.Start(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	x := w.Endpoints[0]
	old := x.born
	w.Record.Say("endpoint %s ends and starts again under its id", x.ID)
	if trouble {
		time.AfterFunc(leaveDelay, func() { leave(x, old) })
		time.Sleep(exitAfter)
	} else {
		leave(x, old)
	}
	x.Stop()
	time.Sleep(300 * time.Millisecond)
	if err := x.Start(w.Record); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	var held []*ClientFlow
	for n := 0; len(held) < heldFlows && n < 100; n++ {
		f, err := w.Client.Open(route, w.Balancers[n%2].IP)
		if err != nil {
			return false, err
		}
		text, err := f.Request(fmt.Sprintf("first of %s", f.Key.client), 2*time.Second)
		w.Record.Note("flow %s opens: %s %v", f.Key.client, text, err)
		if err == nil && x.Holds(f.Key) {
			held = append(held, f)
		} else {
			f.Close()
		}
	}
	if len(held) < heldFlows {
		return false, fmt.Errorf("only %d flows are open at %s", len(held), x.ID)
	}
	w.Record.Say("%d flows are open at %s", len(held), x.ID)
	paused := time.Now()
	if trouble {
		time.Sleep(time.Until(time.UnixMilli(x.born).Add(leaveDelay)))
	}
	before := x.Acked()
	time.Sleep(2 * heartbeatInterval)
	w.Record.Say("%d check-ins of the new lifetime were acknowledged since", x.Acked()-before)
	for _, b := range w.Balancers {
		b.Stop()
		time.Sleep(restartDelay)
		if err := b.Start(); err != nil {
			return false, err
		}
		if err := WaitReady(b, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(paused.Add(pauseTime)))
	broken := 0
	for i, f := range held {
		f.Via = w.Balancers[i%2].IP
		if !x.Holds(f.Key) {
			return false, errors.New("the endpoint has lost a flow")
		}
		text, err := f.Request(fmt.Sprintf("second of %s", f.Key.client), 4*time.Second)
		w.Record.Note("flow %s, after the pause: %s %v", f.Key.client, text, err)
		if errors.Is(err, errReset) && x.Holds(f.Key) {
			broken++
			w.Record.Note("FLOW: flow %s is reset while its endpoint holds it", f.Key.client)
		}
	}
	w.Record.Say("%d of %d flows were reset while their endpoint held them", broken, len(held))
	opened := 0
	for n := range 60 {
		f, err := w.Client.Open(route, w.Balancers[n%2].IP)
		if err == nil {
			_, err = f.Request(fmt.Sprintf("new %d", n), 2*time.Second)
		}
		if err == nil && x.Holds(f.Key) {
			opened++
		}
		f.Close()
	}
	w.Record.Say("%d of 60 new flows were opened at %s", opened, x.ID)
	return broken > 0, nil
}
