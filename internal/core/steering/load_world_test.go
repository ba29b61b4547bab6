package steering_test

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// Behaviour of the callers and targets under load, from "Caller behavior" and "Workloads" of
// docs/design/OVERLOAD.md.
const (
	maxAttempts       = 4
	retryDelay        = 3 * time.Millisecond
	loadSegmentLength = 1200
	loadTargetSlots   = 3
	// targetQueuePerSlot is the number of requests that a target queues for each slot. It
	// rejects any further one.
	targetQueuePerSlot = 4
	// maxOffersPerCopy is the number of agents to which one opening segment is offered.
	maxOffersPerCopy = 4
	// maxKeptSegments is the number of segments of a flow that an agent keeps.
	maxKeptSegments = 16
	// noticesPerSecond is the highest rate of capacity notices of an agent.
	noticesPerSecond = 500
)

// requestKind is one kind of requests, with its route and its results.
type requestKind struct {
	name    string
	address steering.Endpoint
	demand  steering.Demand
	// idempotent requests are repeated after any failure.
	idempotent bool
	// longFlows makes requests share flows, one request at a time.
	longFlows bool
	// singleRequest is declared by the route.
	singleRequest bool
	segments      int
	work          time.Duration
	// spread is the largest relative deviation of the work time from its mean. tailShare of
	// the requests take tailFactor times the mean.
	spread, tailShare, tailFactor float64
	// rate is the number of requests per second at a time since the start of the load, and
	// domain the failure domain whose balancers get them, empty for all.
	rate   func(time.Duration) float64
	domain func(time.Duration) string

	idle                               []*callerFlow
	asked, answered, inTime, failed    int
	refusedAttempts, timedOutAttempts  int
	neverOffered, lostWithTarget, open int
	// answeredDuring and workDuring are the answers and the work done while the load lasted.
	answeredDuring int
	workDuring     time.Duration
}

// load drives callers of several kinds and holds the state of targets with slots.
type load struct {
	w         *world
	kinds     []*requestKind
	startedAt time.Time
	endsAt    time.Time
	flows     map[steering.Flow]*callerFlow
	targets   map[*target]*loadTarget
	// speed is the speed of an agent's target relative to the declared work times.
	speed func(a *agentNode) float64
	// isCut reports that a message is lost.
	isCut func(from, to netip.AddrPort) bool
	port  uint32
	// attempts and messages count the callers' attempts, and the messages that offer or
	// refuse an opening. pongs counts the status messages of each agent.
	attempts, messages int
	pongs              map[netip.AddrPort]int
}

// loadRequest is one request of a caller, over all its attempts.
type loadRequest struct {
	kind     *requestKind
	askedAt  time.Time
	domain   string
	attempts int
	offered  bool
	done     bool
	flow     *callerFlow
	// ranAt is the target that may have run the request, nil if none or if it reported that
	// it did not.
	ranAt *target
}

// callerFlow is a flow of a caller under load.
type callerFlow struct {
	flow    steering.Flow
	kind    *requestKind
	domain  string
	request *loadRequest // nil while idle
	holder  *target
	closed  bool
	// seq is the sequence number of the next request, ack that of the next response.
	seq, ack uint32
	// releasedAt is when the flow's data was last delivered to the target, in released
	// segments.
	releasedAt time.Time
	released   int
}

// loadTarget is the state of a target under load.
type loadTarget struct {
	running, rejected, maxInFlight int
	queue                          []*targetRequest
	flows                          map[steering.Flow]*loadTargetFlow
}

type loadTargetFlow struct {
	seq, received uint32
	// busy is set while a request runs or is queued. closing is set once the caller has
	// closed the flow.
	busy, closing bool
	// response is the last response, which answers a repeated request.
	response steering.Segment
}

type targetRequest struct {
	flow steering.Flow
	kind *requestKind
}

// newLoadWorld starts agents and balancers in two domains, and the kinds' routes.
func newLoadWorld(w *world, agents, balancers int, kinds ...*requestKind) *load {
	l := &load{
		w: w, kinds: kinds, flows: make(map[steering.Flow]*callerFlow), targets: make(map[*target]*loadTarget),
		speed: func(*agentNode) float64 { return 1 }, pongs: make(map[netip.AddrPort]int),
	}
	w.load = l
	for i, k := range kinds {
		k.address = steering.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: uint16(8000 + i)}
	}
	for i := range agents {
		w.addAgent(domainNames[i%len(domainNames)])
	}
	for i := range balancers {
		w.addBalancer(domainNames[i%len(domainNames)])
	}
	w.run(2 * time.Second)
	return l
}

