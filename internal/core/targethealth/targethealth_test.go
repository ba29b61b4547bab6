package targethealth

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const typical = 47 * time.Millisecond

// answer records an answer after a time, and returns its outcome.
func (d *Detector) answer(elapsed time.Duration) Outcome {
	outcome := d.Classify(elapsed, typical)
	d.Record(start, Result{Outcome: outcome, Elapsed: elapsed})
	return outcome
}

// learnUsual lets the target answer as often as the baseline needs.
func (d *Detector) learnUsual() {
	for range minBaseline {
		d.answer(typical)
	}
}

// fail makes the detector's target failing by three missing answers.
func fail(t *testing.T, d *Detector, now time.Time) {
	t.Helper()
	for range maxFailures {
		d.Record(now, Result{Outcome: Unanswered})
	}
	if !d.Failing() {
		t.Fatal("the target is not failing after three failures in a row")
	}
}

// Guards against a target that answers errors within 1.6 ms, where it took 47 ms before, and looks
// idle (600 errors in 4 s). It recovers by answers of the usual duration, and only by them.
func TestFastErrorsMakeATargetFailing(t *testing.T) {
	var d Detector
	d.learnUsual()
	for i := range maxFast {
		if d.Failing() {
			t.Fatalf("failing after %d errors", i)
		}
		d.answer(1600 * time.Microsecond)
	}
	if !d.Failing() || d.Reason() == "" {
		t.Fatalf("failing is %v with reason %q", d.Failing(), d.Reason())
	}
	for range 1000 {
		d.answer(1600 * time.Microsecond)
	}
	for range minAnswers {
		if !d.Failing() {
			t.Fatal("recovered by errors")
		}
		d.answer(typical)
	}
	if d.Failing() {
		t.Error("not recovered by answers of the usual duration")
	}
	for range maxFast {
		d.answer(1600 * time.Microsecond)
	}
	if !d.Failing() {
		t.Error("errors after the recovery are not detected")
	}
}

// Guards against targets of a service that mixes cache hits of 2 ms with long requests becoming
// failing, from the first request on.
func TestMixedServiceStaysHealthy(t *testing.T) {
	for _, share := range []float64{0.01, 0.03, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.9, 0.99, 1} {
		for seed := range uint64(5) {
			r := rand.New(rand.NewPCG(seed, 4))
			var d Detector
			for i := range 100_000 {
				elapsed := time.Duration((0.5 + r.Float64()) * float64(typical))
				if r.Float64() < share {
					elapsed = time.Duration((0.5 + r.Float64()) * float64(2*time.Millisecond))
				}
				if d.answer(elapsed); d.Failing() {
					t.Fatalf("share %v, seed %d: failing at request %d: %s", share, seed, i, d.Reason())
				}
			}
		}
	}
}

// Guards against a target being taken for one that answers errors because the others of its
// service have become ten times slower.
func TestUsualAnswersBesideSlowTargetsAreAnswers(t *testing.T) {
	var d Detector
	d.learnUsual()
	if got := d.Classify(typical, 10*typical); got != Answered {
		t.Errorf("an answer in the target's usual time is %v", got)
	}
}

// Guards against errors becoming the usual time: neither those while the target is failing nor
// those that made it failing are learned. Fast answers of a target that goes on working are.
func TestErrorsAreNotLearned(t *testing.T) {
	var d Detector
	d.learnUsual()
	learned := d.baseline
	for range 100 {
		d.answer(1600 * time.Microsecond)
	}
	if d.baseline != learned {
		t.Error("errors were learned")
	}
	d = Detector{}
	d.learnUsual()
	for range maxFast - 1 {
		d.answer(1600 * time.Microsecond)
	}
	d.answer(typical)
	if got := d.baseline.total; got != minBaseline+maxFast {
		t.Errorf("%d answers were learned, want %d", got, minBaseline+maxFast)
	}
}

