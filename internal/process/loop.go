// Package process runs a decision core inside a daemon: one goroutine passes
// events to the node in order and performs its effects.
package process

import (
	"context"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// eventQueueSize is the number of events that can be queued for the node.
const eventQueueSize = 4096

// Loop passes events to a node. Post, TryPost and Inspect are safe for concurrent
// use.
type Loop struct {
	node          *core.Node
	performEffect func(*core.Board, core.Effect)
	afterStep     func(*core.Board)
	events        chan core.Event
	inspections   chan func(*core.Board)
	done          chan struct{}
}

// NewLoop returns a loop that passes the board and each effect of the node to
// performEffect, which must not block on the loop itself. After each step, and
// before it performs the effects, the loop passes the board to afterStep.
func NewLoop(node *core.Node, performEffect func(*core.Board, core.Effect), afterStep func(*core.Board)) *Loop {
	return &Loop{
		node:          node,
		performEffect: performEffect,
		afterStep:     afterStep,
		events:        make(chan core.Event, eventQueueSize),
		inspections:   make(chan func(*core.Board)),
		done:          make(chan struct{}),
	}
}

// Post queues an event. It blocks until the queue has space or the loop has ended.
func (l *Loop) Post(ev core.Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// TryPost queues an event unless the queue is full, and reports whether it did.
// It is for datagrams, which are dropped as they would be by a full socket buffer.
func (l *Loop) TryPost(ev core.Event) bool {
	select {
	case l.events <- ev:
		return true
	default:
		return false
	}
}

// Inspect calls a function with the board between two events. It reports whether
// the function was called; it is not called after the loop has ended.
func (l *Loop) Inspect(inspect func(*core.Board)) bool {
	ran := make(chan struct{})
	inspection := func(b *core.Board) {
		inspect(b)
		close(ran)
	}
	select {
	case l.inspections <- inspection:
		<-ran
		return true
	case <-l.done:
		return false
	}
}

// Run passes events and ticks to the node until the context is done.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.processEvent(ev)
		case <-ticker.C:
			l.processEvent(core.Tick{})
		case inspection := <-l.inspections:
			inspection(l.node.Board())
		}
	}
}

func (l *Loop) processEvent(ev core.Event) {
	effects := l.node.Step(time.Now(), ev)
	l.afterStep(l.node.Board())
	for _, e := range effects {
		l.performEffect(l.node.Board(), e)
	}
}
