package steering

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/revision"
)

// MessageKind identifies the type of a message between a balancer and an agent.
type MessageKind uint8

// The messages between balancers and agents.
const (
	// MessageOpen offers an agent a segment that opens a flow.
	MessageOpen MessageKind = iota + 1
	// MessageForward carries a segment to the flow's holder, as cached by the balancer.
	MessageForward
	// MessageProbe carries a segment to a likely holder. The agent delivers it only if
	// its target holds the flow.
	MessageProbe
	// MessageTrial carries a segment for trial delivery to an agent that could not rule
	// out that its target holds the flow.
	MessageTrial
	// MessageRefused returns an opening segment that the agent refused.
	MessageRefused
	// MessageMissed returns a segment of a flow that the agent's target does not hold.
	MessageMissed
	// MessageHeld confirms to the balancer that the agent is the holder of a probed or
	// tried flow.
	MessageHeld
	// MessageQuery asks an agent whether its target holds a flow.
	MessageQuery
	// MessageReply is the reply to a query.
	MessageReply
	// MessagePing requests an agent's status and carries its limits.
	MessagePing
	// MessagePong is the reply to a ping.
	MessagePong
)

// Verdict is an agent's knowledge of a flow.
type Verdict uint8

// An agent's knowledge of a flow.
const (
	// VerdictUnsure means that the agent has not seen all flows of its target and can't
	// rule out that the target holds this one.
	VerdictUnsure Verdict = iota
	// VerdictAbsent means that the target does not hold the flow.
	VerdictAbsent
	// VerdictHeld means that the target holds the flow.
	VerdictHeld
	// VerdictTried means that the target does not hold the flow: it returned a segment
	// of it after a trial delivery.
	VerdictTried
)

// rulesOut reports whether the verdict rules out that the agent is the holder.
func (v Verdict) rulesOut() bool { return v == VerdictAbsent || v == VerdictTried }

// String returns the verdict's name for log lines.
func (v Verdict) String() string {
	return [...]string{"unsure", "absent", "held", "tried"}[min(v, VerdictTried)]
}

// Refusal is the reason for which an agent does not open a flow.
type Refusal uint8

// The reasons for which an agent does not open a flow.
const (
	NotRefused          Refusal = iota // the agent opens the flow
	RefusedNoTarget                    // no live target is known
	RefusedDraining                    // the target or the agent is shutting down
	RefusedDomainOut                   // the failure domain is taken out of service
	RefusedCold                        // the target is cold and at its rate limit
	RefusedOtherService                // the target serves another service
	RefusedFull                        // the target returned the segment
	RefusedSilent                      // the target has not responded recently
	RefusedBusy                        // the target's queue is full
	RefusedFailing                     // the target fails its requests
	RefusedLoaded                      // the flow would delay requests of lower priorities; see Message.MayDelay
)

// String returns the refusal's name for log lines.
func (r Refusal) String() string {
	return [...]string{
		"none", "no target", "draining", "domain out", "cold", "other service", "full", "silent", "busy", "failing", "loaded",
	}[min(r, RefusedLoaded)]
}

// ServiceID identifies a service in messages. It is a hash of the service's name.
type ServiceID uint32

// Limits is the part of the configuration that an agent enforces, as received from
// balancers.
type Limits struct {
	// Revision orders limits: an agent keeps the newest.
	Revision revision.Revision
	// MemberRevision is the revision of the balancer's list of agents.
	MemberRevision revision.Revision
	// DomainOut reports that the agent's failure domain is taken out of service.
	DomainOut bool
	// ColdOpensPerSecond is the rate at which a cold target of the agent's service can
	// accept new flows.
	ColdOpensPerSecond float32
}

// Status is an agent's state as reported to balancers.
type Status struct {
	// Incarnation is the start time of the agent's process, in nanoseconds since 1970.
	// It only tells processes apart.
	Incarnation uint64
	// Service is the service of the target, 0 while none is known.
	Service ServiceID
	// Refusal is why the agent opens no flows at present, NotRefused if it does.
	Refusal Refusal
	// Slots is the number of requests that the target executes at once.
	Slots uint16
	// InFlight is the number of requests queued or executing at the target.
	InFlight uint16
	// RequestsPerSecond is the target's throughput with all slots in use.
	RequestsPerSecond uint16
	// SingleRequestLimit is the number of in-flight requests per slot at which the
	// agent refuses single-request flows, 0 if unknown.
	SingleRequestLimit uint8
	// Ahead is, for each priority, the number of in-flight requests that a new one of the
	// priority waits for: those of the same or a higher priority, and all that the target
	// executes.
	Ahead [NumPriorities]uint16
	// RequestTime is the mean time of a request in a slot, without waiting for one, 0 if
	// unknown.
	RequestTime time.Duration
	// Concurrency is the number of requests up to which the agent admits new flows, 0
	// if unknown. It is below Slots while the target warms up.
	Concurrency uint16
	// Flows is the number of open flows.
	Flows uint32
	// Revision is the newest configuration revision that the agent has received.
	Revision revision.Revision
	// ConfirmedAge is how long ago the store told some balancer that no newer revision
	// exists, at most MaxConfirmedAge.
	ConfirmedAge time.Duration
	// Balancers is the number of balancers that have pinged the agent recently.
	Balancers uint16
}

