package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endpoint is one lifetime of a stand-in for an endpoint beside a machine's agent.
type endpoint struct {
	w       *world
	m       *machine
	id      string
	service string
	born    int64
	// work is how long a request takes, responseSize the length of its body.
	work         time.Duration
	responseSize int

	conn   *net.UDPConn
	health *http.Server
	cancel context.CancelFunc

	mu       sync.Mutex
	seq      int64
	draining bool
	ended    bool
	acked    map[string]time.Time // first ack of each state
	numAcked int
	flows    map[flowID]*held
	// opened is when a flow opened, runs counts the requests that ran.
	opened map[flowID]time.Time
	runs   map[string]int
}

// held is a flow at an endpoint.
type held struct {
	iss, next, received uint32
	open                bool
	unacked             []*sent
	finished            bool // this end has sent a FIN
	clientFinished      bool
}

func (w *world) startEndpoint(m *machine, id, service string, work time.Duration, size int) (*endpoint, error) {
	conn, err := net.ListenUDP("udp4", udpAddr(m.app))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", m.app)
	if err != nil {
		conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &endpoint{
		w: w, m: m, id: id, service: service, born: time.Now().UnixMilli(), work: work, responseSize: size, conn: conn, cancel: cancel,
		acked: map[string]time.Time{}, flows: map[flowID]*held{}, opened: map[flowID]time.Time{}, runs: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.draining {
			w.WriteHeader(503)
		}
	})
	e.health = &http.Server{Handler: mux}
	go func() { _ = e.health.Serve(l) }()
	w.log("endpoint %s on %s starts, service %s, born %d", id, m.name, service, e.born)
	go e.read()
	go e.beats(ctx, w.catchFirst)
	w.catchFirst = nil
	go e.retransmit(ctx)
	return e, nil
}

// end ends the process: its flows are gone.
func (e *endpoint) end(why string) {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return
	}
	e.ended = true
	e.mu.Unlock()
	e.cancel()
	_ = e.conn.Close()
	_ = e.health.Close()
	e.w.log("endpoint %s on %s ends: %s", e.id, e.m.name, why)
}

func (e *endpoint) isHolding(f flowID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.flows[f]
	return !e.ended && h != nil && h.open && !(h.finished && h.clientFinished)
}

// hasSeen reports whether the endpoint has a flow, open or not.
func (e *endpoint) hasSeen(f flowID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.flows[f] != nil
}

func (e *endpoint) openedAt(f flowID) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opened[f]
}

func (e *endpoint) ackOf(state string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acked[state]
}

// beats sends check-ins about every heartbeat interval, and again shortly after one without an ack.
func (e *endpoint) beats(ctx context.Context, caught *checkIn) {
	time.Sleep(e.w.firstBeat)
	if caught != nil {
		*caught = e.nextCheckIn()
		e.w.log("endpoint %s on %s sends check-in %d, which is delayed", e.id, e.m.name, caught.seq)
		time.Sleep(time.Second) // without an ack
	}
	for ctx.Err() == nil {
		wait := heartbeat
		if !e.beat() {
			wait = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// checkIn is a check-in as an endpoint has written it.
type checkIn struct {
	id, state string
	seq       int64
	body      []byte
}

func (e *endpoint) nextCheckIn() checkIn {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.seq++
	body, _ := json.Marshal(map[string]any{
		"service": e.service, "addr": e.m.app, "zone": e.m.zone, "version": "v1", "slots": 9, "state": state,
		"warmup_left_ms": 0, "seq": e.seq, "born": e.born,
	})
	return checkIn{e.id, state, e.seq, body}
}

// deliver delivers a check-in and reports whether it was acknowledged.
func (c checkIn) deliver(control string) bool {
	status, err := post(context.Background(), "http://"+control+"/v1/Instances.Heartbeat/"+c.id, c.body)
	return err == nil && status/100 == 2
}

func (e *endpoint) beat() bool {
	c := e.nextCheckIn()
	if !c.deliver(e.m.control) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.numAcked++
	if _, ok := e.acked[c.state]; !ok {
		e.acked[c.state] = time.Now()
		e.w.log("endpoint %s on %s: check-in %d (%s) acknowledged", e.id, e.m.name, c.seq, c.state)
	}
	return true
}

// acks returns the number of acknowledged check-ins.
func (e *endpoint) acks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.numAcked
}

// drain reports that the endpoint leaves.
func (e *endpoint) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.w.log("endpoint %s on %s drains", e.id, e.m.name)
}

// deregister sends the last call to an address and reports whether it was acknowledged.
func (e *endpoint) deregister(control string) bool {
	body, _ := json.Marshal(map[string]any{"born": e.born})
	e.w.log("endpoint %s on %s (born %d) sends its deregistration", e.id, e.m.name, e.born)
	status, err := post(context.Background(), "http://"+control+"/v1/Instances.Deregister/"+e.id, body)
	ok := err == nil && status/100 == 2
	e.w.log("endpoint %s on %s: deregistration acknowledged: %v", e.id, e.m.name, ok)
	return ok
}

func post(ctx context.Context, url string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

func (e *endpoint) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := e.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		raw := bytes.Clone(buf[:n])
		if p, ok := decode(raw); ok && isWritten(raw) {
			e.handle(raw, p)
		} else {
			e.w.log("endpoint %s on %s gets a packet that nobody wrote so", e.id, e.m.name)
		}
	}
}

