package soak

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"amaranthwheel.example/amaranthwheel/platform/platformtest"
	"amaranthwheel.example/amaranthwheel/standin/relay"
)

const (
	// linkEvery is how many faults there are for one of the datagrams' ways or of a
	// clock.
	linkEvery = 3
	// maxClockStep bounds how far the clock of a host is set off, either way.
	maxClockStep = 10 * time.Second
)

// linkFaults is what goes wrong with datagrams.
var linkFaults = []relay.DatagramFault{
	{DropRate: 0.2}, {DuplicateRate: 0.3}, {MaxDelay: 80 * time.Millisecond},
	{DropRate: 0.1, DuplicateRate: 0.1, MaxDelay: 30 * time.Millisecond},
	{CutTo: true}, {CutFrom: true}, {CutTo: true, CutFrom: true},
}

// startLinks puts a relay before each agent. Balancers find it in the store, and the
// agent sees each balancer at an address of the relay.
func (r *run) startLinks(net int) error {
	own := regexp.MustCompile(fmt.Sprintf(`"127\.%d\.2\.(\d+):%d"`, net, portPeer))
	relays := fmt.Appendf(nil, `"127.%d.4.$1:%d"`, net, portPeer)
	r.store.RewriteValue = func(value []byte) []byte { return own.ReplaceAll(value, relays) }
	for i, a := range r.agents {
		number := i + 1
		listen := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(net), 4, byte(number)}), portPeer)
		to := netip.AddrPortFrom(netip.MustParseAddr(a.ip), portPeer)
		face := func(balancer netip.Addr) netip.AddrPort {
			host := balancer.Unmap().As4()[3]
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(net), 10 + host, byte(number)}), portPeer)
		}
		var err error
		if a.link, err = relay.StartDatagramRelay(listen, to, face); err != nil {
			return err
		}
	}
	return nil
}

// linkFault injects a fault of the way between balancers and one agent or all, of
// callers' way, or of a host's clock.
func (r *run) linkFault() {
	a := r.agents[r.links.IntN(len(r.agents))]
	loss := linkFaults[r.links.IntN(len(linkFaults))]
	pause := time.Duration(500+r.links.IntN(2500)) * time.Millisecond
	switch r.links.IntN(4) {
	case 0:
		r.note("datagrams between balancers and %s: %s for %v", a.name, loss, pause)
		a.link.SetFault(loss)
		time.AfterFunc(pause, func() { a.link.SetFault(relay.DatagramFault{}) })
	case 1:
		r.note("datagrams between balancers and all agents: %s for %v", loss, pause)
		r.setLinks(loss)
		time.AfterFunc(pause, func() { r.setLinks(relay.DatagramFault{}) })
	case 2:
		r.note("datagrams of callers: %s for %v", loss, pause)
		r.fabric.set(loss)
		time.AfterFunc(pause, func() { r.fabric.set(relay.DatagramFault{}) })
	case 3:
		r.stepClock(a)
	}
}

// stepClock sets the clock of a host off. Its next target takes its lifetime from it.
func (r *run) stepClock(a *agentHost) {
	step := time.Duration(r.links.Int64N(2*int64(maxClockStep))) - maxClockStep
	r.note("the clock of %s is set to %v off", a.name, step.Round(time.Millisecond))
	r.mu.Lock()
	defer r.mu.Unlock()
	a.clock = step
}

func (r *run) setLinks(l relay.DatagramFault) {
	for _, a := range r.agents {
		a.link.SetFault(l)
	}
}

// heal ends all faults of the store and of the ways.
func (r *run) heal() {
	r.store.SetFaults(platformtest.Faults{})
	for _, h := range r.hosts() {
		h.way.SetFault(relay.None)
	}
	r.setLinks(relay.DatagramFault{})
	r.fabric.set(relay.DatagramFault{})
}
