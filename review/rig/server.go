package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 770 * time.Millisecond
	workTime          = 20 * time.Millisecond
)

// server is one lifetime of an endpoint: it answers flows, the status check and sends
// check-ins to the agent on its machine.
type server struct {
	rig     *rig
	host    *host
	id      string
	service string
	born    int64

	mu     sync.Mutex
	flows  map[endpoint]*serverFlow // by the client's end
	ended  bool
	udp    *net.UDPConn
	web    *http.Server
	cancel chan struct{}
}

// serverFlow is the server's end of a flow.
type serverFlow struct {
	client, route endpoint
	firstSeq      uint32
	next          uint32 // the next byte that is expected
	sent          uint32 // the next byte to send
	open          bool
	lastRequest   string
	lastAnswer    []byte
	openedAt      time.Time
	lastUsed      time.Time
	sentReset     bool
}

// startServer starts a new lifetime of the endpoint on a host.
func (r *rig) startServer(h *host, id, service string) (*server, error) {
	s := &server{rig: r, host: h, id: id, service: service, born: time.Now().UnixMilli(), flows: map[endpoint]*serverFlow{}, cancel: make(chan struct{})}
	var err error
	if s.udp, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(h.ip), Port: r.ports.app}); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", h.ip, r.ports.app))
	if err != nil {
		_ = s.udp.Close()
		return nil, err
	}
	s.web = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Amaranthwheel-Instance-Id", s.id)
	})}
	go func() { _ = s.web.Serve(l) }()
	go s.read()
	go s.checkIn()
	h.server = s
	r.record("server %s of %s starts on %s (%s)", id, service, h.name, h.ip)
	return s, nil
}

// crash ends the server without a word.
func (s *server) crash() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	close(s.cancel)
	_ = s.udp.Close()
	_ = s.web.Close()
	s.rig.record("server %s on %s crashes", s.id, s.host.name)
}

func (s *server) checkIn() {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		status := postCheckIn(client, s.rig, s.host, s.id, map[string]any{
			"service": s.service, "addr": fmt.Sprintf("%s:%d", s.host.ip, s.rig.ports.app), "zone": s.host.zone, "version": "v1",
			"slots": 9, "state": "ready", "warmup_left_ms": 0, "seq": seq, "born": s.born,
		})
		s.rig.record("check-in %d of %s at %s: %s", seq, s.id, s.host.name, status)
		select {
		case <-s.cancel:
			return
		case <-ticker.C:
		}
	}
}

func postCheckIn(client *http.Client, r *rig, h *host, id string, body map[string]any) string {
	raw, _ := json.Marshal(body)
	response, err := client.Post(fmt.Sprintf("http://%s:%d/v1/Instances.Heartbeat/%s", h.ip, r.ports.control, id), "application/json", bytes.NewReader(raw))
	if err != nil {
		return "no answer"
	}
	_ = response.Body.Close()
	return response.Status
}

func (s *server) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := s.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buf[:n]...)
		p, sumOK, ok := decode(raw)
		if !ok {
			continue
		}
		if !sumOK {
			s.rig.violate("UNASKED", "%s got a packet that its sender did not write so", s.id)
			continue
		}
		s.handle(raw, p)
	}
}

func (s *server) send(raw []byte) {
	_, _ = s.udp.WriteToUDP(raw, &net.UDPAddr{IP: net.ParseIP(s.host.ip), Port: s.rig.ports.outbound})
}

// bounce returns a packet of a flow that the server does not hold.
func (s *server) bounce(raw []byte) {
	raw[22] |= flagBounce
	copy(raw[23:28], make([]byte, 5))
	s.send(raw)
}

func (s *server) handle(raw []byte, p packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.src]
	if p.flags&flagSYN != 0 && p.flags&flagACK == 0 {
		if f == nil {
			f = &serverFlow{client: p.src, route: p.dst, firstSeq: rand.Uint32(), next: p.seq + 1}
			f.sent = f.firstSeq + 1
			s.flows[p.src] = f
		}
		reply := packet{src: f.route, dst: f.client, seq: f.firstSeq, ack: f.next, flags: flagSYN | flagACK}
		s.send(reply.encode())
		return
	}
	if f == nil || !f.open && p.ack != f.firstSeq+1 {
		s.rig.record("%s on %s gives back a packet of %s", s.id, s.host.name, p.src)
		s.bounce(raw)
		return
	}
	f.lastUsed = time.Now()
	if !f.open {
		f.open, f.openedAt = true, time.Now()
		s.rig.record("flow %s is open at %s on %s", f.client, s.id, s.host.name)
	}
	if p.flags&flagRST != 0 {
		delete(s.flows, p.src)
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.next {
		if string(p.data) == f.lastRequest && f.lastAnswer != nil {
			s.send(f.lastAnswer)
		}
		return
	}
	f.next += uint32(len(p.data))
	f.lastRequest, f.lastAnswer = string(p.data), nil
	s.rig.record("%s on %s runs %q of flow %s", s.id, s.host.name, p.data, f.client)
	s.rig.ran(string(p.data), s.id)
	request := append([]byte(nil), p.data...)
	time.AfterFunc(workTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ended {
			return
		}
		data := []byte("answer by " + s.id + " to " + string(request))
		answer := packet{src: f.route, dst: f.client, seq: f.sent, ack: f.next, flags: flagACK, data: data}
		f.sent += uint32(len(data))
		f.lastAnswer = answer.encode()
		f.lastUsed = time.Now()
		s.send(f.lastAnswer)
	})
}

// holds reports whether the server lives and holds an open flow that it has not reset.
func (s *server) holds(client endpoint) (f serverFlow, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.flows[client]
	if s.ended || held == nil || !held.open {
		return f, false
	}
	return *held, true
}
