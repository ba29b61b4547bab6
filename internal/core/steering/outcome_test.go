package steering

import (
	"testing"
	"time"
)

// Guards against requests on open flows, which can't go elsewhere, being held back by the limit on
// new flows. Load: a target of 6 slots whose limit is at its start.
func TestExecutionLimitIsSlotsWhilePaced(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAgent(AgentIdentity{Service: "s", HeartbeatInterval: 500 * time.Millisecond, Pace: true})
	a.Step(now, &Heartbeat{Instance: "i", Service: "s", Incarnation: 7, Sequence: 1, Slots: 6})
	a.pace.objectiveAt = now
	a.health.typicalTime, a.health.typicalAt = 40*time.Millisecond, now
	if concurrency, execution := a.concurrency(), a.executionLimit(); concurrency != 2 || execution != 6 {
		t.Errorf("concurrency %d and execution limit %d, want 2 and 6", concurrency, execution)
	}
}
