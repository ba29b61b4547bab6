package steering

import (
	"net/netip"
	"sync/atomic"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/revision"
)

// AgentIdentity identifies an agent and holds its fixed parameters.
type AgentIdentity struct {
	Identity
	// Service is the service that the agent's host is assigned to.
	Service string
	// Target is the address of the target.
	Target netip.AddrPort
	// Peer is the address that messages from balancers are sent to.
	Peer netip.AddrPort
	// Incarnation is the start of the agent's process, which tells its runs apart.
	Incarnation uint64
	// StartedAt is when the agent's process started, by a clock of the host that all
	// processes share and nobody sets, 0 if there is none.
	StartedAt time.Duration
	// HeartbeatInterval is the interval between heartbeats of the target.
	HeartbeatInterval time.Duration
	// Pace limits the concurrency of a new or recovered target; without it, all slots are
	// used at once.
	Pace bool
}

// AgentCounters counts segments, messages and decisions since the process started.
type AgentCounters struct {
	Admitted, RefusedOpen, Delivered, Answered, Missed, Returned, Tried, Queries atomic.Uint64
	HeartbeatsIgnored, ResetEnded, OpenStale, Trials, Rejected                   atomic.Uint64
	RequestsKept, RequestsReleased, RequestsAbandoned                            atomic.Uint64
}

// Agent decides which segments reach the target beside it.
type Agent struct {
	Counters AgentCounters

	identity AgentIdentity
	target   targetSection
	flows    flowSection
	demand   demandCounters
	limits   Limits
	// confirmedAt is when the store last told a balancer that no newer limits exist, zero
	// if unknown.
	confirmedAt time.Time
	coldStart   coldStartLimiter
	persistence persistenceSection
	health      healthSection
	effects     []Effect
	balancers   balancerSection
	// memberRevision is the newest revision of the list of agents that a balancer has
	// reported.
	memberRevision revision.Revision
	// sentRefusal is the refusal that balancers were last notified of.
	sentRefusal Refusal
	// sentRevision is the configuration revision that balancers were last notified of.
	sentRevision revision.Revision
	// unsureQueries are the queries that could not be answered, oldest first.
	unsureQueries []unsureQuery
	// startedAt is the time of the first step.
	startedAt time.Time
	// stopping is set by a graceful shutdown.
	stopping        bool
	capacityWaiters capacityWaitList
	suspensions     suspensionDetector
	pace            paceSection
}

// Stop begins a graceful shutdown of the agent: no more flows are admitted.
type Stop struct{}

func (*Stop) event() {}

// NewAgent returns an agent that knows no target yet.
func NewAgent(identity AgentIdentity) *Agent {
	return &Agent{identity: identity, flows: newFlowSection(), balancers: newBalancerSection(), demand: make(demandCounters)}
}

// Step handles an event. The effects are valid until the next step.
func (a *Agent) Step(now time.Time, e Event) []Effect {
	a.effects = a.effects[:0]
	if suspended := a.suspensions.recordStep(now); suspended > 0 {
		a.report(suspensionReport(suspended))
	}
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	a.flows.expireAwaitedRequests(now)
	a.endReplaced(now)
	a.advancePace(now)
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
	case *TargetProbed:
		a.handleProbed(now, e)
	case *PreviousRecord:
		a.handlePreviousRecord(now, e)
	case *RecordStored:
		a.target.writtenIncarnation = e.Incarnation
	case *Stop:
		a.stopping = true
	case *Tick:
		a.flows.discardStalled(now)
		a.flows.sweep(now, func(f *localFlow) { a.recordUnanswered(now, f) })
		a.reportSilentTarget(now)
		a.probeMissingTarget(now)
		a.balancers.tick(now)
		a.maintainPersistence(now)
	case *SavedFlows:
		a.restoreSavedFlows(now, e)
	}
	a.answerUnsureQueries()
	a.releaseRequests(now)
	a.reportDiscarded(now)
	a.advertiseChange(now)
	a.notifyCapacity(now)
	return a.effects
}

