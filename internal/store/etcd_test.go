package store_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/store"
	standin "amaranthwheel.example/amaranthwheel/standin/store"
)

// refusedEndpoint is an endpoint that refuses connections.
const refusedEndpoint = "http://127.0.0.1:1"

// callTimeout is the per-call timeout of the clients under test.
const callTimeout = 300 * time.Millisecond

// callCounts is a Counter that keeps the counts by call.
type callCounts struct {
	mu     sync.Mutex
	byCall map[store.Call]int
}

func (c *callCounts) Count(call store.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byCall == nil {
		c.byCall = make(map[store.Call]int)
	}
	c.byCall[call]++
}

// startServer runs a stand-in store and returns it with its URL.
func startServer(t *testing.T) (*standin.Server, string) {
	t.Helper()
	server := standin.New()
	httpServer := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		server.DropWatches()
		httpServer.Close()
	})
	return server, httpServer.URL
}

func newClient(endpoints ...string) *store.Etcd {
	return store.NewEtcd(store.Options{Endpoints: endpoints, Timeout: callTimeout})
}

func putTxn(key, value string) store.Txn {
	return store.Txn{Ops: []store.Op{store.Put{Key: key, Value: []byte(value)}}}
}

func TestTxnCompareAndRead(t *testing.T) {
	_, url := startServer(t)
	c := newClient(url)
	ctx := t.Context()
	create := store.Txn{
		Compares: []store.Compare{{Key: "a/1"}},
		Ops: []store.Op{
			store.Put{Key: "a/1", Value: []byte("one")},
			store.Put{Key: "a/2", Value: []byte("two")},
			store.Prefix("a/"),
		},
	}
	result, err := c.Txn(ctx, create)
	if err != nil {
		t.Fatal(err)
	}
	if kvs := result.Ranges[0].KVs; len(kvs) != 2 || string(kvs[1].Value) != "two" {
		t.Errorf("read in the transaction: %+v", kvs)
	}
	if _, err := c.Txn(ctx, create); !errors.Is(err, store.ErrCompareFailed) {
		t.Errorf("second creation: %v", err)
	}
	if _, err := c.Txn(ctx, store.Txn{Ops: []store.Op{store.Delete{Key: "a/1"}, store.Put{Key: "a/3"}}}); err != nil {
		t.Fatal(err)
	}
	newer, err := c.Range(ctx, store.Range{Key: "a/", End: store.PrefixEnd("a/"), After: result.Revision})
	if err != nil || len(newer.KVs) != 1 || newer.KVs[0].Key != "a/3" {
		t.Errorf("changed since revision %v: %+v, %v", result.Revision, newer, err)
	}
	limited, err := c.Range(ctx, store.Range{Key: "a/", End: store.PrefixEnd("a/"), Limit: 1})
	if err != nil || len(limited.KVs) != 1 || limited.KVs[0].Key != "a/2" {
		t.Errorf("limited: %+v, %v", limited, err)
	}
}

func TestFailoverPrefersRespondingEndpoint(t *testing.T) {
	_, url := startServer(t)
	counter := new(callCounts)
	c := store.NewEtcd(store.Options{Endpoints: []string{refusedEndpoint, url}, Timeout: callTimeout, Counter: counter})
	for range 2 {
		if _, err := c.Txn(t.Context(), putTxn("k", "v")); err != nil {
			t.Fatal(err)
		}
	}
	if got := counter.byCall[store.CallTxn]; got != 3 {
		t.Errorf("%d requests: want a failed one, then two at the endpoint that responded", got)
	}
}

// TestErrorOfEachFault checks that the error of a write distinguishes a write
// without effect from one of unknown outcome, under each fault, and that a read
// never has an unknown outcome.
func TestErrorOfEachFault(t *testing.T) {
	tooMany := store.Txn{}
	for range store.MaxTxnOps + 1 {
		tooMany.Ops = append(tooMany.Ops, store.Delete{Key: "k"})
	}
	cases := []struct {
		name        string
		faults      standin.Faults
		refused     bool
		txn         store.Txn
		write, read error
	}{
		{"refused connection", standin.Faults{}, true, putTxn("k", "v"), store.ErrUnavailable, store.ErrUnavailable},
		{"down", standin.Faults{Down: true}, false, putTxn("k", "v"), store.ErrOutcomeUnknown, store.ErrUnavailable},
		{"slow", standin.Faults{SlowMS: 600}, false, putTxn("k", "v"), store.ErrOutcomeUnknown, store.ErrUnavailable},
		{"response lost", standin.Faults{LoseResponses: 1}, false, putTxn("k", "v"), store.ErrOutcomeUnknown, nil},
		{"invalid", standin.Faults{}, false, tooMany, store.ErrRejected, nil},
	}
	for _, c := range cases {
		// Each case has its own server: a slow call ends after its caller has
		// timed out, and would consume the next case's fault.
		server, endpoint := startServer(t)
		if c.refused {
			endpoint = refusedEndpoint
		}
		server.SetFaults(c.faults)
		kv := newClient(endpoint)
		if _, err := kv.Txn(t.Context(), c.txn); !errors.Is(err, c.write) {
			t.Errorf("%s: write: %v", c.name, err)
		}
		if _, err := kv.Range(t.Context(), store.Range{Key: "k"}); !errors.Is(err, c.read) {
			t.Errorf("%s: read: %v", c.name, err)
		}
	}
}

