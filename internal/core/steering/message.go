package steering

import (
	"net/netip"
	"time"
)

// MessageKind tells the messages between balancers and agents apart.
type MessageKind uint8

// The messages between balancers and agents.
const (
	// MessageOpen carries a segment that opens a flow to an agent.
	MessageOpen MessageKind = iota + 1
	// MessageForward carries a segment to the agent that holds its flow, as far as
	// the balancer knows.
	MessageForward
	// MessageProbe carries a segment to an agent that may hold its flow.
	MessageProbe
	// MessageTrial carries a segment to an agent that could not rule out that its
	// target holds the flow.
	MessageTrial
	// MessageRefused returns a segment that would have opened a flow.
	MessageRefused
	// MessageMissed returns a segment of a flow that the agent does not hold.
	MessageMissed
	// MessageHeld tells a balancer that the agent holds the flow that the
	// balancer guessed.
	MessageHeld
	// MessageQuery asks an agent whether it holds a flow.
	MessageQuery
	// MessageReply answers a query.
	MessageReply
	// MessagePing asks an agent for its status and brings it its limits.
	MessagePing
	// MessagePong answers a ping.
	MessagePong
)

// Verdict is what an agent knows of a flow.
type Verdict uint8

// What an agent knows of a flow.
const (
	// VerdictUnsure means that the agent has not seen all flows of its target
	// and can't rule out that it holds this one.
	VerdictUnsure Verdict = iota
	// VerdictAbsent means that the target does not hold the flow.
	VerdictAbsent
	// VerdictHeld means that the target holds the flow.
	VerdictHeld
	// VerdictTried means that the target does not hold the flow, and got a
	// segment of it to find out.
	VerdictTried
)

// ruledOut reports whether the agent's target does not hold the flow.
func (v Verdict) ruledOut() bool { return v == VerdictAbsent || v == VerdictTried }

// String returns the verdict's name in log lines.
func (v Verdict) String() string {
	return [...]string{"unsure", "absent", "held", "tried"}[min(v, VerdictTried)]
}

// Refusal is why an agent does not open a flow.
type Refusal uint8

// Why an agent does not open a flow.
const (
	NotRefused          Refusal = iota // it does
	RefusedNoTarget                    // no live target is known
	RefusedDraining                    // the target or the agent is leaving
	RefusedDomainOut                   // the failure domain is taken out
	RefusedCold                        // the target is cold and has its share
	RefusedOtherService                // the target serves another service
	RefusedFull                        // the target returned the segment
	RefusedSilent                      // the target has not answered lately
	RefusedBusy                        // the target has all the work that it can queue
)

// String returns the refusal's name in log lines.
func (r Refusal) String() string {
	return [...]string{
		"none", "no target", "draining", "domain out", "cold", "other service", "full", "silent", "busy",
	}[min(r, RefusedBusy)]
}

// ServiceID identifies a service in messages: a hash of its name.
type ServiceID uint32

// Limits is what balancers know of the configuration and an agent has to
// enforce.
type Limits struct {
	// Revision orders limits: an agent keeps the newest.
	Revision uint64
	// MemberRevision is the revision of the list of agents that the balancer
	// has.
	MemberRevision uint64
	// DomainOut reports that the agent's failure domain is taken out.
	DomainOut bool
	// ColdOpensPerSecond is the openings a second that a cold target of the agent's
	// service bears.
	ColdOpensPerSecond float32
}

// Status is an agent's state as balancers see it.
type Status struct {
	// Incarnation is the start of the agent's process, in nanoseconds since 1970. It
	// only tells processes apart.
	Incarnation uint64
	// Service is the service of the target, 0 while none is known.
	Service ServiceID
	// Refusal is why the agent opens no flows now, NotRefused if it does.
	Refusal Refusal
	// Slots is the number of requests that the target works on at once.
	Slots uint16
	// InFlight is the number of requests that are waiting or in work.
	InFlight uint16
	// RequestsPerSecond is the requests a second that the target finishes with all slots
	// in use.
	RequestsPerSecond uint16
	// SingleRequestLimit is the work per slot from which the agent refuses flows of one
	// request, 0 if it does not know.
	SingleRequestLimit uint8
	// Flows is the number of open flows.
	Flows uint32
	// Revision is the newest configuration revision that the agent heard of.
	Revision uint64
	// Balancers is the number of balancers that have asked the agent lately.
	Balancers uint16
}

