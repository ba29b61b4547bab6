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
	// firstBeat is how long after its start the target sends its first heartbeat, up to an
	// interval.
	firstBeat time.Duration

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
	run   *run

	mode      targetMode
	modeUntil time.Time
	// slotsChanged is when the target's process started or its slots changed.
	slotsChanged time.Time
	// executing counts the requests that are executed, queue holds those that wait.
	executing int
	queue     []*targetRequest
	// limited counts the requests to which the limit on concurrency applies.
	limited int
	// repeated is when the target last sent an answer again.
	repeated time.Time
}

// targetRequest is a request at a target.
type targetRequest struct {
	flow steering.Flow
	data []byte
	// limited is set if the request counts for the limit on concurrency.
	limited, done bool
}

// held is a flow at a target.
type held struct {
	open bool
	seq  uint32
	// sent is how many bytes the target has sent on the flow. next is the sequence number after
	// the last request, answer its answer.
	sent    uint32
	next    uint32
	request *targetRequest
	answer  []byte
}

// startTarget starts a target's process beside an agent. It sends its first heartbeat after a
// time, up to an interval.
func startTarget(r *run, h *agentHost, firstBeat time.Duration) (*target, error) {
	conn, err := net.ListenUDP("udp4", udpAddr(h.ip, portTarget))
	if err != nil {
		return nil, err
	}
	t := &target{run: r, firstBeat: firstBeat, slotsChanged: time.Now(), host: h, born: time.Now().Add(h.clock).UnixMilli(), flows: make(map[steering.Flow]*held), conn: conn}
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
	mode := t.currentMode()
	if mode == modeSilent {
		return
	}
	h := t.flows[s.Flow]
	if s.IsOpening() {
		if mode == modeResetOpenings && h == nil {
			t.reset(s.Flow)
			return
		}
		t.open(s)
		return
	}
	if h == nil || !h.open && h.seq+1 != s.Ack && !s.Flags.Has(steering.FlagReset) {
		platformtest.MarkReturned(s.Raw)
		t.send(s.Raw)
		return
	}
	h.open = true
	switch {
	case s.Flags.Has(steering.FlagReset):
		t.finish(h.request)
		delete(t.flows, s.Flow)
	case s.Len > 0 && mode == modeResetRequests:
		t.finish(h.request)
		delete(t.flows, s.Flow)
		t.reset(s.Flow)
	case s.Len > 0:
		t.receive(h, s)
	}
}

// reset resets a flow that the target does not hold.
func (t *target) reset(f steering.Flow) {
	t.send(platformtest.NewPacket(f.Address, f.Caller, platformtest.FlagRST, 1, 0, nil))
}

// currentMode returns how the target behaves now.
func (t *target) currentMode() targetMode {
	if time.Now().Before(t.modeUntil) {
		return t.mode
	}
	return modeUsual
}

// setMode has the target behave in a way for a while.
func (t *target) setMode(m targetMode, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.slots()
	t.mode, t.modeUntil = m, time.Now().Add(d)
	if t.slots() != before {
		t.slotsChanged = time.Now()
	}
	if m == modeFewSlots {
		time.AfterFunc(d, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.slotsChanged = time.Now()
			t.execute()
		})
	}
}

// slots returns how many requests the target executes at once.
func (t *target) slots() int {
	if t.currentMode() == modeFewSlots {
		return 1
	}
	return t.run.workload.slots
}

// receive queues a request. A repeated segment of the last one is answered as before.
func (t *target) receive(h *held, s steering.Segment) {
	if next := s.Seq + uint32(s.Len); h.next == 0 || int32(next-h.next) > 0 {
		h.next = next
	} else {
		if next == h.next && h.request.done {
			t.send(h.answer)
			t.repeated = time.Now()
		}
		return
	}
	t.finish(h.request) // its caller has gone on
	h.request = &targetRequest{flow: s.Flow, data: bytes.Clone(s.Raw[platform.HeaderSize:])}
	if t.currentMode() == modeErrors {
		h.request.done = true
		t.answer(h, h.request, errorPrefix)
		return
	}
	t.limit(h.request)
	t.queue = append(t.queue, h.request)
	t.execute()
}

// limit checks that the agent hands the target no more requests at once than its slots and a
// third, rounded up, if its route declares an objective. Requests count that arrive when the
// agent's process, the target's and its slots have been unchanged for steadyAfter. An agent
// does not know how many requests its predecessor has handed over, so these don't count beside
// its own; those from before a pause don't either.
func (t *target) limit(q *targetRequest) {
	since, running := t.host.steadySince()
	if !t.run.workload.declared || !running || time.Since(since) < steadyAfter || time.Since(t.slotsChanged) < steadyAfter {
		return
	}
	q.limited = true
	t.limited++
	if places := t.slots() + (t.slots()+2)/3; t.limited > places {
		count, repeated := t.limited, "none"
		if !t.repeated.IsZero() {
			repeated = time.Since(t.repeated).String() + " ago"
		}
		go t.run.violate("the target of %s got %d requests at once, more than %d places; last answer that was sent again: %s",
			t.host.name, count, places, repeated) // the caller holds t.mu
	}
}

// finish removes a request, if any, from those in progress.
func (t *target) finish(q *targetRequest) {
	if q == nil || q.done {
		return
	}
	q.done = true
	if q.limited {
		t.limited--
	}
}

// execute executes queued requests while slots are free.
func (t *target) execute() {
	for len(t.queue) > 0 && t.executing < t.slots() && !t.ended {
		q := t.queue[0]
		t.queue = t.queue[1:]
		if q.done {
			continue
		}
		t.executing++
		if q.flow.Address == postAddress {
			if runs := t.run.posts.ran(string(q.data)); runs > 1 {
				go t.run.violate("%s was run %d times", q.data, runs)
			}
		}
		work := t.run.workload.work
		if t.currentMode() == modeSlow {
			work *= slowFactor
		}
		time.AfterFunc(work, func() { t.complete(q) })
	}
}

// complete answers a request that has been executed with its own data.
func (t *target) complete(q *targetRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executing--
	if !q.done && !t.ended {
		t.finish(q)
		t.answer(t.flows[q.flow], q, "")
	}
	t.execute()
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
	if h.open {
		return // a late copy
	}
	t.send(platformtest.NewPacket(s.Flow.Address, s.Flow.Caller, platformtest.FlagSYN|platformtest.FlagACK, h.seq, s.Seq+1, nil))
}

// errorPrefix begins the data of an error, before that of its request.
const errorPrefix = "error "

// answer sends a request's data back after a prefix.
func (t *target) answer(h *held, q *targetRequest, prefix string) {
	data := append([]byte(prefix), q.data...)
	h.answer = platformtest.NewPacket(q.flow.Address, q.flow.Caller, platformtest.FlagACK, h.seq+1+h.sent, h.next, data)
	h.sent += uint32(len(data))
	t.send(h.answer)
}

func (t *target) send(raw []byte) {
	_, _ = t.conn.WriteToUDP(raw, udpAddr(t.host.ip, portOutbound)) // as lost on the way
}

// beat sends heartbeats to the agent until the target ends.
func (t *target) beat() {
	e := platformtest.Target{
		Name: t.host.name, Service: serviceName, Domain: t.host.domain, Address: fmt.Sprintf("%s:%d", t.host.ip, portTarget),
		StartedAtMs: t.born,
	}
	agent := fmt.Sprintf("%s:%d", t.host.ip, portAnnounce)
	time.Sleep(t.firstBeat)
	for seq := 1; t.alive(); seq++ {
		t.mu.Lock()
		draining := t.draining
		e.Slots = t.slots()
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
