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
	repeatAfter  = 200 * time.Millisecond
	maxRepeat    = 1600 * time.Millisecond
	attemptLimit = 1400 * time.Millisecond
	requestLimit = 4 * time.Second
	callerPause  = 100 * time.Millisecond
	// maxRequests bounds the requests over one flow, so that flows of all ages
	// meet each fault.
	maxRequests = 60
	// One flow in idleShare pauses between requests, for up to maxIdlePause: agents don't
	// learn such flows anew after a restart.
	idleShare       = 3
	maxIdlePause    = 6 * time.Second
	maxIdleRequests = 4
)

// callers is the callers of a run: each opens a flow, keeps sending requests over
// it, and opens another one when it is gone.
type callers struct {
	run  *run
	ip   string
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*callerFlow
	port  uint16

	opened, failedOpens, answered, hung, resets int
}

// callerFlow is a caller's end of a flow.
type callerFlow struct {
	flow   steering.Flow
	events chan steering.Segment
}

func startCallers(r *run, ip string, count int) (*callers, error) {
	conn, err := net.ListenUDP("udp4", udpAddr(ip, portSegments))
	if err != nil {
		return nil, err
	}
	c := &callers{run: r, ip: ip, conn: conn, flows: make(map[uint16]*callerFlow), port: 1024}
	go c.read()
	for i := range count {
		r.group.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			for !r.stopping.Load() {
				c.session()
				time.Sleep(callerPause)
			}
		})
	}
	return c, nil
}

func (c *callers) read() {
	buf := make([]byte, platform.MaxPacket)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		s, err := (platform.SegmentCodec{}).DecodeFromTarget(bytes.Clone(buf[:n]))
		if err != nil {
			c.run.violate("a caller got bytes that are no packet: %v", err)
			continue
		}
		c.mu.Lock()
		f := c.flows[s.Flow.Caller.Port]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.events <- s:
		default: // as lost on the way
		}
	}
}

// session opens a flow and sends requests over it until it is gone.
func (c *callers) session() {
	c.mu.Lock()
	c.port++
	local := steering.Endpoint{IP: [4]byte(net.ParseIP(c.ip).To4()), Port: c.port}
	f := &callerFlow{flow: steering.Flow{Caller: local, Address: platformtest.RouteAddress}, events: make(chan steering.Segment, 64)}
	c.flows[local.Port] = f
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, local.Port)
		c.mu.Unlock()
	}()
	ack, ok := c.open(f)
	c.count(ok, &c.opened, &c.failedOpens)
	requests := 1 + rand.IntN(maxRequests)
	pause := func() time.Duration { return callerPause }
	if c.run.options.Breadth == All && rand.IntN(idleShare) == 0 {
		requests = maxIdleRequests
		pause = func() time.Duration { return time.Duration(rand.Int64N(int64(maxIdlePause))) }
	}
	for request := 1; ok && request <= requests && !c.run.stopping.Load(); request++ {
		ok = c.request(f, ack, request)
		time.Sleep(pause())
	}
}

func (c *callers) count(ok bool, yes, no *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		*yes++
	} else {
		*no++
	}
}

// open opens a flow and returns the acknowledgement of the handshake.
func (c *callers) open(f *callerFlow) (uint32, bool) {
	end := time.After(attemptLimit)
	copies := uint32(0)
	repeat := time.NewTimer(0)
	defer repeat.Stop()
	for {
		select {
		case <-repeat.C:
			if copies < 3 {
				c.run.fabric.send(f.flow, platformtest.NewPacket(f.flow.Caller, platformtest.RouteAddress, platformtest.FlagSYN, 1, copies, nil))
			}
			copies++
			repeat.Reset(time.Duration(copies) * repeatAfter)
		case s := <-f.events:
			if s.Flags.Has(steering.FlagReset) {
				return 0, false
			}
			if s.Flags.Has(steering.FlagOpen) {
				c.run.fabric.send(f.flow, platformtest.NewPacket(f.flow.Caller, platformtest.RouteAddress, platformtest.FlagACK, 2, s.Seq+1, nil))
				return s.Seq + 1, true
			}
		case <-end:
			return 0, false
		}
	}
}

// request sends a request and waits for its answer. It reports whether the flow
// can be used on.
func (c *callers) request(f *callerFlow, ack uint32, number int) bool {
	data := fmt.Appendf(nil, "%s #%d", f.flow, number)
	packet := platformtest.NewPacket(f.flow.Caller, platformtest.RouteAddress, platformtest.FlagACK, 2, ack, data)
	end := time.After(requestLimit)
	pause := repeatAfter
	repeat := time.NewTimer(0)
	defer repeat.Stop()
	for {
		select {
		case <-repeat.C:
			c.run.fabric.send(f.flow, packet)
			repeat.Reset(pause)
			pause = min(2*pause, maxRepeat)
		case s := <-f.events:
			switch {
			case s.Flags.Has(steering.FlagReset):
				c.reset(f)
				return false
			case s.Len > 0 && bytes.Equal(s.Raw[platform.HeaderSize:], data):
				c.mu.Lock()
				c.answered++
				c.mu.Unlock()
				return true
			case s.Len > 0 && !bytes.HasPrefix(s.Raw[platform.HeaderSize:], []byte(f.flow.String()+" #")):
				c.run.violate("flow %s got an answer that is not its own", f.flow)
			}
		case <-end:
			c.mu.Lock()
			c.hung++
			c.mu.Unlock()
			return false
		}
	}
}

// reset checks that no target holds a flow that was reset.
func (c *callers) reset(f *callerFlow) {
	c.mu.Lock()
	c.resets++
	c.mu.Unlock()
	if h := c.run.holder(f.flow); h != nil {
		c.run.violate("flow %s was reset while the target of %s holds it", f.flow, h.name)
	}
}
