package requestqueue_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/requestqueue"
)

var start = time.Unix(1000, 0)

// capacity is that of a target of deployment 1: three slots, feed requests of 30 ms.
var capacity = requestqueue.Capacity{Concurrency: 3, RequestTime: 30 * time.Millisecond}

const feedObjective = 250 * time.Millisecond

// waiting returns a request that has waited for a time.
func waiting(priority uint8, objective, age time.Duration) requestqueue.Request {
	arrived := start.Add(-age)
	return requestqueue.Request{Priority: priority, Objective: objective, ArrivedAt: arrived, Deadline: arrived.Add(objective)}
}

func requireNext(t *testing.T, q *requestqueue.Queue[string], want string) {
	t.Helper()
	if got, ok := q.Take(start, capacity); !ok || got != want {
		t.Errorf("the next request is %q (%t), want %q", got, ok, want)
	}
}

// A late post goes before a feed of a lower priority that can still be answered in time.
func TestLateRequestOfAHigherPriorityIsFirst(t *testing.T) {
	var q requestqueue.Queue[string]
	q.Add("feed", waiting(2, feedObjective, 100*time.Millisecond))
	q.Add("late post", waiting(1, 300*time.Millisecond, time.Second))
	q.Add("newer feed", waiting(2, feedObjective, 0))
	requireNext(t, &q, "late post")
}

// At four times the load, posts must not wait behind feeds: they go first as soon as half of
// their objective, 150 ms, would not remain after all waiting posts.
func TestUrgentRequestOfAHigherPriorityIsFirst(t *testing.T) {
	var q requestqueue.Queue[string]
	q.Add("feed", waiting(2, feedObjective, 200*time.Millisecond))
	q.Add("post", waiting(1, 300*time.Millisecond, 111*time.Millisecond)) // 189 ms, less 10 and 30
	requireNext(t, &q, "post")
}

// Just short of capacity, a post that goes first although it has time makes a feed late that
// would have been answered in time.
func TestHigherPriorityYieldsWhileItHasTime(t *testing.T) {
	var q requestqueue.Queue[string]
	q.Add("post", waiting(1, 300*time.Millisecond, 110*time.Millisecond))
	q.Add("feed", waiting(2, feedObjective, 200*time.Millisecond))
	requireNext(t, &q, "feed")
	requireNext(t, &q, "post")
}

// A post that has time goes first all the same if the feed has more.
func TestEarlierDeadlineIsFirstWhileBothHaveTime(t *testing.T) {
	var q requestqueue.Queue[string]
	q.Add("feed", waiting(2, feedObjective, 0))
	q.Add("post", waiting(1, 300*time.Millisecond, 100*time.Millisecond))
	requireNext(t, &q, "post")
}

// Many posts wait, each with time of its own, but not all of them could be answered if feeds
// went first.
func TestQueueOfAHigherPriorityIsUrgentAsAWhole(t *testing.T) {
	var q requestqueue.Queue[string]
	for range 13 { // 130 ms of work, 300 ms less 130 and 30 leave 140
		q.Add("post", waiting(1, 300*time.Millisecond, 0))
	}
	q.Add("feed", waiting(2, feedObjective, 200*time.Millisecond))
	requireNext(t, &q, "post")
}

// A request that will miss its objective anyway must not make another one late.
func TestRequestInTimeIsBeforeLateOne(t *testing.T) {
	var q requestqueue.Queue[string]
	q.Add("late", waiting(2, feedObjective, 221*time.Millisecond)) // 30 ms of work end after 250 ms
	q.Add("in time", waiting(2, feedObjective, 220*time.Millisecond))
	requireNext(t, &q, "in time")
	requireNext(t, &q, "late")
}

// With a short queue, all requests are answered in time if none is overtaken.
func TestShortQueueIsServedOldestFirst(t *testing.T) {
	var q requestqueue.Queue[string]
	q.Add("second", waiting(2, feedObjective, 20*time.Millisecond))
	q.Add("oldest", waiting(2, feedObjective, 30*time.Millisecond))
	q.Add("newest", waiting(2, feedObjective, 10*time.Millisecond))
	requireNext(t, &q, "oldest")
}

// At four times the load, all requests would be late in the order of arrival. 12 requests take
// 120 ms, less than half of the objective; 13 take more.
func TestLongQueueIsServedNewestFirst(t *testing.T) {
	var q requestqueue.Queue[int]
	for i := range 12 {
		q.Add(i, waiting(2, feedObjective, time.Duration(12-i)*time.Millisecond))
	}
	if got, _ := q.Take(start, capacity); got != 0 {
		t.Errorf("with 12 requests, request %d is next, want the oldest", got)
	}
	q.Add(12, waiting(2, feedObjective, 0))
	q.Add(13, waiting(2, feedObjective, 0))
	if got, _ := q.Take(start, capacity); got != 13 {
		t.Errorf("with 13 requests, request %d is next, want the newest", got)
	}
}