// routes returns the routes of the kinds.
func (l *load) routes() map[steering.Endpoint]*steering.Route {
	routes := make(map[steering.Endpoint]*steering.Route)
	for _, k := range l.kinds {
		routes[k.address] = &steering.Route{
			Name: k.name, Shares: []steering.Share{{Service: steering.ServiceIDOf(serviceName), Weight: 1}},
			NonIdempotent: !k.idempotent, SingleRequest: k.singleRequest, Demand: k.demand,
		}
	}
	return routes
}

// reaches reports whether the network routes a flow's segments to a balancer.
func (l *load) reaches(b *balancerNode, f steering.Flow) bool {
	if l == nil {
		return true
	}
	c := l.flows[f]
	return c == nil || c.domain == "" || c.domain == b.domain
}

// run applies the load for a time, waits until every caller has an outcome and checks the
// invariants.
func (l *load) run(d time.Duration) {
	l.startedAt, l.endsAt = l.w.now, l.w.now.Add(d)
	for _, k := range l.kinds {
		l.scheduleArrival(k, d)
	}
	longest := time.Duration(0)
	for _, k := range l.kinds {
		longest = max(longest, k.demand.Timeout)
	}
	l.w.run(d + longest + time.Second)
	l.checkInvariants()
}

func (l *load) scheduleArrival(k *requestKind, end time.Duration) {
	elapsed := l.w.now.Sub(l.startedAt)
	gap := time.Duration(l.w.rand.ExpFloat64() / k.rate(elapsed) * float64(time.Second))
	if elapsed+gap > end {
		return
	}
	l.w.schedule(gap, func() {
		l.ask(k)
		l.scheduleArrival(k, end)
	})
}

// ask starts a request.
func (l *load) ask(k *requestKind) {
	r := &loadRequest{kind: k, askedAt: l.w.now}
	if k.domain != nil {
		r.domain = k.domain(l.w.now.Sub(l.startedAt))
	}
	k.asked++
	k.open++
	l.w.schedule(k.demand.Timeout, func() {
		if r.done {
			return
		}
		if c := r.flow; c != nil {
			k.timedOutAttempts++
			l.close(c)
			if c.holder != nil && !c.holder.up && !k.idempotent {
				k.lostWithTarget++
			}
		}
		if !r.offered {
			k.neverOffered++
		}
		l.finish(r, false)
	})
	for len(k.idle) > 0 {
		i := l.w.rand.IntN(len(k.idle))
		c := k.idle[i]
		k.idle[i] = k.idle[len(k.idle)-1]
		k.idle = k.idle[:len(k.idle)-1]
		if !c.closed && c.domain == r.domain {
			r.attempts++
			l.attempts++
			r.flow, c.request = c, r
			l.sendRequest(c)
			return
		}
	}
	l.attempt(r)
}

// attempt opens a new flow for a request.
func (l *load) attempt(r *loadRequest) {
	if r.done {
		return
	}
	r.attempts++
	l.attempts++
	l.port++
	c := &callerFlow{kind: r.kind, domain: r.domain, request: r, flow: steering.Flow{
		Caller:  steering.Endpoint{IP: [4]byte{100, 64 + byte(l.port>>24), byte(l.port >> 16), 1}, Port: uint16(l.port)},
		Address: r.kind.address,
	}}
	r.flow = c
	l.flows[c.flow] = c
	for copies, at := range []time.Duration{0, retransmitAfter, 3 * retransmitAfter} {
		l.w.schedule(at, func() {
			if c.holder == nil && !c.closed {
				l.w.sendToBalancer(steering.Segment{Flow: c.flow, Flags: steering.FlagOpen, Ack: uint32(copies)})
			}
		})
	}
	l.w.schedule(attemptTimeout, func() {
		if c.holder == nil && !c.closed {
			r.kind.timedOutAttempts++
			c.closed = true
			l.retry(r, true)
		}
	})
}

