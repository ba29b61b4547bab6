package steering

import "time"

const (
	// tickInterval is how often a process lets time pass.
	tickInterval = 50 * time.Millisecond
	// flowLifetime is how long an agent remembers a silent flow.
	flowLifetime = 70 * time.Second
	// closedLifetime is how long a closed flow is remembered, for its last
	// segments and their copies.
	closedLifetime = 15 * time.Second
	// openTimeout is how long a flow is remembered whose caller does not go on
	// after the opening.
	openTimeout = 5 * time.Second
	// expectTimeout is how long a flow counts as a request to come after its
	// opening: callers send one right after the handshake, some milliseconds later,
	// or have left meanwhile.
	expectTimeout = 100 * time.Millisecond
	// busyTimeout is how long a request without any segment counts as in work.
	busyTimeout = 5 * time.Second
	// ruledOutLifetime is how long an agent remembers that its target returned
	// a segment of a flow.
	ruledOutLifetime = 60 * time.Second
	// ackWindow bounds how far a caller's acknowledgement may lie from what the
	// target sent last: 16 segments in flight, many times over.
	ackWindow = 1 << 20
	// silentAfter is the time without a sign of the target after which an
	// unanswered opening segment makes it silent. A target answers in about a
	// millisecond.
	silentAfter = 250 * time.Millisecond
	// silentRetry is how often a silent target gets an opening segment.
	silentRetry = 200 * time.Millisecond
)

// TickInterval is how often a process has to let time pass.
const TickInterval = tickInterval

// flow is a flow at the target.
type flow struct {
	// lastSeq is the sequence number after what the target sent last; seen is
	// set once the target has sent something.
	lastSeq uint32
	seen    bool
	open    bool // past the handshake
	// unrepeatable reports that the flow's requests must not be repeated.
	unrepeatable bool
	// brief reports that the flow carries one request.
	brief bool
	// ack is what the caller acknowledged last.
	ack uint32
	// lastTarget is when the target sent last.
	lastTarget time.Time
	busy       bool // the caller has sent data that the target has not answered
	// expected is set while a request is expected that has not come: a caller
	// opens a flow to send one.
	expected bool
	// sole reports that the request in work found a free slot when it came, at
	// workBegan.
	sole      bool
	workBegan time.Time
	closed    bool
	last      time.Time
}

// matches reports whether a segment from the middle of a flow may belong to this
// one, by its acknowledgement. None does before the target has answered.
func (f *flow) matches(ack uint32) bool {
	if !f.seen {
		return f.open
	}
	if ack == 0 {
		return true
	}
	distance := int32(ack - f.lastSeq)
	return distance > -ackWindow && distance < ackWindow
}

// flowSection is the flows that the target holds, as far as the agent has seen.
type flowSection struct {
	byFlow map[Flow]*flow
	ruled  map[Flow]time.Time
	busy   int
	// expected counts the busy flows whose request has not come, openings lists
	// them and those that opened lately, the oldest first.
	expected int
	openings []opening
	// slots is the target's slots.
	slots int
	// workTime is the mean time of requests that found a free slot, workTimes that
	// of each class.
	workTime  meanTime
	workTimes [numFlowClasses]meanTime
	// unanswered is when the oldest opening segment was delivered that the
	// target has not answered, zero if none.
	unanswered time.Time
	// probed is when an opening segment was delivered last.
	probed time.Time
}

func newFlowSection() flowSection {
	return flowSection{byFlow: make(map[Flow]*flow), ruled: make(map[Flow]time.Time)}
}

// endBefore forgets the flows of a target that ended, at which nothing has
// happened since the time, and returns the open ones. Others may already be
// flows of the next lifetime.
func (s *flowSection) endBefore(since time.Time) []SavedFlow {
	s.ruled = make(map[Flow]time.Time)
	s.unanswered = time.Time{}
	var ended []SavedFlow
	for f, held := range s.byFlow {
		if held.lastTarget.After(since) {
			continue
		}
		if held.open && !held.closed {
			ended = append(ended, SavedFlow{Flow: f, Ack: held.ack})
		}
		s.drop(f)
	}
	sortSaved(ended)
	return ended
}

