package dissemination

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// dialer dials addresses, with a jittered exponential backoff for each.
type dialer struct {
	options Options
	states  map[netip.AddrPort]*dialState
}

type dialState struct {
	failures int
	// dialedAt is when the dial in progress began, zero without one.
	dialedAt time.Time
	nextDial time.Time
}

// dial dials the address unless a dial is in progress or its backoff has not
// expired. A dial without a result within DialTimeout counts as failed.
func (d *dialer) dial(t *core.Turn, addr netip.AddrPort) {
	if !addr.IsValid() || addr == t.Board.Self.Member.ControlAddr {
		return
	}
	s := d.states[addr]
	if s == nil {
		s = &dialState{}
		d.states[addr] = s
	}
	if !s.dialedAt.IsZero() && t.Now.Sub(s.dialedAt) >= d.options.DialTimeout {
		d.recordFailure(t, addr)
	}
	if !s.dialedAt.IsZero() || t.Now.Before(s.nextDial) {
		return
	}
	s.dialedAt = t.Now
	t.Emit(core.Dial{Addr: addr})
}

func (d *dialer) recordFailure(t *core.Turn, addr netip.AddrPort) {
	s := d.states[addr]
	if s == nil {
		return
	}
	backoff := d.options.MaxRedialBackoff
	if s.failures < 16 {
		backoff = min(backoff, d.options.MinRedialBackoff<<s.failures)
	}
	s.failures++
	s.dialedAt = time.Time{}
	s.nextDial = t.Now.Add(backoff/2 + jitter(t, backoff/2))
}

// recordSuccess clears the failures of an address.
func (d *dialer) recordSuccess(addr netip.AddrPort) {
	delete(d.states, addr)
}

// expireIdle removes the state of addresses that were last dialed long ago.
func (d *dialer) expireIdle(now time.Time) {
	for addr, s := range d.states {
		if s.dialedAt.IsZero() && now.Sub(s.nextDial) > 2*d.options.MaxRedialBackoff {
			delete(d.states, addr)
		}
	}
}

// jitter returns a uniformly random duration below the bound.
func jitter(t *core.Turn, bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(t.Rand.Int64N(int64(bound)))
}
