// Package targethealth detects from the outcomes of its requests that a target is failing, and
// that it has recovered. It has no clock and does no I/O.
package targethealth

import (
	"fmt"
	"time"
)

const (
	// maxFailures is the number of failures in a row that make a target failing. Single
	// errors and timeouts are normal.
	maxFailures = 3
	// maxFast is the number of too fast answers in a row that make a target failing. A few
	// short requests in a row are normal in a service that hardly ever has them.
	maxFast = 8
	// maxResets is the number of resets in a row that make a target failing. A working
	// target hardly ever resets a flow instead of answering.
	maxResets = 2
	// minAnswers is the number of answers in a row that end the failing state.
	minAnswers = 2
	// firstTrialDelay and maxTrialInterval bound the time between trials. Targets that go
	// down and up are back within a second; a failed trial costs a caller one attempt.
	firstTrialDelay  = 200 * time.Millisecond
	maxTrialInterval = 2 * time.Second
	// flapWindow is the time after a recovery within which another failure continues the
	// doubling of the trial interval. A target that goes down and up each 0.7 s would cost two
	// callers and a trial each time.
	flapWindow = 5 * time.Second
	// unansweredRatio is the time without an answer, relative to the typical time, after
	// which a request counts as failed. A few percent of the requests take seven times the
	// mean.
	unansweredRatio = 10
	// minUnanswered bounds that time from below: a short stall of a host is no failure.
	minUnanswered = time.Second
	// fastRatio is the ratio of the typical time to the time of an answer above which the
	// answer counts as an error.
	fastRatio = 8
	// maxFastDuration is the time after which a target whose answers are still too fast is
	// healthy again, with no baseline: its requests have become short for good.
	maxFastDuration = time.Minute
	// minJudgedTime is the shortest typical time for which answers can be too fast: an
	// eighth of it is about the delay between an agent and its target.
	minJudgedTime = 8 * time.Millisecond
)

// Outcome is how a request at the target ended.
type Outcome uint8

// The outcomes of a request.
const (
	// Answered means that the target answered in a plausible time.
	Answered Outcome = iota
	// TooFast means that the target answered in less time than the service's requests take.
	TooFast
	// Reset means that the target reset the flow instead of answering.
	Reset
	// Unanswered means that the target did not answer in time.
	Unanswered
)

// String returns the outcome's name for log lines.
func (o Outcome) String() string {
	return [...]string{"answered", "answered too fast", "reset", "unanswered"}[min(o, Unanswered)]
}

// UnansweredAfter returns the time without an answer after which a request has failed, by the
// typical time of the service's requests.
func UnansweredAfter(typical time.Duration) time.Duration {
	return max(minUnanswered, unansweredRatio*typical)
}

// Classify returns the outcome of a request that was answered after a time. The typical time is
// that of the service's requests, 0 if unknown. Answers can only be too fast for a target that
// hardly ever answered that fast while it was healthy.
func (d *Detector) Classify(elapsed, typical time.Duration) Outcome {
	if limit := typical / fastRatio; typical >= minJudgedTime && elapsed < limit && d.baseline.hardlyEverFaster(limit) {
		return TooFast
	}
	return Answered
}

// Result is the outcome of one request.
type Result struct {
	Outcome Outcome
	// Elapsed is the time in which the request was answered, if it was.
	Elapsed time.Duration
	// First reports that it was the first request of its flow, or the opening of the flow.
	First bool
	// Trial reports that the flow was opened as a trial.
	Trial bool
}

// Change is a change of the target's state.
type Change uint8

// The changes of the target's state.
const (
	Unchanged Change = iota
	BecameFailing
	Recovered
)

// Detector holds the state of one target. The zero value is that of a healthy target.
type Detector struct {
	// baseline holds the times of answers while the target was healthy.
	baseline baseline

	// fast counts the too fast answers since the last other answer, and fastBuckets are their
	// buckets in the baseline. They are learned when another answer shows that the target
	// works.
	fast        int
	fastBuckets [maxFast]uint8
	// failures and resets count those since the last answer; firstResets counts the resets of
	// first requests since a first request was answered. A target may go on answering on
	// flows that were open before while it resets each new flow.
	failures, resets, firstResets int

	failing bool
	reason  string
	// fastSince is when the target became failing because of too fast answers, zero if it is
	// failing for another reason or not at all.
	fastSince time.Time
	// onNewFlows reports that the target is failing because it resets new flows, so that
	// answers on other flows don't show a recovery.
	onNewFlows bool
	// answers counts the answers in a row while failing.
	answers int

	trialRunning  bool
	nextTrial     time.Time
	trialInterval time.Duration
	// recoveredAt is when the target last recovered. The trial interval of then is kept.
	recoveredAt time.Time
}

