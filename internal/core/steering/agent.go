package steering

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// AgentSelf is an agent's own identity.
type AgentSelf struct {
	Identity
	// Service is the service that the agent's host is meant for.
	Service string
	// Peer is the address for messages.
	Peer netip.AddrPort
	// Incarnation is the start of the agent's process.
	Incarnation uint64
	// HeartbeatInterval is how often the target sends heartbeats.
	HeartbeatInterval time.Duration
}

// AgentCounters counts decisions since the start.
type AgentCounters struct {
	Admitted, RefusedOpen, Delivered, Answered, Missed, Returned, Tried, Queries atomic.Uint64
	HeartbeatsIgnored, ResetEnded, OpenStale                                     atomic.Uint64
}

// Agent decides which segments reach the target beside it.
type Agent struct {
	Counters AgentCounters

	self    AgentSelf
	target  targetSection
	flows   flowSection
	limits  Limits
	cold    coldLimiter
	upkeep  upkeepSection
	effects []Effect
	askers  askerSection
	// memberRevision is the newest list of agents that a balancer has.
	memberRevision uint64
	// told is the refusal in the last status that was sent.
	told Refusal
	// toldRevision is the revision in it.
	toldRevision uint64
	// stopping is set by a planned stop.
	stopping bool
	turned   turnedAway
	pauses   pauseWatch
}

// Stop ends admission: a planned stop of the agent.
type Stop struct{}

func (*Stop) event() {}

// NewAgent returns an agent that knows no target yet.
func NewAgent(self AgentSelf) *Agent {
	return &Agent{self: self, flows: newFlowSection(), askers: newAskerSection()}
}

// Step handles an event. The effects are valid until the next step.
func (a *Agent) Step(now time.Time, e Event) []Effect {
	a.effects = a.effects[:0]
	if paused := a.pauses.note(now); paused > 0 {
		a.report(pauseReport(paused))
	}
	a.flows.giveUpExpected(now)
	switch e := e.(type) {
	case *SegmentReceived:
		a.handleOutbound(now, e.Segment)
	case *Returned:
		a.handleReturned(now, e)
	case *MessageReceived:
		a.handleMessage(now, e.From, &e.Message)
	case *Heartbeat:
		a.handleHeartbeat(now, e)
	case *Deregistered:
		a.handleDeregistered(e)
	case *PreviousRecord:
		a.handlePreviousRecord(now, e)
	case *Registered:
		a.target.registered, a.target.written = e.Incarnation, e.Incarnation
	case *Stop:
		a.stopping = true
	case *Tick:
		a.flows.sweep(now)
		a.watchTarget(now)
		a.askers.tick(now)
		a.keepRecord(now)
	case *SavedFlows:
		a.restore(now, e)
	}
	a.tellChange(now)
	a.invite(now)
	return a.effects
}

func (a *Agent) handleMessage(now time.Time, from netip.AddrPort, msg *Message) {
	switch msg.Kind {
	case MessageOpen:
		a.open(now, from, msg)
	case MessageForward, MessageProbe, MessageTrial:
		a.carry(now, from, msg)
	case MessageQuery:
		a.Counters.Queries.Add(1)
		verdict := a.verdict(msg.Flow, msg.Ack)
		a.send(from, Message{
			Kind: MessageReply, Flow: msg.Flow, Verdict: verdict, MemberRevision: a.memberRevision, Agents: a.askers.count(),
		})
	case MessagePing:
		a.askers.note(now, from, msg)
		a.takeLimits(msg.Limits)
		if msg.Unlisted {
			a.verify(now, verifyRetry)
		}
		a.send(from, Message{Kind: MessagePong, Status: a.status(now)})
	case MessageRefused, MessageMissed, MessageHeld, MessageReply, MessagePong:
		// Only balancers get these.
	}
}

// open delivers a segment that opens a flow, or refuses it.
func (a *Agent) open(now time.Time, from netip.AddrPort, msg *Message) {
	s := msg.Segment
	if held := a.flows.byFlow[s.Flow]; held != nil && !held.closed {
		// A copy, maybe a late one: the target answers it from the flow that it
		// holds.
		a.deliver(from, s)
		return
	}
	if a.pauses.stale(now) {
		a.Counters.OpenStale.Add(1)
		return
	}
	if why := a.refusal(now, msg.Service, classFor(msg.SingleRequest)); why != NotRefused {
		if why == RefusedBusy {
			a.turned.add(from)
		}
		a.refuse(from, s, why)
		return
	}
	if a.target.cold(now) {
		a.cold.take(now)
	}
	a.flows.begin(now, msg)
	a.flows.slots = a.target.slots
	a.Counters.Admitted.Add(1)
	a.report(Report{Text: "Opening the flow.", Flow: s.Flow, Node: from.Addr().String(), Version: int64(a.limits.Revision)})
	a.deliver(from, s)
}

// maxWorkPerSlot bounds the requests in work and waiting at a target, per slot,
// beyond which it gets no new flows: one request waits for each in work. More
// would make all of them late; the others wait at the balancers, where the newest
// go first.
const maxWorkPerSlot = 2

