// Package process runs a decision core inside a daemon: one goroutine feeds
// events to the node in order and carries out its effects.
package process

import (
	"context"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// queueSize bounds the events that wait for the node.
const queueSize = 4096

// Loop feeds events to a node. Post and Inspect are safe for concurrent use.
type Loop struct {
	node     *core.Node
	carryOut func(*core.Board, core.Effect)
	after    func(*core.Board)
	events   chan core.Event
	inspect  chan func(*core.Board)
	done     chan struct{}
}

// NewLoop returns a loop that passes each effect of the node to carryOut, with
// the board to read. carryOut must not block on the loop itself. After each step
// the loop passes the board to after, before the effects are carried out.
func NewLoop(node *core.Node, carryOut func(*core.Board, core.Effect), after func(*core.Board)) *Loop {
	return &Loop{
		node:     node,
		carryOut: carryOut,
		after:    after,
		events:   make(chan core.Event, queueSize),
		inspect:  make(chan func(*core.Board)),
		done:     make(chan struct{}),
	}
}

// Post queues an event. It waits while the queue is full, and gives up once
// the loop has ended.
func (l *Loop) Post(ev core.Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// TryPost queues an event unless the queue is full. It reports whether it did;
// datagrams that find no room are dropped as a full socket would drop them.
func (l *Loop) TryPost(ev core.Event) bool {
	select {
	case l.events <- ev:
		return true
	default:
		return false
	}
}

// Inspect runs a function with the board between two events. It reports
// whether the function ran; after the loop's end it does not.
func (l *Loop) Inspect(f func(*core.Board)) bool {
	ran := make(chan struct{})
	read := func(b *core.Board) {
		f(b)
		close(ran)
	}
	select {
	case l.inspect <- read:
		<-ran
		return true
	case <-l.done:
		return false
	}
}

// Run feeds events and ticks until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.step(ev)
		case <-ticker.C:
			l.step(core.Tick{})
		case read := <-l.inspect:
			read(l.node.Board())
		}
	}
}

func (l *Loop) step(ev core.Event) {
	effects := l.node.Step(time.Now(), ev)
	l.after(l.node.Board())
	for _, e := range effects {
		l.carryOut(l.node.Board(), e)
	}
}