// retry repeats a request on a new flow after a failure, if the caller may.
func (l *load) retry(r *loadRequest, notRun bool) {
	c := r.flow
	r.flow = nil
	if r.done {
		return
	}
	if !notRun && !r.kind.idempotent && !c.holder.up {
		r.kind.lostWithTarget++
	}
	if r.attempts >= maxAttempts || !notRun && !r.kind.idempotent {
		l.finish(r, false)
		return
	}
	l.w.schedule(retryDelay, func() { l.attempt(r) })
}

// finish records the outcome of a request.
func (l *load) finish(r *loadRequest, answered bool) {
	r.done = true
	r.kind.open--
	if !answered {
		r.kind.failed++
		return
	}
	r.kind.answered++
	if !l.w.now.After(l.endsAt) {
		r.kind.answeredDuring++
	}
	// The caller of a lost segment repeats it after retransmitAfter, which the page allows.
	if l.w.now.Sub(r.askedAt) <= r.kind.demand.Objective+retransmitAfter {
		r.kind.inTime++
	}
}

// close closes a flow of a caller.
func (l *load) close(c *callerFlow) {
	c.closed = true
	flags := steering.FlagClose | steering.FlagAck
	if c.holder == nil {
		flags = steering.FlagReset
	}
	l.w.sendToBalancer(steering.Segment{Flow: c.flow, Flags: flags, Seq: c.seq, Ack: c.ack})
}

// sendRequest sends the segments of a flow's request and repeats them until the response
// arrives.
func (l *load) sendRequest(c *callerFlow) {
	l.sendSegments(c, c.request, retransmitAfter)
}

func (l *load) sendSegments(c *callerFlow, r *loadRequest, interval time.Duration) {
	if c.closed || c.request != r {
		return
	}
	for i := range c.kind.segments {
		l.w.sendToBalancer(steering.Segment{
			Flow: c.flow, Flags: steering.FlagAck, Seq: c.seq + uint32(i*loadSegmentLength), Ack: c.ack, Len: loadSegmentLength,
		})
	}
	l.w.schedule(interval, func() { l.sendSegments(c, r, min(2*interval, 8*retransmitAfter)) })
}

// receive handles a segment of a target at its caller.
func (l *load) receive(s steering.Segment, from *target) {
	c := l.flows[s.Flow]
	if c == nil || c.closed {
		return
	}
	switch {
	case s.Flags.Has(steering.FlagReset):
		l.reset(c)
	case s.Flags.Has(steering.FlagOpen):
		if c.holder == nil {
			c.holder, c.seq, c.ack = from, 1, s.Seq
			l.sendRequest(c)
		}
	case s.Len > 0 && c.request != nil && s.Seq == c.ack:
		r := c.request
		c.request = nil
		c.ack += uint32(s.Len)
		c.seq += uint32(c.kind.segments * loadSegmentLength)
		if c.kind.longFlows {
			c.kind.idle = append(c.kind.idle, c)
		} else {
			l.close(c)
		}
		if s.Len == rejectionLength {
			r.ranAt = nil
			c.kind.refusedAttempts++
			l.retry(r, true)
		} else {
			l.finish(r, true)
		}
	}
}

// rejectionLength tells the rejection of a request, which has not run, from a response.
const rejectionLength = 100

// reset handles the reset of a flow at its caller.
func (l *load) reset(c *callerFlow) {
	if c.closed {
		return
	}
	c.closed = true
	r := c.request
	if r == nil {
		return
	}
	c.kind.refusedAttempts++
	l.retry(r, c.holder == nil)
}

// resetBySystem handles a reset by a balancer or an agent, which must not break a flow whose
// target lives.
func (l *load) resetBySystem(f steering.Flow) {
	c := l.flows[f]
	if c == nil {
		return
	}
	if !c.closed && c.holder != nil && c.holder.up {
		l.w.t.Errorf("%s: flow %s was reset while its target holds it", l.w.elapsed(), f)
	}
	l.w.schedule(hopDelay, func() { l.reset(c) })
}

func (l *load) stateOf(t *target) *loadTarget {
	s := l.targets[t]
	if s == nil {
		s = &loadTarget{flows: make(map[steering.Flow]*loadTargetFlow)}
		l.targets[t] = s
	}
	return s
}

