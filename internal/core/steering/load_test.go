package steering_test

import (
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
	l := newLoadWorld(newWorld(t, 2), loadAgents, loadBalancers, feed, post)
	l.run(d)
	l.requireInTime(post, postShare)
	l.requireLeftOverUsed(feed, feedShare, loadSlots, d)
}
