package steering

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/requestqueue"
)

const (
	// tickInterval is the interval between ticks.
	tickInterval = 50 * time.Millisecond
	// idleFlowTTL is how long an agent keeps the state of an idle flow.
	idleFlowTTL = 70 * time.Second
	// closedFlowTTL is how long the state of a closed flow is kept, for its last
	// segments and their retransmissions.
	closedFlowTTL = 15 * time.Second
	// halfOpenTimeout is how long the state of a flow is kept whose handshake is not
	// completed.
	halfOpenTimeout = 5 * time.Second
	// firstRequestTimeout is how long a flow occupies capacity for its first request.
	// Callers send it some milliseconds after the opening segment, right after the
	// handshake, or have abandoned the flow.
	firstRequestTimeout = 100 * time.Millisecond
	// stalledRequestTimeout is the time without a segment of the flow after which a
	// request no longer counts as running.
	stalledRequestTimeout = 5 * time.Second
	// returnedFlowTTL is how long an agent records that its target returned a segment
	// of a flow.
	returnedFlowTTL = 60 * time.Second
	// ackWindow bounds the distance between a caller's acknowledgement and the target's
	// next sequence number: 16 segments in flight, many times over.
	ackWindow = 1 << 20
	// silentAfter is how long an opening segment may lack a response, while the target
	// sends nothing else, before the target counts as silent. A target responds in
	// about a millisecond.
	silentAfter = 250 * time.Millisecond
	// silentProbeInterval is the interval at which a silent target is probed with an
	// opening segment.
	silentProbeInterval = 200 * time.Millisecond
)

// TickInterval is the interval at which a process has to send a Tick.
const TickInterval = tickInterval

// localFlow is the state of a flow at the target.
type localFlow struct {
	// nextSeq is the sequence number that follows the target's last segment; responded
	// is set once the target has sent one.
	nextSeq     uint32
	responded   bool
	established bool // the handshake is complete
	// nonIdempotent reports that the flow's requests must not run twice.
	nonIdempotent bool
	// priority and objective are those of the flow's route, zero if unknown.
	priority  uint8
	objective time.Duration
	// firstDeadline is when the first request misses its objective, zero if unknown.
	firstDeadline time.Time
	// callerData is the position in the caller's data.
	callerData dataPosition
	// mayBeCopy reports that the current request may be a copy of one that the target has
	// responded to.
	mayBeCopy bool
	// running reports that a request was delivered to the target and not responded to.
	running bool
	// kept is the request that waits to be delivered, nil if there is none.
	kept *keptRequest
	// singleRequest reports that the flow carries one request.
	singleRequest bool
	// callerAck is the caller's last acknowledgement.
	callerAck uint32
	// lastHeld is when the target last sent a segment of the flow, or when the flow was saved.
	lastHeld time.Time
	busy     bool // a request is running, queued or awaited
	// awaitingRequest is set from the opening of the flow until its first request
	// arrives or firstRequestTimeout has passed.
	awaitingRequest bool
	// slotShare is the share of a slot that the current request had at requestStart: 1 if a
	// slot was free, less if the target had more requests than slots. It is 0 if the time of
	// the request is not measured.
	slotShare    float64
	requestStart time.Time
	// abandoned reports that the caller gave up a request before it was delivered, and closed
	// the flow: a further opening segment is that of a new flow.
	abandoned bool
	// deliveredAt is when the current request was delivered to the target.
	deliveredAt time.Time
	closed      bool
	lastSegment time.Time
	health      flowHealth
}

// matchesAck reports whether a segment from the middle of a flow may belong to this
// one, by its acknowledgement. Before the target's first segment only an established
// flow matches.
func (f *localFlow) matchesAck(ack uint32) bool {
	if !f.responded {
		return f.established
	}
	if ack == 0 {
		return true
	}
	distance := int32(ack - f.nextSeq)
	return distance > -ackWindow && distance < ackWindow
}

