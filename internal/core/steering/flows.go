package steering

import "time"

const (
	// tickInterval is how often a process lets time pass.
	tickInterval = 50 * time.Millisecond
	// flowLifetime is how long an agent remembers a silent flow.
	idleFlowTTL = 70 * time.Second
	// closedLifetime is how long a closed flow is remembered, for its last
	// segments and their copies.
	closedFlowTTL = 15 * time.Second
	// openTimeout is how long a flow is remembered whose caller does not go on
	// after the opening.
	halfOpenTimeout = 5 * time.Second
	// expectTimeout is how long a flow counts as a request to come after its
	// opening: callers send one right after the handshake, some milliseconds later,
	// or have left meanwhile.
	firstRequestTimeout = 100 * time.Millisecond
	// busyTimeout is how long a request without any segment counts as in work.
	stalledRequestTimeout = 5 * time.Second
	// ruledOutLifetime is how long an agent remembers that its target returned
	// a segment of a flow.
	returnedFlowTTL = 60 * time.Second
	// ackWindow bounds how far a caller's acknowledgement may lie from what the
	// target sent last: 16 segments in flight, many times over.
	ackWindow = 1 << 20
	// silentAfter is the time without a sign of the target after which an
	// unanswered opening segment makes it silent. A target answers in about a
	// millisecond.
	silentAfter = 250 * time.Millisecond
	// silentRetry is how often a silent target gets an opening segment.
	silentProbeInterval = 200 * time.Millisecond
)

// TickInterval is how often a process has to let time pass.
const TickInterval = tickInterval

// flow is a flow at the target.
type localFlow struct {
	// lastSeq is the sequence number after what the target sent last; seen is
	// set once the target has sent something.
	nextSeq     uint32
	responded   bool
	established bool // past the handshake
	// unrepeatable reports that the flow's requests must not be repeated.
	nonIdempotent bool
	// brief reports that the flow carries one request.
	singleRequest bool
	// ack is what the caller acknowledged last.
	callerAck uint32
	// lastTarget is when the target sent last.
	lastResponse time.Time
	busy         bool // the caller has sent data that the target has not answered
	// expected is set while a request is expected that has not come: a caller
	// opens a flow to send one.
	awaitingRequest bool
	// sole reports that the request in work found a free slot when it came, at
	// workBegan.
	uncontended  bool
	requestStart time.Time
	closed       bool
	lastSegment  time.Time
}

// matches reports whether a segment from the middle of a flow may belong to this
// one, by its acknowledgement. None does before the target has answered.
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

// flowSection is the flows that the target holds, as far as the agent has seen.
type flowSection struct {
	byFlow     map[Flow]*localFlow
	returnedAt map[Flow]time.Time
	busy       int
	// expected counts the busy flows whose request has not come, openings lists
	// them and those that opened lately, the oldest first.
	awaitingRequest int
	recentOpenings  []recentOpening
	// slots is the target's slots.
	slots int
	// workTime is the mean time of requests that found a free slot, workTimes that
	// of each class.
	meanRequestTime   ewmaDuration
	classRequestTimes [waitClasses]ewmaDuration
	// unanswered is when the oldest opening segment was delivered that the
	// target has not answered, zero if none.
	unansweredSince time.Time
	// probed is when an opening segment was delivered last.
	lastOpening time.Time
}

func newFlowSection() flowSection {
	return flowSection{byFlow: make(map[Flow]*localFlow), returnedAt: make(map[Flow]time.Time)}
}

// endBefore forgets the flows of a target that ended, at which nothing has
// happened since the time, and returns the open ones. Others may already be
// flows of the next lifetime.
func (s *flowSection) removeInactive(since time.Time) []SavedFlow {
	s.returnedAt = make(map[Flow]time.Time)
	s.unansweredSince = time.Time{}
	var ended []SavedFlow
	for f, held := range s.byFlow {
		if held.lastResponse.After(since) {
			continue
		}
		if held.established && !held.closed {
			ended = append(ended, SavedFlow{Flow: f, Ack: held.callerAck})
		}
		s.remove(f)
	}
	sortSavedFlows(ended)
	return ended
}

