package direct

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/revision"
	"amaranthwheel.example/amaranthwheel/internal/store"
	"amaranthwheel.example/amaranthwheel/platform"
	"amaranthwheel.example/amaranthwheel/platform/platformtest"
)

const (
	// pagedRoutes is the number of routes with which a configuration fills a page.
	pagedRoutes = 8000
	// pagedAgents is the number of agents' records that need a second page.
	pagedAgents = 600
	firstKey    = ""
)

// largeConfiguration returns a configuration that ends a page of the store.
func largeConfiguration(version int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"services":[{"name":"s","warmup_per_s":0}],"routes":[`, version)
	for i := range pagedRoutes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"route-%07d","host":"198.18.%d.%d","prefix":"/8080/","type":"idempotent","service":"s","timeout_ms":4000,"max_attempts":2}`, i, i/250, i%250)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// servePagedStore serves a store that runs write once after the first page of a list was read.
func servePagedStore(t *testing.T, write func(*platformtest.Store)) *platformtest.Store {
	t.Helper()
	s := platformtest.NewStore()
	var once sync.Once
	s.OnPage = func(after string, hasMore bool) {
		if after == firstKey && hasMore {
			once.Do(func() { write(s) })
		}
	}
	if err := s.Serve("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// view returns what the balancer believes at present.
func (b *Balancer) view() steering.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.steering.View(time.Now())
}

// expectState waits until a version and the failure domains are in force.
func expectState(t *testing.T, b *Balancer, version int64, domainsOut string) {
	t.Helper()
	deadline := time.Now().Add(applyTimeout)
	for {
		v := b.view()
		if v.Version == version && strings.Join(v.DomainsOut, " ") == domainsOut {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("version %d and domains out %v are in force, want %d and %s", v.Version, v.DomainsOut, version, domainsOut)
		}
		time.Sleep(pollInterval)
	}
}

// Guards against a balancer that stays with an older configuration because operators changed it,
// and took a failure domain out, while the balancer read the store page by page (review/6).
func TestChangesBetweenPagesAreInForce(t *testing.T) {
	configure := func(s *platformtest.Store) { s.Write("op/config", largeConfiguration(2)) }
	evacuate := func(s *platformtest.Store) { s.SetDomainOut("z", true) }
	for _, test := range []struct {
		name  string
		write func(*platformtest.Store)
	}{
		{"configuration first", func(s *platformtest.Store) { configure(s); evacuate(s) }},
		{"failure domain first", func(s *platformtest.Store) { evacuate(s); configure(s) }},
		{"history lost before the changes are known", func(s *platformtest.Store) { configure(s); evacuate(s); s.Compact() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := servePagedStore(t, test.write)
			s.Write("op/config", largeConfiguration(1))
			s.SetDomainOut("y", true)
			b := startBalancer(t, newStoreClient(s), platform.DecodeOperatorState)
			expectState(t, b, 2, "y z")
		})
	}
}

// A domain is put back into service between the pages, and its entry was on the first page of an
// earlier read.
func TestDeletionBetweenPagesIsInForce(t *testing.T) {
	s := servePagedStore(t, func(s *platformtest.Store) {
		s.Write("op/config", largeConfiguration(2))
		s.SetDomainOut("y", false)
		s.SetDomainOut("z", true)
	})
	s.Write("op/config", largeConfiguration(1))
	s.SetDomainOut("y", true)
	b := startBalancer(t, newStoreClient(s), platform.DecodeOperatorState)
	expectState(t, b, 2, "z")
}

// The store is restored from a copy between the pages: what was read before belongs to another
// history.
func TestRestoreBetweenPagesStartsTheReadAgain(t *testing.T) {
	var copied platformtest.Copy
	s := servePagedStore(t, func(s *platformtest.Store) {
		s.Restore(copied)
		s.Write("op/config", largeConfiguration(3))
		s.SetDomainOut("z", true)
	})
	s.Write("op/config", largeConfiguration(1))
	s.SetDomainOut("y", true)
	copied = s.Copy()
	s.Write("op/config", largeConfiguration(2))
	b := startBalancer(t, newStoreClient(s), platform.DecodeOperatorState)
	expectState(t, b, 3, "y z")
}

// The store fails between the pages. The read begins again.
func TestErrorBetweenPagesStartsTheReadAgain(t *testing.T) {
	s := servePagedStore(t, func(s *platformtest.Store) {
		s.Write("op/config", largeConfiguration(2))
		s.SetDomainOut("z", true)
		s.SetFaults(platformtest.Faults{Refuse: true})
		time.AfterFunc(500*time.Millisecond, func() { s.SetFaults(platformtest.Faults{}) })
	})
	s.Write("op/config", largeConfiguration(1))
	s.SetDomainOut("y", true)
	b := startBalancer(t, newStoreClient(s), platform.DecodeOperatorState)
	expectState(t, b, 2, "y z")
}

// An agent registers between the pages with a key on the first one, and one on the second page does
// so after it.
func TestAgentThatRegistersBetweenPagesIsListed(t *testing.T) {
	record := func(s *platformtest.Store, i int) {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
		r := steering.AgentRecord{Node: fmt.Sprintf("n-%04d", i), Domain: "d", Service: "s", Peer: peer, Incarnation: 1}
		if err := writeRecord(newStoreClient(s), &r); err != nil {
			t.Error(err)
		}
	}
	s := servePagedStore(t, func(s *platformtest.Store) {
		record(s, 1)
		record(s, 2*pagedAgents+1)
	})
	s.Configure(1, "s")
	for i := range pagedAgents {
		record(s, 2*i)
	}
	b := startBalancer(t, newStoreClient(s), platform.DecodeOperatorState)
	deadline := time.Now().Add(applyTimeout)
	for len(b.view().Peers) != pagedAgents+2 {
		if time.Now().After(deadline) {
			t.Fatalf("%d agents are known, want %d", len(b.view().Peers), pagedAgents+2)
		}
		time.Sleep(pollInterval)
	}
}

// writeRecord writes an agent's record under a lease.
func writeRecord(s store.PollingStore, r *steering.AgentRecord) error {
	ctx := context.Background()
	lease, err := s.Grant(ctx, time.Minute)
	if err != nil {
		return err
	}
	value, err := encodeRecord(r)
	if err != nil {
		return err
	}
	_, err = s.Write(ctx, store.Txn{Ops: []store.Op{store.Put{Key: platform.AgentPrefix + r.Node, Value: value, Lease: lease}}})
	return err
}

// Each state that a watcher publishes must be one that the store held: a state that is labelled with
// a revision at which the store held another one makes balancers and agents ignore the difference.
func TestWatcherPublishesStatesThatTheStoreHeld(t *testing.T) {
	s := servePagedStore(t, func(s *platformtest.Store) {
		s.Write("op/config", largeConfiguration(2))
		s.SetDomainOut("y", false)
		s.SetDomainOut("z", true)
	})
	s.Write("op/config", largeConfiguration(1))
	s.SetDomainOut("y", true)
	held := []string{"1 y", "2 y", "2", "2 z"} // in the order of the writes
	var mu sync.Mutex
	var published []string
	w := &storeWatcher{
		store: newStoreClient(s), prefix: platform.WatchPrefix, refresh: newSignal(), isOperatorKey: platform.IsOperatorKey,
		pollWait: func() time.Duration { return 20 * time.Millisecond }, changePause: func() time.Duration { return time.Millisecond },
		onFailing: func(error, bool) {}, onEstablished: func(watchFailures) {},
		onSnapshot: func(s storeSnapshot) {
			mu.Lock()
			defer mu.Unlock()
			published = append(published, describeState(t, s.pairs))
		},
	}
	runWatcher(t, w)
	last := func() string {
		mu.Lock()
		defer mu.Unlock()
		if len(published) == 0 {
			return ""
		}
		return published[len(published)-1]
	}
	eventually(t, "last state", func() bool { return last() == held[len(held)-1] })
	mu.Lock()
	defer mu.Unlock()
	for _, state := range published {
		if !strings.Contains("|"+strings.Join(held, "|")+"|", "|"+state+"|") {
			t.Errorf("published %q, which the store never held", state)
		}
	}
}

// describeState returns the version and the failure domains that are out.
func describeState(t *testing.T, pairs []store.KeyValue) string {
	state, errs := platform.DecodeOperatorState(pairs)
	if len(errs) > 0 {
		t.Error(errs)
	}
	words := []string{fmt.Sprint(state.Configuration.Version)}
	for _, domain := range []string{"y", "z"} {
		if state.DomainsOut[domain] {
			words = append(words, domain)
		}
	}
	return strings.Join(words, " ")
}

// laggingPollStore is a store whose lists have two pages, and whose first poll does not reach the
// second one.
type laggingPollStore struct {
	*fakeStore
	lagged atomic.Bool
}

func (s *laggingPollStore) List(ctx context.Context, prefix string) (store.ListResult, error) {
	list, err := s.fakeStore.List(ctx, prefix)
	list.Revision, list.Pages = revision.New(list.Revision.Era(), list.Revision.Number()-1), 2
	return list, err
}

func (s *laggingPollStore) Poll(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	if s.lagged.CompareAndSwap(false, true) {
		return nil, after, nil
	}
	return s.fakeStore.Poll(ctx, prefix, after, wait)
}

// A poll that does not reach the newest pair of a list leaves changes between its pages unknown.
func TestReadIsRepeatedIfThePollDoesNotReachTheList(t *testing.T) {
	s := &laggingPollStore{fakeStore: newFakeStore()}
	s.set("op/config", "1", 0)
	s.set("op/evacuate/z", "{}", 0)
	newest := s.revision()
	o := startWatcher(t, s, newSignal())
	eventually(t, "first read", func() bool { return o.value("op/config") == "1" })
	if got := o.get().revision; got.Before(newest) {
		t.Errorf("published at revision %v, the newest pair has %v", got, newest)
	}
	if !s.lagged.Load() {
		t.Error("no poll completed the list")
	}
}