// Late requests and those of other priorities don't delay the ones that are in time, so they
// don't count towards the length of the queue.
func TestLateRequestsDoNotLengthenTheQueue(t *testing.T) {
	var q requestqueue.Queue[int]
	for i := range 50 {
		q.Add(i, waiting(2, feedObjective, time.Second))
		q.Add(100+i, waiting(3, feedObjective, 0))
	}
	q.Add(200, waiting(2, feedObjective, 20*time.Millisecond))
	q.Add(201, waiting(2, feedObjective, 10*time.Millisecond))
	if got, _ := q.Take(start, capacity); got != 200 {
		t.Errorf("request %d is next, want the oldest that is in time", got)
	}
}

// A few late requests must all be answered before their callers give up. 25 requests take
// 250 ms, an objective; with more, callers of the oldest give up first in any order.
func TestLateRequestsAreServedOldestFirstWhileTheyAreFew(t *testing.T) {
	var q requestqueue.Queue[int]
	for i := range 26 {
		q.Add(i, waiting(2, feedObjective, 2*time.Second-time.Duration(i)*time.Millisecond))
	}
	if got, _ := q.Take(start, capacity); got != 25 {
		t.Errorf("with 26 late requests, request %d is next, want the newest", got)
	}
	if got, _ := q.Take(start, capacity); got != 0 {
		t.Errorf("with 25 late requests, request %d is next, want the oldest", got)
	}
}

// A flow's priority may become known after its request: the queue must follow.
func TestPriorityCanChange(t *testing.T) {
	var q requestqueue.Queue[string]
	q.Add("a", waiting(2, feedObjective, 0))
	q.Add("b", waiting(2, feedObjective, 0))
	q.SetPriority("b", 1)
	requireNext(t, &q, "b")
}

// Removed requests must not be handed out: their callers gave up.
func TestEmptyQueueHasNoNext(t *testing.T) {
	var q requestqueue.Queue[string]
	q.Add("a", waiting(2, feedObjective, 0))
	q.Remove("a")
	q.Remove("unknown")
	if got, ok := q.Take(start, capacity); ok || q.Len() != 0 {
		t.Errorf("the empty queue has %d requests and hands out %q", q.Len(), got)
	}
}

// Requests beyond the tolerated wait are found by their arrival.
func TestArrivedBefore(t *testing.T) {
	var q requestqueue.Queue[string]
	q.Add("old", waiting(2, feedObjective, 6*time.Second))
	q.Add("new", waiting(2, feedObjective, 5*time.Second))
	if got := q.ArrivedBefore(start.Add(-5 * time.Second)); len(got) != 1 || got[0] != "old" {
		t.Errorf("arrived before: %v", got)
	}
}

// An opening is admitted to a free slot, or if half of what remains of its objective is
// enough. Without the first rule a slow target would refuse everything; without the second
// openings would be late.
func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name      string
		capacity  requestqueue.Capacity
		ahead     int
		remaining time.Duration
		want      bool
	}{
		{"free slot", capacity, 2, time.Millisecond, true},
		{"wait of 10 ms", capacity, 3, 80 * time.Millisecond, true},
		{"wait of 10 ms is too long", capacity, 3, 79 * time.Millisecond, false},
		{"wait of 120 ms", capacity, 14, 300 * time.Millisecond, true},
		{"wait of 130 ms", capacity, 15, 300 * time.Millisecond, false},
		{"unknown request time", requestqueue.Capacity{Concurrency: 3}, 3, 260 * time.Millisecond, false},
		{"unknown request time, long objective", requestqueue.Capacity{Concurrency: 3}, 3, 270 * time.Millisecond, true},
		{"no slots", requestqueue.Capacity{}, 0, time.Hour, false},
	} {
		if got := c.capacity.Admits(c.ahead, c.remaining); got != c.want {
			t.Errorf("%s: admitted %t, want %t", c.name, got, c.want)
		}
	}
}

// The reserve is a third of the slots, rounded up: without it, slots idle between a response
// and the next request.
func TestPlaces(t *testing.T) {
	for _, c := range []struct{ concurrency, slots, want int }{{3, 3, 4}, {1, 3, 2}, {6, 6, 8}, {2, 4, 4}, {1, 1, 2}} {
		if got := requestqueue.Places(c.concurrency, c.slots); got != c.want {
			t.Errorf("%d of %d slots: %d places, want %d", c.concurrency, c.slots, got, c.want)
		}
	}
}

// Feeds with a shorter objective keep arriving. A post yields to their earlier deadlines only while
// more than half of its objective is left: it must not wait until it is late.
func TestPostDoesNotYieldForever(t *testing.T) {
	const objective = 300 * time.Millisecond
	var q requestqueue.Queue[string]
	q.Add("post", requestqueue.Request{Priority: 1, Objective: objective, Deadline: start.Add(objective), ArrivedAt: start})
	for waited := time.Duration(0); waited <= objective/2; waited += 10 * time.Millisecond {
		now := start.Add(waited)
		q.Add("feed", requestqueue.Request{Priority: 2, Objective: 50 * time.Millisecond, Deadline: now.Add(50 * time.Millisecond), ArrivedAt: now})
		if key, _ := q.Take(now, capacity); key == "post" {
			if waited == 0 {
				t.Error("the post does not yield at all")
			}
			return
		}
	}
	t.Errorf("the post still waits after half of its objective")
}
