package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// sideMachines is the number of endpoints, turnedAway that of their machines which the store
	// turns away: a share of 0.35 at most.
	sideMachines, turnedAway = 9, 3
	// refuseTime is how long the store turns them away.
	refuseTime = 300 * time.Millisecond
	// killAfter is when all balancers are killed, startAfter how much later they start again.
	killAfter, startAfter = 100 * time.Millisecond, 100 * time.Millisecond
	// pausedFlows is the number of flows on which clients pause, from minPause to maxPause.
	pausedFlows        = 240
	minPause, maxPause = 5 * time.Second, 5700 * time.Millisecond
	// revokeRounds is how often this is done, each roundTime long.
	revokeRounds = 7
	roundTime    = 12 * time.Second
)

// playRevoke has the store turn some agents away for a moment, with their keys taken away, and
// kills all balancers meanwhile.
func playRevoke(w *World, trouble bool) (bool, error) {
	route := RouteAddress(0, 443)
	links := make(map[*Node]*Relay)
	for range sideMachines {
		w.AddEndpoint("zone-a", "desk")
	}
	for _, n := range w.Agents {
		link, err := NewRelay(fmt.Sprintf("%s:%d", n.IP, portStore), w.StoreAddr, 1000)
		if err != nil {
			return false, err
		}
		defer link.Close()
		n.Store, links[n] = fmt.Sprintf("%s:%d", n.IP, portStore), link
	}
	w.AddBalancer("zone-a")
	w.AddBalancer("zone-a")
	c := NewConfig(7, "desk")
	c.Add("desk", route, "non_idempotent", "desk")
	w.Store.Put("op/config", c.Encode())
	if err := w.Start(); err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	total := 0
	for round := range revokeRounds {
		began := time.Now()
		flows := openFlows(w, pausedFlows, func(n int) (*ClientFlow, error) {
			f, err := w.Client.Open(route, w.Balancers[n%2].IP)
			if err == nil {
				_, err = f.Request(fmt.Sprintf("first of %s", f.Key.client), 2*time.Second)
			}
			return f, err
		})
		if len(flows) < pausedFlows/2 {
			return false, fmt.Errorf("only %d flows are open", len(flows))
		}
		struck := time.Now()
		if trouble {
			if err := strike(w, links); err != nil {
				return false, err
			}
		}
		resets, answered, silent := resume(w, flows, struck)
		total += resets
		w.Record.Say("round %d: %d flows, %d answered, %d without an answer, %d reset while their endpoint held them", round+1, len(flows), answered, silent, resets)
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	return total > 0, nil
}

// strike brings the disruption about.
func strike(w *World, links map[*Node]*Relay) error {
	var away []*Node
	for _, i := range rand.Perm(len(w.Agents))[:turnedAway] {
		away = append(away, w.Agents[i])
	}
	for _, n := range away {
		links[n].Refuse(true)
		w.Record.Note("the store turns %s away and takes its keys away: %v", n.Name, w.Store.Revoke("op-agents/"+n.Name))
	}
	time.AfterFunc(refuseTime, func() {
		for _, n := range away {
			links[n].Refuse(false)
		}
		w.Record.Note("the store serves all machines again")
	})
	time.Sleep(killAfter)
	for _, b := range w.Balancers {
		b.Signal(syscall.SIGKILL)
	}
	for _, b := range w.Balancers {
		<-b.exited
	}
	time.Sleep(startAfter)
	for _, b := range w.Balancers {
		if err := b.Start(); err != nil {
			return err
		}
	}
	return nil
}

// openFlows opens flows at once and returns those that have opened.
func openFlows(w *World, count int, open func(n int) (*ClientFlow, error)) (flows []*ClientFlow) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 5 * time.Millisecond)
			f, err := open(n)
			if err != nil {
				w.Record.Note("flow %s: %v", f.Key.client, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			flows = append(flows, f)
		})
	}
	group.Wait()
	return flows
}

// resume sends the next request on each flow after a pause. It counts the resets of flows that
// their endpoint holds, at a time when all machines and the store have been calm for contact_ms.
func resume(w *World, flows []*ClientFlow, struck time.Time) (resets, answered, silent int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	calm := struck.Add(max(refuseTime, killAfter+startAfter) + 100*time.Millisecond + contact)
	for _, f := range flows {
		group.Go(func() {
			time.Sleep(time.Until(struck.Add(minPause + time.Duration(rand.Int64N(int64(maxPause-minPause))))))
			text, err := f.Request(fmt.Sprintf("second of %s", f.Key.client), 4*time.Second)
			held := w.holds(f.Key)
			w.Record.Note("flow %s, %.3f s after the strike: %s %v", f.Key.client, time.Since(struck).Seconds(), text, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case errors.Is(err, errReset) && held && time.Now().After(calm):
				resets++
				w.Record.Note("FLOW: flow %s is reset while its endpoint holds it", f.Key.client)
			case err == nil:
				answered++
			default:
				silent++
			}
			f.Close()
		})
	}
	group.Wait()
	return resets, answered, silent
}
