package direct

import (
	"context"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/revision"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// eventTimeout bounds the wait for an expected event.
const eventTimeout = 5 * time.Second

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: did not happen in %v", what, eventTimeout)
}

// observedStore records the last snapshot and status of a watcher.
type observedStore struct {
	mu   sync.Mutex
	last storeSnapshot
	up   bool
	// failing and established are the calls of onFailing and onEstablished.
	failing     []string
	established []watchFailures
}

func (o *observedStore) get() storeSnapshot {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last
}

func (o *observedStore) value(key string) string {
	for _, kv := range o.get().pairs {
		if kv.Key == key {
			return string(kv.Value)
		}
	}
	return ""
}

func startWatcher(t *testing.T, s store.PollingStore, refresh chan struct{}) *observedStore {
	t.Helper()
	out := new(observedStore)
	w := &storeWatcher{
		store: s, prefix: "op", refresh: refresh,
		pollWait:      func() time.Duration { return 20 * time.Millisecond },
		changePause:   func() time.Duration { return time.Millisecond },
		isOperatorKey: func(key string) bool { return strings.HasPrefix(key, "op/") },
		onSnapshot: func(s storeSnapshot) {
			out.mu.Lock()
			defer out.mu.Unlock()
			out.last = s
		},
		onFailing: func(err error, lost bool) {
			out.mu.Lock()
			defer out.mu.Unlock()
			out.up = false
			out.failing = append(out.failing, fmt.Sprintf("lost %v: %v", lost, err))
		},
		onEstablished: func(f watchFailures) {
			out.mu.Lock()
			defer out.mu.Unlock()
			out.up = true
			out.established = append(out.established, f)
		},
	}
	runWatcher(t, w)
	return out
}

