package admission

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// newWarmTarget returns a target whose capacity the agent knows.
func newWarmTarget(capacity int, latency time.Duration) (*harness, *modelTarget) {
	h, m := newHarness(1, capacity), &modelTarget{capacity: capacity, latency: latency}
	m.saturate(h, 10*time.Second)
	h.step(core.Tick{})
	for len(m.running) > 0 || h.board().Load.Queued > 0 {
		h.now = h.now.Add(time.Millisecond)
		m.finish(h)
		m.carryOut(h)
	}
	h.step(core.Tick{})
	return h, m
}

// The host stalls while requests run: their responses are late, and so are the agent's
// own ticks. This must not count as a cold target (domain-in-openings beside load: the
// limit fell to one, and requests were refused that any target could have run).
func TestHostStallDoesNotLowerTheLimit(t *testing.T) {
	for name, stalled := range map[string]bool{"the host stalls": true, "only the target is slow": false} {
		t.Run(name, func(t *testing.T) {
			h, m := newWarmTarget(10, 20*time.Millisecond)
			before := h.board().Load.Limit
			for range 5 {
				h.arrive(core.RequestArrived{Method: "GET", Deadline: h.now.Add(time.Minute)})
			}
			m.carryOut(h)
			for range 20 {
				h.now = h.now.Add(core.TickInterval)
				if !stalled {
					h.step(core.Tick{})
				}
			}
			m.finish(h)
			h.step(core.Tick{})
			got := h.board().Load.Limit
			if stalled && got != before {
				t.Errorf("limit %d fell to %d by a stall of the host", before, got)
			}
			if !stalled && got != coldLimit {
				t.Errorf("limit %d is %d after five slow responses, want %d", before, got, coldLimit)
			}
		})
	}
}

// After a stall of 250 ms the requests of that time arrive at once. No other agent takes
// any: those that the target serves within the waiting time must wait, the others are
// refused at once.
func TestBurstWaitsIfItCanBeServedInTime(t *testing.T) {
	for name, tt := range map[string]struct {
		latency time.Duration
		refused bool
	}{
		"fast target": {10 * time.Millisecond, false},
		"slow target": {400 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			h, m := newWarmTarget(3, tt.latency)
			h.board().Routes.Views[service.ID()].Candidates = nil // no agent for hand-overs
			h.takeEffects()
			const burst = 40
			for range burst {
				h.arrive(core.RequestArrived{Method: "POST", Deadline: h.now.Add(time.Minute)})
			}
			refused, granted := 0, 0
			for range 1000 {
				for _, e := range h.takeEffects() {
					switch e := e.(type) {
					case core.GrantRequest:
						granted++
						m.start(h, e.ID)
					case core.RefuseRequest:
						refused++
					}
				}
				h.now = h.now.Add(time.Millisecond)
				m.finish(h)
			}
			if got := refused > 0; got != tt.refused || refused+granted != burst {
				t.Errorf("%d of %d requests are refused and %d granted, want refusals: %v", refused, burst, granted, tt.refused)
			}
		})
	}
}
