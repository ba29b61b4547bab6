package steering_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// countByAgent returns the number of offers to each agent.
func countByAgent(offers []offeredOpening, agents int) []int {
	counts := make([]int, agents)
	for _, o := range offers {
		counts[o.agent]++
	}
	return counts
}

// One target has a free slot and another none, at 1.3 times the load of the first. Openings
// must go to the free one until it is taken, by the balancer's own count since the report.
func TestFreeSlotsComeFirst(t *testing.T) {
	b := newObjectiveBalancer("a", "a")
	b.report(0, slotStatus(1, 30*time.Millisecond))
	b.report(1, slotStatus(4, 30*time.Millisecond))
	for range 2 {
		b.open(postAddress)
	}
	if got := countByAgent(b.takeOffers(), 2); got[0] != 2 {
		t.Errorf("offers by agent are %v, want the two free slots used", got)
	}
	b.open(postAddress)
	if got := countByAgent(b.takeOffers(), 2); got[0] != 1 {
		t.Errorf("offers by agent are %v, want the shorter wait at agent 0", got)
	}
}

// A target at four times its capacity with feeds only: posts have a higher priority and
// must be offered, as none of the waiting feeds is ahead of them.
func TestWaitCountsOnlyTheSameAndHigherPriorities(t *testing.T) {
	b := newObjectiveBalancer("a")
	s := slotStatus(12, 30*time.Millisecond)
	s.InFlight, s.Ahead = 12, [steering.NumPriorities]uint16{3, 3, 30, 30}
	b.report(0, s)
	b.open(feedAddress)
	if got := b.takeOffers(); len(got) != 0 {
		t.Errorf("a feed behind 30 requests is offered: %+v", got)
	}
	b.open(postAddress)
	if got := b.takeOffers(); len(got) != 1 {
		t.Errorf("%d offers of a post behind 3 requests, want 1", len(got))
	}
}

// An opening waits at an agent only if wait and request fit into half of what remains of
// its objective; an unknown request time counts as 100 ms.
func TestOpeningWaitsWithinHalfOfTheRemainingObjective(t *testing.T) {
	for name, tt := range map[string]struct {
		ahead       uint16
		requestTime time.Duration
		copies      uint32
		offered     bool
	}{
		"fits":                       {5, 60 * time.Millisecond, 0, true},  // 60 + 60 of 125 ms
		"too long":                   {5, 70 * time.Millisecond, 0, false}, // 70 + 70 of 125 ms
		"beyond the usual load":      {6, time.Millisecond, 0, false},      // two requests per slot
		"late, waits":                {4, 40 * time.Millisecond, 1, false}, // 27 + 40 of 25 ms
		"late, free slot":            {2, 40 * time.Millisecond, 1, true},  // may still be answered in time
		"unknown time":               {3, 0, 0, false},                     // 33 + 100 of 125 ms
		"unknown time and free slot": {2, 0, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newObjectiveBalancer("a")
			b.report(0, slotStatus(tt.ahead, tt.requestTime))
			b.sendCopy(1, feedAddress, tt.copies)
			if got := len(b.takeOffers()) == 1; got != tt.offered {
				t.Errorf("offered is %v, want %v", got, tt.offered)
			}
		})
	}
}

// An agent refuses a feed as busy, at the usual load of its status. It would refuse other
// feeds with no more time left, but perhaps not posts, which are more important.
func TestBusyRefusalExcludesLessImportantOpenings(t *testing.T) {
	b := newObjectiveBalancer("a")
	b.report(0, slotStatus(0, 30*time.Millisecond))
	b.open(feedAddress)
	b.refuse(b.takeOffers()[0], steering.RefusedBusy)
	b.open(feedAddress)
	if got := b.takeOffers(); len(got) != 0 {
		t.Errorf("another feed is offered to the busy agent: %+v", got)
	}
	b.open(postAddress)
	offers := b.takeOffers()
	if len(offers) != 1 {
		t.Fatalf("%d offers of a post, want 1", len(offers))
	}
	b.report(0, slotStatus(0, 30*time.Millisecond))
	if got := b.takeOffers(); len(got) != 2 {
		t.Errorf("%d queued feeds are offered after the next status, want 2", len(got))
	}
}

