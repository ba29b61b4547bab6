package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// service is the name of the service of all cases.
const service = "huvo11a"

// deployment is a zone with balancers, and endpoints beside agents.
type deployment struct {
	w         *world
	route     end
	balancers []*machine
	sides     []*machine
	endpoints []*endpoint
	client    *client
}

// deploy starts balancers, and agents with an endpoint each, and waits until they serve.
func deploy(w *world, balancers, sides int, kind string, work time.Duration, size int) (*deployment, error) {
	d, err := start(w, balancers, sides, kind, work, size)
	if err != nil {
		return nil, err
	}
	for _, m := range w.machines {
		if !w.waitFor(10, m.isReady) {
			return nil, errors.New(m.name + " is not ready")
		}
	}
	w.sleep(3)
	return d, nil
}

// start starts the processes of deploy and does not wait.
func start(w *world, balancers, sides int, kind string, work time.Duration, size int) (*deployment, error) {
	d := &deployment{w: w, route: w.configure(7, service, kind, 300)}
	for i := range sides {
		m, err := w.addMachine(fmt.Sprintf("side-%d", i+1), "muscat-a", "agent", service)
		if err != nil {
			return nil, err
		}
		d.sides = append(d.sides, m)
	}
	for i := range balancers {
		m, err := w.addMachine(fmt.Sprintf("frontend-%d", i+1), "muscat-a", "balancer", "")
		if err != nil {
			return nil, err
		}
		d.balancers = append(d.balancers, m)
	}
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	for i, m := range d.sides {
		e, err := w.startEndpoint(m, fmt.Sprintf("i-%d", i+1), service, work, size)
		if err != nil {
			return nil, err
		}
		d.endpoints = append(d.endpoints, e)
	}
	var err error
	if d.client, err = w.newClient(100); err != nil {
		return nil, err
	}
	return d, nil
}

// openAll opens flows and returns those that opened.
func (d *deployment) openAll(n int) []*flow { return d.openFor(n, 1.5) }

// openFor opens flows, and returns those that have opened some seconds after the last.
func (d *deployment) openFor(n int, seconds float64) []*flow {
	var flows []*flow
	for range n {
		flows = append(flows, d.client.openFlow(d.route))
		time.Sleep(10 * time.Millisecond)
	}
	d.w.sleep(seconds)
	var open []*flow
	for _, f := range flows {
		if f.isOpen() {
			open = append(open, f)
		}
	}
	return open
}

// holder returns the endpoint that holds a flow, nil if none does.
func (d *deployment) holder(f *flow) *endpoint {
	for _, e := range d.endpoints {
		if e.isHolding(f.id) {
			return e
		}
	}
	return nil
}

// halfOpen: an agent freezes for 0.8 s while flows open, so that copies of their opening packets
// reach a second endpoint. The agent and its endpoint are restarted as planned work later.
func halfOpen(w *world) (bool, error) {
	d, err := deploy(w, 1, 3, "non_idempotent", 60*time.Millisecond, 600)
	if err != nil {
		return false, err
	}
	slow := d.sides[0]
	if w.trouble {
		slow.signal(syscall.SIGSTOP)
		time.AfterFunc(800*time.Millisecond, func() { slow.signal(syscall.SIGCONT) })
	}
	flows := d.openAll(30)
	var elsewhere []*flow
	for _, f := range flows {
		if e := d.holder(f); e != nil && e != d.endpoints[0] {
			elsewhere = append(elsewhere, f)
			if d.endpoints[0].hasSeen(f.id) {
				w.log("flow %s is open at %s; endpoint %s has its opening packet, too", f.id, e.id, d.endpoints[0].id)
			}
		}
	}
	w.log("%d flows are open at the other endpoints", len(elsewhere))
	if len(elsewhere) == 0 {
		return false, errors.New("no flow is open at another endpoint")
	}
	if askAll(elsewhere, 4*time.Second) < len(elsewhere) {
		return false, errors.New("a flow is not served")
	}
	w.log("planned: the agent on %s is restarted", slow.name)
	if err := slow.restart(); err != nil {
		return false, err
	}
	w.sleep(6)
	if askAll(elsewhere, 4*time.Second) < len(elsewhere) {
		return false, errors.New("a flow is not served after the agent's restart")
	}
	w.log("planned: the endpoint on %s is restarted", slow.name)
	old := d.endpoints[0]
	old.drain()
	if !w.waitFor(3, func() bool { return !old.ackOf("draining").IsZero() }) {
		return false, errors.New("draining is not acknowledged")
	}
	w.sleep(3.5)
	old.deregister(slow.control)
	old.end("shut down")
	w.sleep(1)
	if d.endpoints[0], err = w.startEndpoint(slow, old.id, service, 60*time.Millisecond, 600); err != nil {
		return false, err
	}
	w.sleep(4)
	return d.checkResets(elsewhere), nil
}

