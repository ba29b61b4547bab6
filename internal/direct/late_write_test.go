package direct

import (
	"context"
	"net/http"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/platform/platformtest"
)

// stopWithLostHandOver starts an agent and stops it in a planned way. The store does not
// answer its hand-over and executes it when ExecuteLate is called.
func stopWithLostHandOver(ctx context.Context, s *platformtest.Store) {
	a := newRestoredAgent(s)
	a.register(ctx)
	a.saver.currentFlows = func() steering.SavedFlows {
		return steering.SavedFlows{Incarnation: exampleRecord.Incarnation, Final: true}
	}
	s.LoseWrite(a.saver.entry.key)
	a.handOverFlows(ctx)
}

// restoredFlows returns the saved flows that an agent has read.
func (a *restoredAgent) restoredFlows() *steering.SavedFlows {
	for _, e := range a.events {
		if flows, ok := e.(*steering.SavedFlows); ok {
			return flows
		}
	}
	return nil
}

// requireUnsureNext checks that the next process of the agent is unsure of a flow that an
// earlier one may have opened.
func requireUnsureNext(ctx context.Context, t *testing.T, s *platformtest.Store) {
	t.Helper()
	next := newRestoredAgent(s)
	next.readPrevious(ctx)
	if got := queryFlow(next.events, 40); got != steering.VerdictUnsure {
		t.Errorf("verdict %s on a flow that the second process may have opened, want unsure", got)
	}
}

// The store executes the hand-over of a stopped agent when its next process has saved its own
// flows. That must not replace them, nor count as complete for the process after it, which
// would call the flows of the second one absent (review/3).
func TestLateHandOverDoesNotReplaceTheNextProcessesFlows(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	stopWithLostHandOver(ctx, s)
	second := newRestoredAgent(s)
	second.register(ctx)
	second.saveFlows(ctx)
	if status := s.ExecuteLate(); status != http.StatusPreconditionFailed {
		t.Errorf("the late write ends with status %d, want %d", status, http.StatusPreconditionFailed)
	}
	third := newRestoredAgent(s)
	third.readPrevious(ctx)
	if got := third.restoredFlows(); got == nil || got.Final || len(got.Flows) != 1 || got.Flows[0].Flow != exampleFlow {
		t.Errorf("the third process gets the flows %+v, want those of the second", got)
	}
	if got := queryFlow(third.events, 40); got != steering.VerdictHeld {
		t.Errorf("verdict %s on a flow that the second process had opened, want held", got)
	}
}

// The same before the next process has saved anything.
func TestLateHandOverIsNotCompleteOnceTheNextProcessServes(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	stopWithLostHandOver(ctx, s)
	newRestoredAgent(s).register(ctx)
	s.ExecuteLate()
	requireUnsureNext(ctx, t, s)
}

// A registration of a stopped agent is executed late, after the next process has registered
// and the one before had handed its flows over: that hand-over must not count again.
func TestLateRegistrationDoesNotRestoreAHandOver(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	first := newRestoredAgent(s)
	s.LoseWrite(first.served.key)
	first.register(ctx) // lost once, then repeated
	first.saver.currentFlows = func() steering.SavedFlows {
		return steering.SavedFlows{Incarnation: exampleRecord.Incarnation, Final: true}
	}
	first.handOverFlows(ctx)
	newRestoredAgent(s).register(ctx)
	s.ExecuteLate()
	requireUnsureNext(ctx, t, s)
}

// A record is deleted late, when the agent has registered its next target.
func TestLateDeleteDoesNotRemoveTheNextRecord(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	a := newRestoredAgent(s)
	a.register(ctx)
	a.record = nil
	s.LoseWrite(a.key)
	a.storeDesired(ctx) // lost once, then repeated
	record := exampleRecord
	record.Incarnation++
	a.record = &record
	a.storeDesired(ctx)
	s.ExecuteLate()
	if _, found := stored(t, s, a.key); !found {
		t.Error("the late delete removed the record of the next target")
	}
}

// A write that the store executed without an answer must not keep the agent from saving.
func TestAgentSavesAfterAnUnansweredWriteTookEffect(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	a := newRestoredAgent(s)
	a.register(ctx)
	s.LoseWrite(a.saver.entry.key)
	a.saveFlows(ctx)
	s.ExecuteLate()
	a.saver.currentFlows = func() steering.SavedFlows {
		return steering.SavedFlows{Incarnation: exampleRecord.Incarnation, Flows: []steering.SavedFlow{{Flow: exampleFlow, Ack: 99}}}
	}
	a.saveFlows(ctx)
	next := newRestoredAgent(s)
	next.readPrevious(ctx)
	if got := next.restoredFlows(); got == nil || len(got.Flows) != 1 || got.Flows[0].Ack != 99 {
		t.Errorf("the next process gets %+v", got)
	}
}
