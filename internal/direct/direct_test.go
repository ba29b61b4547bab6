package direct

import (
	"context"
	"net/netip"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// patience bounds the wait for something that must happen.
const patience = 5 * time.Second

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pollStep) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: did not happen in %v", what, patience)
}

// followed is what a follower has told last.
type followed struct {
	mu   sync.Mutex
	last copied
	up   bool
}

func (f *followed) get() copied {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

func (f *followed) value(key string) string {
	for _, kv := range f.get().pairs {
		if kv.Key == key {
			return string(kv.Value)
		}
	}
	return ""
}

func startFollower(t *testing.T, s *fakeStore, refresh chan struct{}) *followed {
	t.Helper()
	out := new(followed)
	f := &follower{
		store: s, prefix: "op", refresh: refresh,
		wait:        func() time.Duration { return 20 * time.Millisecond },
		pause:       func() time.Duration { return time.Millisecond },
		byOperators: func(key string) bool { return strings.HasPrefix(key, "op/") },
		changed: func(c copied) {
			out.mu.Lock()
			defer out.mu.Unlock()
			out.last = c
		},
		fresh: func(up bool, _ error) {
			out.mu.Lock()
			defer out.mu.Unlock()
			out.up = up
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return out
}

func TestFollowerSeesChangesAndDeletions(t *testing.T) {
	s := newFakeStore()
	s.set("op/config", "1", 0)
	f := startFollower(t, s, nil)
	eventually(t, "first read", func() bool { return f.value("op/config") == "1" })
	s.set("op/config", "2", 0)
	s.set("op-agents/a", "x", 0)
	eventually(t, "change", func() bool { return f.value("op/config") == "2" && f.value("op-agents/a") == "x" })
	before := f.get()
	s.remove("op-agents/a")
	eventually(t, "deletion", func() bool { return f.value("op-agents/a") == "" })
	after := f.get()
	if after.agentRevision <= before.agentRevision || after.operatorRevision != before.operatorRevision {
		t.Errorf("revisions were %+v and are %+v", before, after)
	}
}

// A deletion that happened while the history was lost must raise the revision.
func TestFollowerSeesDeletionsOverLostHistory(t *testing.T) {
	s := newFakeStore()
	s.set("op/config", "1", 0)
	s.set("op/evacuate/z", "{}", 0)
	f := startFollower(t, s, nil)
	eventually(t, "first read", func() bool { return f.value("op/evacuate/z") == "{}" })
	before := f.get()
	s.fail(false, true)
	s.remove("op/evacuate/z")
	s.compact()
	s.fail(false, false)
	eventually(t, "deletion", func() bool { return f.value("op/evacuate/z") == "" })
	if got := f.get().operatorRevision; got <= before.operatorRevision {
		t.Errorf("revision stayed %d", got)
	}
}

func TestFollowerOutlastsAnOutage(t *testing.T) {
	s := newFakeStore()
	s.set("op/config", "1", 0)
	f := startFollower(t, s, nil)
	eventually(t, "first read", func() bool { return f.value("op/config") == "1" })
	s.fail(true, false)
	eventually(t, "loss", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return !f.up })
	s.set("op/config", "2", 0)
	s.fail(false, false)
	eventually(t, "return", func() bool { return f.value("op/config") == "2" })
}

func newRegistrar(s *fakeStore, events *[]steering.Event, mu *sync.Mutex) *registrar {
	g := &registrar{
		store: s, key: "op-agents/a", servedKey: "served/a", ttl: time.Minute, wanted: make(chan steering.AgentRecord, 1), verify: newRequest(), save: newRequest(),
		notify: func(e steering.Event) {
			mu.Lock()
			defer mu.Unlock()
			*events = append(*events, e)
		},
		warn: func(string, error) {}, info: func(string, ...any) {},
	}
	g.saver = &saver{
		store: s, key: "saved-flows/a", flows: func() steering.SavedFlows { return steering.SavedFlows{Incarnation: 7} },
		restore: g.notify, warn: g.warn,
	}
	return g
}

var exampleRecord = steering.AgentRecord{
	Node: "a", Domain: "d", Service: "s", Peer: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 7,
}

func TestRecordIsWrittenAgainWhenItIsTakenAway(t *testing.T) {
	s := newFakeStore()
	var mu sync.Mutex
	var events []steering.Event
	g := newRegistrar(s, &events, &mu)
	ctx := context.Background()
	g.readPrevious(ctx)
	record := exampleRecord
	g.record = &record
	g.write(ctx)
	want := []steering.Event{&steering.PreviousRecord{}, &steering.Registered{Incarnation: 7}}
	if !reflect.DeepEqual(events, want) {
		t.Fatalf("events are %+v", events)
	}
	s.remove("op-agents/a")
	g.lookAfter(ctx)
	kv, found, err := s.Get(ctx, "op-agents/a")
	if !found || err != nil {
		t.Fatalf("the record is still gone: %v", err)
	}
	if r, err := decodeRecord(kv.Value); err != nil || r != exampleRecord {
		t.Errorf("record is %+v, error %v", r, err)
	}
}

// The record may lapse or be taken away while the agent is down; what it served
// is known all the same.
func TestServedLifetimeOutlastsTheRecord(t *testing.T) {
	s := newFakeStore()
	var mu sync.Mutex
	var events []steering.Event
	g := newRegistrar(s, &events, &mu)
	ctx := context.Background()
	record := exampleRecord
	g.record = &record
	g.write(ctx)
	s.remove("op-agents/a")
	next := newRegistrar(s, &events, &mu)
	next.readPrevious(ctx)
	got, ok := events[len(events)-1].(*steering.PreviousRecord)
	if !ok || !got.Found || got.Record.Incarnation != exampleRecord.Incarnation {
		t.Errorf("the next process learns %+v", events[len(events)-1])
	}
}

// A served entry that another writer has spoilt proves nothing: the target may be
// as old as its flows.
func TestSpoiltServedEntryRulesNothingOut(t *testing.T) {
	s := newFakeStore()
	s.set("served/a", "{", 0)
	var mu sync.Mutex
	var events []steering.Event
	newRegistrar(s, &events, &mu).readPrevious(context.Background())
	agent := steering.NewAgent(steering.AgentSelf{Service: "s", HeartbeatInterval: time.Second})
	now := time.Unix(1000, 0)
	for _, e := range events {
		agent.Step(now, e)
	}
	agent.Step(now, &steering.Heartbeat{Instance: "t", Service: "s", Incarnation: 7, Sequence: 40})
	from := netip.MustParseAddrPort("10.0.0.2:7000")
	effects := agent.Step(now, &steering.MessageReceived{From: from, Message: steering.Message{Kind: steering.MessageQuery}})
	if got := effects[0].Message.Verdict; got != steering.VerdictUnsure {
		t.Errorf("the agent says %v of a flow that it can't know", got)
	}
}

// What was not asked has not answered: a save with nothing new says nothing of the
// store.
func TestStoreIsNotBackBeforeItAnswers(t *testing.T) {
	s := newFakeStore()
	var mu sync.Mutex
	var events []steering.Event
	g := newRegistrar(s, &events, &mu)
	var lines []string
	g.info = func(text string, _ ...any) { lines = append(lines, text) }
	ctx := context.Background()
	record := exampleRecord
	g.record = &record
	g.write(ctx)
	g.saveFlows(ctx)
	s.fail(true, false)
	g.renew(ctx)
	g.saveFlows(ctx)
	if len(lines) > 0 {
		t.Errorf("the store is down, and the log says %q", lines)
	}
	s.fail(false, false)
	g.renew(ctx)
	if len(lines) != 1 {
		t.Errorf("the store is back, and the log says %q", lines)
	}
}

// Saved flows that were final are no longer so once a process has read them.
func TestFinalFlowsAreUsedOnce(t *testing.T) {
	s := newFakeStore()
	flow := steering.Flow{Caller: steering.Endpoint{IP: [4]byte{1, 2, 3, 4}, Port: 5}, Address: steering.Endpoint{IP: [4]byte{6, 7, 8, 9}, Port: 10}}
	value, err := encodeSaved(&steering.SavedFlows{Incarnation: 7, Final: true, Flows: []steering.SavedFlow{{Flow: flow, Ack: 11, Opening: true, NonIdempotent: true}}})
	if err != nil {
		t.Fatal(err)
	}
	s.set("saved-flows/a", string(value), 0)
	for _, final := range []bool{true, false} {
		var mu sync.Mutex
		var events []steering.Event
		newRegistrar(s, &events, &mu).saver.load(context.Background())
		got := events[0].(*steering.SavedFlows)
		if got.Final != final || len(got.Flows) != 1 || got.Flows[0] != (steering.SavedFlow{Flow: flow, Ack: 11, Opening: true, NonIdempotent: true}) {
			t.Errorf("restored %+v, want final %v", got, final)
		}
	}
}

func TestRecordsOfOtherWritersAreLeftOut(t *testing.T) {
	good, err := encodeRecord(&exampleRecord)
	if err != nil {
		t.Fatal(err)
	}
	records, errs := decodeRecords("op-agents/", []store.KeyValue{
		{Key: "op-agents/a", Value: good}, {Key: "op-agents/b", Value: []byte("{")},
		{Key: "op-agents/c", Value: []byte(`{"node":"c"}`)}, {Key: "op/config", Value: []byte("{}")},
	})
	if len(records) != 1 || records[0] != exampleRecord || len(errs) != 2 {
		t.Errorf("records %+v, errors %v", records, errs)
	}
}

func TestReportsAreBounded(t *testing.T) {
	var l reportLimiter
	now := time.Unix(1000, 0)
	written := 0
	for range 100 {
		if _, ok := l.take(now, "text"); ok {
			written++
		}
	}
	suppressed, ok := l.take(now.Add(2*reportWindow), "text")
	if written != reportsPerWindow || !ok || suppressed != 100-reportsPerWindow {
		t.Errorf("%d lines written, then %d suppressed", written, suppressed)
	}
}
