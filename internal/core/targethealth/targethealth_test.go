package targethealth

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// fail makes the detector's target failing by three errors.
func fail(t *testing.T, d *Detector, now time.Time) {
	t.Helper()
	for range maxFailures {
		d.Record(now, Result{Outcome: TooFast})
	}
	if !d.Failing() {
		t.Fatal("the target is not failing after three errors in a row")
	}
}

// Guards against a target that answers errors within 1.6 ms, where the service takes 47 ms,
// and looks idle (600 errors in 4 s).
func TestFastErrorsMakeATargetFailing(t *testing.T) {
	const typical = 47 * time.Millisecond
	var d Detector
	for i := range maxFailures {
		if d.Failing() {
			t.Fatalf("failing after %d errors", i)
		}
		d.Record(start, Result{Outcome: Classify(1600*time.Microsecond, typical)})
	}
	if !d.Failing() || d.Reason() == "" {
		t.Errorf("failing is %v with reason %q", d.Failing(), d.Reason())
	}
}

// Guards against fast answers being taken for errors: of a service that takes 4.2 ms, or one
// whose time is unknown.
func TestFastAnswersOfAFastServiceAreAnswers(t *testing.T) {
	for _, typical := range []time.Duration{0, 4200 * time.Microsecond} {
		if got := Classify(100*time.Microsecond, typical); got != Answered {
			t.Errorf("typical time %v: %v", typical, got)
		}
	}
}

// Guards against a tail of 3% at seven times the mean of 47 ms, on a target with 0.55 of the
// usual speed, making it failing.
func TestLongTailDoesNotMakeATargetFailing(t *testing.T) {
	const typical = 47 * time.Millisecond
	r := rand.New(rand.NewPCG(1, 1))
	var d Detector
	for range 100_000 {
		elapsed := time.Duration((0.5 + r.Float64()) * float64(typical) / 0.55)
		if r.Float64() < 0.03 {
			elapsed *= 7
		}
		outcome := Classify(elapsed, typical)
		if elapsed > UnansweredAfter(typical) {
			outcome = Unanswered
		}
		if d.Record(start, Result{Outcome: outcome}) != Unchanged {
			t.Fatal("the target is failing: ", d.Reason())
		}
	}
}

// Guards against a target that fails 45% of its requests being served as a healthy one. 100
// openings are offered in a second, each with one request. Every failure is an error, or every
// one a reset.
func TestTargetThatFailsPartOfItsRequestsGetsFew(t *testing.T) {
	for _, failure := range []Outcome{TooFast, Reset} {
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
