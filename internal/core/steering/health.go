package steering

import (
	"bytes"
	"fmt"
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/targethealth"
)

const (
	// typicalTimeTTL is how long the typical request time of the last ping that had one is
	// used: as long as a balancer that does not ping is kept.
	typicalTimeTTL = balancerTimeout
)

// healthSection holds what the agent knows of the health of its target.
type healthSection struct {
	detector targethealth.Detector
	// failingSince is when the target became failing.
	failingSince time.Time
	// trial is the flow that was opened as a trial, until it has an outcome.
	trial *localFlow
	// typicalTime is the newest typical request time of the service, received at typicalAt.
	typicalTime time.Duration
	typicalAt   time.Time
}

// flowHealth is the part of a flow's state that the detection of failing targets uses.
type flowHealth struct {
	// hasObjective reports that an objective is declared for the flow's requests. All others
	// are left out of the detection.
	hasObjective bool
	// answered reports that the target has answered a request of the flow.
	answered bool
	// counted reports that the current request was counted as unanswered, or is left out as
	// it was delivered to an earlier incarnation of the target.
	counted bool
	// implausible reports that the time of the current answer says nothing about the
	// duration of requests.
	implausible bool
	// callerClosed reports that the caller has closed its side of the flow.
	callerClosed bool
	// opening is kept from the delivery of an opening segment to the target's response.
	opening *keptOpening
}

// keptOpening is an opening segment that the target has not responded to.
type keptOpening struct {
	segment Segment
	// balancer has sent the last copy.
	balancer netip.AddrPort
	// copies counts the copies that were delivered, rejected those that the target rejected.
	copies, rejected int
}

// recordTypicalTime records the typical request time in a ping.
func (a *Agent) recordTypicalTime(now time.Time, ping *Message) {
	if ping.TypicalRequestTime > 0 {
		a.health.typicalTime, a.health.typicalAt = ping.TypicalRequestTime, now
	}
}

// typicalRequestTime returns the typical request time of the service, 0 if unknown.
func (a *Agent) typicalRequestTime(now time.Time) time.Duration {
	if now.Sub(a.health.typicalAt) > typicalTimeTTL {
		return 0
	}
	return a.health.typicalTime
}

// unansweredAfter returns the time without an answer after which a request has failed.
func (a *Agent) unansweredAfter(now time.Time) time.Duration {
	typical := a.typicalRequestTime(now)
	if typical == 0 {
		typical = time.Duration(a.flows.meanRequestTime)
	}
	return targethealth.UnansweredAfter(typical)
}

// sinceDelivery returns the time since the current request of a flow was delivered, 0 if it was
// not. A suspension of the agent's process does not count.
func (a *Agent) sinceDelivery(now time.Time, f *localFlow) time.Duration {
	since := f.deliveredAt
	if since.IsZero() {
		return 0
	}
	if a.suspensions.resumedAt.After(since) {
		since = a.suspensions.resumedAt
	}
	return now.Sub(since)
}

// trialDue reports whether a flow may be opened at the failing target as a trial. A trial whose
// caller has sent no request, or has given it up, ends without an outcome, or as failed if the
// target has not responded.
func (a *Agent) trialDue(now time.Time) bool {
	h := &a.health
	if h.trial != nil && (!h.trial.busy || h.trial.health.callerClosed) {
		if h.trial.responded {
			h.detector.CancelTrial()
		} else {
			h.detector.FailTrial(now)
		}
		h.trial = nil
	}
	return h.detector.TrialDue(now)
}

// refusesAsFailing reports whether an offered opening is refused because the target is failing;
// without an offer, whether all openings with an objective are.
func (a *Agent) refusesAsFailing(now time.Time, offer *Message) bool {
	if !a.health.detector.Failing() {
		return false
	}
	if offer != nil && (offer.LastResort || offer.Demand.Objective <= 0) {
		return false
	}
	return !a.trialDue(now) || offer != nil && offer.NonIdempotent
}

// sendFailing notifies a balancer whose opening was refused that the target is failing. It may
// have received the status while a trial was due.
func (a *Agent) sendFailing(now time.Time, to netip.AddrPort) {
	status := a.status(now)
	status.Refusal = RefusedFailing
	a.send(to, Message{Kind: MessagePong, Status: status})
}

// recordOfferAdmitted keeps the opening segment of a new flow, and makes the flow a trial if the
// target is failing.
func (a *Agent) recordOfferAdmitted(now time.Time, from netip.AddrPort, offer *Message) {
	if offer.Demand.Objective <= 0 {
		return
	}
	f := a.flows.byFlow[offer.Segment.Flow]
	f.health.hasObjective = true
	segment := offer.Segment
	segment.Raw = bytes.Clone(segment.Raw)
	f.health.opening = &keptOpening{segment: segment, balancer: from, copies: 1}
	if !offer.NonIdempotent && a.trialDue(now) {
		a.health.trial = f
		a.health.detector.StartTrial(now)
		a.Counters.Trials.Add(1)
	}
}