func (a *Agent) handleMessage(now time.Time, from netip.AddrPort, msg *Message) {
	switch msg.Kind {
	case MessageOpen:
		a.recordObjective(now, msg)
		a.handleOpen(now, from, msg)
	case MessageForward, MessageProbe, MessageTrial:
		a.recordObjective(now, msg)
		a.handleForward(now, from, msg)
	case MessageQuery:
		a.Counters.Queries.Add(1)
		a.answerQuery(unsureQuery{flow: msg.Flow, ack: msg.Ack, from: from})
	case MessagePing:
		a.balancers.recordPing(now, from, msg)
		a.recordTypicalTime(now, msg)
		a.updateLimits(now, msg)
		if msg.Unlisted {
			a.verifyRecord(now, minVerifyInterval)
		}
		a.send(from, Message{Kind: MessagePong, Status: a.status(now)})
	case MessageRefused, MessageMissed, MessageHeld, MessageReply, MessagePong:
		// Only balancers receive these.
	}
}

// handleOpen delivers a segment that opens a flow, or refuses it.
func (a *Agent) handleOpen(now time.Time, from netip.AddrPort, msg *Message) {
	s := msg.Segment
	if local := a.flows.byFlow[s.Flow]; local != nil && !local.closed && !local.abandoned {
		// A retransmission, possibly delayed: the target responds to it within its
		// open flow.
		local.recordOpeningRepeated(from)
		a.deliver(from, s)
		return
	}
	if a.suspensions.inBacklog(now) {
		a.Counters.OpenStale.Add(1)
		return
	}
	if refusal := a.checkOpening(now, msg.Service, classFor(msg.SingleRequest), msg.Demand, msg); refusal != NotRefused {
		if refusal == RefusedBusy {
			a.capacityWaiters.add(from, msg.Demand)
		}
		a.countRefused(msg.Demand, refusal)
		a.refuseOpen(from, s, refusal)
		if refusal == RefusedFailing {
			a.sendFailing(now, from)
		}
		return
	}
	if a.target.isCold(now) {
		a.coldStart.recordOpening(now)
	}
	a.flows.addOpening(now, msg)
	a.recordOfferAdmitted(now, from, msg)
	a.flows.slots = a.executionLimit()
	a.Counters.Admitted.Add(1)
	a.countAdmitted(msg)
	a.report(Report{Text: "Opening the flow.", Flow: s.Flow, Node: from.Addr().String(), Revision: a.limits.Revision})
	a.deliver(from, s)
}

// maxRequestsPerSlot is the number of running and queued requests per slot of the
// target from which new flows are refused: one request is queued for each that runs.
// A longer queue would delay all of them. Further flows are queued at the balancers,
// which place the newest first.
const maxRequestsPerSlot = 2

// maxSingleRequestsPerSlot is the same limit for single-request flows, if these are
// cheap. Three more per slot take less time than one other request, and they must not
// starve behind requests on open flows, which are never refused.
const maxSingleRequestsPerSlot = 5

// requestLimitPerSlot returns the number of requests per slot from which flows of the
// class are refused.
func (a *Agent) requestLimitPerSlot(class flowClass) int {
	if class == classSingleRequest && a.flows.singleRequestsAreCheap() {
		return maxSingleRequestsPerSlot
	}
	return maxRequestsPerSlot
}

// checkOpening returns why the agent refuses a new flow of the service now, or NotRefused if
// it admits one. The objective is what remains of it. offer is the opening, or nil for
// whether any may be admitted.
func (a *Agent) checkOpening(now time.Time, service ServiceID, class flowClass, demand Demand, offer *Message) Refusal {
	t := &a.target
	switch {
	case a.stopping || t.draining:
		return RefusedDraining
	case !a.isTargetUsable(now):
		return RefusedNoTarget
	case service != t.service:
		return RefusedOtherService
	case a.limits.DomainOut:
		return RefusedDomainOut
	case a.refusesAsFailing(now, offer):
		return RefusedFailing
	case a.isBusy(class, demand):
		return RefusedBusy
	case a.isLoaded(demand, offer):
		return RefusedLoaded
	case a.flows.isSilent(now):
		return RefusedSilent
	case t.isCold(now) && !a.coldStart.allows(now, a.limits.ColdOpensPerSecond):
		return RefusedCold
	}
	return NotRefused
}

