package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// client is a machine of a client. It sends packets through the router.
type client struct {
	w     *world
	ip    [4]byte
	conn  *net.UDPConn
	mu    sync.Mutex
	flows map[uint16]*flow
	port  uint16
}

// flow is a client's end of a flow.
type flow struct {
	id                  flowID
	c                   *client
	iss, next, received uint32
	open, closed        bool
	copies              uint32
	synDue              int64
	unacked             []*sent
	response            []byte
	requests            int
	answered            int
	sentAt              time.Time
	resets              []reset
	endpointResets      int
	opened              chan struct{}
	done                chan struct{}
}

// reset is a reset of the system that the client got.
type reset struct {
	at       time.Time
	seq, ack uint32
	// distance is that of the reset's seq from the client's last ack.
	distance int64
	open     bool
}

const resetWindow = 76_800

func (w *world) newClient(number int) (*client, error) {
	ip := w.ip(number)
	conn, err := net.ListenUDP("udp4", udpAddr(net.JoinHostPort(ip, fmt.Sprint(w.packetPort))))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, ip: [4]byte(net.ParseIP(ip).To4()), conn: conn, flows: map[uint16]*flow{}, port: uint16(20000 + rand.IntN(20000))}
	go c.read()
	go c.retransmit()
	return c, nil
}

// openFlow sends the first packet of a new flow.
func (c *client) openFlow(route end) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{
		id: flowID{end{c.ip, c.port}, route}, c: c, iss: rand.Uint32(), opened: make(chan struct{}), done: make(chan struct{}, 1000),
		synDue: time.Now().UnixNano() + int64(200e6),
	}
	f.next = f.iss + 1
	c.flows[c.port] = f
	c.send(&packet{src: f.id.client, dst: route, flags: flagSYN, seq: f.iss})
	return f
}

func (f *flow) isOpen() bool {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return f.open && !f.closed
}

// request sends a request on an open flow.
func (f *flow) request() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	if !f.open || f.closed {
		return
	}
	f.requests++
	data := fmt.Appendf(nil, "GET / HTTP/1.1\r\nX-Amaranthwheel-Request-Id: %s-%d\r\n\r\n", f.id.client, f.requests)
	f.sentAt = time.Now()
	f.response = nil
	p := packet{src: f.id.client, dst: f.id.route, flags: flagACK, seq: f.next, ack: f.received, data: data}
	f.next += uint32(len(data))
	f.unacked = append(f.unacked, &sent{packet: p, endSeq: f.next, due: time.Now().UnixNano() + firstRetransmit, backoff: firstRetransmit})
	f.c.send(&p)
}

// ask sends a request and reports whether it is answered in time.
func (f *flow) ask(budget time.Duration) bool {
	for len(f.done) > 0 {
		<-f.done
	}
	f.request()
	select {
	case <-f.done:
		return true
	case <-time.After(budget):
		return false
	}
}

// allResets returns the resets of the system that the flow got.
func (f *flow) allResets() []reset {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return append([]reset(nil), f.resets...)
}

func (c *client) send(p *packet) {
	if to := c.w.routers.pick(p); to != nil {
		_, _ = c.conn.WriteToUDP(p.encode(), to)
	}
}

func (c *client) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		raw := bytes.Clone(buf[:n])
		p, ok := decode(raw)
		if !ok || p.sum != 0 && !isWritten(raw) {
			c.w.log("client gets bytes that nobody wrote so")
			continue
		}
		c.handle(p)
	}
}

func (c *client) handle(p packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.dst.port]
	if f == nil || f.id.route != p.src {
		return
	}
	switch {
	case p.has(flagRST) && p.sum == 0:
		distance := int64(int32(p.seq - f.received))
		r := reset{time.Now(), p.seq, f.received, distance, f.open && !f.closed}
		f.resets = append(f.resets, r)
		c.w.log("client: flow %s (open: %v) gets a reset of the system, seq %d, the client's last ack is %d, distance %d", f.id, r.open, p.seq, f.received, distance)
		if !f.open || distance >= -resetWindow && distance <= resetWindow {
			f.closed = true
			f.unacked = nil
		}
	case p.has(flagRST):
		f.endpointResets++
		f.closed, f.unacked = true, nil
		c.w.log("client: flow %s gets a reset of its endpoint", f.id)
	case f.closed:
	case p.has(flagSYN | flagACK):
		if !f.open && p.ack == f.iss+1 {
			f.open = true
			f.received = p.seq + 1
			close(f.opened)
			c.send(&packet{src: f.id.client, dst: f.id.route, flags: flagACK, seq: f.next, ack: f.received})
		} else if f.received == p.seq+1 {
			c.send(&packet{src: f.id.client, dst: f.id.route, flags: flagACK, seq: f.next, ack: f.received})
		}
	case f.open:
		for len(f.unacked) > 0 && int32(p.ack-f.unacked[0].endSeq) >= 0 {
			f.unacked = f.unacked[1:]
		}
		if len(p.data) > 0 {
			if p.seq == f.received {
				f.received += uint32(len(p.data))
				f.take(p.data)
			}
			c.send(&packet{src: f.id.client, dst: f.id.route, flags: flagACK, seq: f.next, ack: f.received})
		}
		if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.received {
			f.received++
			c.send(&packet{src: f.id.client, dst: f.id.route, flags: flagFIN | flagACK, seq: f.next, ack: f.received})
			f.next++
			f.closed = true
		}
	}
}

func (f *flow) take(data []byte) {
	f.response = append(f.response, data...)
	head, body, ok := strings.Cut(string(f.response), "\r\n\r\n")
	if ok && len(body) == lengthOf(head) {
		f.answered++
		f.response = nil
		f.done <- struct{}{}
	}
}

// retransmit sends copies of the opening packet after 200 and 600 ms, and of unacknowledged ones.
func (c *client) retransmit() {
	for {
		time.Sleep(5 * time.Millisecond)
		c.mu.Lock()
		now := time.Now().UnixNano()
		for _, f := range c.flows {
			if f.closed {
				continue
			}
			if !f.open {
				if now >= f.synDue {
					switch f.copies++; f.copies {
					case 1:
						f.synDue += int64(400e6)
					case 2:
						f.synDue += int64(800e6)
					default:
						f.closed = true
						continue
					}
					c.send(&packet{src: f.id.client, dst: f.id.route, flags: flagSYN, seq: f.iss, ack: f.copies})
				}
				continue
			}
			if len(f.unacked) > 0 && now >= f.unacked[0].due {
				s := f.unacked[0]
				s.backoff = min(2*s.backoff, lastRetransmit)
				s.due = now + s.backoff
				s.packet.ack = f.received
				c.send(&s.packet)
			}
		}
		c.mu.Unlock()
	}
}
