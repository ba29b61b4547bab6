package pacing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testSlots = 6
	// requestTime is the mean time of a request at a warm target.
	requestTime = 47 * time.Millisecond
	// step is the step of the virtual time.
	step = time.Millisecond
)

// target is a simulated target with its limiter. It executes as many requests at once as the
// limiter allows.
type target struct {
	limiter   Limiter
	slots     int
	slowdown  float64
	running   []run
	answered  int
	halved    int
	maxAtOnce int
}

type run struct{ delivered, end time.Time }

// service is a number of targets with a common queue, in virtual time.
type service struct {
	t       *testing.T
	now     time.Time
	targets []*target
	// perSecond is the load, queued the number of waiting requests.
	perSecond, queued float64
	typical           time.Duration
	// spread is the part of the mean by which request times vary to both sides, tail the share
	// of requests that take seven times the mean.
	spread, tail float64
	rand         *rand.Rand
}

// newService returns targets that are warm and have all slots.
func newService(t *testing.T, targets int, load float64) *service {
	s := &service{t: t, now: time.Unix(1000, 0), typical: requestTime, rand: rand.New(rand.NewPCG(1, 2))}
	for range targets {
		x := &target{slots: testSlots, slowdown: 1}
		x.limiter.SetSlots(testSlots)
		s.targets = append(s.targets, x)
	}
	s.setLoad(load)
	return s
}

// setLoad sets the load as a multiple of what warm targets can do.
func (s *service) setLoad(load float64) {
	s.perSecond = load * float64(len(s.targets)*testSlots) / requestTime.Seconds()
}

func (s *service) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		s.queued += s.perSecond * step.Seconds()
		for _, x := range s.targets {
			s.finish(x)
		}
		for range testSlots {
			for _, x := range s.targets {
				s.start(x)
			}
		}
		for _, x := range s.targets {
			x.limiter.Advance(s.now, s.queued >= 1)
			if x.limiter.Limit() < 1 || x.limiter.Limit() > x.slots {
				s.t.Fatalf("limit %d of %d slots", x.limiter.Limit(), x.slots)
			}
		}
	}
}

func (s *service) finish(x *target) {
	x.running = slices.DeleteFunc(x.running, func(r run) bool {
		if r.end.After(s.now) {
			return false
		}
		x.answered++
		if x.limiter.Answered(s.now, s.now.Sub(r.delivered), s.typical) {
			x.halved++
		}
		return true
	})
}

func (s *service) start(x *target) {
	if s.queued < 1 || len(x.running) >= x.limiter.Limit() {
		return
	}
	s.queued--
	d := float64(requestTime) * x.slowdown * (1 + s.spread*(2*s.rand.Float64()-1))
	if s.rand.Float64() < s.tail {
		d *= 7
	}
	x.running = append(x.running, run{s.now, s.now.Add(time.Duration(d))})
	x.maxAtOnce = max(x.maxAtOnce, len(x.running))
}

// waitFor runs until a condition holds, and returns how long that took.
func (s *service) waitFor(limit time.Duration, what string, condition func() bool) time.Duration {
	s.t.Helper()
	began := s.now
	for !condition() {
		if s.now.Sub(began) > limit {
			s.t.Fatalf("%s not within %s", what, limit)
		}
		s.run(step)
	}
	return s.now.Sub(began)
}

func (x *target) isFull() bool { return x.limiter.Limit() == x.slots }

// A cold target at a fifth of its speed must not get all slots' requests while it is slow.
// Load: as much as the target can do when it is warm.
func TestColdTargetStartsWithThirdOfSlots(t *testing.T) {
	s := newService(t, 1, 1)
	x := s.targets[0]
	x.slowdown = 5
	x.limiter.Restart(s.now)
	if got := x.limiter.Limit(); got != 2 {
		t.Fatalf("starts with %d of %d", got, testSlots)
	}
	s.run(2 * time.Second)
	if x.maxAtOnce > 2 {
		t.Errorf("%d requests at once while slow", x.maxAtOnce)
	}
	x.slowdown = 1
	t.Logf("all slots %s after it is well", s.waitFor(time.Second, "all slots", x.isFull))
}

// A target that was reset to the start must reach its slots again soon, and not lie at the
// minimum to which its resets had brought it. Load: 0.8 of what it can do.
func TestTargetThatGoesDownAndUp(t *testing.T) {
	s := newService(t, 1, 0.8)
	x := s.targets[0]
	s.run(5 * time.Second)
	x.running = nil
	for range 14 { // 1.4 s with a reset each 100 ms
		x.limiter.Reset(s.now, s.typical)
		x.limiter.Advance(s.now, true)
		s.now = s.now.Add(100 * time.Millisecond)
	}
	if got := x.limiter.Limit(); got != 1 {
		t.Errorf("limit %d after resets", got)
	}
	x.limiter.Restart(s.now)
	if got := x.limiter.Limit(); got != 2 {
		t.Errorf("limit %d after the recovery", got)
	}
	s.waitFor(time.Second, "all slots", x.isFull)
}