// runWatcher runs a watcher until the test ends.
func runWatcher(t *testing.T, w *storeWatcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func TestWatcherReportsChangesAndDeletions(t *testing.T) {
	s := newFakeStore()
	s.set("op/config", "1", 0)
	o := startWatcher(t, s, nil)
	eventually(t, "first read", func() bool { return o.value("op/config") == "1" })
	s.set("op/config", "2", 0)
	s.set("op-agents/a", "x", 0)
	eventually(t, "change", func() bool { return o.value("op/config") == "2" && o.value("op-agents/a") == "x" })
	before := o.get()
	s.remove("op-agents/a")
	eventually(t, "deletion", func() bool { return o.value("op-agents/a") == "" })
	after := o.get()
	if !after.agentRevision.After(before.agentRevision) || after.operatorRevision != before.operatorRevision {
		t.Errorf("revisions were %+v and are %+v", before, after)
	}
}

// A deletion that is only visible as a missing pair, as the store discarded its
// history, must raise the revision.
func TestWatcherDetectsDeletionInLostHistory(t *testing.T) {
	s := newFakeStore()
	s.set("op/config", "1", 0)
	s.set("op/evacuate/z", "{}", 0)
	o := startWatcher(t, s, nil)
	eventually(t, "first read", func() bool { return o.value("op/evacuate/z") == "{}" })
	before := o.get()
	s.setFaults(false, true)
	s.remove("op/evacuate/z")
	s.compact()
	s.setFaults(false, false)
	eventually(t, "deletion", func() bool { return o.value("op/evacuate/z") == "" })
	if got := o.get().operatorRevision; !got.After(before.operatorRevision) {
		t.Errorf("revision stayed %d", got)
	}
}

func TestWatcherRecoversFromOutage(t *testing.T) {
	s := newFakeStore()
	s.set("op/config", "1", 0)
	o := startWatcher(t, s, nil)
	eventually(t, "first read", func() bool { return o.value("op/config") == "1" })
	s.setFaults(true, false)
	eventually(t, "watch lost", func() bool { o.mu.Lock(); defer o.mu.Unlock(); return !o.up })
	s.set("op/config", "2", 0)
	s.setFaults(false, false)
	eventually(t, "recovery", func() bool { return o.value("op/config") == "2" })
}

// The store drops the waiting poll and a check that was made meanwhile. The next check
// must be made without waiting for these.
func TestWatcherChecksAgainWhileAnEarlierCheckHangs(t *testing.T) {
	s := newFakeStore()
	s.set("op/config", "1", 0)
	refresh := newSignal()
	o := startWatcher(t, s, refresh)
	eventually(t, "first read", func() bool { return o.value("op/config") == "1" })
	s.hangPolls(true)
	refresh.raise()
	eventually(t, "first check", func() bool { return len(refresh) == 0 })
	time.Sleep(10 * pollInterval)
	s.hangPolls(false)
	s.dropWaitingPolls()
	s.set("op/config", "2", 0)
	refresh.raise()
	eventually(t, "change", func() bool { return o.value("op/config") == "2" })
}

func newRegistrar(s store.PollingStore, events *[]steering.Event, mu *sync.Mutex) *registrar {
	r := &registrar{
		store: s, node: "a", key: "op-agents/a", served: entry{key: "served/a"}, leaseTTL: time.Minute, desired: make(chan *steering.AgentRecord, 1), verify: newSignal(), save: newSignal(),
		notify: func(e steering.Event) {
			mu.Lock()
			defer mu.Unlock()
			*events = append(*events, e)
		},
		warn: func(string, error) {}, info: func(string, ...any) {}, hostTime: func() time.Duration { return time.Hour },
	}
	r.saver = &saver{
		store: s, entry: entry{key: "saved-flows/a"}, currentFlows: func() steering.SavedFlows { return steering.SavedFlows{Incarnation: 7} },
		restore: r.notify, warn: r.warn,
	}
	return r
}

var exampleRecord = steering.AgentRecord{
	Node: "a", Domain: "d", Service: "s", Peer: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 7,
}

func TestDeletedRecordIsRewritten(t *testing.T) {
	s := newFakeStore()
	var mu sync.Mutex
	var events []steering.Event
	r := newRegistrar(s, &events, &mu)
	ctx := context.Background()
	r.readPrevious(ctx)
	record := exampleRecord
	r.record = &record
	r.storeDesired(ctx)
	want := []steering.Event{&steering.PreviousRecord{}, &steering.RecordStored{Incarnation: 7}}
	if !reflect.DeepEqual(events, want) {
		t.Fatalf("events are %+v", events)
	}
	s.remove("op-agents/a")
	r.verifyRecord(ctx)
	kv, found, err := s.Get(ctx, "op-agents/a")
	if !found || err != nil {
		t.Fatalf("the record is still missing: %v", err)
	}
	if got, err := decodeRecord("a", kv.Value); err != nil || got != exampleRecord {
		t.Errorf("record is %+v, error %v", got, err)
	}
}

// The record may lapse or be deleted while the agent is down. The next process
// must still learn which incarnation was served.
func TestServedIncarnationOutlivesRecord(t *testing.T) {
	s := newFakeStore()
	var mu sync.Mutex
	var events []steering.Event
	r := newRegistrar(s, &events, &mu)
	ctx := context.Background()
	record := exampleRecord
	r.record = &record
	r.storeDesired(ctx)
	s.remove("op-agents/a")
	next := newRegistrar(s, &events, &mu)
	next.readPrevious(ctx)
	got, ok := events[len(events)-1].(*steering.PreviousRecord)
	if !ok || !got.Found || got.Record.Incarnation != exampleRecord.Incarnation {
		t.Errorf("the next process gets %+v", events[len(events)-1])
	}
}

// A target is registered again after another one was: the entry names both.
func TestServedEntryNamesAllIncarnationsOfTheProcess(t *testing.T) {
	s := newFakeStore()
	var mu sync.Mutex
	var events []steering.Event
	r := newRegistrar(s, &events, &mu)
	ctx := context.Background()
	for _, incarnation := range []int64{7, 8, 7} {
		record := exampleRecord
		record.Incarnation = incarnation
		r.record = &record
		r.storeDesired(ctx)
	}
	next := newRegistrar(s, &events, &mu)
	next.readPrevious(ctx)
	got, ok := events[len(events)-1].(*steering.PreviousRecord)
	if !ok || got.Record.Incarnation != 7 || !slices.Equal(got.Others, []int64{8}) {
		t.Errorf("the next process gets %+v", events[len(events)-1])
	}
}

// The target deregisters while the store is down. The record must be deleted once the
// store is back, and written again for the next target.
func TestRecordOfADeregisteredTargetIsDeletedAfterAnOutage(t *testing.T) {
	s := newFakeStore()
	var mu sync.Mutex
	var events []steering.Event
	r := newRegistrar(s, &events, &mu)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	record := exampleRecord
	r.record = &record
	r.storeDesired(ctx)
	go r.run(ctx)
	stored := func() bool {
		_, found, err := s.Get(ctx, "op-agents/a")
		return err == nil && found
	}
	s.setFaults(true, false)
	r.setDesired(nil)
	time.Sleep(20 * time.Millisecond)
	s.setFaults(false, false)
	eventually(t, "the record is deleted", func() bool { return !stored() })
	r.setDesired(&record)
	eventually(t, "the record is written again", stored)
}

// A served entry that another writer has corrupted proves nothing: this
// incarnation of the target may have served the flows.
func TestMalformedServedEntryRulesNothingOut(t *testing.T) {
	s := newFakeStore()
	s.set("served/a", "{", 0)
	var mu sync.Mutex
	var events []steering.Event
	newRegistrar(s, &events, &mu).readPrevious(context.Background())
	agent := steering.NewAgent(steering.AgentIdentity{Service: "s", HeartbeatInterval: time.Second})
	now := time.Unix(1000, 0)
	for _, e := range events {
		agent.Step(now, e)
	}
	agent.Step(now, &steering.Heartbeat{Instance: "t", Service: "s", Incarnation: 7, Sequence: 40})
	from := netip.MustParseAddrPort("10.0.0.2:7000")
	effects := agent.Step(now, &steering.MessageReceived{From: from, Message: steering.Message{Kind: steering.MessageQuery}})
	if got := effects[0].Message.Verdict; got != steering.VerdictUnsure {
		t.Errorf("verdict is %v for a flow that the agent can't know", got)
	}
}

// A save that has nothing new to write makes no call, so it must not log that the
// store is available again.
func TestStoreRecoveryIsLoggedAfterSuccessfulCall(t *testing.T) {
	s := newFakeStore()
	var mu sync.Mutex
	var events []steering.Event
	r := newRegistrar(s, &events, &mu)
	var lines []string
	r.info = func(text string, _ ...any) { lines = append(lines, text) }
	ctx := context.Background()
	record := exampleRecord
	r.record = &record
	r.storeDesired(ctx)
	r.saveFlows(ctx)
	s.setFaults(true, false)
	r.renewLease(ctx)
	r.saveFlows(ctx)
	if len(lines) > 0 {
		t.Errorf("the store is down, and the log says %q", lines)
	}
	s.setFaults(false, false)
	r.renewLease(ctx)
	if len(lines) != 1 {
		t.Errorf("the store is up again, and the log says %q", lines)
	}
}

// Saved flows must no longer be final once a process has registered. Whether one that could
// not register may have served the target is for the core to tell.
func TestFinalFlowsAreRestoredOnce(t *testing.T) {
	s := newFakeStore()
	flow := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{1, 2, 3, 4}, Port: 5}, Address: steering.Endpoint{IP: [4]byte{6, 7, 8, 9}, Port: 10}}
	served, err := encodeServed(&exampleRecord, nil, store.FirstEra, time.Hour, time.Unix(1000, 0))
	if err != nil {
		t.Fatal(err)
	}
	s.set("served/a", string(served), 0)
	value, err := encodeSaved(&steering.SavedFlows{Incarnation: 7, Final: true, Flows: []steering.SavedFlow{{Flow: flow, Ack: 11, HalfOpen: true, NonIdempotent: true}}}, s.revision())
	if err != nil {
		t.Fatal(err)
	}
	s.set("saved-flows/a", string(value), 0)
	for _, final := range []bool{true, false} {
		var mu sync.Mutex
		var events []steering.Event
		r := newRegistrar(s, &events, &mu)
		r.readPrevious(context.Background())
		record := exampleRecord
		r.record = &record
		r.storeDesired(context.Background())
		got := events[0].(*steering.SavedFlows)
		if got.Final != final || len(got.Flows) != 1 || got.Flows[0] != (steering.SavedFlow{Flow: flow, Ack: 11, HalfOpen: true, NonIdempotent: true}) {
			t.Errorf("restored %+v, want final %v", got, final)
		}
	}
}

