package direct

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/store"
	"amaranthwheel.example/amaranthwheel/platform"
	"amaranthwheel.example/amaranthwheel/platform/platformtest"
)

type discardCounter struct{}

func (discardCounter) Count(store.Call) {}

// serveStore serves an empty store of the platform and returns it.
func serveStore(t *testing.T) *platformtest.Store {
	t.Helper()
	s := platformtest.NewStore()
	if err := s.Serve("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func newStoreClient(s *platformtest.Store) *platform.Store {
	return platform.NewStore(s.Address(), time.Second, discardCounter{})
}

// restoredAgent is the registrar of an agent with the events that it passed on.
type restoredAgent struct {
	*registrar
	mu     sync.Mutex
	events []steering.Event
}

func newRestoredAgent(s *platformtest.Store) *restoredAgent {
	a := new(restoredAgent)
	a.registrar = newRegistrar(newStoreClient(s), &a.events, &a.mu)
	a.saver.currentFlows = func() steering.SavedFlows {
		return steering.SavedFlows{Incarnation: exampleRecord.Incarnation, Flows: []steering.SavedFlow{{Flow: exampleFlow, Ack: 11}}}
	}
	return a
}

var exampleFlow = steering.Flow{
	Caller: steering.Endpoint{IP: [4]byte{1, 2, 3, 4}, Port: 5}, Address: steering.Endpoint{IP: [4]byte{6, 7, 8, 9}, Port: 10},
}

// register starts the registrar with a record of the target's incarnation.
func (a *restoredAgent) register(ctx context.Context) {
	a.readPrevious(ctx)
	a.checkEra(ctx)
	record := exampleRecord
	a.record = &record
	a.storeDesired(ctx)
}

// stored returns the value of a key in the store.
func stored(t *testing.T, s *platformtest.Store, key string) (store.KeyValue, bool) {
	t.Helper()
	kv, found, err := newStoreClient(s).Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	return kv, found
}

// The store is restored from a copy with a lower revision. Later changes must be in force
// in time although their revisions were given out before.
func TestChangeIsInForceAfterTheStoreWasRestored(t *testing.T) {
	s := serveStore(t)
	s.Configure(1, "s")
	copied := s.Copy()
	b := startBalancer(t, newStoreClient(s), platform.DecodeOperatorState)
	version := 1
	for ; version < 5; version++ {
		s.Configure(version, "s")
	}
	eventually(t, "changes before", func() bool { return b.version() == int64(version-1) })
	s.Restore(copied)
	s.Configure(version, "s")
	deadline := time.Now().Add(applyTimeout)
	for b.version() != int64(version) {
		if time.Now().After(deadline) {
			t.Fatalf("version %d is in force %v after version %d was written", b.version(), applyTimeout, version)
		}
		time.Sleep(pollInterval)
	}
}

// The agent's lease is lost, and its number is given to another agent: renewing it proves
// nothing, and the lost record must be written again.
func TestRecordIsRewrittenAfterTheStoreWasRestored(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	copied := s.Copy()
	a := newRestoredAgent(s)
	a.register(ctx)
	s.Restore(copied)
	if _, err := newStoreClient(s).Grant(ctx, time.Minute); err != nil {
		t.Fatal(err)
	}
	a.renewLease(ctx)
	a.checkEra(ctx)
	kv, found := stored(t, s, a.key)
	if !found || kv.Lease != a.lease {
		t.Errorf("record found %v under lease %d, want lease %d", found, kv.Lease, a.lease)
	}
}

// The agent writes its record before it notices that the store was restored, and its lease
// is another agent's by now: the record must not stay under that one.
func TestRecordLeavesTheLeaseOfAnotherAgent(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	copied := s.Copy()
	a := newRestoredAgent(s)
	a.register(ctx)
	s.Restore(copied)
	other, err := newStoreClient(s).Grant(ctx, time.Minute)
	if err != nil || other != a.lease {
		t.Fatalf("the other agent has lease %d, want %d, error %v", other, a.lease, err)
	}
	a.storeDesired(ctx)
	if kv, found := stored(t, s, a.key); !found || kv.Lease == other || kv.Lease != a.lease {
		t.Errorf("record found %v under lease %d, of the other agent is %d", found, kv.Lease, other)
	}
}

// The record of a target that has left is back in the restored store: it must be deleted
// again.
func TestDeletedRecordIsDeletedAgainAfterTheStoreWasRestored(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	a := newRestoredAgent(s)
	a.register(ctx)
	copied := s.Copy()
	a.record = nil
	a.storeDesired(ctx)
	s.Restore(copied)
	a.renewLease(ctx)
	a.checkEra(ctx)
	if _, found := stored(t, s, a.key); found {
		t.Error("the record of a target that has left is in the store")
	}
}

// The saved flows are lost with the store's changes: they must be saved again although
// they are the same.
func TestFlowsAreSavedAgainAfterTheStoreWasRestored(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	a := newRestoredAgent(s)
	a.register(ctx)
	copied := s.Copy()
	a.saveFlows(ctx)
	s.Restore(copied)
	a.renewLease(ctx)
	a.checkEra(ctx)
	a.saveFlows(ctx)
	if _, found := stored(t, s, a.saver.entry.key); !found {
		t.Error("the flows are not saved")
	}
}

// queryFlow returns the verdict on a flow of an agent that has got the events and then the
// heartbeat of the recorded target with a sequence number.
func queryFlow(events []steering.Event, sequence int64) steering.Verdict {
	return queryFlowOf(events, exampleRecord.Incarnation, sequence)
}

// queriedAgentStart is when the agents of queryFlow start.
var queriedAgentStart = time.Unix(1000, 0)

// queryFlowOf is queryFlow for a target of another incarnation.
func queryFlowOf(events []steering.Event, incarnation, sequence int64) steering.Verdict {
	agent := steering.NewAgent(steering.AgentIdentity{Service: "s", HeartbeatInterval: time.Second})
	now := queriedAgentStart
	for _, e := range events {
		agent.Step(now, e)
	}
	agent.Step(now, &steering.Heartbeat{Instance: "t", Service: "s", Incarnation: incarnation, Sequence: sequence})
	from := netip.MustParseAddrPort("10.0.0.2:7000")
	effects := agent.Step(now, &steering.MessageReceived{From: from, Message: steering.Message{Kind: steering.MessageQuery, Flow: exampleFlow}})
	return effects[0].Message.Verdict
}

// The entry that tells which incarnation was served is lost: its absence must not prove
// that no process has served the target, whose flows would be taken for lost.
func TestLostServedEntryRulesNothingOut(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	copied := s.Copy()
	newRestoredAgent(s).register(ctx)
	s.Restore(copied)
	next := newRestoredAgent(s)
	next.readPrevious(ctx)
	if got := queryFlow(next.events, 40); got != steering.VerdictUnsure {
		t.Errorf("verdict is %v for a flow that the agent can't know", got)
	}
}

// A target that starts on a new host after the store was restored has no entry either. If it
// started after the agent's process, its first heartbeat proves that no other process has
// served it.
func TestFirstHeartbeatAfterARestoreProvesThatNoProcessServedANewTarget(t *testing.T) {
	s := serveStore(t)
	s.Restore(s.Copy())
	a := newRestoredAgent(s)
	a.readPrevious(context.Background())
	started := queriedAgentStart.UnixMilli()
	for incarnation, want := range map[int64]steering.Verdict{
		started + 50: steering.VerdictAbsent,
		started - 50: steering.VerdictUnsure,
	} {
		if got := queryFlowOf(a.events, incarnation, 1); got != want {
			t.Errorf("verdict is %v for a flow at a target that started %d ms after the agent, want %v", got, incarnation-started, want)
		}
	}
}

// An entry that was written after the store was restored proves again that no process has
// served another incarnation.
func TestServedEntryOfThePresentEraIsComplete(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	s.Restore(s.Copy())
	first := newRestoredAgent(s)
	first.register(ctx)
	next := newRestoredAgent(s)
	next.readPrevious(ctx)
	previous, ok := next.events[len(next.events)-1].(*steering.PreviousRecord)
	if !ok || !previous.Found || previous.Incomplete || previous.Record != exampleRecord {
		t.Errorf("the next process gets %+v", next.events[len(next.events)-1])
	}
}

// The final flows of an earlier process are back in the restored store, although a later
// process has opened others since: they must not count as all flows of the target.
func TestFinalFlowsOfALostTimeAreIncomplete(t *testing.T) {
	s := serveStore(t)
	ctx := context.Background()
	first := newRestoredAgent(s)
	first.register(ctx)
	first.saver.currentFlows = func() steering.SavedFlows {
		return steering.SavedFlows{Incarnation: exampleRecord.Incarnation, Final: true}
	}
	first.handOverFlows(ctx)
	copied := s.Copy()
	second := newRestoredAgent(s)
	second.register(ctx)
	s.Restore(copied)
	third := newRestoredAgent(s)
	third.readPrevious(ctx)
	if got := queryFlow(third.events, 40); got != steering.VerdictUnsure {
		t.Errorf("verdict is %v for a flow that the agent can't know", got)
	}
}