// Resets of all running requests at one moment are one event.
func TestResetsOfOneMomentHalveOnce(t *testing.T) {
	s := newService(t, 1, 0)
	l := &s.targets[0].limiter
	for range testSlots {
		l.Reset(s.now, s.typical)
	}
	if got := l.Limit(); got != testSlots/2 {
		t.Errorf("limit %d after simultaneous resets", got)
	}
}

// A target that becomes five times slow must get less at once within a few answers, and its
// slots back when it is well. Load: 0.9 of what it can do when it is well.
func TestTargetSlowThenWell(t *testing.T) {
	s := newService(t, 1, 0.9)
	x := s.targets[0]
	s.run(5 * time.Second)
	x.slowdown = 5
	t.Logf("the minimum after %s", s.waitFor(2*time.Second, "the minimum", func() bool { return x.limiter.Limit() == 1 }))
	s.run(5 * time.Second)
	if got := x.limiter.Limit(); got != 1 {
		t.Errorf("limit %d after 5 s of slowness", got)
	}
	x.slowdown = 1
	t.Logf("all slots %s after it is well", s.waitFor(time.Second, "all slots", x.isFull))
}

// Slow answers to the requests that ran when the limit was halved must not halve it again.
func TestHalvedOnceInRequestTime(t *testing.T) {
	s := newService(t, 1, 1)
	l := &s.targets[0].limiter
	for range testSlots {
		l.Answered(s.now, 5*requestTime, requestTime)
	}
	if got := l.Limit(); got != testSlots/2 {
		t.Errorf("limit %d after %d slow answers of one moment", got, testSlots)
	}
}

// One slow answer must not halve the limit, whatever came before.
func TestSingleSlowAnswerIsIgnored(t *testing.T) {
	s := newService(t, 1, 1)
	l := &s.targets[0].limiter
	for range 100 {
		s.now = s.now.Add(requestTime)
		l.Answered(s.now, 7*requestTime, requestTime)
		l.Answered(s.now, requestTime, requestTime)
		if !s.targets[0].isFull() {
			t.Fatalf("limit %d", l.Limit())
		}
	}
}

// A failure domain of ten targets that returns cold under 1.8 times the load of what its warm
// targets can do must not be flooded while it is slow, and must have its slots once warm.
func TestDomainReturnsUnderOverload(t *testing.T) {
	s := newService(t, 10, 1.8)
	for _, x := range s.targets {
		x.slowdown = 4
		x.limiter.Restart(s.now)
	}
	s.run(time.Second)
	for i, x := range s.targets {
		if x.maxAtOnce > 2 {
			t.Errorf("target %d: %d requests at once while cold", i, x.maxAtOnce)
		}
		x.slowdown = 1
	}
	for i, x := range s.targets {
		took := s.waitFor(time.Second, "all slots", x.isFull)
		t.Logf("target %d: all slots after another %s", i, took)
	}
}

// A tail of 3% of the requests at seven times the mean must not hold the limit down. Load:
// 0.9 of what the target can do without the tail, which is more than it can do with it.
func TestTailDoesNotHoldLimitDown(t *testing.T) {
	for seed := range uint64(5) {
		s := newService(t, 1, 0.9)
		s.tail, s.spread, s.rand = 0.03, 0.5, rand.New(rand.NewPCG(seed, 3))
		x := s.targets[0]
		sum, steps := 0, int(time.Minute/step)
		for range steps {
			s.run(step)
			sum += x.limiter.Limit()
		}
		mean := float64(sum) / float64(steps)
		t.Logf("seed %d: mean limit %.2f of %d, halved %d times in %d answers", seed, mean, testSlots, x.halved, x.answered)
		if mean < 0.97*testSlots {
			t.Errorf("seed %d: the limit is held down", seed)
		}
	}
}

// A service whose targets all start cold has nothing to compare with: each target must reach
// its slots within about as many answers as it has slots, and must not be held down when the
// typical time becomes known. Load: 1.8 times what the warm targets can do.
func TestWholeServiceStarts(t *testing.T) {
	s := newService(t, 9, 1.8)
	s.typical = 0
	for _, x := range s.targets {
		x.slowdown = 5
		x.limiter.Restart(s.now)
	}
	for i, x := range s.targets {
		s.waitFor(time.Second, "all slots", x.isFull)
		if x.answered > testSlots {
			t.Errorf("target %d: all slots after %d answers", i, x.answered)
		}
	}
	s.typical = 5 * requestTime // the median of its agents
	s.run(10 * time.Second)
	for i, x := range s.targets {
		if x.halved > 0 || !x.isFull() {
			t.Errorf("target %d: limit %d, halved %d times", i, x.limiter.Limit(), x.halved)
		}
	}
}