func (e *endpoint) send(p *packet) { _, _ = e.conn.WriteToUDP(p.encode(), udpAddr(e.m.outbound)) }

// sendReliably sends a packet that is retransmitted until it is acknowledged.
func (e *endpoint) sendReliably(h *held, p packet) {
	length := uint32(len(p.data))
	if p.flags&(flagSYN|flagFIN) != 0 {
		length++
	}
	h.next = p.seq + length
	h.unacked = append(h.unacked, &sent{packet: p, endSeq: h.next, due: time.Now().UnixNano() + firstRetransmit, backoff: firstRetransmit})
	e.send(&p)
}

func (e *endpoint) bounce(raw []byte) {
	raw[22] |= flagBounced
	clear(raw[23:28])
	_, _ = e.conn.WriteToUDP(raw, udpAddr(e.m.outbound))
}

func (e *endpoint) handle(raw []byte, p packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	f := flowID{p.src, p.dst}
	h := e.flows[f]
	switch {
	case p.flags == flagSYN && h == nil:
		h = &held{iss: rand.Uint32(), received: p.seq + 1}
		e.flows[f] = h
		e.sendReliably(h, packet{src: f.route, dst: f.client, flags: flagSYN | flagACK, seq: h.iss, ack: h.received})
		return
	case p.flags == flagSYN:
		if !h.open {
			e.send(&packet{src: f.route, dst: f.client, flags: flagSYN | flagACK, seq: h.iss, ack: h.received})
		}
		return
	case h == nil, !h.open && p.ack != h.iss+1:
		e.w.log("endpoint %s on %s bounces a packet of %s", e.id, e.m.name, f)
		e.bounce(raw)
		return
	}
	if p.has(flagRST) {
		delete(e.flows, f)
		return
	}
	if !h.open {
		h.open = true
		e.opened[f] = time.Now()
		e.w.log("flow %s opens at endpoint %s on %s", f, e.id, e.m.name)
	}
	e.acknowledge(h, p.ack)
	if len(p.data) > 0 && p.seq == h.received {
		h.received += uint32(len(p.data))
		e.send(&packet{src: f.route, dst: f.client, flags: flagACK, seq: h.next, ack: h.received})
		e.run(f, h, string(p.data))
	} else if len(p.data) > 0 {
		e.send(&packet{src: f.route, dst: f.client, flags: flagACK, seq: h.next, ack: h.received})
	}
	if p.has(flagFIN) && !h.clientFinished && p.seq+uint32(len(p.data)) == h.received {
		h.clientFinished = true
		h.received++
		e.send(&packet{src: f.route, dst: f.client, flags: flagACK, seq: h.next, ack: h.received})
		if !h.finished {
			h.finished = true
			e.sendReliably(h, packet{src: f.route, dst: f.client, flags: flagFIN | flagACK, seq: h.next, ack: h.received})
		}
	}
}

func (e *endpoint) acknowledge(h *held, ack uint32) {
	for len(h.unacked) > 0 && int32(ack-h.unacked[0].endSeq) >= 0 {
		h.unacked = h.unacked[1:]
	}
}

// run answers a request after its work.
func (e *endpoint) run(f flowID, h *held, request string) {
	id := headerOf(request, "X-Amaranthwheel-Request-Id")
	e.runs[id]++
	if e.runs[id] > 1 {
		e.w.log("endpoint %s on %s runs request %s again", e.id, e.m.name, id)
	}
	time.AfterFunc(e.work, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.ended || e.flows[f] != h {
			return
		}
		body := strings.Repeat("x", e.responseSize)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Amaranthwheel-Request-Id: %s\r\nX-Amaranthwheel-Response-Signature: s-%s\r\n\r\n%s", len(body), id, id, body)
		for data := []byte(response); len(data) > 0; {
			n := min(len(data), maxData)
			e.sendReliably(h, packet{src: f.route, dst: f.client, flags: flagACK, seq: h.next, ack: h.received, data: data[:n]})
			data = data[n:]
		}
		if e.draining && !h.finished {
			h.finished = true
			e.sendReliably(h, packet{src: f.route, dst: f.client, flags: flagFIN | flagACK, seq: h.next, ack: h.received})
		}
	})
}

func (e *endpoint) retransmit(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		e.mu.Lock()
		now := time.Now().UnixNano()
		for f, h := range e.flows {
			if len(h.unacked) == 0 || now < h.unacked[0].due {
				continue
			}
			s := h.unacked[0]
			if s.copies++; s.copies > maxRetransmits {
				delete(e.flows, f)
				continue
			}
			s.backoff = min(2*s.backoff, lastRetransmit)
			s.due = now + s.backoff
			e.send(&s.packet)
		}
		e.mu.Unlock()
	}
}

func headerOf(message, name string) string {
	for _, line := range strings.Split(message, "\r\n") {
		if v, ok := strings.CutPrefix(line, name+": "); ok {
			return v
		}
	}
	return ""
}

func lengthOf(head string) int {
	n, err := strconv.Atoi(headerOf(head, "Content-Length"))
	if err != nil {
		return 0
	}
	return n
}
