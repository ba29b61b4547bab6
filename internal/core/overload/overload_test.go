package overload_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/overload"
)

const patience = 1500 * time.Millisecond

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// After a loss of power everything queues for about a second and then clears. This must
// not count as overload, or callers use up their attempts at once.
func TestBacklogThatClearsIsNoOverload(t *testing.T) {
	var b overload.Backlog
	for range 200 {
		b.Enter(at(0))
	}
	if b.Overloaded(at(time.Second), patience) {
		t.Error("overloaded after a second")
	}
	for range 200 {
		b.Leave(at(1100 * time.Millisecond))
	}
	b.Enter(at(1200 * time.Millisecond))
	if b.Overloaded(at(2600*time.Millisecond), patience) {
		t.Error("overloaded 1.4 s after the queue was empty")
	}
}

// Four times the capacity: the queue never empties. Its state must begin after the
// patience and end once nothing is refused.
func TestBacklogThatDoesNotClearIsOverloadUntilNothingIsRefused(t *testing.T) {
	var b overload.Backlog
	b.Enter(at(0))
	if b.Overloaded(at(patience-1), patience) {
		t.Error("overloaded before the patience")
	}
	if !b.Overloaded(at(patience), patience) {
		t.Fatal("not overloaded after the patience")
	}
	b.Leave(at(patience)) // refused
	last := patience + time.Second
	for d := patience; d <= last; d += 100 * time.Millisecond {
		if !b.Overloaded(at(d), patience) {
			t.Fatalf("the overload ended after %v while items are refused", d)
		}
		b.RecordRefusal(at(d))
	}
	if !b.Overloaded(at(last+299*time.Millisecond), patience) {
		t.Error("the overload ended before 300 ms without a refusal")
	}
	if b.Overloaded(at(last+300*time.Millisecond), patience) {
		t.Error("the overload did not end")
	}
}

// Items that still wait when the overload ends are being served. The state must not begin
// again at once because of the time before.
func TestOverloadDoesNotBeginAgainAtItsEnd(t *testing.T) {
	var b overload.Backlog
	b.Enter(at(0))
	b.Overloaded(at(patience), patience)
	end := patience + 300*time.Millisecond
	if b.Overloaded(at(end), patience) || b.Overloaded(at(end+patience-1), patience) {
		t.Error("the overload began again within the patience")
	}
	if !b.Overloaded(at(end+patience), patience) {
		t.Error("the overload did not begin again after the patience")
	}
}

// One item is offered again and again and refused each time: the queue is empty only while
// the offer is on its way, which must not count as a break.
func TestRefusedOfferIsNoBreak(t *testing.T) {
	var b overload.Backlog
	since := b.Enter(at(0))
	for d := time.Duration(0); d < patience; d += 50 * time.Millisecond {
		b.Leave(at(d))
		since = b.Return(at(d+time.Millisecond), since)
	}
	if !b.Overloaded(at(patience), patience) {
		t.Error("an item that could not be served for the patience is no overload")
	}
}

// Items that are on offer when the time of the backlog begins anew may come back refused. The
// overload must not begin again at once because of their wait before.
func TestRefusedOfferDoesNotUndoARestart(t *testing.T) {
	var b overload.Backlog
	since := b.Enter(at(0))
	b.Overloaded(at(patience), patience)
	b.Leave(at(patience))
	end := patience + 300*time.Millisecond
	if b.Overloaded(at(end), patience) {
		t.Fatal("the overload did not end")
	}
	b.Return(at(end+time.Millisecond), since)
	if b.Overloaded(at(end+patience-1), patience) {
		t.Error("the overload began again within the patience")
	}
	if !b.Overloaded(at(end+patience), patience) {
		t.Error("the overload did not begin again after the patience")
	}
}

// A balancer that returns after a suspension waits first.
func TestRestartForgetsTheWait(t *testing.T) {
	var b overload.Backlog
	b.Enter(at(0))
	b.Restart(at(5 * time.Second))
	if b.Overloaded(at(5*time.Second+patience-1), patience) {
		t.Error("overloaded because of the time before the restart")
	}
	if b.IsIdle(at(time.Hour)) {
		t.Error("a queue with an item counts as idle")
	}
	b.Leave(at(6 * time.Second))
	if !b.IsIdle(at(20 * time.Second)) {
		t.Error("a queue that is empty for 14 s does not count as idle")
	}
}
