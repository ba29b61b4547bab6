package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_ms.
const heartbeatInterval = 770 * time.Millisecond

// workTime is the time of a request.
const workTime = 20 * time.Millisecond

// flowKey names a flow by the client's and the route's address.
type flowKey struct{ client, route netip.AddrPort }

// endpointFlow is an endpoint's end of a flow.
type endpointFlow struct {
	seq, next, peer uint32
	open            bool
	ran             bool // the request that ends at peer was run
	answer          []byte
}

// Endpoint is a stand-in for an endpoint of a service.
type Endpoint struct {
	ID, Service, Zone, IP string
	// OnRun is called when a request begins to run, OnOpen when the flow has opened.
	OnRun  func(e *Endpoint, request string)
	OnOpen func(e *Endpoint, f flowKey)
	record *Record
	born   int64

	mu      sync.Mutex
	flows   map[flowKey]*endpointFlow
	conn    *net.UDPConn
	health  *http.Server
	stopped chan struct{}
	acked   int
}

// Start starts a lifetime of the endpoint.
func (e *Endpoint) Start(record *Record) error {
	e.record, e.born, e.flows, e.stopped = record, time.Now().UnixMilli(), make(map[flowKey]*endpointFlow), make(chan struct{})
	var err error
	if e.conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(e.IP), Port: portApp}); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", e.IP, portApp))
	if err != nil {
		return err
	}
	e.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
	go func() { _ = e.health.Serve(listener) }() // until Stop
	go e.read(e.conn)
	go e.beat(e.stopped)
	record.Note("endpoint %s of %s starts at %s", e.ID, e.Service, e.IP)
	return nil
}

// Stop ends the lifetime.
func (e *Endpoint) Stop() {
	if e.conn == nil {
		return
	}
	select {
	case <-e.stopped:
		return
	default:
	}
	close(e.stopped)
	_ = e.conn.Close()
	_ = e.health.Close()
	e.record.Note("endpoint %s ends", e.ID)
}

// Acked returns how many check-ins of the lifetime were acknowledged.
func (e *Endpoint) Acked() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acked
}

// Holds reports whether the endpoint holds an open flow.
func (e *Endpoint) Holds(f flowKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	flow := e.flows[f]
	return flow != nil && flow.open
}

func (e *Endpoint) read(conn *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p, intact := Decode(bytes.Clone(buf[:n]))
		if !intact {
			e.record.Note("endpoint %s got a packet that its sender did not write so", e.ID)
			continue
		}
		e.mu.Lock()
		e.handle(p)
		e.mu.Unlock()
	}
}

// handle handles a packet; mu is held.
func (e *Endpoint) handle(p Packet) {
	key := flowKey{p.Src, p.Dst}
	f := e.flows[key]
	if p.Flags&(flagSYN|flagACK) == flagSYN {
		if f == nil {
			f = &endpointFlow{seq: rand.Uint32(), peer: p.Seq + 1}
			f.next = f.seq + 1
			e.flows[key] = f
		}
		if !f.open {
			e.send(&Packet{Src: p.Dst, Dst: p.Src, Flags: flagSYN | flagACK, Seq: f.seq, Ack: f.peer})
		}
		return
	}
	if f == nil || !f.open && p.Ack != f.seq+1 {
		p.Raw[22] |= flagBounced
		clear(p.Raw[23:28])
		_, _ = e.conn.WriteToUDP(p.Raw, udpAddr(e.IP, portOutbound)) // as lost on the way
		return
	}
	if !f.open {
		f.open = true
		if e.OnOpen != nil {
			e.OnOpen(e, key)
		}
	}
	switch {
	case p.Flags&flagRST != 0:
		delete(e.flows, key)
	case p.Flags&flagFIN != 0:
		e.send(&Packet{Src: p.Dst, Dst: p.Src, Flags: flagFIN | flagACK, Seq: f.next, Ack: p.Seq + 1})
		delete(e.flows, key)
	case len(p.Data) > 0 && p.Seq == f.peer:
		f.peer += uint32(len(p.Data))
		f.answer = nil
		request := string(p.Data)
		if e.OnRun != nil {
			e.OnRun(e, request)
		}
		time.AfterFunc(workTime, func() { e.complete(p, f, request) })
	case len(p.Data) > 0 && f.answer != nil:
		_, _ = e.conn.WriteToUDP(f.answer, udpAddr(e.IP, portOutbound))
	}
}

// complete answers a request.
func (e *Endpoint) complete(p Packet, f *endpointFlow, request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.flows[flowKey{p.Src, p.Dst}] != f {
		return
	}
	data := []byte("200 " + request + " by " + e.ID + " of " + e.Service)
	reply := &Packet{Src: p.Dst, Dst: p.Src, Flags: flagACK, Seq: f.next, Ack: f.peer, Data: data}
	f.answer = reply.Encode()
	f.next += uint32(len(data))
	e.send(reply)
}

func (e *Endpoint) send(p *Packet) {
	_, _ = e.conn.WriteToUDP(p.Encode(), udpAddr(e.IP, portOutbound)) // as lost on the way
}

// beat sends check-ins until the lifetime ends.
func (e *Endpoint) beat(stopped chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"service": e.Service, "addr": fmt.Sprintf("%s:%d", e.IP, portApp), "zone": e.Zone, "version": "v1", "slots": 9,
			"state": "ready", "warmup_left_ms": 0, "seq": seq, "born": e.born,
		})
		response, err := client.Post(fmt.Sprintf("http://%s:%d/v1/Instances.Heartbeat/%s", e.IP, portControl, e.ID), "application/json", strings.NewReader(string(body)))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				e.mu.Lock()
				e.acked++
				e.mu.Unlock()
			}
		}
		select {
		case <-stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func udpAddr(ip string, port int) *net.UDPAddr { return &net.UDPAddr{IP: net.ParseIP(ip), Port: port} }
