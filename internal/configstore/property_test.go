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

// Times of the property test. Calls time out before the slowest are answered,
// and submissions before the longest outages are over.
const (
	propertyCallTimeout  = 15 * time.Millisecond
	propertyApplyTimeout = 50 * time.Millisecond
	propertyMaxSlowMS    = 25
	propertyMaxHoldMS    = 20
	// propertyCheckTimeout is that of the processes that must not fail.
	propertyCheckTimeout = 2 * time.Second
)

// faultStep is a set of faults that holds for a time.
type faultStep struct {
	faults      standin.Faults
	dropWatches bool
	hold        time.Duration
}

var faultSteps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultStep {
	return faultStep{
		faults: standin.Faults{
			Down:        rapid.Bool().Draw(t, "down"),
			SlowMS:      rapid.IntRange(0, propertyMaxSlowMS).Draw(t, "slow"),
			LoseResponses: rapid.IntRange(0, 2).Draw(t, "lose"),
		},
		dropWatches: rapid.Bool().Draw(t, "drop"),
		hold:        time.Duration(rapid.IntRange(1, propertyMaxHoldMS).Draw(t, "hold")) * time.Millisecond,
	}
}), 1, 6)

// submitted is what one operator knows of a change.
type submitted struct {
	base    uint64
	change  Change
	version uint64
	err     error
}

// world is one store with the processes around it.
type world struct {
	t      *rapid.T
	server *standin.Server
	// operators is the address that operators use, others that of the rest.
	operators, others *httptest.Server
}

// operatorClient returns a client that the faults make fail.
func (w *world) operatorClient() *Client {
	return w.client(w.operators, propertyCallTimeout)
}

// otherClient returns a client that waits for slow answers.
func (w *world) otherClient() *Client {
	return w.client(w.others, propertyCheckTimeout)
}

func (w *world) client(s *httptest.Server, timeout time.Duration) *Client {
	kv := store.NewEtcd(store.Options{Endpoints: []string{s.URL}, Timeout: timeout})
	c := New(kv, "test")
	c.retry = testRetry
	return c
}

// TestApplyUnderRandomFaults lets three operators race under random faults. A
// change that Apply reports as applied is in the history exactly once, one
// that it reports as refused or not applied isn't, and an unresolved one is
// resolved by submitting it again. A watch sees rising versions only and ends
// with the whole configuration.
func TestApplyUnderRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		steps := faultSteps.Draw(rt, "faults")
		blind := rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(rt, "blind")
		server := standin.New()
		w := &world{rt, server, httptest.NewServer(server.Handler()), httptest.NewServer(server.Handler())}
		defer w.others.Close()
		defer server.DropWatches()

		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		watcher := newConfigWatcher(ctx, w.otherClient())
		outcomes := w.race(steps, blind)

		w.operators.Close() // waits for the writes that are still on their way
		server.SetFaults(standin.Faults{})
		w.checkOutcomes(w.resolve(outcomes))
		want, err := w.otherClient().Load(context.Background(), 0)
		if err != nil {
			rt.Fatal(err)
		}
		watcher.check(rt, want)
		cancel()
		<-watcher.done
	})
}

// race runs the operators and the faults side by side.
func (w *world) race(steps []faultStep, blind []bool) []submitted {
	results := make([][]submitted, len(blind))
	var wg sync.WaitGroup
	for i, b := range blind {
		wg.Go(func() { results[i] = w.operate(fmt.Sprint("operator-", i), b) })
	}
	for _, step := range steps {
		w.server.SetFaults(step.faults)
		if step.dropWatches {
			w.server.DropWatches()
		}
		time.Sleep(step.hold)
	}
	w.server.SetFaults(standin.Faults{})
	wg.Wait()
	var all []submitted
	for _, r := range results {
		all = append(all, r...)
	}
	return all
}

// operate submits changes, each on the base that the last outcome suggests. A
// blind operator submits every change on the empty configuration.
func (w *world) operate(name string, blind bool) []submitted {
	c := w.operatorClient()
	var out []submitted
	base := uint64(0)
	for i := range 3 {
		s := submitted{base: base, change: domainOut(fmt.Sprint(name, "-", i), "shared", name)}
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

// resolve submits the unresolved changes again.
func (w *world) resolve(outcomes []submitted) []submitted {
	c := w.otherClient()
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

// checkOutcomes compares what the operators know with the history.
func (w *world) checkOutcomes(outcomes []submitted) {
	records, err := w.otherClient().History(context.Background(), 0)
	if err != nil {
		w.t.Fatal(err)
	}
	versions := make(map[string]uint64)
	for i, r := range records {
		if want := uint64(len(records) - i); r.Version != want {
			w.t.Fatalf("record %d has version %d, want %d", i, r.Version, want)
		}
		if versions[r.Change.ID] != 0 {
			w.t.Fatalf("%s is in the history twice", r.Change.ID)
		}
		versions[r.Change.ID] = r.Version
	}
	for _, s := range outcomes {
		if got := versions[s.change.ID]; got != s.version {
			w.t.Fatalf("%s on base %d: history has version %d, operator knows %d (%v)", s.change.ID, s.base, got, s.version, s.err)
		}
	}
}

// configWatcher merges what a watch notifies.
type configWatcher struct {
	done chan struct{}
	mu   sync.Mutex
	held *model.Config
	fell bool
}

func newConfigWatcher(ctx context.Context, c *Client) *configWatcher {
	w := &configWatcher{done: make(chan struct{}), held: model.NewConfig()}
	go func() {
		defer close(w.done)
		_ = c.Watch(ctx, 0, w.merge)
	}()
	return w
}

func (w *configWatcher) merge(s Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fell = w.fell || s.Version <= w.held.Version
	w.held.Merge(s.Version, s.Objects)
}

// check waits until the watch has caught up and compares what it holds.
func (w *configWatcher) check(t *rapid.T, want Snapshot) {
	config := model.NewConfig()
	config.Merge(want.Version, want.Objects)
	sameKeys := func(a, b model.Object) bool { return a.Version == b.Version && a.Deleted() == b.Deleted() }
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		held, fell := w.held.Clone(), w.fell
		w.mu.Unlock()
		switch {
		case fell:
			t.Fatal("a watched version did not rise")
		case held.Version == want.Version && maps.EqualFunc(held.Objects, config.Objects, sameKeys):
			return
		case time.Now().After(deadline):
			t.Fatalf("the watch holds version %d of %d", held.Version, want.Version)
		}
	}
}