// The own domain is at its capacity or slow, another has room. Openings must go there if it
// answers clearly sooner, and only then: traffic between domains is costly.
func TestSpillToAnotherDomain(t *testing.T) {
	for name, tt := range map[string]struct {
		local, remote steering.Status
		want          int
	}{
		"own has a free slot":           {slotStatus(2, 40*time.Millisecond), slotStatus(0, 10*time.Millisecond), 0},
		"own waits, other is free":      {slotStatus(6, 40*time.Millisecond), slotStatus(0, 40*time.Millisecond), 1},
		"own waits, other hardly less":  {slotStatus(4, 40*time.Millisecond), slotStatus(3, 40*time.Millisecond), 0},
		"own free but slow, other fast": {slotStatus(0, 160*time.Millisecond), slotStatus(0, 40*time.Millisecond), 1},
		"own free but slow, other too":  {slotStatus(0, 160*time.Millisecond), slotStatus(0, 120*time.Millisecond), 0},
		"own full":                      {slotStatus(100, 40*time.Millisecond), slotStatus(4, 40*time.Millisecond), 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newObjectiveBalancer("a", "b")
			b.report(0, tt.local)
			b.report(1, tt.remote)
			b.open(feedAddress)
			if got := b.takeOffers(); len(got) != 1 || got[0].agent != tt.want {
				t.Errorf("offers are %+v, want one to agent %d", got, tt.want)
			}
		})
	}
}

// failingAgentStatus is the status of an idle agent that refuses openings as failing.
func failingAgentStatus() steering.Status {
	s := slotStatus(0, 30*time.Millisecond)
	s.Refusal = steering.RefusedFailing
	return s
}

// All targets fail, at any load. The service must not stop: openings are offered as the
// last resort, also if the balancer learns of the failure by a refusal.
func TestFailingAgentsAreTheLastResort(t *testing.T) {
	b := newObjectiveBalancer("a", "a")
	for i := range 2 {
		b.report(i, failingAgentStatus())
	}
	b.open(postAddress)
	if got := b.takeOffers(); len(got) != 1 || !got[0].LastResort {
		t.Errorf("offers are %+v, want one as the last resort", got)
	}

	b = newObjectiveBalancer("a")
	b.report(0, slotStatus(0, 30*time.Millisecond))
	b.open(postAddress)
	first := b.takeOffers()
	if len(first) != 1 || first[0].LastResort {
		t.Fatalf("offers to a healthy agent are %+v", first)
	}
	b.refuse(first[0], steering.RefusedFailing)
	again := b.takeOffers()
	if len(again) != 1 || !again[0].LastResort {
		t.Fatalf("offers after the refusal are %+v, want one as the last resort", again)
	}
	b.refuse(again[0], steering.RefusedFailing)
	if got := b.takeOffers(); len(got) != 0 {
		t.Errorf("an agent that refuses the last resort gets it again at once: %+v", got)
	}
}

// One target fails and the other is at its capacity. Openings must wait for the healthy
// one: at the failing one, requests that may not run twice would be lost.
func TestOpeningsWaitForAHealthyAgent(t *testing.T) {
	b := newObjectiveBalancer("a", "a")
	b.report(0, failingAgentStatus())
	b.report(1, slotStatus(100, time.Second))
	b.open(postAddress)
	if got := b.takeOffers(); len(got) != 0 {
		t.Errorf("offers are %+v, want none", got)
	}
	b.report(1, slotStatus(0, 30*time.Millisecond))
	if got := b.takeOffers(); len(got) != 1 || got[0].agent != 1 || got[0].LastResort {
		t.Errorf("offers are %+v, want one to agent 1", got)
	}
}

// A target has failed and could work again while others have room for all. It must get an
// opening now and then, or it would never be used again: an idempotent one each 200 ms.
func TestFailingAgentMayTestItsTarget(t *testing.T) {
	b := newObjectiveBalancer("a", "a")
	toFailing := 0
	for i := range 100 { // 100 openings a second
		b.now = b.now.Add(10 * time.Millisecond)
		b.report(0, failingAgentStatus())
		b.report(1, slotStatus(0, time.Millisecond))
		address := feedAddress
		if i%2 == 0 {
			address = postAddress
		}
		b.open(address)
		for _, o := range b.takeOffers() {
			if o.agent != 0 {
				continue
			}
			toFailing++
			if o.NonIdempotent || o.LastResort {
				t.Errorf("a failing agent is offered %+v", o)
			}
		}
	}
	if toFailing != 5 {
		t.Errorf("%d openings in a second are offered to a failing agent, want 5", toFailing)
	}
}