func TestMalformedRecordsAreSkipped(t *testing.T) {
	good, err := encodeRecord(&exampleRecord)
	if err != nil {
		t.Fatal(err)
	}
	records, errs := decodeRecords("op-agents/", []store.KeyValue{
		{Key: "op-agents/a", Value: good, Lease: 1}, {Key: "op-agents/b", Value: []byte("{"), Lease: 1},
		{Key: "op-agents/c", Value: []byte(`{"node":"c"}`), Lease: 1}, {Key: "op/config", Value: []byte("{}")},
	})
	if len(records) != 1 || records[0] != exampleRecord || len(errs) != 2 {
		t.Errorf("records %+v, errors %v", records, errs)
	}
}

// The latest record of an address is that of the host that has it now.
func TestRecordsAreOrderedByTheirWriting(t *testing.T) {
	var items []store.KeyValue
	for number, node := range map[int64]string{7: "a10", 5: "a9", 9: "a1"} {
		record := exampleRecord
		record.Node = node
		value, err := encodeRecord(&record)
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, store.KeyValue{Key: "op-agents/" + node, Value: value, ModRevision: revision.New(store.FirstEra, number), Lease: 1})
	}
	records, errs := decodeRecords("op-agents/", items)
	if len(errs) > 0 || len(records) != 3 || records[0].Node != "a9" || records[1].Node != "a10" || records[2].Node != "a1" {
		t.Errorf("records %+v, errors %v", records, errs)
	}
}

func TestReportLimiter(t *testing.T) {
	var l reportLimiter
	now := time.Unix(1000, 0)
	written := 0
	for range 100 {
		if _, ok := l.allow(now, "text"); ok {
			written++
		}
	}
	suppressed, ok := l.allow(now.Add(2*reportWindow), "text")
	if written != reportsPerWindow || !ok || suppressed != 100-reportsPerWindow {
		t.Errorf("%d lines written, then %d suppressed", written, suppressed)
	}
}