// deliver handles a segment at a target.
func (l *load) deliver(a *agentNode, s steering.Segment, origin netip.AddrPort) {
	t, c := l.stateOf(a.target), l.flows[s.Flow]
	f := t.flows[s.Flow]
	if s.Len > 0 {
		l.checkReleased(c)
	}
	if s.IsOpening() {
		if f == nil {
			f = &loadTargetFlow{seq: l.w.rand.Uint32(), received: 1}
			t.flows[s.Flow] = f
		}
		if c.request != nil {
			c.request.offered = true
		}
		l.w.sendFromTarget(a, a.target, steering.Segment{Flow: s.Flow, Flags: steering.FlagOpen | steering.FlagAck, Seq: f.seq})
		return
	}
	switch {
	case f == nil && s.Flags&(steering.FlagClose|steering.FlagReset) != 0:
		return
	case f == nil:
		if a.up {
			l.w.stepAgent(a, &steering.SegmentReturned{Segment: s, Balancer: origin})
		}
		return
	case s.Flags&(steering.FlagClose|steering.FlagReset) != 0:
		f.closing = true
		t.queue = slices.DeleteFunc(t.queue, func(r *targetRequest) bool {
			if r.flow != s.Flow {
				return false
			}
			f.busy = false
			return true
		})
		if !f.busy {
			l.closeAtTarget(a, a.target, s.Flow)
		}
		return
	case s.Len == 0 || s.Seq != f.received:
		if s.Len > 0 && !f.busy && f.response.Len > 0 {
			l.w.sendFromTarget(a, a.target, f.response)
		}
		return
	}
	f.received += uint32(s.Len)
	l.checkSingleRun(c, a.target)
	if (f.received-1)%uint32(c.kind.segments*loadSegmentLength) == 0 {
		l.startRequest(a, a.target, &targetRequest{s.Flow, c.kind})
	}
}

// checkReleased checks that an agent does not keep more than a window of a flow's segments: it
// delivers all that it has kept at once.
func (l *load) checkReleased(c *callerFlow) {
	if c.releasedAt != l.w.now {
		c.releasedAt, c.released = l.w.now, 0
	}
	if c.released++; c.released > maxKeptSegments {
		l.w.t.Errorf("%s: an agent delivered %d segments of flow %s at once", l.w.elapsed(), c.released, c.flow)
	}
}

// checkSingleRun checks that a request that may not run twice reaches one target only.
func (l *load) checkSingleRun(c *callerFlow, t *target) {
	r := c.request
	if r == nil || c.kind.idempotent {
		return
	}
	if r.ranAt != nil && r.ranAt != t {
		l.w.t.Errorf("%s: a request on flow %s reached a second target", l.w.elapsed(), c.flow)
	}
	r.ranAt = t
}

// startRequest runs, queues or rejects a request at a target.
func (l *load) startRequest(a *agentNode, process *target, r *targetRequest) {
	t := l.stateOf(process)
	t.flows[r.flow].busy = true
	if t.running == loadTargetSlots && len(t.queue) == loadTargetSlots*targetQueuePerSlot {
		t.rejected++
		l.respond(a, process, r, rejectionLength)
		return
	}
	t.queue = append(t.queue, r)
	t.maxInFlight = max(t.maxInFlight, t.running+len(t.queue))
	l.runQueue(a, process)
}

func (l *load) runQueue(a *agentNode, process *target) {
	t := l.stateOf(process)
	for t.running < loadTargetSlots && len(t.queue) > 0 {
		r := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		work := l.workTime(r.kind)
		l.w.schedule(time.Duration(float64(work)/l.speed(a)), func() {
			if !process.up {
				return
			}
			t.running--
			if !l.w.now.After(l.endsAt) {
				r.kind.workDuring += work
			}
			l.respond(a, process, r, responseBytes)
			l.runQueue(a, process)
		})
	}
}

// workTime draws the work time of a request at a target of the usual speed.
func (l *load) workTime(k *requestKind) time.Duration {
	factor := 1 + k.spread*(2*l.w.rand.Float64()-1)
	if l.w.rand.Float64() < k.tailShare {
		factor = k.tailFactor
	}
	return time.Duration(factor * float64(k.work))
}

// meanWork returns the mean work time of a kind's requests.
func (k *requestKind) meanWork() time.Duration {
	return time.Duration(float64(k.work) * (1 - k.tailShare + k.tailShare*k.tailFactor))
}