// Guards against a baseline that grows or overflows, and one that never follows a service whose
// requests have become short.
func TestBaselineIsBoundedAndFollows(t *testing.T) {
	var b baseline
	for _, elapsed := range []time.Duration{-1, 0, time.Hour, typical} {
		for range 100_000 {
			b.add(bucketOf(elapsed))
			if b.total >= maxBaseline {
				t.Fatalf("weight of %d answers", b.total)
			}
		}
	}
	if !b.hardlyEverFaster(typical / fastRatio) {
		t.Error("not usable")
	}
	for range maxBaseline {
		b.add(bucketOf(time.Millisecond))
	}
	if b.hardlyEverFaster(typical / fastRatio) {
		t.Error("short requests are not learned")
	}
	answers := 0
	for b = (baseline{}); answers == 0 || !b.hardlyEverFaster(typical/fastRatio); answers++ {
		if answers == 0 {
			for range 100_000 {
				b.add(bucketOf(time.Millisecond))
			}
		}
		b.add(bucketOf(typical))
	}
	t.Logf("judged %d answers after many fast ones", answers)
	if answers > 4*maxBaseline {
		t.Errorf("judged only %d answers after many fast ones", answers)
	}
}

// Guards against a target that fails again soon after each recovery costing callers the first
// trials each time: the doubling goes on up to 2 s. After 5 s it starts again.
func TestTrialIntervalOfAFlappingTarget(t *testing.T) {
	var d Detector
	now := start
	for i, want := range []time.Duration{200, 400, 800, 1600, 2000, 2000} {
		fail(t, &d, now)
		if at := now.Add(want * time.Millisecond); d.TrialDue(at.Add(-1)) || !d.TrialDue(at) {
			t.Errorf("failure %d: the first trial is not after %d ms", i, want)
		}
		now = now.Add(want * time.Millisecond)
		for range minAnswers {
			d.StartTrial(now)
			d.Record(now, Result{Outcome: Answered, Elapsed: typical, First: true, Trial: true})
		}
		if d.Failing() {
			t.Fatal("not recovered")
		}
		now = now.Add(5*time.Second - 1)
	}
	now = now.Add(1)
	fail(t, &d, now)
	if !d.TrialDue(now.Add(firstTrialDelay)) {
		t.Error("the interval does not start again after 5 s")
	}
}

// Guards against fast answers being taken for errors: of a service that takes 4.2 ms, or one
// whose time is unknown.
func TestFastAnswersOfAFastServiceAreAnswers(t *testing.T) {
	for _, typical := range []time.Duration{0, 4200 * time.Microsecond} {
		var d Detector
		d.learnUsual()
		if got := d.Classify(100*time.Microsecond, typical); got != Answered {
			t.Errorf("typical time %v: %v", typical, got)
		}
	}
}

// Guards against a tail of 3% at seven times the mean of 47 ms, on a target with 0.55 of the
// usual speed, making it failing.
func TestLongTailDoesNotMakeATargetFailing(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var d Detector
	for range 100_000 {
		elapsed := time.Duration((0.5 + r.Float64()) * float64(typical) / 0.55)
		if r.Float64() < 0.03 {
			elapsed *= 7
		}
		outcome := d.Classify(elapsed, typical)
		if elapsed > UnansweredAfter(typical) {
			outcome = Unanswered
		}
		if d.Record(start, Result{Outcome: outcome, Elapsed: elapsed}) != Unchanged {
			t.Fatal("the target is failing: ", d.Reason())
		}
	}
}

// Guards against a target that fails 45% of its requests being served as a healthy one. 100
// openings are offered in a second, each with one request. Every failure is a missing answer, or
// every one a reset. Fast errors among answers can't be told from short requests.
func TestTargetThatFailsPartOfItsRequestsGetsFew(t *testing.T) {
	for _, failure := range []Outcome{Unanswered, Reset} {
		var admitted, failed, detected int
		const seeds, offers = 20, 3000
		for seed := range uint64(seeds) {
			r := rand.New(rand.NewPCG(seed, 1))
			var d Detector
			wasFailing := false
			for i := range offers {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				trial := d.Failing()
				if trial && !d.TrialDue(now) {
					continue
				}
				if trial {
					d.StartTrial(now)
				}
				admitted++
				outcome := Answered
				if r.Float64() < 0.45 {
					outcome = failure
					failed++
				}
				d.Record(now, Result{Outcome: outcome, First: true, Trial: trial})
				wasFailing = wasFailing || d.Failing()
			}
			if wasFailing {
				detected++
			}
		}
		share, failedShare := float64(admitted)/(seeds*offers), float64(failed)/(seeds*offers)
		t.Logf("%v: %.3f of the openings admitted, %.3f of them all failed", failure, share, failedShare)
		if detected != seeds || share > 0.5 {
			t.Errorf("%v: %d of %d targets are detected, %.2f of the openings admitted", failure, detected, seeds, share)
		}
	}
}

