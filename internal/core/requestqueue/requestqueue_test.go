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

// Posts share targets with feeds of a lower priority: a late post goes before a feed that can
// still be answered in time.
func TestHigherPriorityIsFirst(t *testing.T) {
	var q requestqueue.Queue[string]
	q.Add("feed", waiting(2, feedObjective, 100*time.Millisecond))
	q.Add("late post", waiting(1, 300*time.Millisecond, time.Second))
	q.Add("newer feed", waiting(2, feedObjective, 0))
	requireNext(t, &q, "late post")
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

// Callers of the oldest late requests give up first.
func TestLateRequestsAreServedNewestFirst(t *testing.T) {
	var q requestqueue.Queue[string]
	q.Add("older", waiting(2, feedObjective, 2*time.Second))
	q.Add("newest", waiting(2, feedObjective, time.Second))
	q.Add("oldest", waiting(2, feedObjective, 3*time.Second))
	requireNext(t, &q, "newest")
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
