package configstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "amaranthwheel.example/amaranthwheel/internal/fixedseed"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
	standin "amaranthwheel.example/amaranthwheel/standin/store"
)

// Times of the property test. Call timeouts are shorter than the slowest
// responses, and submission timeouts shorter than the longest outages.
const (
	propertyCallTimeout  = 15 * time.Millisecond
	propertyApplyTimeout = 50 * time.Millisecond
	propertyMaxSlowMS    = 25
	propertyMaxStepMS    = 20
	// propertyCheckTimeout is the call timeout of the clients that must not
	// fail.
	propertyCheckTimeout = 2 * time.Second
)

// faultStep is a set of faults in force for a duration.
type faultStep struct {
	faults      standin.Faults
	dropWatches bool
	duration    time.Duration
}

var faultSteps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultStep {
	return faultStep{
		faults: standin.Faults{
			Down:          rapid.Bool().Draw(t, "down"),
			SlowMS:        rapid.IntRange(0, propertyMaxSlowMS).Draw(t, "slow"),
			LoseResponses: rapid.IntRange(0, 2).Draw(t, "lose"),
		},
		dropWatches: rapid.Bool().Draw(t, "drop"),
		duration:    time.Duration(rapid.IntRange(1, propertyMaxStepMS).Draw(t, "duration")) * time.Millisecond,
	}
}), 1, 6)

// submittedChange is a change with its outcome as the operator knows it.
type submittedChange struct {
	base    uint64
	change  Change
	version uint64
	err     error
}

// testCluster is one store with its clients.
type testCluster struct {
	t      *rapid.T
	server *standin.Server
	// operators serves the racing operators, others all other clients.
	operators, others *httptest.Server
}

// operatorClient returns a client whose calls fail under the faults.
func (tc *testCluster) operatorClient() *Client {
	return tc.client(tc.operators, propertyCallTimeout)
}

// otherClient returns a client that waits for slow responses.
func (tc *testCluster) otherClient() *Client {
	return tc.client(tc.others, propertyCheckTimeout)
}

func (tc *testCluster) client(s *httptest.Server, timeout time.Duration) *Client {
	kv := store.NewEtcd(store.Options{Endpoints: []string{s.URL}, Timeout: timeout})
	c := New(kv, "test")
	c.retry = testRetry
	return c
}

// TestApplyUnderRandomFaults lets three operators race under random faults. A
// change that Apply reports as applied is in the history exactly once, one
// that it reports as rejected or not applied isn't, and an unresolved one is
// resolved by submitting it again. A watch sees only increasing versions and ends
// with the whole configuration.
func TestApplyUnderRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		steps := faultSteps.Draw(rt, "faults")
		blind := rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(rt, "blind")
		server := standin.New()
		tc := &testCluster{rt, server, httptest.NewServer(server.Handler()), httptest.NewServer(server.Handler())}
		defer tc.others.Close()
		defer server.DropWatches()

		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		watcher := newConfigWatcher(ctx, tc.otherClient())
		outcomes := tc.runOperators(steps, blind)

		tc.operators.Close() // waits for the writes in flight
		server.SetFaults(standin.Faults{})
		tc.checkOutcomes(tc.resolveOutcomes(outcomes))
		want, err := tc.otherClient().Load(context.Background(), 0)
		if err != nil {
			rt.Fatal(err)
		}
		watcher.checkCaughtUp(rt, want)
		cancel()
		<-watcher.done
	})
}

// runOperators runs the operators while it injects the faults.
func (tc *testCluster) runOperators(steps []faultStep, blind []bool) []submittedChange {
	results := make([][]submittedChange, len(blind))
	var wg sync.WaitGroup
	for i, b := range blind {
		wg.Go(func() { results[i] = tc.submitChanges(fmt.Sprint("operator-", i), b) })
	}
	for _, step := range steps {
		tc.server.SetFaults(step.faults)
		if step.dropWatches {
			tc.server.DropWatches()
		}
		time.Sleep(step.duration)
	}
	tc.server.SetFaults(standin.Faults{})
	wg.Wait()
	var all []submittedChange
	for _, r := range results {
		all = append(all, r...)
	}
	return all
}

