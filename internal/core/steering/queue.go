package steering

import (
	"slices"
	"time"
)

const (
	// queueTimeout is how long an opening segment waits for an agent. Callers
	// give an attempt up after 1.4 s.
	queueTimeout = 1200 * time.Millisecond
	// maxQueued bounds the waiting segments: a second of new flows at a balancer
	// that carries its share of 41,000 a second, ten times over.
	maxQueued = 1000
)

// enqueue lets an opening segment wait until an agent takes it. Load: many
// flows open at once while agents start, are full or are being replaced.
func (b *Balancer) enqueue(now time.Time, h *holding, s Segment, r *Route) {
	if h.queuedAt.IsZero() {
		h.queuedAt = now
		if len(b.queue) >= maxQueued {
			b.expire(s.Flow, r, "queue is full")
			return
		}
		b.Counters.Queued.Add(1)
		h.queued = s
		h.queued.Raw = slices.Clone(s.Raw)
		b.queue = append(b.queue, s.Flow)
		b.report(Report{Text: "Flow waits for an agent.", Flow: s.Flow, Route: r.Name, Version: b.Version()})
	}
	h.nOffered = 0
	h.enter(stageQueued, nil, now)
}

// expire gives up an opening segment. The caller tries again by itself.
func (b *Balancer) expire(f Flow, r *Route, why string) {
	b.Counters.OpenExpired.Add(1)
	b.report(Report{Text: "No agent opens the flow.", Flow: f, Route: r.Name, Why: why, Version: b.Version()})
	delete(b.holders, f)
}

// placeQueued offers the waiting segments, the newest first: under overload the
// callers of the oldest ones are about to give up, and serving them would make
// all others late.
func (b *Balancer) placeQueued(now time.Time) {
	if len(b.queue) == 0 {
		return
	}
	waiting := b.queue
	b.queue = nil
	for _, f := range slices.Backward(waiting) {
		h := b.holders[f]
		if h == nil || h.queuedAt.IsZero() {
			continue
		}
		r := b.config.route(f.Address)
		switch {
		case h.stage != stageQueued && h.stage != stageOpening:
			// Opened meanwhile.
		case r == nil:
			b.reset(h.queued, "no route")
			delete(b.holders, f)
		case now.Sub(h.queuedAt) > queueTimeout:
			if h.stage == stageQueued {
				b.expire(f, r, "waited too long")
			}
		case h.stage == stageOpening:
			b.queue = append(b.queue, f)
		default:
			b.queue = append(b.queue, f)
			b.offerNext(now, h, h.queued, r)
		}
	}
	slices.Reverse(b.queue)
}
