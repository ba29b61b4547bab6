package dissemination

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// dialer dials addresses with a jittered backoff for each.
type dialer struct {
	options Options
	dials   map[netip.AddrPort]*dialState
}

type dialState struct {
	failures int
	// pending is when the dial without an outcome began, zero without one.
	pending time.Time
	next    time.Time
}

// dial dials the address unless it is being dialed or must wait.
func (d *dialer) dial(t *core.Turn, addr netip.AddrPort) {
	if !addr.IsValid() || addr == t.Board.Self.Member.ControlAddr {
		return
	}
	s := d.dials[addr]
	if s == nil {
		s = &dialState{}
		d.dials[addr] = s
	}
	if !s.pending.IsZero() && t.Now.Sub(s.pending) >= d.options.DialTimeout {
		d.failed(t, addr)
	}
	if !s.pending.IsZero() || t.Now.Before(s.next) {
		return
	}
	s.pending = t.Now
	t.Emit(core.Dial{Addr: addr})
}

func (d *dialer) failed(t *core.Turn, addr netip.AddrPort) {
	s := d.dials[addr]
	if s == nil {
		return
	}
	wait := d.options.RedialMax
	if s.failures < 16 {
		wait = min(wait, d.options.RedialMin<<s.failures)
	}
	s.failures++
	s.pending = time.Time{}
	s.next = t.Now.Add(wait/2 + jitter(t, wait/2))
}

// succeeded forgets the failures of an address.
func (d *dialer) succeeded(addr netip.AddrPort) {
	delete(d.dials, addr)
}

// forgetIdle drops the state of addresses that were last dialed long ago.
func (d *dialer) forgetIdle(now time.Time) {
	for addr, s := range d.dials {
		if s.pending.IsZero() && now.Sub(s.next) > 2*d.options.RedialMax {
			delete(d.dials, addr)
		}
	}
}

// jitter returns a random duration below the bound.
func jitter(t *core.Turn, bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(t.Rand.Int64N(int64(bound)))
}