// hold takes saved flows for held, unless more is known of them.
func (s *flowSection) hold(now time.Time, flows []SavedFlow) {
	for _, f := range flows {
		if _, ruledOut := s.ruled[f.Flow]; s.byFlow[f.Flow] == nil && !ruledOut {
			s.byFlow[f.Flow] = &flow{open: true, unrepeatable: f.NonIdempotent, ack: f.Ack, last: now}
		}
	}
}

// endSaved forgets saved flows of a target that ended, and returns those that
// were open. One that the target has sent something of since is a flow of the
// next lifetime.
func (s *flowSection) endSaved(flows []SavedFlow) []SavedFlow {
	var ended []SavedFlow
	for _, f := range flows {
		if held := s.byFlow[f.Flow]; held != nil && held.seen {
			continue
		}
		s.drop(f.Flow)
		if !f.Opening {
			ended = append(ended, f)
		}
	}
	return ended
}

// begin notes a segment that opens a flow.
func (s *flowSection) begin(now time.Time, msg *Message) {
	f := msg.Segment.Flow
	s.drop(f)
	opened := &flow{last: now, unrepeatable: msg.NonIdempotent, brief: msg.SingleRequest}
	s.byFlow[f] = opened
	s.setExpected(opened, true)
	s.setBusy(opened, true)
	s.openings = append(s.openings, opening{opened, now})
	delete(s.ruled, f)
	s.probed = now
	if s.unanswered.IsZero() {
		s.unanswered = now
	}
}

// silent reports whether the target has left opening segments unanswered. One
// more is due every silentRetry, to find out whether it answers again.
func (s *flowSection) silent(now time.Time) bool {
	return !s.unanswered.IsZero() && now.Sub(s.unanswered) >= silentAfter && now.Sub(s.probed) < silentRetry
}

// fromCaller notes a segment of the caller.
func (s *flowSection) fromCaller(now time.Time, seg *Segment) {
	f := s.byFlow[seg.Flow]
	f.last = now
	f.open = true
	if seg.Flags.Has(FlagAck) {
		f.ack = seg.Ack
	}
	if seg.Len > 0 {
		s.beginWork(now, f)
	}
	if seg.Flags.Has(FlagReset) {
		f.closed = true
		s.setBusy(f, false)
	}
}

// fromTarget notes a segment of the target, which holds the flow. It returns how
// long a request took that the segment ends.
func (s *flowSection) fromTarget(now time.Time, seg *Segment) (took time.Duration, ended bool) {
	s.unanswered = time.Time{}
	f := s.byFlow[seg.Flow]
	if f == nil {
		f = new(flow)
		s.byFlow[seg.Flow] = f
		delete(s.ruled, seg.Flow)
	}
	f.last, f.lastTarget = now, now
	f.seen = true
	f.lastSeq = seg.Seq + uint32(seg.Len)
	f.open = f.open || !seg.Flags.Has(FlagOpen)
	if seg.Len > 0 {
		took, ended = s.endWork(now, f)
	}
	if seg.Flags&(FlagClose|FlagReset) != 0 {
		f.closed = true
		s.setBusy(f, false)
	}
	return took, ended
}

// returned notes that the target does not hold a flow.
func (s *flowSection) returned(now time.Time, f Flow) {
	s.unanswered = time.Time{}
	s.drop(f)
	s.ruled[f] = now
}

func (s *flowSection) drop(f Flow) {
	if held := s.byFlow[f]; held != nil {
		s.setExpected(held, false)
		s.setBusy(held, false)
		delete(s.byFlow, f)
	}
}

// sweep forgets what is too old.
func (s *flowSection) sweep(now time.Time) {
	for f, held := range s.byFlow {
		silence := now.Sub(held.last)
		if silence > held.lifetime() {
			s.drop(f)
		} else if silence > busyTimeout {
			s.setExpected(held, false)
			s.setBusy(held, false)
		}
	}
	for f, at := range s.ruled {
		if now.Sub(at) > ruledOutLifetime {
			delete(s.ruled, f)
		}
	}
}

func (f *flow) lifetime() time.Duration {
	switch {
	case f.closed:
		return closedLifetime
	case !f.open:
		return openTimeout
	}
	return flowLifetime
}