// Failing reports whether the target is failing.
func (d *Detector) Failing() bool { return d.failing }

// Reason returns why the target is failing, or "" if it is not.
func (d *Detector) Reason() string { return d.reason }

// Record records the outcome of a request.
func (d *Detector) Record(now time.Time, r Result) Change {
	if r.Outcome == Answered {
		return d.recordAnswer(now, r)
	}
	d.answers = 0
	if r.Outcome != TooFast {
		d.failures++
	}
	if r.Outcome == Reset {
		d.resets++
		if r.First {
			d.firstResets++
		}
	}
	if d.failing && !d.fastSince.IsZero() && now.Sub(d.fastSince) >= maxFastDuration {
		*d = Detector{}
		return Recovered
	}
	if d.failing {
		if r.Trial {
			d.FailTrial(now)
		}
		return Unchanged
	}
	if r.Outcome == TooFast {
		d.fastBuckets[d.fast] = uint8(bucketOf(r.Elapsed))
		d.fast++
	}
	switch {
	case d.resets >= maxResets:
		d.reason = fmt.Sprintf("%d resets in a row", d.resets)
	case d.firstResets >= maxResets:
		d.reason = fmt.Sprintf("%d new flows reset in a row", d.firstResets)
	case d.failures >= maxFailures:
		d.reason = fmt.Sprintf("%d failures in a row, the last: %v", d.failures, r.Outcome)
	case d.fast >= maxFast:
		d.reason = fmt.Sprintf("%d answers in a row that were too fast", d.fast)
		d.fastSince = now
	default:
		return Unchanged
	}
	d.failing, d.onNewFlows = true, d.firstResets >= maxResets
	d.fast = 0
	if d.recoveredAt.IsZero() || now.Sub(d.recoveredAt) >= flapWindow {
		d.trialInterval = firstTrialDelay
	} else {
		d.trialInterval = min(2*d.trialInterval, maxTrialInterval)
	}
	d.nextTrial = now.Add(d.trialInterval)
	return BecameFailing
}

func (d *Detector) recordAnswer(now time.Time, r Result) Change {
	d.failures, d.resets = 0, 0
	if r.First {
		d.firstResets = 0
	}
	if r.Trial {
		d.trialRunning, d.nextTrial = false, now
	}
	if !d.failing {
		d.learn(r.Elapsed)
		return Unchanged
	}
	if d.onNewFlows && !r.First {
		return Unchanged
	}
	if d.answers++; d.answers < minAnswers {
		return Unchanged
	}
	*d = Detector{baseline: d.baseline, trialInterval: d.trialInterval, recoveredAt: now}
	return Recovered
}

// learn adds the time of an answer of the healthy target to the baseline, and those of the fast
// answers before it.
func (d *Detector) learn(elapsed time.Duration) {
	for _, bucket := range d.fastBuckets[:d.fast] {
		d.baseline.add(int(bucket))
	}
	d.fast = 0
	d.baseline.add(bucketOf(elapsed))
}

// FailTrial records that a trial failed, which delays the next one.
func (d *Detector) FailTrial(now time.Time) {
	d.trialRunning = false
	d.trialInterval = min(2*d.trialInterval, maxTrialInterval)
	d.nextTrial = now.Add(d.trialInterval)
}

// TrialDue reports whether a flow may be opened at the failing target as a trial.
func (d *Detector) TrialDue(now time.Time) bool {
	return d.failing && !d.trialRunning && !now.Before(d.nextTrial)
}

// StartTrial records that a flow was opened as a trial.
func (d *Detector) StartTrial(now time.Time) {
	d.trialRunning, d.nextTrial = true, now.Add(d.trialInterval)
}

// CancelTrial records that a trial ended without an outcome, as its caller sent no request.
func (d *Detector) CancelTrial() { d.trialRunning = false }
