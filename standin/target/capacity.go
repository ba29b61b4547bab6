package target

import (
	"math"
	"sync"
	"time"
)

// verdict is what a target does with an arriving request.
type verdict int

const (
	// verdictRun runs the request in a slot.
	verdictRun verdict = iota
	// verdictShed refuses the request with "not run".
	verdictShed
	// verdictFallOver fails this request and every other one for a while.
	verdictFallOver
	// verdictFail fails the request because the target is down.
	verdictFail
)

// shedCost is how long refusing one request occupies a target. Requests that
// are being refused count towards overload.
const shedCost = 20 * time.Millisecond

// capacity decides how much a target bears. It is safe for concurrent use.
type capacity struct {
	cfg *Config

	mu        sync.Mutex
	coldSince time.Time
	// served counts the requests completed since coldSince.
	served    int
	running   int
	peak      int
	shedding  int
	downUntil time.Time
	// down is closed when the target falls over, which fails every run.
	down chan struct{}
}

func newCapacity(cfg *Config, now time.Time) *capacity {
	return &capacity{cfg: cfg, coldSince: now, down: make(chan struct{})}
}

// arrive decides on a request. After verdictRun the caller must call finish;
// after verdictShed it must call shedDone.
func (c *capacity) arrive(now time.Time) verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.downUntil) {
		return verdictFail
	}
	bears := c.bears(now)
	present := c.running + c.shedding + 1
	if float64(present) > c.cfg.OverloadFactor*float64(bears) {
		c.fallOver(now)
		return verdictFallOver
	}
	if c.running >= bears {
		c.shedding++
		return verdictShed
	}
	c.running++
	c.peak = max(c.peak, c.running)
	return verdictRun
}

// finish ends a run.
func (c *capacity) finish(completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	if completed {
		c.served++
	}
}

// shedDone ends a refusal.
func (c *capacity) shedDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shedding--
}

// turnCold makes the target cold without telling anybody.
func (c *capacity) turnCold(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldSince = now
	c.served = 0
}

// failed returns a channel that is closed when the target falls over.
func (c *capacity) failed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

// capacityState is a reading of a capacity.
type capacityState struct {
	bears, running, peak int
	warmth               float64
	down                 bool
}

func (c *capacity) state(now time.Time) capacityState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return capacityState{
		bears: c.bears(now), running: c.running, peak: c.peak,
		warmth: c.warmth(now), down: now.Before(c.downUntil),
	}
}

// fallOver fails all runs; the target is cold when it comes back.
func (c *capacity) fallOver(now time.Time) {
	c.downUntil = now.Add(c.cfg.FallOver)
	c.coldSince = c.downUntil
	c.served = 0
	close(c.down)
	c.down = make(chan struct{})
}

// bears returns how many concurrent requests the target bears, from 1 when it
// is cold to all its slots.
func (c *capacity) bears(now time.Time) int {
	extra := float64(c.cfg.Slots-1) * c.warmth(now)
	return 1 + int(extra)
}

// warmth returns how warm the target is, from 0 to 1.
func (c *capacity) warmth(now time.Time) float64 {
	if c.cfg.WarmUp == 0 {
		return 1
	}
	byTime := float64(now.Sub(c.coldSince)) / float64(c.cfg.WarmUp)
	byRequests := 1.0
	if c.cfg.WarmUpRequests > 0 {
		byRequests = float64(c.served) / float64(c.cfg.WarmUpRequests)
	}
	return math.Max(0, math.Min(1, math.Min(byTime, byRequests)))
}