// A service whose targets are all replaced at once, while its agents live on and remember the
// usual time, must not be held down longer than the typical time takes to follow: agents report
// a moving average with each ping. Load: 1.8 times what the warm targets can do.
func TestAllTargetsReplacedBesideLivingAgents(t *testing.T) {
	s := newService(t, 9, 0.9)
	s.run(10 * time.Second)
	s.setLoad(1.8)
	for _, x := range s.targets {
		x.slowdown, x.running, x.answered = 5, nil, 0
		x.limiter.Restart(s.now)
	}
	began := s.now
	for !s.allFull() {
		if s.now.Sub(began) > 5*time.Second {
			t.Fatal("held down for 5 s")
		}
		s.run(500 * time.Millisecond)
		var means []time.Duration
		for _, x := range s.targets {
			means = append(means, x.limiter.best.mean)
		}
		slices.Sort(means)
		s.typical = means[len(means)/2]
	}
	t.Logf("all slots after %s, halved %d times at the first target in %d answers", s.now.Sub(began), s.targets[0].halved, s.targets[0].answered)
}

func (s *service) allFull() bool {
	return !slices.ContainsFunc(s.targets, func(x *target) bool { return !x.isFull() })
}

// An idle target must not stay at its start. Load: none.
func TestIdleTargetRises(t *testing.T) {
	s := newService(t, 1, 0)
	l := &s.targets[0].limiter
	l.Advance(s.now, false)
	l.Restart(s.now)
	for i, want := range []int{4, 6, 6} { // ticks come each 500 ms
		s.now = s.now.Add(500 * time.Millisecond)
		l.Advance(s.now, false)
		if got := l.Limit(); got != want {
			t.Errorf("limit %d after tick %d, want %d", got, i+1, want)
		}
	}
}

// A target whose requests wait is not idle: time alone must not raise its limit.
func TestWaitingTargetDoesNotRiseByTime(t *testing.T) {
	s := newService(t, 1, 0)
	l := &s.targets[0].limiter
	l.Advance(s.now, true)
	l.Restart(s.now)
	for range 20 {
		s.now = s.now.Add(500 * time.Millisecond)
		l.Advance(s.now, true)
	}
	if got := l.Limit(); got != 2 {
		t.Errorf("limit %d", got)
	}
}

// Answers that a freeze of the host has delayed are not slow, and the time of the freeze is
// no idle time. Load: all slots busy when the host freezes.
func TestFrozenHost(t *testing.T) {
	s := newService(t, 1, 1)
	x := s.targets[0]
	s.run(2 * time.Second)
	s.now = s.now.Add(3 * time.Second)
	x.limiter.Advance(s.now, true)
	s.finish(x)
	if x.halved > 0 || !x.isFull() {
		t.Errorf("limit %d after a freeze", x.limiter.Limit())
	}
	x.limiter.Restart(s.now)
	x.limiter.Advance(s.now, false)
	s.now = s.now.Add(10 * time.Second)
	x.limiter.Advance(s.now, false)
	if got := x.limiter.Limit(); got != 2 {
		t.Errorf("limit %d after a freeze in a ramp", got)
	}
}

// A target at 0.55 of the usual speed is not slow: its own best mean and twice the typical
// time must let it have its slots. Load: 0.5 of what a target of the usual speed can do.
func TestSlowerTargetIsNotHeldDown(t *testing.T) {
	s := newService(t, 1, 0.5)
	x := s.targets[0]
	x.slowdown = 1 / 0.55
	x.limiter.Restart(s.now)
	s.waitFor(time.Second, "all slots", x.isFull)
	s.run(10 * time.Second)
	if x.halved > 0 {
		t.Errorf("halved %d times", x.halved)
	}
}

// A target whose requests have become longer for good is judged by them after two windows.
// Load: 0.1 of what it could do before.
func TestBestMeanExpires(t *testing.T) {
	s := newService(t, 1, 0.1)
	s.typical = 0
	x := s.targets[0]
	s.run(10 * time.Second)
	x.slowdown = 5
	s.run(2 * bestWindow)
	x.halved = 0
	s.run(bestWindow)
	if x.halved > 0 || !x.isFull() {
		t.Errorf("limit %d, halved %d times", x.limiter.Limit(), x.halved)
	}
	if got := x.limiter.Usual(s.now, 0); got < 4*requestTime {
		t.Errorf("usual time %s", got)
	}
}

// More or fewer slots in a heartbeat must keep the limit within the slots.
func TestSlotsChange(t *testing.T) {
	var l Limiter
	l.SetSlots(3)
	if l.Limit() != 3 {
		t.Errorf("limit %d of 3", l.Limit())
	}
	l.SetSlots(9)
	if l.Limit() != 9 {
		t.Errorf("limit %d of 9", l.Limit())
	}
	l.Restart(time.Unix(1000, 0))
	l.SetSlots(2)
	if l.Limit() != 2 {
		t.Errorf("limit %d of 2", l.Limit())
	}
	l.SetSlots(0)
	if l.Limit() != 0 {
		t.Errorf("limit %d of none", l.Limit())
	}
}