// hold takes saved flows for held, unless more is known of them.
func (s *flowSection) addSaved(now time.Time, flows []SavedFlow) {
	for _, f := range flows {
		if _, ruledOut := s.returnedAt[f.Flow]; s.byFlow[f.Flow] == nil && !ruledOut {
			s.byFlow[f.Flow] = &localFlow{established: true, nonIdempotent: f.NonIdempotent, callerAck: f.Ack, lastSegment: now}
		}
	}
}

// endSaved forgets saved flows of a target that ended, and returns those that
// were open. One that the target has sent something of since is a flow of the
// next lifetime.
func (s *flowSection) removeSaved(flows []SavedFlow) []SavedFlow {
	var ended []SavedFlow
	for _, f := range flows {
		if held := s.byFlow[f.Flow]; held != nil && held.responded {
			continue
		}
		s.remove(f.Flow)
		if !f.HalfOpen {
			ended = append(ended, f)
		}
	}
	return ended
}

// begin notes a segment that opens a flow.
func (s *flowSection) addOpening(now time.Time, msg *Message) {
	f := msg.Segment.Flow
	s.remove(f)
	opened := &localFlow{lastSegment: now, nonIdempotent: msg.Unrepeatable, singleRequest: msg.Brief}
	s.byFlow[f] = opened
	s.setAwaitingRequest(opened, true)
	s.setBusy(opened, true)
	s.recentOpenings = append(s.recentOpenings, recentOpening{opened, now})
	delete(s.returnedAt, f)
	s.lastOpening = now
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

// silent reports whether the target has left opening segments unanswered. One
// more is due every silentRetry, to find out whether it answers again.
func (s *flowSection) isSilent(now time.Time) bool {
	return !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= silentAfter && now.Sub(s.lastOpening) < silentProbeInterval
}

// fromCaller notes a segment of the caller.
func (s *flowSection) recordCallerSegment(now time.Time, seg *Segment) {
	f := s.byFlow[seg.Flow]
	f.lastSegment = now
	f.established = true
	if seg.Flags.Has(FlagAck) {
		f.callerAck = seg.Ack
	}
	if seg.Len > 0 {
		s.startRequest(now, f)
	}
	if seg.Flags.Has(FlagReset) {
		f.closed = true
		s.setBusy(f, false)
	}
}

// fromTarget notes a segment of the target, which holds the flow. It returns how
// long a request took that the segment ends.
func (s *flowSection) recordTargetSegment(now time.Time, seg *Segment) (took time.Duration, ended bool) {
	s.unansweredSince = time.Time{}
	f := s.byFlow[seg.Flow]
	if f == nil {
		f = new(localFlow)
		s.byFlow[seg.Flow] = f
		delete(s.returnedAt, seg.Flow)
	}
	f.lastSegment, f.lastResponse = now, now
	f.responded = true
	f.nextSeq = seg.Seq + uint32(seg.Len)
	f.established = f.established || !seg.Flags.Has(FlagOpen)
	if seg.Len > 0 {
		took, ended = s.finishRequest(now, f)
	}
	if seg.Flags&(FlagClose|FlagReset) != 0 {
		f.closed = true
		s.setBusy(f, false)
	}
	return took, ended
}

// returned notes that the target does not hold a flow.
func (s *flowSection) recordReturned(now time.Time, f Flow) {
	s.unansweredSince = time.Time{}
	s.remove(f)
	s.returnedAt[f] = now
}

func (s *flowSection) remove(f Flow) {
	if held := s.byFlow[f]; held != nil {
		s.setAwaitingRequest(held, false)
		s.setBusy(held, false)
		delete(s.byFlow, f)
	}
}

// sweep forgets what is too old.
func (s *flowSection) sweep(now time.Time) {
	for f, held := range s.byFlow {
		silence := now.Sub(held.lastSegment)
		if silence > held.ttl() {
			s.remove(f)
		} else if silence > stalledRequestTimeout {
			s.setAwaitingRequest(held, false)
			s.setBusy(held, false)
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