func (a *Agent) refuseOpen(to netip.AddrPort, s Segment, refusal Refusal) {
	a.Counters.RefusedOpen.Add(1)
	a.report(Report{Text: "Refused to open the flow.", Flow: s.Flow, Why: refusal.String()})
	a.send(to, Message{Kind: MessageRefused, Refusal: refusal, Segment: s})
}

// handleForward delivers a segment from the middle of a flow, or returns it.
func (a *Agent) handleForward(now time.Time, from netip.AddrPort, msg *Message) {
	s := msg.Segment
	switch a.flowVerdict(s.Flow, s.AckNumber()) {
	case VerdictHeld:
		if msg.Kind != MessageForward {
			a.send(from, Message{Kind: MessageHeld, Flow: s.Flow})
		}
		a.recordForwarded(msg)
		a.scheduleSegment(now, from, msg)
	case VerdictAbsent, VerdictTried:
		a.sendMissed(from, s, VerdictAbsent)
	case VerdictUnsure:
		if msg.Kind == MessageProbe {
			a.sendMissed(from, s, VerdictUnsure)
			return
		}
		a.Counters.Tried.Add(1)
		a.report(Report{Text: "Trying an unknown flow at the target.", Flow: s.Flow})
		a.deliver(from, s)
	}
}

// sendMissed returns a segment that does not belong to a local flow to its balancer.
func (a *Agent) sendMissed(to netip.AddrPort, s Segment, v Verdict) {
	a.Counters.Missed.Add(1)
	a.send(to, Message{Kind: MessageMissed, Verdict: v, Segment: s})
}

// flowVerdict returns what the agent knows of a flow. An acknowledgement of data that
// the target can't have sent belongs to another flow with the same endpoints.
func (a *Agent) flowVerdict(f Flow, ack uint32) Verdict {
	if local := a.flows.byFlow[f]; local != nil && local.matchesAck(ack) {
		return VerdictHeld
	}
	if _, ok := a.flows.returnedAt[f]; ok {
		return VerdictTried
	}
	if a.target.knowsAllFlows() {
		return VerdictAbsent
	}
	return VerdictUnsure
}

// handleOutbound handles a segment that the target sent.
func (a *Agent) handleOutbound(now time.Time, s Segment) {
	if a.returnRejected(now, &s) {
		return
	}
	a.Counters.Answered.Add(1)
	if local := a.flows.byFlow[s.Flow]; local != nil && !local.responded {
		a.emit(Effect{Kind: EffectObserve, Latency: LatencyHandshake, Elapsed: now.Sub(local.lastSegment)})
	}
	if local := a.flows.byFlow[s.Flow]; local != nil && local.busy && local.kept == nil && s.Flags.Has(FlagReset) {
		a.observeOutcome(now, local, outcomeReset, now.Sub(local.deliveredAt))
	}
	if local := a.flows.byFlow[s.Flow]; local != nil {
		a.judgeAnswer(now, local)
	}
	if elapsed, finished := a.flows.recordTargetSegment(now, &s); finished {
		a.emit(Effect{Kind: EffectObserve, Latency: LatencyRequest, Elapsed: elapsed})
		local := a.flows.byFlow[s.Flow]
		a.observeOutcome(now, local, outcomeAnswered, now.Sub(local.deliveredAt))
	}
	a.emit(Effect{Kind: EffectRespond, Segment: s})
}

// SegmentReturned is a segment that the target returned because it does not hold the
// flow or can't open it. Balancer is the balancer that had sent the segment.
type SegmentReturned struct {
	Segment  Segment
	Balancer netip.AddrPort
}

func (*SegmentReturned) event() {}

// handleReturned sends a returned segment back to its balancer.
func (a *Agent) handleReturned(now time.Time, r *SegmentReturned) {
	s := r.Segment
	a.Counters.Returned.Add(1)
	a.flows.recordReturned(now, s.Flow)
	if s.IsOpening() {
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