// recordSequence records the position of a segment in what the target sends, and reports whether
// it shows data beyond what was seen. A target that repeats an earlier response has not responded
// to the current request, unless this is a copy of the earlier one. Segments may overtake each other: one without data that follows a gap,
// such as a close, shows the data in the gap.
func (f *localFlow) recordSequence(seg *Segment) (progress bool) {
	next := seg.Seq + uint32(seg.Len)
	switch distance := int32(next - f.nextSeq); {
	case seg.Flags.Has(FlagOpen):
		f.nextSeq = next + 1 // the opening takes a sequence number
	case seg.Flags.Has(FlagReset):
	case !f.responded, distance <= -ackWindow:
		f.nextSeq, progress = next, seg.Len > 0
	case distance > 0:
		f.nextSeq, progress = next, true
	}
	f.responded = true
	return progress
}

// flowSection holds the flows that the agent has seen at its target.
type flowSection struct {
	byFlow map[Flow]*localFlow
	// returnedAt is when the target last returned a segment of a flow.
	returnedAt map[Flow]time.Time
	busy       int
	// inFlight counts the busy flows, and running those whose request was delivered to the
	// target, by priority. runningTotal is the sum of running.
	inFlight, running [NumPriorities]int
	runningTotal      int
	// waiting holds the flows with a kept request.
	waiting requestqueue.Queue[*localFlow]
	// discarded is the kept requests that were discarded in the present step.
	discarded discardedRequests
	// recentOpenings lists the flows whose first request is awaited and others that were
	// opened recently, oldest first.
	recentOpenings []recentOpening
	// slots is the number of requests that the target runs at once.
	slots int
	// meanRequestTime is the mean duration of requests, scaled by slotShare; classRequestTimes
	// is that of each class.
	meanRequestTime   ewmaDuration
	classRequestTimes [numFlowClasses]ewmaDuration
	// unansweredSince is when the first opening segment since the target's last segment
	// was delivered, zero if none was.
	unansweredSince time.Time
	// lastOpening is when an opening segment was last delivered.
	lastOpening time.Time
}

func newFlowSection() flowSection {
	return flowSection{byFlow: make(map[Flow]*localFlow), returnedAt: make(map[Flow]time.Time)}
}

// removeInactive removes the flows that were last held before a time, when the target's next
// incarnation can't have started, and returns the established ones. Others may already be flows
// of that incarnation.
func (s *flowSection) removeInactive(since time.Time) []SavedFlow {
	s.returnedAt = make(map[Flow]time.Time)
	s.unansweredSince = time.Time{}
	var ended []SavedFlow
	for f, local := range s.byFlow {
		if local.lastHeld.After(since) {
			continue
		}
		if local.established && !local.closed {
			ended = append(ended, SavedFlow{Flow: f, Ack: local.callerAck})
		}
		s.remove(f)
	}
	sortSavedFlows(ended)
	return ended
}

// anyResponded reports whether the target has sent a segment of a known flow.
func (s *flowSection) anyResponded() bool {
	for _, local := range s.byFlow {
		if local.responded {
			return true
		}
	}
	return false
}

// addSaved adds saved flows of which nothing newer is known.
func (s *flowSection) addSaved(now, lastHeld time.Time, flows []SavedFlow) {
	for _, f := range flows {
		if _, returned := s.returnedAt[f.Flow]; s.byFlow[f.Flow] == nil && !returned {
			s.byFlow[f.Flow] = &localFlow{established: true, nonIdempotent: f.NonIdempotent, callerAck: f.Ack, lastSegment: now, lastHeld: lastHeld}
		}
	}
}

// removeSaved removes saved flows of a target that ended, and returns the established
// ones. A flow on which the target has sent a segment since belongs to the next
// incarnation.
func (s *flowSection) removeSaved(flows []SavedFlow) []SavedFlow {
	var ended []SavedFlow
	for _, f := range flows {
		if local := s.byFlow[f.Flow]; local != nil && local.responded {
			continue
		}
		s.remove(f.Flow)
		if !f.HalfOpen {
			ended = append(ended, f)
		}
	}
	return ended
}