// checkResets reports whether a flow got a reset of the system while its endpoint held it.
func (d *deployment) checkResets(flows []*flow) bool {
	broken := 0
	for _, f := range flows {
		e := d.holder(f)
		for _, r := range f.allResets() {
			if e != nil && e.openedAt(f.id).Before(r.at) {
				broken++
				d.w.log("FLOW: %s got a reset of the system at %.3f (seq %d, the client's last ack %d); endpoint %s holds it, and sent none",
					f.id, r.at.Sub(d.w.started).Seconds(), r.seq, r.ack, e.id)
			}
		}
	}
	d.w.log("%d of %d flows got a reset while their endpoint held them", broken, len(flows))
	return broken > 0
}

// askAll sends a request on each flow at once and returns how many are answered.
func askAll(flows []*flow, budget time.Duration) int {
	var answered atomic.Int64
	var wg sync.WaitGroup
	for _, f := range flows {
		wg.Go(func() {
			if f.ask(budget) {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	return int(answered.Load())
}

// lateCheckIn: a check-in of an endpoint that has ended arrives late, right after its agent was
// restarted as planned work, and before the next one of the endpoint's successor.
func lateCheckIn(w *world) (bool, error) {
	d, err := deploy(w, 1, 3, "non_idempotent", 60*time.Millisecond, 600)
	if err != nil {
		return false, err
	}
	side, old := d.sides[0], d.endpoints[0]
	w.log("planned: the endpoint on %s is replaced in place", side.name)
	old.drain()
	if !w.waitFor(3, func() bool { return !old.ackOf("draining").IsZero() }) {
		return false, errors.New("draining is not acknowledged")
	}
	w.sleep(3.5)
	caught := old.nextCheckIn()
	sent := time.Now()
	w.log("endpoint %s sends check-in %d (born %d); delayed: %v", old.id, caught.seq, old.born, w.trouble)
	if !old.deregister(side.control) {
		return false, errors.New("the deregistration is not acknowledged")
	}
	old.end("shut down")
	w.sleep(0.3)
	next, err := w.startEndpoint(side, "i-9", service, 60*time.Millisecond, 600)
	if err != nil {
		return false, err
	}
	d.endpoints[0] = next
	w.sleep(0.5)
	var held []*flow
	for _, f := range d.openAll(30) {
		if d.holder(f) == next {
			held = append(held, f)
		}
	}
	if len(held) == 0 || askAll(held, 4*time.Second) < len(held) {
		return false, errors.New("no flow is served at the new endpoint")
	}
	w.log("%d flows are open at endpoint %s, and idle", len(held), next.id)
	acked := next.acks()
	if !w.waitFor(2, func() bool { return next.acks() > acked }) {
		return false, errors.New("no check-in is acknowledged")
	}
	w.log("planned: the agent on %s is restarted", side.name)
	if err := side.restart(); err != nil {
		return false, err
	}
	if w.trouble {
		w.sleep(0.15)
		if !w.waitFor(1, func() bool { return caught.deliver(side.control) }) {
			return false, errors.New("the late check-in did not arrive")
		}
		w.log("the network delivers the check-in of %s after %v", old.id, time.Since(sent).Round(time.Millisecond))
	}
	w.sleep(6)
	resets := d.checkResets(held)
	w.log("%d of %d further requests on these flows are answered", askAll(held, 5*time.Second), len(held))
	return resets, nil
}

// lateFirst: the first check-in of an endpoint arrives late, right after its agent was killed and
// started again.
func lateFirst(w *world) (bool, error) {
	var caught *checkIn
	if w.trouble {
		caught = new(checkIn)
		w.catchFirst = caught
	}
	d, err := start(w, 1, 3, "non_idempotent", 60*time.Millisecond, 600)
	if err != nil {
		return false, err
	}
	side, e, started := d.sides[0], d.endpoints[0], time.Now()
	for _, m := range w.machines {
		if !w.waitFor(5, m.isReady) {
			return false, errors.New(m.name + " is not ready")
		}
	}
	w.sleep(0.6)
	var held []*flow
	for _, f := range d.openFor(30, 0.5) {
		if d.holder(f) == e {
			held = append(held, f)
		}
	}
	if len(held) == 0 || askAll(held, 2*time.Second) < len(held) {
		return false, errors.New("no flow is served at side-1")
	}
	w.log("%d flows are open at endpoint %s, and idle", len(held), e.id)
	acked := e.acks()
	if !w.waitFor(2, func() bool { return e.acks() > acked }) {
		return false, errors.New("no check-in is acknowledged")
	}
	if w.trouble {
		side.kill()
		w.sleep(0.2)
		if err := side.start(); err != nil {
			return false, err
		}
		w.sleep(0.15)
		if !w.waitFor(1, func() bool { return caught.deliver(side.control) }) {
			return false, errors.New("the late check-in did not arrive")
		}
		w.log("the network delivers check-in %d of endpoint %s after %v", caught.seq, e.id, time.Since(started).Round(time.Millisecond))
	}
	w.sleep(5)
	w.log("%d of %d further requests on these flows are answered", askAll(held, 5*time.Second), len(held))
	return d.checkResets(held), nil
}

// unannounced: an endpoint crashes and starts again in place. Its agent is killed before the first
// check-in of the new lifetime.
func unannounced(w *world) (bool, error) {
	d, err := deploy(w, 1, 3, "non_idempotent", 60*time.Millisecond, 600)
	if err != nil {
		return false, err
	}
	side := d.sides[0]
	if w.trouble {
		d.endpoints[0].end("crash")
		w.sleep(0.3)
		w.firstBeat = heartbeat
		if d.endpoints[0], err = w.startEndpoint(side, "i-9", service, 60*time.Millisecond, 600); err != nil {
			return false, err
		}
	}
	var flows []*flow
	for range 40 {
		flows = append(flows, d.client.openFlow(d.route))
		w.sleep(0.01)
	}
	w.sleep(0.05)
	if w.trouble {
		side.kill()
		w.sleep(0.2)
		if err := side.start(); err != nil {
			return false, err
		}
	}
	w.sleep(8)
	var held []*flow
	for _, f := range flows {
		if f.isOpen() && d.holder(f) == d.endpoints[0] {
			held = append(held, f)
		}
	}
	if len(held) == 0 {
		return false, errors.New("no flow is open at side-1")
	}
	w.log("%d flows are open at side-1", len(held))
	w.log("%d of %d requests on these flows are answered", askAll(held, 5*time.Second), len(held))
	return d.checkResets(held), nil
}

// highRevision: the store's revision counter starts at 2^45.
func highRevision(w *world) (bool, error) {
	if w.trouble {
		w.store.mu.Lock()
		w.store.rev = 1 << 45
		w.store.mu.Unlock()
		w.log("the store's revision counter starts at %d", w.store.rev)
	}
	d, err := start(w, 1, 3, "non_idempotent", 60*time.Millisecond, 600)
	if err != nil {
		return false, err
	}
	w.sleep(10)
	w.log("%s is ready: %v", d.balancers[0].name, d.balancers[0].isReady())
	answered := 0
	for range 10 {
		flows := d.openAll(10)
		answered += askAll(flows, 4*time.Second)
		w.log("%d of 10 flows opened", len(flows))
	}
	w.log("%d of 100 requests were answered", answered)
	return answered == 0, nil
}