func (l *load) respond(a *agentNode, process *target, r *targetRequest, length int) {
	f := l.stateOf(process).flows[r.flow]
	f.busy = false
	if f.closing {
		l.closeAtTarget(a, process, r.flow)
		return
	}
	f.response = steering.Segment{Flow: r.flow, Flags: steering.FlagAck, Seq: f.seq, Len: length}
	f.seq += uint32(length)
	l.w.sendFromTarget(a, process, f.response)
}

// closeAtTarget ends a flow at a target, after its running request if there is one.
func (l *load) closeAtTarget(a *agentNode, process *target, flow steering.Flow) {
	t := l.stateOf(process)
	f := t.flows[flow]
	delete(t.flows, flow)
	l.w.sendFromTarget(a, process, steering.Segment{Flow: flow, Flags: steering.FlagClose | steering.FlagAck, Seq: f.seq})
}

// countMessage counts a message between nodes and reports whether it is lost.
func (l *load) countMessage(from, to netip.AddrPort, m *steering.Message) (lost bool) {
	if l == nil {
		return false
	}
	switch m.Kind {
	case steering.MessageOpen, steering.MessageRefused:
		l.messages++
	case steering.MessagePong:
		l.pongs[from]++
	default:
	}
	return l.isCut != nil && l.isCut(from, to)
}

// targetLimit is the number of requests that an agent lets its target run: its slots and a
// reserve of a third of them.
func targetLimit() int { return loadTargetSlots + (loadTargetSlots+2)/3 }

// checkInvariants checks the page's invariants after a run.
func (l *load) checkInvariants() {
	t := l.w.t
	for _, a := range l.w.agents {
		s := l.stateOf(a.target)
		limit := targetLimit()
		if a.incarnation > 1 {
			// A restarted agent does not know what its target runs for the earlier process.
			limit *= 2
		}
		if s.maxInFlight > limit || s.rejected > 0 && a.incarnation == 1 {
			t.Errorf("%s: its target had %d requests at once and rejected %d; the limit is %d", a.name, s.maxInFlight, s.rejected, limit)
		}
		changes := int(l.w.revision) * len(l.w.balancers) * len(l.w.agents)
		if most := a.pings + changes + int(l.w.elapsed().Seconds()*noticesPerSecond); l.pongs[a.addr] > most {
			t.Errorf("%s: sent %d status messages, more than %d", a.name, l.pongs[a.addr], most)
		}
	}
	if most := 2 * maxOffersPerCopy * 3 * l.attempts; l.messages > most {
		t.Errorf("%d messages for %d attempts", l.messages, l.attempts)
	}
	for _, k := range l.kinds {
		if k.open != 0 {
			t.Errorf("%d callers of %s have no outcome after their timeout", k.open, k.name)
		}
		t.Logf("%s: asked %d, answered %d, in time %d, failed %d; attempts refused %d, timed out %d; never offered %d",
			k.name, k.asked, k.answered, k.inTime, k.failed, k.refusedAttempts, k.timedOutAttempts, k.neverOffered)
	}
}

// requireInTime checks the share of the requests that are answered in time.
func (l *load) requireInTime(k *requestKind, share float64) {
	l.w.t.Helper()
	if float64(k.inTime) < share*float64(k.asked) {
		l.w.t.Errorf("%s: %d of %d answered in time, want a share of %.2f", k.name, k.inTime, k.asked, share)
	}
}

// requireAnswered checks the share of the requests that are answered.
func (l *load) requireAnswered(k *requestKind, share float64) {
	l.w.t.Helper()
	if float64(k.answered) < share*float64(k.asked) {
		l.w.t.Errorf("%s: %d of %d answered, want a share of %.2f", k.name, k.answered, k.asked, share)
	}
}

// requireLeftOverUsed checks that a kind gets a share of what it asks or, if that is less, of
// what the slots can do beside the others. The slots are the capacity in units of slots of the
// usual speed.
func (l *load) requireLeftOverUsed(k *requestKind, share, slots float64, d time.Duration) {
	l.w.t.Helper()
	left := slots * float64(d)
	for _, other := range l.kinds {
		if other != k {
			left -= float64(other.workDuring)
		}
	}
	possible := math.Min(float64(k.asked), left/float64(k.meanWork()))
	if float64(k.answeredDuring) < share*possible {
		l.w.t.Errorf("%s: %d of %d answered while the load lasted, want a share of %.2f of the %.0f for which there is capacity",
			k.name, k.answeredDuring, k.asked, share, possible)
	}
}
