package soak

import (
	"syscall"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/relay"
)

const (
	// outTime is how long a failure domain is taken out, outGrace how long after the
	// operators' write its targets may still be sent new flows: the time in which a
	// change has to be in force, 3 s, less the pause of faults in it.
	outTime  = 3500 * time.Millisecond
	outGrace = 3 * time.Second
	// darkTime is how long a loss of power lasts.
	darkTime = 700 * time.Millisecond
)

// wideFault injects a fault of the network, of the leases, of the operators or of
// the power.
func (r *run) wideFault() {
	h := r.anyHost()
	pause := time.Duration(500+r.wide.IntN(2500)) * time.Millisecond
	switch kind := r.wide.IntN(7); kind {
	case 0, 1, 2, 3:
		fault := [...]relay.Fault{relay.Slow, relay.Reset, relay.DropToUpstream, relay.DropFromUpstream}[kind]
		r.note("%s: the way to the store is %v for %v", h.name, fault, pause)
		h.way.SetFault(fault)
		time.AfterFunc(pause, func() { h.way.SetFault(relay.None) })
	case 4:
		r.note("all leases lapse")
		r.store.ExpireAllLeases()
	case 5:
		r.takeOut("d1")
	case 6:
		r.losePower()
	}
}

func (r *run) anyHost() *host {
	hosts := r.hosts()
	return hosts[r.wide.IntN(len(hosts))]
}

// takeOut takes a failure domain out for a while and checks that no flows open
// there, once the change has to be in force.
func (r *run) takeOut(domain string) {
	r.heal()
	r.note("domain %s is taken out for %v", domain, outTime)
	r.store.SetDomainOut(domain, true)
	r.sleep(outGrace)
	before := r.openings(domain)
	r.sleep(outTime - outGrace)
	if late := r.openings(domain) - before; late > 0 {
		r.violate("%d flows opened in domain %s later than %v after it was taken out", late, domain, outGrace)
	}
	r.note("domain %s is back", domain)
	r.store.SetDomainOut(domain, false)
}

// openings counts the flows that targets in a domain have been asked to open.
func (r *run) openings(domain string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, a := range r.agents {
		if a.domain == domain {
			a.target.mu.Lock()
			count += a.target.opens
			a.target.mu.Unlock()
		}
	}
	return count
}

// losePower ends all processes and targets at once and starts them again.
func (r *run) losePower() {
	r.note("all hosts lose power for %v", darkTime)
	for _, a := range r.agents {
		a.target.end()
	}
	for _, h := range r.hosts() {
		h.stop(syscall.SIGKILL, stopPatience)
	}
	r.sleep(darkTime)
	for _, h := range r.hosts() {
		if err := h.start(); err != nil {
			r.violate("%s does not start: %v", h.name, err)
		}
	}
	for _, a := range r.agents {
		r.restartTarget(a)
	}
}
