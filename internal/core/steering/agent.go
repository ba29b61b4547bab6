package steering

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// AgentIdentity is an agent's own identity.
type AgentIdentity struct {
	Self
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

	identity    AgentIdentity
	target      targetSection
	flows       flowSection
	limits      Limits
	coldStart   coldStartLimiter
	persistence persistenceSection
	effects     []Effect
	balancers   balancerSection
	// memberRevision is the newest list of agents that a balancer has.
	memberRevision uint64
	// told is the refusal in the last status that was sent.
	sentRefusal Refusal
	// toldRevision is the revision in it.
	sentRevision uint64
	// stopping is set by a planned stop.
	stopping        bool
	capacityWaiters capacityWaitList
	suspensions     suspensionDetector
}

// Stop ends admission: a planned stop of the agent.
type Stop struct{}

func (*Stop) event() {}

// NewAgent returns an agent that knows no target yet.
func NewAgent(self AgentIdentity) *Agent {
	return &Agent{identity: self, flows: newFlowSection(), balancers: newBalancerSection()}
}

// Step handles an event. The effects are valid until the next step.
func (a *Agent) Step(now time.Time, e Event) []Effect {
	a.effects = a.effects[:0]
	if paused := a.suspensions.recordStep(now); paused > 0 {
		a.report(suspensionReport(paused))
	}
	a.flows.expireAwaitedRequests(now)
	switch e := e.(type) {
	case *SegmentReceived:
		a.handleOutbound(now, e.Segment)
	case *SegmentReturned:
		a.handleReturned(now, e)
	case *MessageReceived:
		a.handleMessage(now, e.From, &e.Message)
	case *Heartbeat:
		a.handleHeartbeat(now, e)
	case *TargetDeregistered:
		a.handleDeregistered(e)
	case *PreviousRecord:
		a.handlePreviousRecord(now, e)
	case *RecordStored:
		a.target.storedIncarnation, a.target.writtenIncarnation = e.Incarnation, e.Incarnation
	case *Stop:
		a.stopping = true
	case *Tick:
		a.flows.sweep(now)
		a.reportSilentTarget(now)
		a.balancers.tick(now)
		a.maintainPersistence(now)
	case *SavedFlows:
		a.restoreSavedFlows(now, e)
	}
	a.advertiseChange(now)
	a.notifyCapacity(now)
	return a.effects
}

func (a *Agent) handleMessage(now time.Time, from netip.AddrPort, msg *Message) {
	switch msg.Kind {
	case MessageOpen:
		a.handleOpen(now, from, msg)
	case MessageCarry, MessageGuess, MessageTry:
		a.handleCarry(now, from, msg)
	case MessageQuery:
		a.Counters.Queries.Add(1)
		verdict := a.flowVerdict(msg.Flow, msg.Ack)
		a.send(from, Message{
			Kind: MessageAnswer, Flow: msg.Flow, Verdict: verdict, MemberRevision: a.memberRevision, Agents: a.balancers.countAgents(),
		})
	case MessagePing:
		a.balancers.recordPing(now, from, msg)
		a.updateLimits(msg.Limits)
		if msg.Unlisted {
			a.verifyRecord(now, minVerifyInterval)
		}
		a.send(from, Message{Kind: MessagePong, Status: a.status(now)})
	case MessageRefused, MessageMissed, MessageHeld, MessageAnswer, MessagePong:
		// Only balancers get these.
	}
}

// open delivers a segment that opens a flow, or refuses it.
func (a *Agent) handleOpen(now time.Time, from netip.AddrPort, msg *Message) {
	s := msg.Segment
	if held := a.flows.byFlow[s.Flow]; held != nil && !held.closed {
		// A copy, maybe a late one: the target answers it from the flow that it
		// holds.
		a.deliver(from, s)
		return
	}
	if a.suspensions.inBacklog(now) {
		a.Counters.OpenStale.Add(1)
		return
	}
	if why := a.checkAdmission(now, msg.Service, classFor(msg.Brief)); why != RefusedNot {
		if why == RefusedBusy {
			a.capacityWaiters.add(from)
		}
		a.refuseOpen(from, s, why)
		return
	}
	if a.target.isCold(now) {
		a.coldStart.recordOpening(now)
	}
	a.flows.addOpening(now, msg)
	a.flows.slots = a.target.slots
	a.Counters.Admitted.Add(1)
	a.report(Report{Text: "Opening the flow.", Flow: s.Flow, Node: from.Addr().String(), Version: int64(a.limits.Revision)})
	a.deliver(from, s)
}