// maxBriefPerSlot is the same for flows of one request, where these are cheap: three
// more each take less than one of the others, and must not starve behind requests
// that come over open flows, which nobody turns away.
const maxBriefPerSlot = 5

// maxWork returns the requests per slot from which flows of the class are refused.
func (a *Agent) maxWork(class flowClass) int {
	if class == classSingleRequest && a.flows.briefAreCheap() {
		return maxBriefPerSlot
	}
	return maxWorkPerSlot
}

// refusal returns why the agent does not open a flow of the service now.
func (a *Agent) refusal(now time.Time, service ServiceID, class flowClass) Refusal {
	t := &a.target
	switch {
	case a.stopping || t.draining:
		return RefusedDraining
	case !t.usable(now):
		return RefusedNoTarget
	case service != t.service:
		return RefusedOtherService
	case a.limits.DomainOut:
		return RefusedDomainOut
	case a.flows.busy >= t.slots*a.maxWork(class):
		return RefusedBusy
	case a.flows.silent(now):
		return RefusedSilent
	case t.cold(now) && !a.cold.allows(now, a.limits.ColdOpensPerSecond):
		return RefusedCold
	}
	return NotRefused
}

func (a *Agent) refuse(to netip.AddrPort, s Segment, why Refusal) {
	a.Counters.RefusedOpen.Add(1)
	a.report(Report{Text: "Refused to open the flow.", Flow: s.Flow, Why: why.String()})
	a.send(to, Message{Kind: MessageRefused, Refusal: why, Segment: s})
}

// carry delivers a segment from the middle of a flow, or returns it.
func (a *Agent) carry(now time.Time, from netip.AddrPort, msg *Message) {
	s := msg.Segment
	switch a.verdict(s.Flow, s.AckNumber()) {
	case VerdictHeld:
		if msg.Kind != MessageForward {
			a.send(from, Message{Kind: MessageHeld, Flow: s.Flow})
		}
		a.flows.fromCaller(now, &s)
		a.deliver(from, s)
	case VerdictAbsent, VerdictTried:
		a.miss(from, s, VerdictAbsent)
	case VerdictUnsure:
		if msg.Kind == MessageProbe {
			a.miss(from, s, VerdictUnsure)
			return
		}
		a.Counters.Tried.Add(1)
		a.report(Report{Text: "Trying an unknown flow at the target.", Flow: s.Flow})
		a.deliver(from, s)
	}
}

func (a *Agent) miss(to netip.AddrPort, s Segment, v Verdict) {
	a.Counters.Missed.Add(1)
	a.send(to, Message{Kind: MessageMissed, Verdict: v, Segment: s})
}

// verdict returns what the agent knows of a flow. A caller's acknowledgement
// that the target can't have sent belongs to another flow of the same name.
func (a *Agent) verdict(f Flow, ack uint32) Verdict {
	if held := a.flows.byFlow[f]; held != nil && held.matches(ack) {
		return VerdictHeld
	}
	if _, ok := a.flows.ruled[f]; ok {
		return VerdictTried
	}
	if a.target.complete {
		return VerdictAbsent
	}
	return VerdictUnsure
}

// handleOutbound handles a segment that the target sent.
func (a *Agent) handleOutbound(now time.Time, s Segment) {
	a.Counters.Answered.Add(1)
	if held := a.flows.byFlow[s.Flow]; held != nil && !held.seen {
		a.emit(Effect{Kind: EffectObserve, Latency: LatencyHandshake, Elapsed: now.Sub(held.last)})
	}
	if took, ended := a.flows.fromTarget(now, &s); ended {
		a.emit(Effect{Kind: EffectObserve, Latency: LatencyRequest, Elapsed: took})
	}
	a.emit(Effect{Kind: EffectRespond, Segment: s})
}

// Returned is a segment that the target returned because it does not hold its
// flow or can't open it. Balancer is where the segment had come from.
type Returned struct {
	Segment  Segment
	Balancer netip.AddrPort
}

func (*Returned) event() {}

// handleReturned gives a returned segment back to its balancer.
func (a *Agent) handleReturned(now time.Time, r *Returned) {
	s := r.Segment
	a.Counters.Returned.Add(1)
	a.flows.returned(now, s.Flow)
	if s.IsOpening() {
		a.refuse(r.Balancer, s, RefusedFull)
		return
	}
	a.report(Report{Text: "Target does not hold the flow.", Flow: s.Flow})
	a.miss(r.Balancer, s, VerdictAbsent)
}

func (a *Agent) emit(e Effect) { a.effects = append(a.effects, e) }

func (a *Agent) report(r Report) { a.emit(Effect{Kind: EffectReport, Report: r}) }

func (a *Agent) send(to netip.AddrPort, msg Message) {
	a.emit(Effect{Kind: EffectSend, To: to, Message: msg})
}

func (a *Agent) deliver(from netip.AddrPort, s Segment) {
	a.Counters.Delivered.Add(1)
	a.emit(Effect{Kind: EffectDeliver, Origin: from.Addr(), Segment: s})
}
