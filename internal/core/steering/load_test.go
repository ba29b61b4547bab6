package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// The size of the replays, and the shares that the acceptance goals of
// docs/design/OVERLOAD.md prescribe.
const (
	loadAgents, loadBalancers = 8, 4
	loadSlots                 = loadAgents * loadTargetSlots
	postShare, feedShare      = 0.95, 0.8
	// Of 67,480 requests at four times the load of deployment 1, fewer than 2,000 attempts
	// may end at a timeout.
	timedOutShare = 2000.0 / 67480
	// Usual rates of deployment 1, at this size: 24 of 120 slots.
	usualFeedRate, usualPostRate = 1312.0 / 5, 375.0 / 5
)

func newFeed(rate func(time.Duration) float64) *requestKind {
	return &requestKind{
		name: "feed", demand: steering.Demand{Priority: 2, Objective: 250 * time.Millisecond, Timeout: 3 * time.Second},
		idempotent: true, longFlows: true, segments: 1, work: 30 * time.Millisecond, spread: 0.3, rate: rate,
	}
}

func newPost(rate func(time.Duration) float64) *requestKind {
	return &requestKind{
		name: "post", demand: steering.Demand{Priority: 1, Objective: 300 * time.Millisecond, Timeout: 3 * time.Second},
		segments: 2, work: 39 * time.Millisecond, spread: 0.3, rate: rate,
	}
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// feedRateFor returns the rate of feed requests that, beside posts at a rate, asks for a
// multiple of the capacity of a number of slots.
func feedRateFor(slots, multiple, postRate float64) float64 {
	return (multiple*slots - postRate*0.039) / 0.030
}

// TestLoadFourTimesTheCapacity guards against the collapse of high-priority requests while
// four times the capacity is asked for 10 s.
func TestLoadFourTimesTheCapacity(t *testing.T) {
	const d, postRate = 10 * time.Second, 4 * usualPostRate
	feed, post := newFeed(constantRate(feedRateFor(loadSlots, 4, postRate))), newPost(constantRate(postRate))
	l := newLoadWorld(newWorld(t, 1), loadAgents, loadBalancers, feed, post)
	l.run(d)
	l.requireInTime(post, postShare)
	l.requireLeftOverUsed(feed, feedShare, loadSlots, d)
	if asked := feed.asked + post.asked; float64(feed.timedOutAttempts+post.timedOutAttempts) > timedOutShare*float64(asked) {
		t.Errorf("%d attempts of %d requests ended at a timeout", feed.timedOutAttempts+post.timedOutAttempts, asked)
	}
	if asked := feed.asked + post.asked; float64(feed.neverOffered+post.neverOffered) > timedOutShare*float64(asked) {
		t.Errorf("%d of %d requests were given up before they were offered", feed.neverOffered+post.neverOffered, asked)
	}
}

// TestLoadOneKindTenfold guards against one kind of caller at ten times its usual load
// displacing more important ones.
func TestLoadOneKindTenfold(t *testing.T) {
	const d = 6 * time.Second
	feed, post := newFeed(constantRate(10*usualFeedRate)), newPost(constantRate(usualPostRate))
	feed.segments = 4 // with four copies, more than an agent may keep of a flow
	l := newLoadWorld(newWorld(t, 2), loadAgents, loadBalancers, feed, post)
	l.run(d)
	l.requireInTime(post, postShare)
	l.requireLeftOverUsed(feed, feedShare, loadSlots, d)
}

// killHost ends a host with its agent and target. Its record lapses with its lease.
func (l *load) killHost(a *agentNode) {
	a.up, a.target.up, a.killedAt = false, false, l.w.now
	l.w.schedule(leaseTTL, func() { l.w.unregister(a) })
}

// leaseTTL is the time after which the store deletes the record of a lost host.
const leaseTTL = 2 * time.Second

// TestLoadThirdOfTargetsLost guards against posts that fail while another target has room:
// a third of the targets are lost at 1.8 times the usual load.
func TestLoadThirdOfTargetsLost(t *testing.T) {
	const (
		d            = 8 * time.Second
		agents, lost = 9, 3
		// multiple is relative to the usual load of this number of targets.
		multiple = 1.8 * agents / loadAgents
	)
	feed, post := newFeed(constantRate(multiple*usualFeedRate)), newPost(constantRate(multiple*usualPostRate))
	l := newLoadWorld(newWorld(t, 3), agents, loadBalancers, feed, post)
	l.w.schedule(2*time.Second, func() {
		for _, a := range l.w.agents[:lost] {
			l.killHost(a)
		}
	})
	l.run(d)
	l.requireInTime(post, postShare)
	l.requireLeftOverUsed(feed, feedShare, (agents-lost)*loadTargetSlots, d)
	// A post that may have run at a lost target must not run again. No other one may fail.
	if post.failed > post.lostWithTarget {
		t.Errorf("%d posts failed, %d of them because they may have run at a lost target", post.failed, post.lostWithTarget)
	}
}

// TestLoadUnevenTargets guards against flows placed without regard to the targets' speed:
// half of them have 0.5 and half 1.2 times the usual speed, and the load is 0.8 of the capacity.
func TestLoadUnevenTargets(t *testing.T) {
	const (
		d        = 6 * time.Second
		slow     = 0.5
		fast     = 1.2
		capacity = loadSlots / 2 * (slow + fast)
	)
	feed, post := newFeed(constantRate(feedRateFor(capacity, 0.8, usualPostRate))), newPost(constantRate(usualPostRate))
	// 3% of the requests take 7 times the mean, as in deployment 2.
	feed.work, feed.tailShare, feed.tailFactor = 25*time.Millisecond, 0.03, 7
	l := newLoadWorld(newWorld(t, 4), loadAgents, loadBalancers, feed, post)
	l.speed = func(a *agentNode) float64 {
		for i, other := range l.w.agents {
			// Both domains have targets of both speeds.
			if other == a && i < loadAgents/2 {
				return slow
			}
		}
		return fast
	}
	l.run(d)
	l.requireInTime(post, postShare)
	l.requireInTime(feed, postShare) // the capacity suffices for both kinds
}

// TestLoadMovesToAnotherDomain guards against requests that fail in one failure domain while
// another one is idle: all callers move, with 0.7 of the capacity of both domains.
func TestLoadMovesToAnotherDomain(t *testing.T) {
	const d = 8 * time.Second
	domain := func(elapsed time.Duration) string {
		if elapsed < d/4 {
			return domainNames[0]
		}
		return domainNames[1]
	}
	feed, post := newFeed(constantRate(feedRateFor(loadSlots, 0.7, usualPostRate))), newPost(constantRate(usualPostRate))
	feed.domain, post.domain = domain, domain
	l := newLoadWorld(newWorld(t, 5), loadAgents, loadBalancers, feed, post)
	l.run(d)
	l.requireInTime(post, postShare)
	l.requireAnswered(feed, feedShare)
}

// newOverloadedWorld returns a world with 1.5 times the capacity, so that requests wait at
// agents and balancers when a component fails.
func newOverloadedWorld(t *testing.T, seed uint64) (l *load, feed, post *requestKind) {
	t.Helper()
	const multiple = 1.5
	feed, post = newFeed(constantRate(feedRateFor(loadSlots, multiple, usualPostRate))), newPost(constantRate(usualPostRate))
	return newLoadWorld(newWorld(t, seed), loadAgents, loadBalancers, feed, post), feed, post
}

const (
	failureLoad = 5 * time.Second
	failureAt   = 2 * time.Second
	failureTime = time.Second
)

// runWithFailure applies the load with a failure and its repair, and checks the shares served.
func (l *load) runWithFailure(feed, post *requestKind, fail, repair func()) {
	l.w.t.Helper()
	l.w.schedule(failureAt, fail)
	l.w.schedule(failureAt+failureTime, repair)
	l.run(failureLoad)
	l.requireAnswered(post, postShare)
	l.requireLeftOverUsed(feed, feedShare, loadSlots, failureLoad)
}

// TestLoadBalancerKilled guards against callers without an outcome whose openings waited at a
// balancer that was killed.
func TestLoadBalancerKilled(t *testing.T) {
	l, feed, post := newOverloadedWorld(t, 6)
	b := l.w.balancers[0]
	l.runWithFailure(feed, post, func() { b.up = false }, func() { l.w.startBalancer(b) })
}

// TestLoadAgentRestarted guards against flows that are reset, or requests that never end, when
// an agent is restarted while requests wait there.
func TestLoadAgentRestarted(t *testing.T) {
	l, feed, post := newOverloadedWorld(t, 7)
	a := l.w.agents[0]
	l.runWithFailure(feed, post, func() { a.up, a.killedAt = false, l.w.now }, func() { l.w.startAgent(a) })
}

// TestLoadLinkCutOneWay guards against openings that wait for an agent that a balancer hears
// and can't reach.
func TestLoadLinkCutOneWay(t *testing.T) {
	l, feed, post := newOverloadedWorld(t, 8)
	b, a := l.w.balancers[0], l.w.agents[0]
	l.runWithFailure(feed, post, func() {
		l.isCut = func(from, to netip.AddrPort) bool { return from == b.addr && to == a.addr }
	}, func() { l.isCut = nil })
}

// TestLoadLinkCutBack guards against flows that are lost because an agent's refusals and
// statuses don't reach a balancer.
func TestLoadLinkCutBack(t *testing.T) {
	l, feed, post := newOverloadedWorld(t, 9)
	b, a := l.w.balancers[0], l.w.agents[0]
	l.runWithFailure(feed, post, func() {
		l.isCut = func(from, to netip.AddrPort) bool { return from == a.addr && to == b.addr }
	}, func() { l.isCut = nil })
}

// TestLoadStoreSilent guards against decisions about load that need the store.
func TestLoadStoreSilent(t *testing.T) {
	l, feed, post := newOverloadedWorld(t, 10)
	set := func(silent bool) func() {
		return func() { l.w.storeSilent, l.w.storeUnreachable = silent, silent }
	}
	l.runWithFailure(feed, post, set(true), set(false))
}

// TestLoadUsual guards against requests that fail, or are late, at the usual load: routes with
// an objective must not be served worse than others then.
func TestLoadUsual(t *testing.T) {
	feed, post := newFeed(constantRate(usualFeedRate)), newPost(constantRate(usualPostRate))
	l := newLoadWorld(newWorld(t, 11), loadAgents, loadBalancers, feed, post)
	l.run(4 * time.Second)
	l.requireInTime(post, 1)
	l.requireInTime(feed, 1)
}