// Guards against a target that resets each new flow while it answers on the open ones: these
// answers neither prevent its detection nor end the failing state.
func TestResetsOfNewFlowsCountBesideAnswersOnOthers(t *testing.T) {
	var d Detector
	for range 2 {
		d.Record(start, Result{Outcome: Reset, First: true})
		for range 5 {
			d.Record(start, Result{Outcome: Answered})
		}
	}
	if !d.Failing() {
		t.Fatal("the target is not failing after two resets of new flows")
	}
	d.Record(start, Result{Outcome: Answered, First: true})
	if d.Record(start, Result{Outcome: Answered, First: true}) != Recovered || d.Failing() {
		t.Error("the target has not recovered after two answers on new flows")
	}
}

// Guards against single failures, as any target has them, making a target failing.
func TestSingleFailuresDoNotMakeATargetFailing(t *testing.T) {
	var d Detector
	for _, o := range []Outcome{Reset, Answered, Reset, Answered, Unanswered, TooFast, Answered, Reset, Unanswered, Answered} {
		d.Record(start, Result{Outcome: o})
	}
	if d.Failing() {
		t.Error("the target is failing: ", d.Reason())
	}
}

// Guards against a target that stays down costing a caller for each of many trials: one runs
// at a time, after 200 ms, then at doubled intervals up to 2 s.
func TestTrialsAreAtDoubledIntervals(t *testing.T) {
	var d Detector
	fail(t, &d, start)
	var at []time.Duration
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 10 * time.Millisecond {
		now := start.Add(elapsed)
		if !d.TrialDue(now) {
			continue
		}
		d.StartTrial(now)
		if d.TrialDue(now.Add(time.Hour)) {
			t.Fatal("two trials at a time")
		}
		d.Record(now, Result{Outcome: Reset, First: true, Trial: true})
		at = append(at, elapsed)
	}
	want := []time.Duration{200, 600, 1400, 3000, 5000, 7000, 9000}
	if len(at) != len(want) {
		t.Fatalf("trials at %v", at)
	}
	for i := range want {
		if at[i] != want[i]*time.Millisecond {
			t.Errorf("trial %d is at %v, want %v", i, at[i], want[i]*time.Millisecond)
		}
	}
}

// Guards against a trial whose caller gave up blocking all further ones.
func TestCancelledTrialIsFollowedByAnother(t *testing.T) {
	var d Detector
	fail(t, &d, start)
	now := start.Add(firstTrialDelay)
	d.StartTrial(now)
	d.CancelTrial()
	if d.TrialDue(now) || !d.TrialDue(now.Add(firstTrialDelay)) {
		t.Error("the next trial is not due after the same interval")
	}
}

// Guards against a recovery by answers between which requests fail.
func TestRecoveryNeedsAnswersInARow(t *testing.T) {
	var d Detector
	fail(t, &d, start)
	for _, o := range []Outcome{Answered, Reset, Answered, TooFast, Answered} {
		if d.Record(start, Result{Outcome: o}) != Unchanged {
			t.Fatal("recovered")
		}
	}
	if d.Record(start, Result{Outcome: Answered}) != Recovered {
		t.Error("not recovered after two answers in a row")
	}
}

// Guards against a target staying out of use for good after its requests have become short, as
// after a new release: its answers look like errors for as long as its process runs.
func TestTargetWhoseRequestsBecomeShortRecovers(t *testing.T) {
	const typical, short = 47 * time.Millisecond, 2 * time.Millisecond
	var d Detector
	now := start
	for range 2 * minBaseline {
		d.Record(now, Result{Outcome: Answered, Elapsed: typical})
	}
	for range maxFast {
		d.Record(now, Result{Outcome: d.Classify(short, typical), Elapsed: short})
	}
	if !d.Failing() {
		t.Fatal("the target is not failing after a run of too fast answers")
	}
	for ; now.Sub(start) < maxFastDuration; now = now.Add(time.Second) {
		if d.Record(now, Result{Outcome: d.Classify(short, typical), Elapsed: short}) != Unchanged {
			t.Fatalf("the target recovered after %v", now.Sub(start))
		}
	}
	if d.Record(now, Result{Outcome: d.Classify(short, typical), Elapsed: short}) != Recovered {
		t.Fatal("the target has not recovered")
	}
	for range 1000 {
		d.Record(now, Result{Outcome: d.Classify(short, typical), Elapsed: short})
		if d.Failing() {
			t.Fatal("the target is failing again: ", d.Reason())
		}
	}
}
