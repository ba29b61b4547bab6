package fleet

import "time"

// scheduledFunc is a function that runs at a given time. Functions due at the same time
// run in the order of their sequence numbers.
type scheduledFunc struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue implements heap.Interface, earliest first.
type eventQueue []scheduledFunc

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an element; use heap.Push.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledFunc)) }

// Pop removes the last element; use heap.Pop.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
