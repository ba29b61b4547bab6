package soak

import (
	"net"
	"sync"
	"time"
)

// link is the state of a host's way to the store.
type link int

const (
	linkUp link = iota
	// linkSlow delays what passes, in both directions.
	linkSlow
	// linkReset resets all connections, open and new.
	linkReset
	// linkDeaf loses what the host sends, linkMute what it should receive.
	// Connections stay open.
	linkDeaf
	linkMute
)

var linkNames = [...]string{linkUp: "up", linkSlow: "slow", linkReset: "reset", linkDeaf: "cut towards the store", linkMute: "cut from the store"}

// slowLink is the delay of each piece of data on a slow way.
const slowLink = 150 * time.Millisecond

// proxy passes a host's connections on to the store, with faults.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	state link
	conns map[net.Conn]bool
}

// startProxy passes connections to the address on.
func startProxy(listen, to string) (*proxy, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) current() link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// set changes the state of the way.
func (p *proxy) set(state link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	if state == linkReset {
		p.resetAll()
	}
}

// resetAll ends all connections with a reset; p.mu is held.
func (p *proxy) resetAll() {
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0) // it may have ended already
		_ = conn.Close()
	}
}

// end ends the proxy.
func (p *proxy) end() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *proxy) serve(near net.Conn) {
	if !p.keep(near) {
		return
	}
	defer p.drop(near)
	far, err := net.Dial("tcp4", p.to)
	if err != nil || !p.keep(far) {
		return
	}
	defer p.drop(far)
	done := make(chan struct{}, 2)
	go p.pass(far, near, linkDeaf, done)
	go p.pass(near, far, linkMute, done)
	<-done
}

// keep notes a connection, unless it is to be reset.
func (p *proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == linkReset {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *proxy) drop(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

// pass copies data until a side ends; what is sent in the lossy state is lost, and
// with it the rest of the connection.
func (p *proxy) pass(to, from net.Conn, lossy link, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	broken := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		state := p.current()
		if state == linkSlow {
			time.Sleep(slowLink)
		}
		if broken = broken || state == lossy; broken {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