// addOpening adds the flow of an opening segment.
func (s *flowSection) addOpening(now time.Time, msg *Message) {
	f := msg.Segment.Flow
	s.remove(f)
	opened := &localFlow{lastSegment: now, nonIdempotent: msg.NonIdempotent, singleRequest: msg.SingleRequest}
	opened.setOpeningDemand(now, msg.Demand)
	s.byFlow[f] = opened
	opened.awaitingRequest = true
	s.setBusy(opened, true)
	s.recentOpenings = append(s.recentOpenings, recentOpening{opened, now})
	delete(s.returnedAt, f)
	s.lastOpening = now
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

// isSilent reports whether the target has not responded to opening segments. It is
// false after each silentProbeInterval, so that another segment probes the target.
func (s *flowSection) isSilent(now time.Time) bool {
	return !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= silentAfter && now.Sub(s.lastOpening) < silentProbeInterval
}

// recordCallerSegment records a segment of a flow's caller and reports whether it starts a
// request.
func (s *flowSection) recordCallerSegment(now time.Time, f *localFlow, seg *Segment) (starts bool) {
	f.lastSegment = now
	f.established = true
	if seg.Flags.Has(FlagAck) {
		f.callerAck = seg.Ack
	}
	if seg.Len > 0 {
		starts = f.startsRequest(seg)
	}
	if seg.Flags.Has(FlagReset) {
		f.closed = true
		s.setBusy(f, false)
		return false
	}
	return starts
}

// recordTargetSegment records a segment of the target, which shows that it holds the
// flow. If the segment finishes a request, it returns how long that took.
func (s *flowSection) recordTargetSegment(now time.Time, seg *Segment) (elapsed time.Duration, finished bool) {
	s.unansweredSince = time.Time{}
	f := s.byFlow[seg.Flow]
	if f == nil {
		f = new(localFlow)
		s.byFlow[seg.Flow] = f
		delete(s.returnedAt, seg.Flow)
	}
	f.lastSegment, f.lastHeld = now, now
	progress := f.recordSequence(seg)
	f.established = f.established || !seg.Flags.Has(FlagOpen)
	if progress || seg.Len > 0 && f.mayBeCopy {
		elapsed, finished = s.finishRequest(now, f)
	}
	if seg.Flags&(FlagClose|FlagReset) != 0 {
		f.closed = true
		s.setBusy(f, false)
	}
	return elapsed, finished
}

// recordReturned records that the target does not hold a flow.
func (s *flowSection) recordReturned(now time.Time, f Flow) {
	s.unansweredSince = time.Time{}
	s.remove(f)
	s.returnedAt[f] = now
}

func (s *flowSection) remove(f Flow) {
	if local := s.byFlow[f]; local != nil {
		local.awaitingRequest = false
		s.setBusy(local, false)
		delete(s.byFlow, f)
	}
}

// sweep removes expired state and frees the capacity of stalled requests. It calls visit for
// each flow before.
func (s *flowSection) sweep(now time.Time, visit func(*localFlow)) {
	for f, local := range s.byFlow {
		visit(local)
		idle := now.Sub(local.lastSegment)
		if idle > local.ttl() {
			s.remove(f)
		} else if idle > stalledRequestTimeout {
			local.awaitingRequest = false
			s.setBusy(local, false)
		}
	}
	for f, at := range s.returnedAt {
		if now.Sub(at) > returnedFlowTTL {
			delete(s.returnedAt, f)
		}
	}
}

func (f *localFlow) ttl() time.Duration {
	switch {
	case f.closed:
		return closedFlowTTL
	case !f.established:
		return halfOpenTimeout
	}
	return idleFlowTTL
}
