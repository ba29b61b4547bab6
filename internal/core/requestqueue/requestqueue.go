// Package requestqueue decides which requests a target of limited capacity runs next, and
// whether it can take further ones.
//
// It does no I/O and reads no clock: the time is an argument.
package requestqueue

import (
	"slices"
	"time"
)

// numPriorities is the number of priorities that are told apart. Lower ones count as the lowest.
const numPriorities = 4

// defaultRequestTime is the assumed mean duration of a request until one was measured.
const defaultRequestTime = 100 * time.Millisecond

// Capacity is what a target can run.
type Capacity struct {
	// Concurrency is the number of requests that the target may run at once.
	Concurrency int
	// RequestTime is the mean time of a request in a slot, without waiting for one, 0 if
	// unknown.
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

// group is the waiting requests of one priority: how many can still meet their objective, the
// shortest of these objectives, and positions of requests.
type group struct {
	onTime, late               int
	shortestObjective          time.Duration
	oldest, newest, mostUrgent int
	oldestLate, newestLate     int
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

// next returns the position of the request to run next. Under load, capacity goes to the highest
// priority, and to requests that can still meet their objective before those that can't. A higher
// priority yields to an earlier deadline of a lower one for as long as it has time: with targets
// just short of capacity, both are answered in time then.
func (q *Queue[K]) next(now time.Time, c Capacity) int {
	groups := q.groups(now, c)
	best, ahead := -1, 0
	for p := range groups {
		g := &groups[p]
		if ahead += g.onTime; g.onTime > 0 {
			if i := q.nextOnTime(g, c, ahead); best < 0 || q.entries[i].request.Deadline.Before(q.entries[best].request.Deadline) {
				best = i
			}
		}
		switch {
		case best < 0 && g.late > 0:
			return q.nextLate(g, c)
		case g.late > 0, g.onTime > 0 && q.isUrgent(now, g, c, ahead):
			return best
		}
	}
	return best
}

// groups groups the requests by priority.
func (q *Queue[K]) groups(now time.Time, c Capacity) (groups [numPriorities]group) {
	earliestAnswer := now.Add(c.requestTime())
	for i := range q.entries {
		r := &q.entries[i].request
		g := &groups[min(r.Priority, numPriorities-1)]
		if earliestAnswer.After(r.Deadline) {
			q.addLate(g, i)
		} else {
			q.addOnTime(g, i)
		}
	}
	return groups
}

func (q *Queue[K]) addOnTime(g *group, i int) {
	r := &q.entries[i].request
	if g.onTime++; g.onTime == 1 {
		g.oldest, g.newest, g.mostUrgent, g.shortestObjective = i, i, i, r.Objective
		return
	}
	if r.ArrivedAt.Before(q.entries[g.oldest].request.ArrivedAt) {
		g.oldest = i
	}
	if !r.ArrivedAt.Before(q.entries[g.newest].request.ArrivedAt) {
		g.newest = i
	}
	if r.Deadline.Before(q.entries[g.mostUrgent].request.Deadline) {
		g.mostUrgent = i
	}
	g.shortestObjective = min(g.shortestObjective, r.Objective)
}

func (q *Queue[K]) addLate(g *group, i int) {
	r := &q.entries[i].request
	if g.late++; g.late == 1 {
		g.oldestLate, g.newestLate = i, i
		return
	}
	if r.ArrivedAt.Before(q.entries[g.oldestLate].request.ArrivedAt) {
		g.oldestLate = i
	}
	if !r.ArrivedAt.Before(q.entries[g.newestLate].request.ArrivedAt) {
		g.newestLate = i
	}
}

// nextOnTime returns the request of a priority that is next. While those that can meet their
// objective, and those of higher priorities, can be run within half of it, the oldest is next, so
// that all are answered in time. With a longer queue it is the newest: in the order of arrival,
// all would be late.
func (q *Queue[K]) nextOnTime(g *group, c Capacity, ahead int) int {
	if c.timeFor(ahead) <= g.shortestObjective/2 {
		return g.oldest
	}
	return g.newest
}

// nextLate returns the late request of a priority that is next: the oldest while all of them can
// be run within an objective, so that none waits until its caller gives up, else the newest.
func (q *Queue[K]) nextLate(g *group, c Capacity) int {
	if c.timeFor(g.late) <= q.entries[g.oldestLate].request.Objective {
		return g.oldestLate
	}
	return g.newestLate
}

// isUrgent reports whether less than half of the objective would remain to a request of the
// priority once all requests that are ahead have run.
func (q *Queue[K]) isUrgent(now time.Time, g *group, c Capacity, ahead int) bool {
	r := &q.entries[g.mostUrgent].request
	return r.Deadline.Sub(now)-c.timeFor(ahead)-c.requestTime() < r.Objective/2
}
