package steering

import (
	"bytes"
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/requestqueue"
)

// maxKeptSegments bounds the kept segments of a request: one window of a caller.
const maxKeptSegments = 16

// keptRequest is a request that waits at the agent until the target has a place for it.
type keptRequest struct {
	segments []keptSegment
	since    time.Time
	// before is the position in the caller's data before the request.
	before dataPosition
}

// keptSegment is a segment and the balancer that sent it.
type keptSegment struct {
	segment Segment
	from    netip.AddrPort
}

// discardReason is why a kept request was discarded.
type discardReason uint8

const (
	discardedFlowEnded discardReason = iota
	discardedByCaller
	discardedStalled
	discardedTargetEnded
)

// String returns the reason for log lines.
func (r discardReason) String() string {
	return [...]string{"flow ended", "caller gave up", "waited too long", "target ended"}[r]
}

// discardedRequests counts kept requests that were discarded, with the details of the last.
type discardedRequests struct {
	count int
	flow  Flow
	why   discardReason
	since time.Time
}

// dataPosition is the sequence number that follows the caller's last data, if known.
type dataPosition struct {
	next  uint32
	known bool
}

// startsRequest reports whether a segment with data starts a request, and records its
// position. Further data of a request does not. If the flow has an objective, nor do a repeated
// segment of an earlier request and data on a flow that the target has closed.
func (f *localFlow) startsRequest(seg *Segment) bool {
	next := seg.Seq + uint32(seg.Len)
	known := f.callerData.known
	advances := !known || int32(next-f.callerData.next) > 0
	if advances {
		f.callerData = dataPosition{next, true}
	}
	if f.busy && !f.awaitingRequest {
		return false
	}
	f.mayBeCopy = !known || !advances
	return advances && !f.closed || f.objective == 0
}

// scheduleSegment delivers a segment of a flow that the target holds, or keeps it if its
// request has to wait.
func (a *Agent) scheduleSegment(now time.Time, from netip.AddrPort, msg *Message) {
	s := &a.flows
	seg := &msg.Segment
	f := s.byFlow[seg.Flow]
	s.updateDemand(f, msg.Demand)
	if f.kept != nil && f.kept.isAbortedBy(seg) {
		s.discardKept(f, discardedByCaller)
		s.setBusy(f, false)
		f.abandoned = true
	}
	if f.abandoned && seg.Len > 0 {
		return // the target would run a request whose caller has left
	}
	before := f.callerData
	starts := s.recordCallerSegment(now, f, seg)
	switch {
	case starts:
		s.startRequest(now, f)
		if a.mustWait(f) {
			a.keepRequest(now, from, f, seg, before)
			return
		}
		if f.objective > 0 {
			s.slots = a.target.slots
		}
		s.startRunning(now, f)
	case f.kept != nil && seg.Len > 0:
		f.kept.add(from, seg)
		return
	}
	a.deliver(from, *seg)
}

// isAbortedBy reports whether a segment of the caller means that it gave up the kept request.
// A close with further data may be the end of the request itself; one with a copy of data that
// was sent without it is not.
func (k *keptRequest) isAbortedBy(seg *Segment) bool {
	if seg.Flags.Has(FlagReset) {
		return true
	}
	if !seg.Flags.Has(FlagClose) {
		return false
	}
	known := k.find(seg)
	return seg.Len == 0 || known != nil && !known.segment.Flags.Has(FlagClose)
}

// mustWait reports whether a new request of a flow has to wait. If others wait, they are
// compared at the end of the step.
func (a *Agent) mustWait(f *localFlow) bool {
	if f.objective == 0 || a.deliversAtOnce() {
		return false
	}
	return a.flows.waiting.Len() > 0 || a.flows.runningTotal >= a.places()
}

// deliversAtOnce reports whether no request is kept: the agent is shutting down and its
// successor would not have the kept segments, or the number of slots is unknown, or the target
// has deregistered.
func (a *Agent) deliversAtOnce() bool {
	return a.stopping || a.target.deregistered || a.target.slots <= 0
}

// places returns the number of requests that the target may have at once.
func (a *Agent) places() int { return requestqueue.Places(a.executionLimit(), a.target.slots) }