// An opening that a failing agent refused as a test must go to a healthy one next, not to
// other failing ones: each refusal costs its caller a round trip.
func TestRefusedTestGoesToAHealthyAgent(t *testing.T) {
	b := newObjectiveBalancer("a", "a", "a")
	b.report(0, failingAgentStatus())
	b.report(1, failingAgentStatus())
	b.report(2, slotStatus(0, 30*time.Millisecond))
	b.open(feedAddress)
	first := b.takeOffers()
	if len(first) != 1 || first[0].agent == 2 {
		t.Fatalf("offers are %+v, want one to a failing agent", first)
	}
	b.refuse(first[0], steering.RefusedFailing)
	if got := b.takeOffers(); len(got) != 1 || got[0].agent != 2 {
		t.Errorf("offers after the refusal are %+v, want one to agent 2", got)
	}
}

// Agents of the previous version report neither wait nor request time. They get openings
// by their load as before, also beside new ones.
func TestAgentsOfThePreviousVersionAreComparedByLoad(t *testing.T) {
	old := func(inFlight uint16) steering.Status {
		return steering.Status{Service: steering.ServiceIDOf(serviceName), Slots: objectiveSlot, InFlight: inFlight, RequestsPerSecond: 1}
	}
	b := newObjectiveBalancer("a", "a")
	b.report(0, old(2*objectiveSlot))
	b.open(feedAddress)
	if got := b.takeOffers(); len(got) != 0 {
		t.Errorf("offers to an agent with two requests per slot: %+v", got)
	}
	b.report(0, old(3))
	b.report(1, old(1))
	if got := b.takeOffers(); len(got) != 1 {
		t.Errorf("%d offers once there is room, want 1", len(got))
	}
	b.report(0, old(3))
	b.report(1, old(1))
	b.open(feedAddress)
	if got := b.takeOffers(); len(got) != 1 || got[0].agent != 1 {
		t.Errorf("offers are %+v, want one to the less loaded agent 1", got)
	}
	b.report(1, slotStatus(2, 30*time.Millisecond))
	b.report(0, old(1))
	b.open(feedAddress)
	if got := b.takeOffers(); len(got) != 1 || got[0].agent != 0 {
		t.Errorf("offers are %+v, want one to the less loaded agent 0 of the previous version", got)
	}
}

// Agents judge their targets by the median request time of the service, which pings tell.
// With fewer than three agents a median does not tell which one is slow.
func TestPingsTellTheTypicalRequestTime(t *testing.T) {
	b := newObjectiveBalancer("a", "a", "a", "a")
	for i, requestTime := range []time.Duration{40, 300} {
		b.report(i, slotStatus(0, requestTime*time.Millisecond))
	}
	b.now = b.now.Add(time.Second)
	b.step(&steering.Tick{})
	if b.typical != 0 {
		t.Errorf("pings tell %v with two agents, want 0", b.typical)
	}
	for i, requestTime := range []time.Duration{40, 300, 47, 0} { // 0 is unknown
		b.report(i, slotStatus(0, requestTime*time.Millisecond))
	}
	b.now = b.now.Add(500 * time.Millisecond)
	b.step(&steering.Tick{})
	if b.typical != 47*time.Millisecond {
		t.Errorf("pings tell %v, want 47ms", b.typical)
	}
}

// After a surge hundreds of openings with objectives are queued. A status of an agent
// without capacity must stay cheap, as for routes without an objective.
func TestStatusOfFullAgentIsCheapWithManyQueuedObjectives(t *testing.T) {
	const agents, waiting, statuses = 34, 900, 300
	cost := func(waiting int) time.Duration {
		b := newObjectiveBalancer(make([]string, agents)...)
		b.fill()
		for i := range waiting {
			b.open([]steering.Endpoint{feedAddress, postAddress}[i%2])
		}
		least := time.Hour
		for range 5 { // the minimum, as other processes may delay some
			began := time.Now()
			for i := range statuses {
				b.report(i%agents, slotStatus(100, time.Second))
			}
			least = min(least, time.Since(began))
		}
		return least
	}
	none, many := cost(0), cost(waiting)
	if many > 10*none+time.Millisecond {
		t.Errorf("%d statuses take %v with %d queued flows, %v with none", statuses, many, waiting, none)
	}
}