// maxWorkPerSlot bounds the requests in work and waiting at a target, per slot,
// beyond which it gets no new flows: one request waits for each in work. More
// would make all of them late; the others wait at the balancers, where the newest
// go first.
const maxRequestsPerSlot = 2

// maxBriefPerSlot is the same for flows of one request, where these are cheap: three
// more each take less than one of the others, and must not starve behind requests
// that come over open flows, which nobody turns away.
const maxSingleRequestsPerSlot = 5

// maxWork returns the requests per slot from which flows of the class are refused.
func (a *Agent) requestLimitPerSlot(class waitClass) int {
	if class == classBrief && a.flows.singleRequestsAreCheap() {
		return maxSingleRequestsPerSlot
	}
	return maxRequestsPerSlot
}

// refusal returns why the agent does not open a flow of the service now.
func (a *Agent) checkAdmission(now time.Time, service ServiceID, class waitClass) Refusal {
	t := &a.target
	switch {
	case a.stopping || t.draining:
		return RefusedDraining
	case !t.isUsable(now):
		return RefusedNoTarget
	case service != t.service:
		return RefusedService
	case a.limits.DomainOut:
		return RefusedOut
	case a.flows.busy >= t.slots*a.requestLimitPerSlot(class):
		return RefusedBusy
	case a.flows.isSilent(now):
		return RefusedSilent
	case t.isCold(now) && !a.coldStart.allows(now, a.limits.ColdPerSecond):
		return RefusedCold
	}
	return RefusedNot
}

func (a *Agent) refuseOpen(to netip.AddrPort, s Segment, why Refusal) {
	a.Counters.RefusedOpen.Add(1)
	a.report(Report{Text: "Refused to open the flow.", Flow: s.Flow, Why: why.String()})
	a.send(to, Message{Kind: MessageRefused, Refusal: why, Segment: s})
}

// carry delivers a segment from the middle of a flow, or returns it.
func (a *Agent) handleCarry(now time.Time, from netip.AddrPort, msg *Message) {
	s := msg.Segment
	switch a.flowVerdict(s.Flow, s.Acked()) {
	case VerdictHeld:
		if msg.Kind != MessageCarry {
			a.send(from, Message{Kind: MessageHeld, Flow: s.Flow})
		}
		a.flows.recordCallerSegment(now, &s)
		a.deliver(from, s)
	case VerdictAbsent, VerdictTried:
		a.sendMissed(from, s, VerdictAbsent)
	case VerdictUnsure:
		if msg.Kind == MessageGuess {
			a.sendMissed(from, s, VerdictUnsure)
			return
		}
		a.Counters.Tried.Add(1)
		a.report(Report{Text: "Trying an unknown flow at the target.", Flow: s.Flow})
		a.deliver(from, s)
	}
}

func (a *Agent) sendMissed(to netip.AddrPort, s Segment, v Verdict) {
	a.Counters.Missed.Add(1)
	a.send(to, Message{Kind: MessageMissed, Verdict: v, Segment: s})
}

// verdict returns what the agent knows of a flow. A caller's acknowledgement
// that the target can't have sent belongs to another flow of the same name.
func (a *Agent) flowVerdict(f Flow, ack uint32) Verdict {
	if held := a.flows.byFlow[f]; held != nil && held.matchesAck(ack) {
		return VerdictHeld
	}
	if _, ok := a.flows.returnedAt[f]; ok {
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
	if held := a.flows.byFlow[s.Flow]; held != nil && !held.responded {
		a.emit(Effect{Kind: EffectObserve, Latency: LatencyHandshake, Took: now.Sub(held.lastSegment)})
	}
	if took, ended := a.flows.recordTargetSegment(now, &s); ended {
		a.emit(Effect{Kind: EffectObserve, Latency: LatencyRequest, Took: took})
	}
	a.emit(Effect{Kind: EffectAnswer, Segment: s})
}

// SegmentReturned is a segment that the target returned because it does not hold its
// flow or can't open it. Balancer is where the segment had come from.
type SegmentReturned struct {
	Segment  Segment
	Balancer netip.AddrPort
}

func (*SegmentReturned) event() {}

// handleReturned gives a returned segment back to its balancer.
func (a *Agent) handleReturned(now time.Time, r *SegmentReturned) {
	s := r.Segment
	a.Counters.Returned.Add(1)
	a.flows.recordReturned(now, s.Flow)
	if s.Opens() {
		a.refuseOpen(r.Balancer, s, RefusedFull)
		return
	}
	a.report(Report{Text: "Target does not hold the flow.", Flow: s.Flow})
	a.sendMissed(r.Balancer, s, VerdictAbsent)
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