// Message is one datagram between a balancer and an agent. The kind determines
// which fields are set.
type Message struct {
	Kind    MessageKind
	Verdict Verdict
	Refusal Refusal
	// Service is the service for which the balancer opens the flow.
	Service ServiceID
	// NonIdempotent reports that requests of the opened flow must not run twice.
	NonIdempotent bool
	// SingleRequest reports that the opened flow carries a single request.
	SingleRequest bool
	// Demand is, in a message with a caller's segment, that of the flow's route, zero if
	// unknown; in one that opens a flow, its objective is what remains of it. The timeout is
	// not sent.
	Demand Demand
	// LastResort reports that no healthy agent could take the opened flow.
	LastResort bool
	// MayDelay reports that the opened flow may go before requests of lower priorities that
	// wait for the target, as the balancer knows no agent with less load.
	MayDelay bool
	Flow     Flow
	// Ack is the caller's acknowledgement number in a query, 0 if the segment has none.
	Ack uint32
	// MemberRevision is, in a reply, the revision of the newest list of agents that any
	// balancer has reported to the agent.
	MemberRevision revision.Revision
	Limits         Limits
	// ConfirmedAge is, in a ping, how long ago the store confirmed the limits' revision to
	// the balancer, at most MaxConfirmedAge.
	ConfirmedAge time.Duration
	// Unlisted reports, in a ping, that the agent's record is missing from the store,
	// as far as the balancer knows.
	Unlisted bool
	// ListSettled reports, in a ping, that the balancer has had the list of agents long
	// enough for live agents with lost records to be listed again.
	ListSettled bool
	// TypicalRequestTime is, in a ping, the median request time of the service's agents, 0 if
	// unknown.
	TypicalRequestTime time.Duration
	// Agents is, in a ping, the number of agents that the balancer knows; in a reply,
	// the largest such number that the agent has received recently.
	Agents  uint16
	Status  Status
	Segment Segment
}

// AgentRecord is an agent's registration in the store.
type AgentRecord struct {
	Node    string
	Domain  string
	Service string
	// Peer is the address for messages.
	Peer netip.AddrPort
	// Incarnation is the start time of the target process that the agent served when it
	// registered, in milliseconds since 1970 by the target's clock.
	Incarnation int64
}

// Event is an input of a node.
type Event interface{ event() }

// SegmentReceived is a segment from a caller at a balancer, or from the target at
// its agent.
type SegmentReceived struct{ Segment Segment }

// MessageReceived is a message from another node.
type MessageReceived struct {
	From    netip.AddrPort
	Message Message
}

// Tick triggers the periodic work of a node.
type Tick struct{}

func (*SegmentReceived) event() {}
func (*MessageReceived) event() {}
func (*Tick) event()            {}

// EffectKind identifies the type of an effect.
type EffectKind uint8

// What a node requests from its process.
const (
	// EffectSend sends Message to the node at To.
	EffectSend EffectKind = iota + 1
	// EffectReset resets Flow towards the caller with sequence number Seq.
	EffectReset
	// EffectDeliver passes Segment to the target. Origin is the balancer that sent it.
	EffectDeliver
	// EffectRespond sends the target's Segment to the caller.
	EffectRespond
	// EffectRegister writes the agent's record.
	EffectRegister
	// EffectVerify checks that the agent's record is in the store and writes it again
	// if it is missing.
	EffectVerify
	// EffectUnregister deletes the agent's record, as its target has ended.
	EffectUnregister
	// EffectProbe tries to connect to the target's address. TargetProbed is the result.
	EffectProbe
	// EffectSave saves the agent's flows.
	EffectSave
	// EffectReport writes a log line.
	EffectReport
	// EffectRefresh reads the operators' state from the store.
	EffectRefresh
	// EffectObserve records Elapsed in the histogram that Latency names.
	EffectObserve
)

// Latency names a histogram.
type Latency uint8

// The histograms.
const (
	// LatencyHandshake is the time from an opening segment's delivery to the target's
	// first segment.
	LatencyHandshake Latency = iota
	// LatencyRequest is the time from a request's first segment to the first segment of
	// its response, at the agent.
	LatencyRequest
	// LatencyQueue is the time that an opening segment waits at a balancer.
	LatencyQueue
	// LatencyKept is the time that an agent keeps a request until it delivers it to the
	// target.
	LatencyKept
)

// Effect is an action that a node requests from its process. Effects are valid
// until the next step.
type Effect struct {
	Kind    EffectKind
	To      netip.AddrPort
	Origin  netip.Addr
	Message Message
	Segment Segment
	Flow    Flow
	Seq     uint32
	Record  AgentRecord
	Report  Report
	Latency Latency
	Elapsed time.Duration
}

// Report is a log line about a decision.
type Report struct {
	// Text is a short sentence.
	Text string
	// Flow is the flow concerned, zero if none.
	Flow Flow
	// Why is the reason for the decision, such as a refusal.
	Why string
	// Node is the agent or the target concerned.
	Node string
	// Route is the name of the flow's route.
	Route string
	// Count is the number of flows concerned; Flow is one of them.
	Count int
	// Age is the age of the information that led to the decision.
	Age time.Duration
	// Version is the configuration in force, if it led to the decision.
	Version int64
	// Revision is that of the newest change by operators, if it led to the decision.
	Revision revision.Revision
	// Incarnation is the start time of the target's process, in milliseconds since
	// 1970.
	Incarnation int64
}
