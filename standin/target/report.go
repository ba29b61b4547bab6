package target

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Paths of the endpoints that lag and may mislead, on the service's address
// and on the admin address.
const (
	healthPath = "/-/health"
	loadPath   = "/-/load"
)

// reportInterval is how often health and load are sampled.
const reportInterval = 100 * time.Millisecond

// health is what a target says of its health.
type health string

const (
	healthOK  health = "ok"
	healthBad health = "bad"
)

// report is one sample of a target's health and load.
type report struct {
	at     time.Time
	Health health `json:"health"`
	// Load is the share of slots in use, from 0 to 1.
	Load float64 `json:"load"`
}

// lie replaces parts of every report; nil fields tell the truth.
type lie struct {
	health *health
	load   *float64
}

// reporter keeps samples until they are old enough to be reported. It is safe
// for concurrent use.
type reporter struct {
	lag time.Duration

	mu      sync.Mutex
	samples []report
	lie     lie
}

// sample adds a sample and drops those too old to be reported again.
func (p *reporter) sample(s report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, s)
	due := s.at.Add(-p.lag)
	for len(p.samples) > 1 && !p.samples[1].at.After(due) {
		p.samples = p.samples[1:]
	}
}

// current returns the sample of the lag ago, with the lies told now. Before
// the first sample the target claims to be idle and healthy.
func (p *reporter) current(now time.Time) report {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := report{Health: healthOK}
	due := now.Add(-p.lag)
	for _, s := range p.samples {
		if !s.at.After(due) {
			out = s
		}
	}
	if p.lie.health != nil {
		out.Health = *p.lie.health
	}
	if p.lie.load != nil {
		out.Load = *p.lie.load
	}
	return out
}

func (p *reporter) setLie(l lie) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lie = l
}

// sampleReports samples health and load until the context ends.
func (t *Target) sampleReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			state := t.capacity.state(now)
			s := report{at: now, Health: healthOK, Load: float64(state.running) / float64(t.cfg.Slots)}
			if state.down {
				s.Health = healthBad
			}
			t.reporter.sample(s)
		}
	}
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	r := t.reporter.current(time.Now())
	if r.Health != healthOK {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, r)
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.reporter.current(time.Now()))
}
