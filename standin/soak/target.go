package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/platform"
	"amaranthwheel.example/amaranthwheel/platform/platformtest"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	workTime          = 20 * time.Millisecond
	targetSlots       = 8
	serviceName       = "desk"
)

// target is a stand-in for an endpoint: it holds flows and answers each request
// with its own bytes.
type target struct {
	host *agentHost
	born int64

	mu       sync.Mutex
	flows    map[steering.Flow]*held
	draining bool
	// drainedAt is when the agent acknowledged that the target drains.
	drainedAt time.Time
	lateOpens int
	// opens counts opening segments.
	opens int
	ended bool
	conn  *net.UDPConn
}

// held is a flow at a target.
type held struct {
	open bool
	seq  uint32
}

// startTarget starts a target's process beside an agent.
func startTarget(h *agentHost) (*target, error) {
	conn, err := net.ListenUDP("udp4", udpAddr(h.ip, portTarget))
	if err != nil {
		return nil, err
	}
	t := &target{host: h, born: time.Now().Add(h.clock).UnixMilli(), flows: make(map[steering.Flow]*held), conn: conn}
	go t.read()
	go t.beat()
	return t, nil
}

// end ends the target's process: its flows are gone.
func (t *target) end() {
	t.mu.Lock()
	t.ended = true
	t.flows = make(map[steering.Flow]*held)
	t.mu.Unlock()
	_ = t.conn.Close()
}

func (t *target) alive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended
}

// holds reports whether the target holds an open flow.
func (t *target) holds(f steering.Flow) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.flows[f]
	return !t.ended && h != nil && h.open
}

func (t *target) read() {
	buf := make([]byte, platform.MaxPacket)
	for {
		n, _, err := t.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		raw := bytes.Clone(buf[:n])
		if s, err := (platform.SegmentCodec{}).DecodeFromCaller(raw); err == nil {
			t.handle(s)
		}
	}
}

func (t *target) handle(s steering.Segment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	if s.IsOpening() {
		t.open(s)
		return
	}
	h := t.flows[s.Flow]
	if h == nil || !h.open && h.seq+1 != s.Ack {
		platformtest.MarkReturned(s.Raw)
		t.send(s.Raw)
		return
	}
	h.open = true
	if s.Len == 0 {
		return
	}
	data := bytes.Clone(s.Raw[platform.HeaderSize:])
	time.AfterFunc(workTime, func() { t.answer(s.Flow, data) })
}

// drainGrace is how long after its acknowledgement a draining target may still
// be sent new flows.
const drainGrace = time.Second

func (t *target) open(s steering.Segment) {
	if t.draining && !t.drainedAt.IsZero() && time.Since(t.drainedAt) > drainGrace {
		t.lateOpens++
	}
	t.opens++
	h := t.flows[s.Flow]
	if h == nil {
		h = &held{seq: rand.Uint32()}
		t.flows[s.Flow] = h
	}
	t.send(platformtest.NewPacket(s.Flow.Address, s.Flow.Caller, platformtest.FlagSYN|platformtest.FlagACK, h.seq, s.Seq+1, nil))
}

// answer sends a request's data back.
func (t *target) answer(f steering.Flow, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.flows[f]
	if t.ended || h == nil {
		return
	}
	t.send(platformtest.NewPacket(f.Address, f.Caller, platformtest.FlagACK, h.seq+1, 0, data))
}

func (t *target) send(raw []byte) {
	_, _ = t.conn.WriteToUDP(raw, udpAddr(t.host.ip, portOutbound)) // as lost on the way
}

// beat sends heartbeats to the agent until the target ends.
func (t *target) beat() {
	e := platformtest.Target{
		Name: t.host.name, Service: serviceName, Domain: t.host.domain, Address: fmt.Sprintf("%s:%d", t.host.ip, portTarget),
		StartedAtMs: t.born, Slots: targetSlots,
	}
	agent := fmt.Sprintf("%s:%d", t.host.ip, portAnnounce)
	for seq := 1; t.alive(); seq++ {
		t.mu.Lock()
		draining := t.draining
		t.mu.Unlock()
		if e.SendHeartbeat(agent, seq, draining, heartbeatInterval) && draining {
			t.mu.Lock()
			if t.drainedAt.IsZero() {
				t.drainedAt = time.Now()
			}
			t.mu.Unlock()
		}
		time.Sleep(heartbeatInterval)
	}
}