// keepRequest keeps a request from its first segment on.
func (a *Agent) keepRequest(now time.Time, from netip.AddrPort, f *localFlow, seg *Segment, before dataPosition) {
	a.Counters.RequestsKept.Add(1)
	f.kept = &keptRequest{since: now, before: before}
	f.kept.add(from, seg)
	deadline := now.Add(f.objective)
	if !before.known && !f.firstDeadline.IsZero() {
		deadline = f.firstDeadline
	}
	a.flows.waiting.Add(f, requestqueue.Request{Priority: f.priority, Objective: f.objective, Deadline: deadline, ArrivedAt: now})
	a.report(Report{Text: "Request waits for the target.", Flow: seg.Flow, Why: "all places taken", Count: a.flows.waiting.Len()})
}

// add adds a segment, unless it is a copy of a kept one or there are too many. The balancer of
// a copy replaces that of the first: it was the last to be reachable.
func (k *keptRequest) add(from netip.AddrPort, seg *Segment) {
	if known := k.find(seg); known != nil {
		known.from = from
		return
	}
	if len(k.segments) >= maxKeptSegments {
		return
	}
	kept := *seg
	kept.Raw = bytes.Clone(seg.Raw) // the caller of Step reuses the buffer
	k.segments = append(k.segments, keptSegment{kept, from})
}

// find returns the kept copy of a segment, nil if there is none.
func (k *keptRequest) find(seg *Segment) *keptSegment {
	for i := range k.segments {
		if known := &k.segments[i]; known.segment.Seq == seg.Seq && known.segment.Len == seg.Len {
			return known
		}
	}
	return nil
}

// releaseRequests delivers kept requests while the target has places for them.
func (a *Agent) releaseRequests(now time.Time) {
	s := &a.flows
	for s.waiting.Len() > 0 && (a.deliversAtOnce() || s.runningTotal < a.places()) {
		f, _ := s.waiting.Take(now, a.capacity())
		a.releaseRequest(now, f)
	}
}

// releaseRequest delivers the kept request of a flow, which no longer waits.
func (a *Agent) releaseRequest(now time.Time, f *localFlow) {
	kept := f.kept
	f.kept = nil
	a.flows.slots = a.target.slots
	a.flows.startRunning(now, f)
	a.Counters.RequestsReleased.Add(1)
	a.emit(Effect{Kind: EffectObserve, Latency: LatencyKept, Elapsed: now.Sub(kept.since)})
	for _, k := range kept.segments {
		a.deliver(k.from, k.segment)
	}
}

// discardKept discards the kept request of a flow, if any. The target has not seen it, so a
// repeated segment of it starts it anew.
func (s *flowSection) discardKept(f *localFlow, why discardReason) {
	kept := f.kept
	if kept == nil {
		return
	}
	s.waiting.Remove(f)
	f.kept, f.callerData = nil, kept.before
	s.discarded = discardedRequests{s.discarded.count + 1, kept.segments[0].segment.Flow, why, kept.since}
}

// discardStalled discards the requests that have waited for longer than stalled requests are
// tolerated. Their callers repeat them if they have not given up.
func (s *flowSection) discardStalled(now time.Time) {
	for _, f := range s.waiting.ArrivedBefore(now.Add(-stalledRequestTimeout)) {
		s.discardKept(f, discardedStalled)
		s.setBusy(f, false)
	}
}

// discardAll discards all kept requests, as the target has ended.
func (s *flowSection) discardAll() {
	for _, f := range s.waiting.Keys() {
		s.discardKept(f, discardedTargetEnded)
		s.setBusy(f, false)
	}
}

// reportDiscarded counts and reports the requests that were discarded in this step.
func (a *Agent) reportDiscarded(now time.Time) {
	d := &a.flows.discarded
	if d.count == 0 {
		return
	}
	a.Counters.RequestsAbandoned.Add(uint64(d.count))
	a.report(Report{Text: "Waiting request was discarded.", Flow: d.flow, Why: d.why.String(), Count: d.count, Age: now.Sub(d.since)})
	*d = discardedRequests{}
}
