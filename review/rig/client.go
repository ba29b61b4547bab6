package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// router stands for the platform's routers: it sends each packet of a client to a
// balancer in rotation, by a hash of the flow (mod).
type router struct {
	rig  *rig
	conn *net.UDPConn

	mu     sync.Mutex
	misses map[*host]int
}

func (r *rig) startRouter() error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(r.ip(3, 2))})
	if err != nil {
		return err
	}
	r.router = &router{rig: r, conn: conn, misses: map[*host]int{}}
	go r.router.probe()
	return nil
}

// probe asks each balancer twice a second whether it is ready.
func (t *router) probe() {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, h := range t.rig.balancerList() {
			go func() {
				response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", h.ip, t.rig.ports.ready))
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				t.mu.Lock()
				defer t.mu.Unlock()
				if _, known := t.misses[h]; !known {
					t.misses[h] = 2
				}
				was := t.misses[h] < 2
				t.misses[h]++
				if ok {
					t.misses[h] = 0
				}
				if now := t.misses[h] < 2; now != was {
					t.rig.record("router: %s is in rotation: %v", h.name, now)
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (t *router) rotation() []*host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var in []*host
	for _, h := range t.rig.balancerList() {
		if n, known := t.misses[h]; known && n < 2 {
			in = append(in, h)
		}
	}
	return in
}

// clientZone is the zone of all clients.
const clientZone = "d0"

// pick returns the balancer of a flow, nil if none is in rotation. The nodes of other
// zones are used if none of the clients' zone is in rotation.
func (t *router) pick(client, route endpoint) *host {
	in := t.rotation()
	var near []*host
	for _, h := range in {
		if h.zone == clientZone {
			near = append(near, h)
		}
	}
	if len(near) > 0 {
		in = near
	}
	if len(in) == 0 {
		return nil
	}
	h := uint32(2166136261)
	for _, b := range []byte(client.String() + route.String()) {
		h = (h ^ uint32(b)) * 16777619
	}
	h ^= h >> 15
	return in[int(h%uint32(len(in)))]
}

func (t *router) send(p *packet) *host {
	h := t.pick(p.src, p.dst)
	if h != nil {
		_, _ = t.conn.WriteToUDP(p.encode(), &net.UDPAddr{IP: net.ParseIP(h.ip), Port: t.rig.ports.segments})
	}
	return h
}

// clients is the machine of the clients.
type clients struct {
	rig  *rig
	ip   string
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*clientFlow
	port  uint16
}

// clientFlow is a client's end of a flow. One request is outstanding at most.
type clientFlow struct {
	clients  *clients
	local    endpoint
	route    endpoint
	packets  chan received
	seq, ack uint32
	server   *server // that holds the flow
	requests int
	openedAt time.Time
	lastUsed time.Time
	// lastBalancer took the flow's last packet.
	lastBalancer *host
}

type received struct {
	packet
	systemReset bool
}

func (r *rig) startClients() error {
	ip := r.ip(4, 1)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: r.ports.segments})
	if err != nil {
		return err
	}
	r.clients = &clients{rig: r, ip: ip, conn: conn, flows: map[uint16]*clientFlow{}, port: 20000}
	go r.clients.read()
	return nil
}

func (c *clients) read() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p, sumOK, ok := decode(buf[:n])
		if !ok {
			continue
		}
		reset := isSystemReset(buf[:n])
		if !sumOK && !reset {
			c.rig.violate("MIXED", "client %s got a packet that its sender did not write so", p.dst)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.port]
		c.mu.Unlock()
		if f == nil || f.route != p.src {
			continue
		}
		if p.flags&flagRST != 0 {
			c.rig.checkReset(f, from.IP.String(), reset)
		}
		select {
		case f.packets <- received{p, reset}:
		default:
		}
	}
}

// open opens a flow on a route: copies of the SYN after 200 and 600 ms, 1.4 s in all.
func (c *clients) open(route endpoint) *clientFlow {
	c.mu.Lock()
	c.port++
	f := &clientFlow{clients: c, local: endpointOf(c.ip, int(c.port)), route: route, packets: make(chan received, 64), seq: 1000}
	c.flows[c.port] = f
	c.mu.Unlock()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	start := time.Now()
	for n := 0; ; {
		wait := 1400*time.Millisecond - time.Since(start)
		if n < len(copies) {
			if time.Since(start) >= copies[n] {
				f.send(flagSYN, f.seq, uint32(n), nil)
				n++
				continue
			}
			wait = copies[n] - time.Since(start)
		}
		if wait <= 0 {
			f.forget()
			return nil
		}
		select {
		case p := <-f.packets:
			if p.flags&flagRST != 0 {
				f.forget()
				return nil
			}
			if p.flags&flagSYN != 0 {
				f.seq, f.ack = f.seq+1, p.seq+1
				f.send(flagACK, f.seq, f.ack, nil)
				f.openedAt, f.lastUsed = time.Now(), time.Now()
				return f
			}
		case <-time.After(wait):
		}
	}
}

func (f *clientFlow) forget() {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	delete(f.clients.flows, f.local.port)
}

func (f *clientFlow) send(flags byte, seq, ack uint32, data []byte) {
	f.lastBalancer = f.clients.rig.router.send(&packet{src: f.local, dst: f.route, seq: seq, ack: ack, flags: flags, data: data})
}

// request sends a request on the flow and waits up to 5 s, the client's time budget. It
// returns "answered", "reset" or "no answer".
func (f *clientFlow) request() string {
	r := f.clients.rig
	f.requests++
	data := []byte(fmt.Sprintf("request %d of %s", f.requests, f.local))
	pause := 200 * time.Millisecond
	deadline := time.After(5 * time.Second)
	retry := time.NewTimer(0)
	defer retry.Stop()
	r.record("client %s sends %q to %s", f.local, data, f.route)
	for {
		select {
		case <-retry.C:
			f.send(flagACK, f.seq, f.ack, data)
			retry.Reset(pause)
			pause = min(2*pause, 1600*time.Millisecond)
		case p := <-f.packets:
			if p.flags&flagRST != 0 {
				r.record("client %s: request %d ends with a reset", f.local, f.requests)
				f.forget()
				return "reset"
			}
			if len(p.data) == 0 || p.seq != f.ack {
				continue
			}
			f.seq += uint32(len(data))
			f.ack += uint32(len(p.data))
			f.send(flagACK, f.seq, f.ack, nil)
			f.lastUsed = time.Now()
			r.record("client %s gets %q", f.local, p.data)
			return "answered"
		case <-deadline:
			r.record("client %s: request %d got no answer", f.local, f.requests)
			f.forget()
			return "no answer"
		}
	}
}
