package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
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
	// postNumber is the number of the last post.
	postNumber atomic.Int64

	opened, failedOpens, answered, hung, resets, errors, posts, failedPosts int
	// late is by how much callers overrun their timeouts, in nanoseconds. Only sabotage sets it.
	late atomic.Int64
}

// callerFlow is a caller's end of a flow.
type callerFlow struct {
	flow   steering.Flow
	events chan steering.Segment
	// post is the data of the post that the flow is for, empty for a feed.
	post string
	// next is the sequence number of the next request, ack that of the next answer.
	next, ack uint32
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
			c.call(i, callerPause, r.stopping.Load)
		})
	}
	return c, nil
}

// postsOf is how many callers there are for one that sends posts.
const postsOf = 4

// call has a caller send feeds or posts, by its number, until it is done.
func (c *callers) call(number int, pause time.Duration, done func() bool) {
	for !done() {
		if c.run.options.Breadth == All && number%postsOf == 0 {
			c.post()
		} else {
			c.session(pause, done)
		}
		time.Sleep(pause)
	}
}

// begin registers a flow from a new port.
func (c *callers) begin(to steering.Endpoint, post string) *callerFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	local := steering.Endpoint{IP: [4]byte(net.ParseIP(c.ip).To4()), Port: c.port}
	f := &callerFlow{flow: steering.Flow{Caller: local, Address: to}, events: make(chan steering.Segment, 64), post: post, next: 2}
	c.flows[local.Port] = f
	return f
}

// finish closes a flow, if its route may declare demand: then its target may hold a request for
// it, and agents keep them.
func (c *callers) finish(f *callerFlow) {
	if c.run.options.Breadth == All {
		c.run.fabric.send(f.flow, platformtest.NewPacket(f.flow.Caller, f.flow.Address, platformtest.FlagRST, f.next, 0, nil))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.flow.Caller.Port)
}

const (
	postAttempts = 4
	retryPause   = 3 * time.Millisecond
)

// post sends a post. Other attempts follow only those whose flow did not open.
func (c *callers) post() {
	began := time.Now()
	timeout := c.run.workload.postTime
	post := fmt.Sprintf("post %d of %s", c.postNumber.Add(1), c.ip)
	served := false
	for range postAttempts {
		left := timeout - time.Since(began)
		if left <= 0 {
			break
		}
		f := c.begin(postAddress, post)
		outcome := c.open(f, left)
		c.count(outcome == flowOpened, &c.opened, &c.failedOpens)
		if outcome == flowOpened {
			served = c.request(f, []byte(post), timeout-time.Since(began))
		}
		c.finish(f)
		if outcome == flowRefused && c.run.posts.count(post) > 0 {
			c.run.violate("%s on flow %s was refused as not run, but a target ran it", post, f.flow)
		}
		if outcome == flowOpened {
			break
		}
		time.Sleep(retryPause)
	}
	c.count(served, &c.posts, &c.failedPosts)
	c.checkDuration(post, began, timeout)
}

// checkDuration checks that an attempt ended in time, whichever way.
func (c *callers) checkDuration(what string, began time.Time, timeout time.Duration) {
	if took := time.Since(began); took > timeout+callSlack {
		c.run.violate("%s ended after %v, later than its timeout of %v", what, took, timeout)
	}
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
func (c *callers) session(usual time.Duration, done func() bool) {
	f := c.begin(platformtest.RouteAddress, "")
	defer c.finish(f)
	outcome := c.open(f, attemptLimit)
	ok := outcome == flowOpened
	c.count(ok, &c.opened, &c.failedOpens)
	requests := 1 + rand.IntN(maxRequests)
	pause := func() time.Duration { return usual }
	if c.run.options.Breadth <= Undeclared && rand.IntN(idleShare) == 0 {
		requests = maxIdleRequests
		pause = func() time.Duration { return time.Duration(rand.Int64N(int64(maxIdlePause))) }
	}
	for request := 1; ok && request <= requests && !done(); request++ {
		began := time.Now()
		data := fmt.Appendf(nil, "%s #%d", f.flow, request)
		ok = c.request(f, data, c.run.workload.feedTimeout)
		c.checkDuration(string(data), began, c.run.workload.feedTimeout)
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

// openOutcome is how an attempt to open a flow ended.
type openOutcome int

const (
	flowUnanswered openOutcome = iota
	flowOpened
	// flowRefused means a reset, which says that nothing was run.
	flowRefused
)

// open opens a flow.
func (c *callers) open(f *callerFlow, limit time.Duration) openOutcome {
	end := time.After(min(limit, attemptLimit) + time.Duration(c.late.Load()))
	copies := uint32(0)
	repeat := time.NewTimer(0)
	defer repeat.Stop()
	for {
		select {
		case <-repeat.C:
			if copies < 3 {
				c.run.fabric.send(f.flow, platformtest.NewPacket(f.flow.Caller, f.flow.Address, platformtest.FlagSYN, 1, copies, nil))
			}
			copies++
			repeat.Reset(time.Duration(copies) * repeatAfter)
		case s := <-f.events:
			if s.Flags.Has(steering.FlagReset) {
				return flowRefused
			}
			if s.Flags.Has(steering.FlagOpen) {
				f.ack = s.Seq + 1
				c.run.fabric.send(f.flow, platformtest.NewPacket(f.flow.Caller, f.flow.Address, platformtest.FlagACK, 2, f.ack, nil))
				return flowOpened
			}
		case <-end:
			return flowUnanswered
		}
	}
}

// request sends a request and waits for its answer. It reports whether the flow
// can be used on.
func (c *callers) request(f *callerFlow, data []byte, limit time.Duration) bool {
	packet := platformtest.NewPacket(f.flow.Caller, f.flow.Address, platformtest.FlagACK, f.next, f.ack, data)
	f.next += uint32(len(data))
	end := time.After(limit + time.Duration(c.late.Load()))
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
				f.ack = s.Seq + uint32(s.Len)
				if f.post == "" {
					c.mu.Lock()
					c.answered++
					c.mu.Unlock()
				}
				return true
			case s.Len > 0 && bytes.Equal(s.Raw[platform.HeaderSize:], append([]byte(errorPrefix), data...)):
				f.ack = s.Seq + uint32(s.Len)
				c.mu.Lock()
				c.errors++
				c.mu.Unlock()
				return f.post == ""
			case s.Len > 0 && (f.post != "" || !bytes.Contains(s.Raw[platform.HeaderSize:], []byte(f.flow.String()+" #"))):
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
