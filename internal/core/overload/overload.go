// Package overload detects that a backlog of work does not clear. It does no I/O and
// gets the time from its caller.
package overload

import "time"

const (
	// recoveryTime is the time without a refusal after which an overload has ended. Work
	// that arrives in that time was taken at once or waits for less time.
	recoveryTime = 300 * time.Millisecond
	// idleRetention is how long the state of an empty backlog is kept. It is longer than
	// one item can be offered and come back.
	idleRetention = 10 * time.Second
)

// Backlog is the state of a queue. The zero value is an empty queue.
type Backlog struct {
	waiting int
	// since is when the queue was last empty, zero if it is empty.
	since      time.Time
	overloaded bool
	// refusedAt is when the overload began or work was last refused during it.
	refusedAt time.Time
	changedAt time.Time
	// restartedAt is when the time of the backlog last began anew.
	restartedAt time.Time
}

// Enter records that an item has begun to wait. It returns the time since which the queue
// is not empty.
func (b *Backlog) Enter(now time.Time) time.Time { return b.Return(now, now) }

// Return records that an item waits again which could not be served: its wait is not
// interrupted. Since is the result of Enter. What it waited before a restart does not count.
func (b *Backlog) Return(now, since time.Time) time.Time {
	if since.Before(b.restartedAt) {
		since = b.restartedAt
	}
	if b.waiting == 0 || since.Before(b.since) {
		b.since = since
	}
	b.waiting++
	b.changedAt = now
	return b.since
}

// Leave records that an item no longer waits.
func (b *Backlog) Leave(now time.Time) {
	b.waiting = max(b.waiting-1, 0)
	if b.waiting == 0 {
		b.since = time.Time{}
	}
	b.changedAt = now
}

// RecordRefusal records that an item was refused because of the overload.
func (b *Backlog) RecordRefusal(now time.Time) { b.refusedAt, b.changedAt = now, now }

// Restart forgets how long items have waited. After a suspension of the process that time
// tells nothing about the capacity.
func (b *Backlog) Restart(now time.Time) {
	b.overloaded, b.restartedAt = false, now
	if b.waiting > 0 {
		b.since = now
	}
}

// Overloaded reports whether the queue has not been empty for the patience, or was so
// and items were refused since without a pause.
func (b *Backlog) Overloaded(now time.Time, patience time.Duration) bool {
	if b.overloaded && now.Sub(b.refusedAt) >= recoveryTime {
		b.Restart(now)
	}
	if !b.overloaded && b.waiting > 0 && now.Sub(b.since) >= patience {
		b.overloaded, b.refusedAt = true, now
	}
	return b.overloaded
}

// Age returns how long the queue has not been empty.
func (b *Backlog) Age(now time.Time) time.Duration {
	if b.waiting == 0 {
		return 0
	}
	return now.Sub(b.since)
}

// Waiting returns the number of items that wait.
func (b *Backlog) Waiting() int { return b.waiting }

// IsIdle reports whether the state can be deleted.
func (b *Backlog) IsIdle(now time.Time) bool {
	return b.waiting == 0 && now.Sub(b.changedAt) > idleRetention
}