// unevenTarget is a target with slots and a speed, and the admission of its agent.
type unevenTarget struct {
	requestTime time.Duration
	inFlight    int
	served      int
}

const unevenSlots = 6

func (u *unevenTarget) status() steering.Status {
	s := slotStatus(uint16(u.inFlight), u.requestTime)
	s.Slots, s.Concurrency, s.RequestsPerSecond = unevenSlots, unevenSlots, uint16(unevenSlots/u.requestTime.Seconds())
	return s
}

// wait is the estimate of docs/design/OVERLOAD.md, part A.
func (u *unevenTarget) wait() time.Duration {
	return time.Duration(max(0, u.inFlight-unevenSlots+1)) * u.requestTime / unevenSlots
}

// unevenWorld is targets of uneven speed behind balancers, in virtual time.
type unevenWorld struct {
	now       time.Time
	targets   []*unevenTarget
	balancers []*objectiveBalancer
	// waiting holds the balancers that each target's agent refused since its last notice.
	waiting []map[int]bool
	events  eventQueue
	random  *rand.Rand

	late, served   int
	waited, lasted time.Duration
}

func (w *unevenWorld) schedule(d time.Duration, run func()) {
	heap.Push(&w.events, event{w.now.Add(d), len(w.events), run})
}

// accept handles the offers of a balancer by the admission rule of its agents.
func (w *unevenWorld) accept(balancer int) {
	b := w.balancers[balancer]
	for _, o := range b.takeOffers() {
		u := w.targets[o.agent]
		wait := u.wait()
		if u.inFlight >= unevenSlots && wait+u.requestTime > o.Demand.Objective/2 {
			w.waiting[o.agent][balancer] = true
			b.refuse(o, steering.RefusedBusy)
			w.accept(balancer)
			continue
		}
		u.inFlight++
		u.served++
		w.served++
		w.waited += wait
		w.lasted += wait + u.requestTime
		if wait+u.requestTime > o.Demand.Objective {
			w.late++
		}
		w.schedule(wait+u.requestTime, func() {
			u.inFlight--
			for waiting := range w.balancers {
				if w.waiting[o.agent][waiting] && u.inFlight < unevenSlots {
					delete(w.waiting[o.agent], waiting)
					w.report(waiting, o.agent)
					return
				}
			}
		})
	}
}

// report sends a target's status to a balancer.
func (w *unevenWorld) report(balancer, target int) {
	w.balancers[balancer].now = w.now
	w.balancers[balancer].report(target, w.targets[target].status())
	w.accept(balancer)
}

// reportRegularly sends a target's status to a balancer at the interval of pings.
func (w *unevenWorld) reportRegularly(balancer, target int) {
	w.report(balancer, target)
	w.schedule(500*time.Millisecond, func() { w.reportRegularly(balancer, target) })
}

// arrive opens flows at random balancers at a rate per second.
func (w *unevenWorld) arrive(rate float64) {
	balancer := w.random.IntN(len(w.balancers))
	w.balancers[balancer].now = w.now
	w.balancers[balancer].open(postAddress)
	w.accept(balancer)
	w.schedule(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() { w.arrive(rate) })
}

// A quarter of 16 targets run at 0.55 of the usual speed, the others at 1.2, at 0.8 of their
// capacity. Load must follow the speed, and hardly a request may miss its objective.
func TestUnevenTargetsGetLoadInProportion(t *testing.T) {
	for name, balancers := range map[string]int{"one balancer": 1, "eight balancers": 8} {
		t.Run(name, func(t *testing.T) { testUnevenTargets(t, balancers) })
	}
}

