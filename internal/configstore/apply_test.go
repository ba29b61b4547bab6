package configstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
	standin "amaranthwheel.example/amaranthwheel/standin/store"
)

func TestLoadAfterApply(t *testing.T) {
	_, client := newServer(t, testTimeout)
	writer, reader := client(), client()
	mustApply(t, writer, 0, domainOut("first", "a", "b"))
	all, err := reader.Load(t.Context(), 0)
	if err != nil || all.Version != 1 || len(all.Objects) != 2 {
		t.Fatalf("full load: %+v, %v", all, err)
	}
	deletion := Change{ID: "second", Objects: []model.Object{{Key: model.ObjectKey{Kind: model.KindDomainState, Name: "a"}}}}
	if record := mustApply(t, writer, 1, deletion); record.Version != 2 || record.Change.Objects[0].Version != 2 {
		t.Errorf("record: %+v", record)
	}
	// The reader has the revision of version 1; a new client does not.
	for _, c := range []*Client{reader, client()} {
		diff, err := c.Load(t.Context(), 1)
		if err != nil || diff.Version != 2 || len(diff.Objects) != 1 || !diff.Objects[0].Deleted() {
			t.Errorf("load of the difference: %+v, %v", diff, err)
		}
	}
}

// TestConcurrentChangesHaveOneWinner lets all operators read the state before any
// of them writes.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	_, client := newServer(t, time.Second)
	const operators = 8
	var wg, reading sync.WaitGroup
	reading.Add(operators)
	gate := func() {
		reading.Done()
		reading.Wait()
	}
	errs := make([]error, operators)
	for i := range operators {
		c := client()
		c.kv = &gatedStore{Store: c.kv, gate: gate}
		wg.Go(func() { _, errs[i] = c.Apply(t.Context(), 0, domainOut(fmt.Sprint("op-", i), "a")) })
	}
	wg.Wait()
	ids := historyIDs(t, client())
	if len(ids) != 1 {
		t.Fatalf("history: %v", ids)
	}
	for i, err := range errs {
		var conflict *ConflictError
		switch {
		case fmt.Sprint("op-", i) == ids[0]:
			if err != nil {
				t.Errorf("winner: %v", err)
			}
		case !errors.As(err, &conflict) || conflict.Current != 1 || conflict.Winners[0].Change.ID != ids[0]:
			t.Errorf("loser %d: %v", i, err)
		}
	}
}

func TestLostResponseIsResolved(t *testing.T) {
	server, client := newServer(t, testTimeout)
	server.SetFaults(standin.Faults{LoseResponses: 1})
	c := client()
	record := mustApply(t, c, 0, domainOut("first", "a"))
	if ids := historyIDs(t, c); record.Version != 1 || !slices.Equal(ids, []string{"first"}) {
		t.Errorf("version %d, history %v", record.Version, ids)
	}
}

// TestLostResponseThenOtherChange lets another operator change the configuration
// between the lost response and the retry that resolves it.
func TestLostResponseThenOtherChange(t *testing.T) {
	server, client := newServer(t, testTimeout)
	server.SetFaults(standin.Faults{LoseResponses: 1})
	slow := client()
	slow.retry = retryPolicy{initialInterval: 200 * time.Millisecond, maxInterval: 200 * time.Millisecond}
	done := make(chan Record)
	go func() {
		record, err := slow.Apply(t.Context(), 0, domainOut("first", "a"))
		if err != nil {
			t.Error(err)
		}
		done <- record
	}()
	for server.Faults().LoseResponses > 0 {
		time.Sleep(time.Millisecond)
	}
	other := client()
	_, err := other.Apply(t.Context(), 0, domainOut("loser", "a"))
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Errorf("change on the old base: %v", err)
	}
	mustApply(t, other, 1, domainOut("second", "a"))
	if record := <-done; record.Version != 1 {
		t.Errorf("resolved as %+v", record)
	}
	if ids := historyIDs(t, other); !slices.Equal(ids, []string{"second", "first"}) {
		t.Errorf("history: %v", ids)
	}
}

func TestSameIDIsAppliedOnce(t *testing.T) {
	_, client := newServer(t, testTimeout)
	c := client()
	mustApply(t, c, 0, domainOut("first", "a"))
	mustApply(t, c, 1, domainOut("second", "a"))
	if record := mustApply(t, c, 2, domainOut("first", "a")); record.Version != 1 {
		t.Errorf("applied again at version %d", record.Version)
	}
	if ids := historyIDs(t, c); len(ids) != 2 {
		t.Errorf("history: %v", ids)
	}
}

