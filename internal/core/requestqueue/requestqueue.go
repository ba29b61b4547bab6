// Package requestqueue decides which requests a target of limited capacity runs next, and
// whether it can take further ones.
//
// It does no I/O and reads no clock: the time is an argument.
package requestqueue

import (
	"slices"
	"time"
)

// defaultRequestTime is the assumed mean duration of a request until one was measured.
const defaultRequestTime = 100 * time.Millisecond

// Capacity is what a target can run.
type Capacity struct {
	// Concurrency is the number of requests that the target may run at once.
	Concurrency int
	// RequestTime is the mean time of a request that finds a free slot, 0 if unknown.
	RequestTime time.Duration
}

// Places returns the number of requests that are handed to a target at once. The reserve of a
// third of the slots keeps slots from idling while a response is on its way.
func Places(concurrency, slots int) int { return concurrency + (slots+2)/3 }

func (c Capacity) requestTime() time.Duration {
	if c.RequestTime > 0 {
		return c.RequestTime
	}
	return defaultRequestTime
}

// timeFor returns the time in which the target runs a number of requests.
func (c Capacity) timeFor(requests int) time.Duration {
	return time.Duration(requests) * c.requestTime() / time.Duration(max(c.Concurrency, 1))
}

// Wait estimates how long a request waits for a slot that has a number of requests ahead.
func (c Capacity) Wait(ahead int) time.Duration {
	return c.timeFor(max(0, ahead-c.Concurrency+1))
}

// Admits reports whether a request that has a number of others ahead runs at once, or is
// expected to be answered within half of the remaining objective. The other half is for the
// spread of request times.
func (c Capacity) Admits(ahead int, remaining time.Duration) bool {
	if c.Concurrency <= 0 {
		return false
	}
	return ahead < c.Concurrency || c.Wait(ahead)+c.requestTime() <= remaining/2
}

// Request is a waiting request.
type Request struct {
	// Priority is that of the request; 0 is the highest.
	Priority uint8
	// Objective is the latency objective, Deadline the time at which it is missed.
	Objective time.Duration
	Deadline  time.Time
	ArrivedAt time.Time
}

// entry is a waiting request with the key that identifies it.
type entry[K comparable] struct {
	key     K
	request Request
}

// Queue holds the requests that wait for a target, by a key. The zero value is empty.
type Queue[K comparable] struct {
	entries []entry[K]
}

// Len returns the number of waiting requests.
func (q *Queue[K]) Len() int { return len(q.entries) }

// Add adds a request.
func (q *Queue[K]) Add(key K, r Request) { q.entries = append(q.entries, entry[K]{key, r}) }

// Remove removes the request with the key, if there is one.
func (q *Queue[K]) Remove(key K) {
	if i := slices.IndexFunc(q.entries, func(e entry[K]) bool { return e.key == key }); i >= 0 {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
}

// SetPriority changes the priority of the request with the key, if there is one.
func (q *Queue[K]) SetPriority(key K, priority uint8) {
	if i := slices.IndexFunc(q.entries, func(e entry[K]) bool { return e.key == key }); i >= 0 {
		q.entries[i].request.Priority = priority
	}
}

// ArrivedBefore returns the keys of the requests that arrived before a time.
func (q *Queue[K]) ArrivedBefore(t time.Time) []K {
	var keys []K
	for i := range q.entries {
		if q.entries[i].request.ArrivedAt.Before(t) {
			keys = append(keys, q.entries[i].key)
		}
	}
	return keys
}

// Keys returns the keys of all requests, in the order in which they were added.
func (q *Queue[K]) Keys() []K {
	keys := make([]K, len(q.entries))
	for i := range q.entries {
		keys[i] = q.entries[i].key
	}
	return keys
}

// candidates are the waiting requests of one priority that may be next, by their positions.
type candidates struct {
	// onTime is the number of requests that can still meet their objective, of which the
	// shortest is shortestObjective.
	onTime                  int
	shortestObjective       time.Duration
	oldest, newest, newLate int
}

// Take removes the request to run next and returns its key, false if none waits.
func (q *Queue[K]) Take(now time.Time, c Capacity) (K, bool) {
	if len(q.entries) == 0 {
		var none K
		return none, false
	}
	i := q.next(now, c)
	key := q.entries[i].key
	q.entries = slices.Delete(q.entries, i, i+1)
	return key, true
}

// next returns the position of the request to run next: of the highest priority, and one that
// can still meet its objective before one that can't. While the requests of the priority that
// can meet their objective can all be run within half of it, the oldest is next, so that all are
// answered in time. With a longer queue, and among late requests, the newest is next: in the
// order of arrival, all would be late.
func (q *Queue[K]) next(now time.Time, c Capacity) int {
	earliestAnswer := now.Add(c.requestTime())
	priority := q.entries[0].request.Priority
	var found candidates
	found.newLate = -1
	for i := range q.entries {
		r := &q.entries[i].request
		if r.Priority > priority {
			continue
		}
		if r.Priority < priority {
			priority, found = r.Priority, candidates{newLate: -1}
		}
		switch {
		case earliestAnswer.After(r.Deadline):
			if found.newLate < 0 || !r.ArrivedAt.Before(q.entries[found.newLate].request.ArrivedAt) {
				found.newLate = i
			}
			continue
		case found.onTime == 0:
			found.oldest, found.newest, found.shortestObjective = i, i, r.Objective
		case r.ArrivedAt.Before(q.entries[found.oldest].request.ArrivedAt):
			found.oldest = i
		case !r.ArrivedAt.Before(q.entries[found.newest].request.ArrivedAt):
			found.newest = i
		}
		found.onTime++
		found.shortestObjective = min(found.shortestObjective, r.Objective)
	}
	switch {
	case found.onTime == 0:
		return found.newLate
	case c.timeFor(found.onTime) <= found.shortestObjective/2:
		return found.oldest
	}
	return found.newest
}