func testUnevenTargets(t *testing.T, balancers int) {
	t.Helper()
	const (
		targets    = 16
		work       = 61 * time.Millisecond
		duration   = 10 * time.Second
		usage      = 0.8
		slow, fast = 0.55, 1.2
	)
	w := &unevenWorld{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2))}
	capacity := 0.0
	for i := range targets {
		speed := fast
		if i%4 == 0 {
			speed = slow
		}
		w.targets = append(w.targets, &unevenTarget{requestTime: time.Duration(float64(work) / speed)})
		w.waiting = append(w.waiting, make(map[int]bool))
		capacity += unevenSlots * speed / work.Seconds()
	}
	for i := range balancers {
		domains := make([]string, targets)
		for j := range domains {
			domains[j] = "a"
		}
		w.balancers = append(w.balancers, newObjectiveBalancer(domains...))
		w.balancers[i].port = uint16(i) << 12
		for j := range targets {
			w.schedule(time.Duration(w.random.IntN(500))*time.Millisecond, func() { w.reportRegularly(i, j) })
		}
	}
	w.schedule(500*time.Millisecond, func() { w.arrive(usage * capacity) })
	for end := w.now.Add(duration); w.events[0].at.Before(end); {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	var served [2]int
	for i, u := range w.targets {
		served[min(i%4, 1)] += u.served
	}
	ratio := float64(served[1]) / 3 / float64(served[0])
	t.Logf("%d served, %d late, mean wait %v of %v, a fast target has %.2f times the requests of a slow one",
		w.served, w.late, w.waited/time.Duration(w.served), w.lasted/time.Duration(w.served), ratio)
	if want := fast / slow; ratio < 0.75*want || ratio > 1.3*want {
		t.Errorf("a fast target gets %.2f times the requests of a slow one, want about %.2f", ratio, want)
	}
	if w.late > w.served/100 {
		t.Errorf("%d of %d are late", w.late, w.served)
	}
}

// A crowd of feeds fills all targets, some of them longer than others. A post must go to a target
// below the usual load while there is one, must find its way when two agents turn out to be
// loaded, and must not be turned away while its priority has room.
func TestPostGoesToALoadedAgentOnlyAtLast(t *testing.T) {
	b := newObjectiveBalancer("a", "a", "a")
	loaded := slotStatus(9, 20*time.Millisecond)
	loaded.Ahead = [steering.NumPriorities]uint16{3, 3, 9, 9}
	b.report(0, loaded)
	b.report(1, slotStatus(5, 20*time.Millisecond))
	b.report(2, slotStatus(5, 20*time.Millisecond))
	b.open(postAddress)
	tried := map[int]bool{0: true}
	for i := range 2 {
		offers := b.takeOffers()
		if len(offers) != 1 || offers[0].MayDelay || tried[offers[0].agent] {
			t.Fatalf("offer %d is %+v, want another agent below the usual load", i+1, offers)
		}
		tried[offers[0].agent] = true
		b.refuse(offers[0], steering.RefusedLoaded)
	}
	offers := b.takeOffers()
	if len(offers) != 1 || !offers[0].MayDelay {
		t.Fatalf("the last offer is %+v, want one that may delay others", offers)
	}
}

// Agents refuse an opening as loaded whatever it says: the offers must end. A cold or failing agent
// was offered the same opening again for each refusal, without end and without MayDelay.
func TestOffersOfAnOpeningRefusedAsLoadedAreBounded(t *testing.T) {
	const bound = 6 // two refusals after which the agent remains a candidate, and maxOffers
	for name, refusal := range map[string]steering.Refusal{
		"open": steering.NotRefused, "cold": steering.RefusedCold, "failing": steering.RefusedFailing,
	} {
		for _, agents := range [][]string{{"a"}, {"a", "a", "a", "a", "a", "a", "a", "a"}} {
			t.Run(fmt.Sprintf("%s, %d agents", name, len(agents)), func(t *testing.T) {
				b := newObjectiveBalancer(agents...)
				for i := range agents {
					s := slotStatus(0, 30*time.Millisecond)
					s.Refusal = refusal
					b.report(i, s)
				}
				b.open(postAddress)
				n, mayDelay := 0, false
				for offers := b.takeOffers(); len(offers) > 0; offers = b.takeOffers() {
					if n += len(offers); n > bound {
						t.Fatalf("more than %d offers of one opening", bound)
					}
					if mayDelay = offers[0].MayDelay; n > 2 && !mayDelay {
						t.Errorf("offer %d does not say that the opening may delay others", n)
					}
					b.refuse(offers[0], steering.RefusedLoaded)
				}
				if !mayDelay {
					t.Errorf("the last of %d offers does not say that the opening may delay others", n)
				}
			})
		}
	}
}