// recordOpeningRepeated records that another copy of an opening segment is delivered.
func (f *localFlow) recordOpeningRepeated(from netip.AddrPort) {
	if kept := f.health.opening; kept != nil {
		kept.balancer = from
		kept.copies++
	}
}

// recordForwarded records a segment from the middle of a flow. The caller can only send one if
// the flow has opened.
func (a *Agent) recordForwarded(msg *Message) {
	h := &a.flows.byFlow[msg.Segment.Flow].health
	if msg.Demand.Objective > 0 && !h.hasObjective {
		h.hasObjective, h.answered = true, true // opened before the agent's process started
	}
	h.callerClosed = h.callerClosed || msg.Segment.Flags.Has(FlagClose)
	h.opening = nil
}

// returnRejected returns an opening segment to its balancer once the target has rejected all
// copies of it, and reports whether a segment of the target rejects one. The caller does not
// receive the reset. The target may still open the flow as long as it has not rejected each copy.
func (a *Agent) returnRejected(now time.Time, s *Segment) bool {
	f := a.flows.byFlow[s.Flow]
	if f == nil {
		return false
	}
	kept := f.health.opening
	if kept == nil || f.responded || f.established || !s.Flags.Has(FlagReset) {
		f.health.opening = nil
		return false
	}
	a.flows.unansweredSince = time.Time{}
	if kept.rejected++; kept.rejected < kept.copies {
		return true
	}
	a.Counters.Rejected.Add(1)
	a.observeOutcome(now, f, outcomeReset, 0)
	a.flows.recordReturned(now, s.Flow)
	if a.suspensions.inBacklog(now) {
		// The segment is at least as old as the suspension: see inBacklog.
		a.Counters.OpenStale.Add(1)
		return true
	}
	a.refuseOpen(kept.balancer, kept.segment, RefusedFailing)
	return true
}

// judgeAnswer determines, before an answer is recorded, whether its time counts into the mean
// request times.
func (a *Agent) judgeAnswer(now time.Time, f *localFlow) {
	f.health.implausible = f.health.hasObjective && (f.health.counted || a.classifyAnswer(now, f) != targethealth.Answered)
}

// classifyAnswer returns the outcome of the current request of a flow, which is answered.
func (a *Agent) classifyAnswer(now time.Time, f *localFlow) targethealth.Outcome {
	if a.sinceDelivery(now, f) > a.unansweredAfter(now) {
		return targethealth.Unanswered
	}
	return a.health.detector.Classify(now.Sub(f.deliveredAt), a.typicalRequestTime(now))
}

// recordHealth records the outcome of a request in the detector.
func (a *Agent) recordHealth(now time.Time, f *localFlow, outcome requestOutcome, elapsed time.Duration) {
	h := &f.health
	if !h.hasObjective {
		return
	}
	result := targethealth.Result{Outcome: targethealth.Reset, Elapsed: elapsed, First: !h.answered}
	if outcome == outcomeAnswered {
		h.answered = true
		result.Outcome = a.classifyAnswer(now, f)
	}
	if h.counted {
		h.counted = false
		return
	}
	a.recordResult(now, f, result, elapsed)
}

func (a *Agent) recordResult(now time.Time, f *localFlow, r targethealth.Result, elapsed time.Duration) {
	h := &a.health
	if r.Trial = f == h.trial; r.Trial {
		h.trial = nil
	}
	switch h.detector.Record(now, r) {
	case targethealth.BecameFailing:
		h.failingSince = now
		a.report(Report{
			Text: "Target is failing.", Node: a.target.instance, Age: elapsed,
			Why: fmt.Sprintf("%s; typical request time %v", h.detector.Reason(), a.typicalRequestTime(now)),
		})
	case targethealth.Recovered:
		h.trial = nil
		a.report(Report{
			Text: "Target has recovered.", Node: a.target.instance, Age: now.Sub(h.failingSince),
			Why: fmt.Sprintf("answered requests in a row, the last within %v; typical request time %v", elapsed, a.typicalRequestTime(now)),
		})
		a.targetRecovered(now)
	case targethealth.Unchanged:
	}
}

// recordUnanswered counts the request of a flow as failed if it has been without an answer for
// too long.
func (a *Agent) recordUnanswered(now time.Time, f *localFlow) {
	h := &f.health
	if !h.hasObjective || h.counted || h.callerClosed || f.closed || !f.busy || f.awaitingRequest {
		return
	}
	if elapsed := a.sinceDelivery(now, f); elapsed > a.unansweredAfter(now) {
		h.counted = true
		a.recordResult(now, f, targethealth.Result{Outcome: targethealth.Unanswered, First: !h.answered}, elapsed)
	}
}

// restartHealth makes a new incarnation of the target healthy. Requests that were delivered
// before may have been the previous one's, and are left out.
func (a *Agent) restartHealth() {
	a.health.detector, a.health.trial = targethealth.Detector{}, nil
	for _, f := range a.flows.byFlow {
		f.health.counted = true
	}
}

// targetRecovered is called when the target is no longer failing.
func (a *Agent) targetRecovered(now time.Time) { a.pace.Restart(now) }
