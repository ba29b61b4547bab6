package relay

import (
	"net"
	"time"
)

// Fault is what goes wrong on the way.
type Fault int

// The faults.
const (
	None Fault = iota
	// Held holds all bytes back until it ends; connections stay open.
	Held
	// Slow delays each piece of data by slowBy, in both directions.
	Slow
	// Reset resets all connections, open and new.
	Reset
	// LostTo loses what is sent to the other side, LostFrom what comes from it, and
	// the rest of that direction of the connection; connections stay open.
	LostTo
	LostFrom
)

// slowBy is several times a way between failure domains.
const slowBy = 150 * time.Millisecond

// String returns the fault's name in timelines.
func (f Fault) String() string {
	return [...]string{"up", "held", "slow", "reset", "cut towards the other side", "cut from the other side"}[f]
}

// Set lets a fault begin, in place of the one before; None ends it.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f == r.fault {
		return
	}
	if r.fault == Held {
		close(r.gate)
	}
	r.fault = f
	switch f {
	case Held:
		r.gate = make(chan struct{})
	case Reset:
		for conn := range r.conns {
			reset(conn)
		}
	case None, Slow, LostTo, LostFrom:
	}
}

func (r *Relay) current() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	if whole, ok := conn.(*net.TCPConn); ok {
		_ = whole.SetLinger(0) // it may have ended already
	}
	conn.Close()
}
