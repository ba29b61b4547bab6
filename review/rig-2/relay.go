package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections to an upstream address at the rate of a machine's link.
type Relay struct {
	listener net.Listener
	upstream string
	// bytesPerSecond is the rate of each direction.
	bytesPerSecond float64

	mu    sync.Mutex
	conns []net.Conn
	// refusing makes the relay reset connections.
	refusing bool
	// free is when the link towards the machine has sent all that was given to it.
	free time.Time
}

// NewRelay starts a relay with a link of the given rate.
func NewRelay(listen, upstream string, megabits float64) (*Relay, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, upstream: upstream, bytesPerSecond: megabits * 1e6 / 8}
	go r.accept()
	return r, nil
}

func (r *Relay) accept() {
	for {
		down, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		refusing := r.refusing
		r.mu.Unlock()
		if refusing {
			reset(down)
			continue
		}
		up, err := net.Dial("tcp4", r.upstream)
		if err != nil {
			_ = down.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, down, up)
		r.mu.Unlock()
		go r.forward(up, down, false)
		go r.forward(down, up, true)
	}
}

// forward copies one direction, at the link's rate if it is paced.
func (r *Relay) forward(to, from net.Conn, paced bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if paced {
				r.occupy(n)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			return
		}
	}
}

// occupy waits until the link has sent a number of bytes.
func (r *Relay) occupy(n int) {
	r.mu.Lock()
	now := time.Now()
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(time.Duration(float64(n) / r.bytesPerSecond * float64(time.Second)))
	until := r.free
	r.mu.Unlock()
	time.Sleep(time.Until(until))
}

// Refuse makes the relay reset all connections, or ends that.
func (r *Relay) Refuse(refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = refuse
	if refuse {
		for _, c := range r.conns {
			reset(c)
		}
		r.conns = nil
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}