// submitChanges submits changes, each on the version that the last outcome
// reported. A blind operator submits every change on the empty configuration.
func (tc *testCluster) submitChanges(name string, blind bool) []submittedChange {
	c := tc.operatorClient()
	var out []submittedChange
	base := uint64(0)
	for i := range 3 {
		s := submittedChange{base: base, change: domainOut(fmt.Sprint(name, "-", i), "shared", name)}
		ctx, cancel := context.WithTimeout(context.Background(), propertyApplyTimeout)
		record, err := c.Apply(ctx, base, s.change)
		cancel()
		s.version, s.err = record.Version, err
		out = append(out, s)
		var conflict *ConflictError
		switch {
		case blind:
		case err == nil:
			base = record.Version
		case errors.As(err, &conflict):
			base = conflict.Current
		}
	}
	return out
}

// resolveOutcomes submits the unresolved changes again.
func (tc *testCluster) resolveOutcomes(outcomes []submittedChange) []submittedChange {
	c := tc.otherClient()
	for i, s := range outcomes {
		var unresolved *UnresolvedError
		if !errors.As(s.err, &unresolved) {
			continue
		}
		record, err := c.Apply(context.Background(), s.base, s.change)
		outcomes[i].version, outcomes[i].err = record.Version, err
	}
	return outcomes
}

// checkOutcomes compares the outcomes that the operators know with the history.
func (tc *testCluster) checkOutcomes(outcomes []submittedChange) {
	records, err := tc.otherClient().History(context.Background(), 0)
	if err != nil {
		tc.t.Fatal(err)
	}
	versions := make(map[string]uint64)
	for i, r := range records {
		if want := uint64(len(records) - i); r.Version != want {
			tc.t.Fatalf("record %d has version %d, want %d", i, r.Version, want)
		}
		if versions[r.Change.ID] != 0 {
			tc.t.Fatalf("%s is in the history twice", r.Change.ID)
		}
		versions[r.Change.ID] = r.Version
	}
	for _, s := range outcomes {
		if got := versions[s.change.ID]; got != s.version {
			tc.t.Fatalf("%s on base %d: history has version %d, operator knows %d (%v)", s.change.ID, s.base, got, s.version, s.err)
		}
	}
}

// configWatcher merges the snapshots of a watch.
type configWatcher struct {
	done      chan struct{}
	mu        sync.Mutex
	config    *model.Config
	decreased bool
}

func newConfigWatcher(ctx context.Context, c *Client) *configWatcher {
	w := &configWatcher{done: make(chan struct{}), config: model.NewConfig()}
	go func() {
		defer close(w.done)
		_ = c.Watch(ctx, 0, w.merge)
	}()
	return w
}

func (w *configWatcher) merge(s Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.decreased = w.decreased || s.Version <= w.config.Version
	w.config.Merge(s.Version, s.Objects)
}

// checkCaughtUp waits until the merged configuration equals the wanted one.
func (w *configWatcher) checkCaughtUp(t *rapid.T, want Snapshot) {
	wanted := model.NewConfig()
	wanted.Merge(want.Version, want.Objects)
	sameVersion := func(a, b model.Object) bool { return a.Version == b.Version && a.Deleted() == b.Deleted() }
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		config, decreased := w.config.Clone(), w.decreased
		w.mu.Unlock()
		switch {
		case decreased:
			t.Fatal("a watched version did not increase")
		case config.Version == want.Version && maps.EqualFunc(config.Objects, wanted.Objects, sameVersion):
			return
		case time.Now().After(deadline):
			t.Fatalf("the watch is at version %d of %d", config.Version, want.Version)
		}
	}
}
