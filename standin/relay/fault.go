package relay

import (
	"net"
	"time"
)

// Fault is an impairment of the TCP connections through a relay.
type Fault int

// The faults.
const (
	None Fault = iota
	// Stalled buffers all bytes until the fault is cleared; connections stay open.
	Stalled
	// Slow delays each chunk of data by slowDelay, in both directions.
	Slow
	// Reset resets open and new connections.
	Reset
	// DropToUpstream drops data sent to the upstream, DropFromUpstream data sent by
	// it. Data that follows on the same connection in that direction is dropped too;
	// connections stay open.
	DropToUpstream
	DropFromUpstream
)

// slowDelay is several times the latency between failure domains.
const slowDelay = 150 * time.Millisecond

// String returns the fault's name for the fault timeline.
func (f Fault) String() string {
	return [...]string{"up", "held", "slow", "reset", "cut towards the other side", "cut from the other side"}[f]
}

// SetFault replaces the current fault; None clears it.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f == r.fault {
		return
	}
	if r.fault == Stalled {
		close(r.flowing)
	}
	r.fault = f
	switch f {
	case Stalled:
		r.flowing = make(chan struct{})
	case Reset:
		for conn := range r.conns {
			resetConnection(conn)
		}
	case None, Slow, DropToUpstream, DropFromUpstream:
	}
}

func (r *Relay) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may be closed already
	}
	conn.Close()
}