func TestLostResponseIsNotRetried(t *testing.T) {
	server, url := startServer(t)
	other, otherURL := startServer(t)
	server.SetFaults(standin.Faults{LoseResponses: 1})
	c := newClient(url, otherURL)
	if _, err := c.Txn(t.Context(), putTxn("k", "v")); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Fatalf("lost response: %v", err)
	}
	if got := other.Counts().Txn; got != 0 {
		t.Errorf("the write was retried at another endpoint %d times", got)
	}
	read, err := c.Range(t.Context(), store.Range{Key: "k"})
	if err != nil || len(read.KVs) != 1 {
		t.Errorf("the write had no effect: %+v, %v", read, err)
	}
}

func TestOversizedAndMalformedResponses(t *testing.T) {
	for _, body := range []string{"{", "[]", `{"header":{"revision":7}}`, `{"kvs":"` + strings.Repeat("x", 2000) + `"}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		c := store.NewEtcd(store.Options{Endpoints: []string{server.URL}, Timeout: callTimeout, MaxResponse: 1000})
		if _, err := c.Range(t.Context(), store.Range{Key: "k"}); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("read with response %.30q: %v", body, err)
		}
		if _, err := c.Txn(t.Context(), putTxn("k", "v")); !errors.Is(err, store.ErrOutcomeUnknown) {
			t.Errorf("write with response %.30q: %v", body, err)
		}
		server.Close()
	}
}

func TestLeases(t *testing.T) {
	server, url := startServer(t)
	c := newClient(url)
	ctx := t.Context()
	id, err := c.Grant(ctx, 1500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Txn(ctx, store.Txn{Ops: []store.Op{store.Put{Key: "k", Lease: id}}}); err != nil {
		t.Fatal(err)
	}
	if ttl, err := c.KeepAlive(ctx, id); err != nil || ttl != 2*time.Second {
		t.Errorf("keepalive: %v, %v", ttl, err)
	}
	server.ExpireAllLeases()
	if _, err := c.KeepAlive(ctx, id); !errors.Is(err, store.ErrLeaseLapsed) {
		t.Errorf("keepalive of a lapsed lease: %v", err)
	}
	if read, err := c.Range(ctx, store.Range{Key: "k"}); err != nil || len(read.KVs) != 0 {
		t.Errorf("key outlived its lease: %+v, %v", read, err)
	}
	if err := c.Revoke(ctx, id); !errors.Is(err, store.ErrRejected) {
		t.Errorf("revoke of a lapsed lease: %v", err)
	}
}

func TestWatchFromPastRevisionUntilDropped(t *testing.T) {
	server, url := startServer(t)
	c := newClient(refusedEndpoint, url)
	before, err := c.Txn(t.Context(), putTxn("other", "1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Txn(t.Context(), putTxn("k", "1")); err != nil {
		t.Fatal(err)
	}
	events := make(chan store.Event, 8)
	ended := make(chan error, 1)
	go func() {
		ended <- c.Watch(t.Context(), "k", before.Revision, func(e store.Event) { events <- e })
	}()
	if e := <-events; string(e.KV.Value) != "1" {
		t.Errorf("first event: %+v", e)
	}
	if _, err := c.Txn(t.Context(), store.Txn{Ops: []store.Op{store.Delete{Key: "k"}}}); err != nil {
		t.Fatal(err)
	}
	if e := <-events; !e.Deleted {
		t.Errorf("second event: %+v", e)
	}
	server.DropWatches()
	if err := <-ended; !errors.Is(err, store.ErrWatchEnded) {
		t.Errorf("after the drop: %v", err)
	}
}

func TestUnconfirmedWatchTimesOut(t *testing.T) {
	server, url := startServer(t)
	server.SetFaults(standin.Faults{SlowMS: 600})
	err := newClient(url).Watch(t.Context(), "k", store.Revision{}, func(store.Event) {})
	if !errors.Is(err, store.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}