// TestApplyErrorAtDeadline checks that, when its context ends, Apply returns an
// *UnresolvedError exactly if the change may have been applied.
func TestApplyErrorAtDeadline(t *testing.T) {
	server, client := newServer(t, testTimeout)
	cases := []struct {
		name       string
		faults     standin.Faults
		unresolved bool
	}{
		{"down from the start", standin.Faults{Down: true}, false},
		{"too slow to read", standin.Faults{SlowMS: 600}, false},
		{"response lost, no retry in time", standin.Faults{LoseResponses: 1}, true},
	}
	for i, c := range cases {
		server.SetFaults(c.faults)
		applier := client()
		applier.retry = retryPolicy{initialInterval: time.Hour, maxInterval: time.Hour}
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		_, err := applier.Apply(ctx, 0, domainOut(fmt.Sprint("change-", i), "a"))
		cancel()
		var unresolved *UnresolvedError
		if err == nil || errors.As(err, &unresolved) != c.unresolved {
			t.Errorf("%s: %v", c.name, err)
		}
		if !c.unresolved && !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	server.SetFaults(standin.Faults{})
	if record := mustApply(t, client(), 0, domainOut("change-2", "a")); record.Version != 1 {
		t.Errorf("resubmission resolved as %+v", record)
	}
}

func TestApplyToFlappingStore(t *testing.T) {
	server, client := newServer(t, testTimeout)
	ctx, stop := context.WithCancel(t.Context())
	var flapping sync.WaitGroup
	flapping.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			server.SetFaults(standin.Faults{Down: i%2 == 0, LoseResponses: i % 3})
			time.Sleep(3 * time.Millisecond)
		}
	})
	c := client()
	const changes = 20
	for v := range uint64(changes) {
		mustApply(t, c, v, domainOut(fmt.Sprint("change-", v), "a"))
	}
	stop()
	flapping.Wait()
	server.SetFaults(standin.Faults{})
	if ids := historyIDs(t, c); len(ids) != changes {
		t.Errorf("%d records of %d changes", len(ids), changes)
	}
}

func TestHistoryIsLimited(t *testing.T) {
	_, client := newServer(t, time.Second)
	c := client()
	const extra = 3
	for v := range uint64(HistoryLimit + extra) {
		mustApply(t, c, v, domainOut(fmt.Sprint("change-", v+1), "a"))
	}
	ids := historyIDs(t, c)
	if len(ids) != HistoryLimit || ids[0] != "change-503" || ids[HistoryLimit-1] != "change-4" {
		t.Errorf("%d records, from %s to %s", len(ids), ids[0], ids[len(ids)-1])
	}
	changeKeys, err := c.kv.Range(t.Context(), store.Prefix(c.keys.change("")))
	if err != nil || len(changeKeys.KVs) != HistoryLimit {
		t.Errorf("%d change keys, %v", len(changeKeys.KVs), err)
	}
	newest, err := c.History(t.Context(), historyPageSize+1)
	if err != nil || len(newest) != historyPageSize+1 || newest[0].Version != 503 {
		t.Errorf("limited history: %d records, %v", len(newest), err)
	}
}

func TestRejectedChanges(t *testing.T) {
	server, client := newServer(t, testTimeout)
	c := client()
	mustApply(t, c, 0, domainOut("largest", manyDomains(MaxObjects)...))
	_, err := c.Apply(t.Context(), 1, domainOut("too-many", manyDomains(2*MaxObjects+1)...))
	var tooLarge *TooLargeError
	if !errors.As(err, &tooLarge) || tooLarge.MinChanges() != 3 {
		t.Errorf("too many objects: %v", err)
	}
	tooLong := domainOut("too-long", "a")
	tooLong.Note = strings.Repeat("x", maxChangeBytes)
	if _, err := c.Apply(t.Context(), 1, tooLong); !errors.As(err, &tooLarge) || tooLarge.MinChanges() != 2 {
		t.Errorf("too many bytes: %v", err)
	}
	before := server.Counts().Total()
	wrongKey := domainOut("wrong-key", "a")
	wrongKey.Objects[0].Key.Name = "b"
	for _, ch := range []Change{{}, {ID: "empty"}, domainOut("a/b", "a"), domainOut("twice", "a", "a"), wrongKey} {
		if _, err := c.Apply(t.Context(), 1, ch); err == nil {
			t.Errorf("accepted %+v", ch)
		}
	}
	if after := server.Counts().Total(); after != before {
		t.Errorf("rejected changes caused %d calls", after-before)
	}
}

func TestCorruptValuesAreReported(t *testing.T) {
	_, client := newServer(t, testTimeout)
	c := client()
	for _, key := range []string{c.keys.version(), c.keys.objects() + "service/a"} {
		for _, value := range []string{"{", `{"key":{"kind":"domain","name":"a"}}`, `{"key":{"kind":"service","name":"a"},"domain":{"name":"a"}}`} {
			write := store.Txn{Ops: []store.Op{store.Put{Key: key, Value: []byte(value)}}}
			if _, err := c.kv.Txn(t.Context(), write); err != nil {
				t.Fatal(err)
			}
			var corrupt *CorruptError
			if _, err := c.Load(t.Context(), 0); !errors.As(err, &corrupt) || corrupt.Key != key {
				t.Errorf("%s = %s: %v", key, value, err)
			}
		}
		if _, err := c.kv.Txn(t.Context(), store.Txn{Ops: []store.Op{store.Delete{Key: key}}}); err != nil {
			t.Fatal(err)
		}
	}
}