// Message is one datagram between a balancer and an agent. Which fields hold
// something depends on the kind.
type Message struct {
	Kind    MessageKind
	Verdict Verdict
	Refusal Refusal
	// Service is the service that the balancer opens the flow for.
	Service ServiceID
	// NonIdempotent reports that the requests of the flow that is opened must not
	// be repeated.
	NonIdempotent bool
	// SingleRequest reports that the flow that is opened carries one request.
	SingleRequest bool
	Flow          Flow
	// Ack is the caller's acknowledgement in a query, 0 if it has none.
	Ack uint32
	// MemberRevision is, in an answer, the newest list of agents that the agent
	// has heard of.
	MemberRevision uint64
	Limits         Limits
	// Unlisted reports, in a ping, that the store has lost the agent's record, as
	// far as the balancer knows.
	Unlisted bool
	// ListSettled reports, in a ping, that the balancer has known the list of agents
	// long enough for live agents to be back in it.
	ListSettled bool
	// Agents is, in a ping, the number of agents that the balancer knows; in an
	// answer, the largest that the agent has heard lately.
	Agents  uint16
	Status  Status
	Segment Segment
}

// AgentRecord is an agent as it registered itself.
type AgentRecord struct {
	Node    string
	Domain  string
	Service string
	// Peer is the address for messages.
	Peer netip.AddrPort
	// Incarnation is the start of the target's process that the agent served when
	// it registered, in milliseconds since 1970 by the target's clock.
	Incarnation int64
}

// Event is something that happened to a node.
type Event interface{ event() }

// SegmentReceived is a segment from a caller at a balancer, or from the target
// at its agent.
type SegmentReceived struct{ Segment Segment }

// MessageReceived is a message from another node.
type MessageReceived struct {
	From    netip.AddrPort
	Message Message
}

// Tick lets time pass.
type Tick struct{}

func (*SegmentReceived) event() {}
func (*MessageReceived) event() {}
func (*Tick) event()            {}

// EffectKind tells effects apart.
type EffectKind uint8

// What a node asks its process to do.
const (
	// EffectSend sends Message to the node at To.
	EffectSend EffectKind = iota + 1
	// EffectReset resets Flow towards the caller with sequence number Seq.
	EffectReset
	// EffectDeliver passes Segment to the target; Origin is the balancer that
	// it came from.
	EffectDeliver
	// EffectRespond passes Segment on to the caller.
	EffectRespond
	// EffectRegister writes the agent's record.
	EffectRegister
	// EffectVerify looks whether the agent's record is in the store, and writes it
	// again if not.
	EffectVerify
	// EffectSave saves the agent's flows.
	EffectSave
	// EffectReport writes a log line.
	EffectReport
	// EffectRefresh asks for a read of the operators' state from the store.
	EffectRefresh
	// EffectObserve records Elapsed in the histogram of Latency.
	EffectObserve
)

// Latency names a histogram.
type Latency uint8

// The histograms.
const (
	// LatencyHandshake is the time that a target takes to answer an opening
	// segment.
	LatencyHandshake Latency = iota
	// LatencyRequest is the time from a request's first segment to that of the
	// answer, at the agent.
	LatencyRequest
	// LatencyQueue is the time that an opening segment waits at a balancer.
	LatencyQueue
)

// Effect is something that a node asks its process to do. Effects are valid
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
	// Why tells what decided, such as a refusal.
	Why string
	// Node is the agent or the target concerned.
	Node string
	// Route is the route of the flow.
	Route string
	// Count is the number of flows concerned, Flow is one of them.
	Count int
	// Age is how old the information was that decided.
	Age time.Duration
	// Version is the configuration in force, if it decided.
	Version int64
	// Incarnation is the start of the target's process, in milliseconds since 1970.
	Incarnation int64
}
