package configstore

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
	standin "amaranthwheel.example/amaranthwheel/standin/store"
)

// testRetry has short intervals to keep the tests short.
var testRetry = retryPolicy{initialInterval: time.Millisecond, maxInterval: 5 * time.Millisecond}

// testTimeout is the per-call timeout of most test clients.
const testTimeout = 400 * time.Millisecond

// newServer runs a stand-in store and returns it with a function that creates
// clients of it.
func newServer(t *testing.T, timeout time.Duration) (*standin.Server, func() *Client) {
	t.Helper()
	server := standin.New()
	httpServer := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		server.DropWatches()
		httpServer.Close()
	})
	return server, func() *Client {
		kv := store.NewEtcd(store.Options{Endpoints: []string{httpServer.URL}, Timeout: timeout})
		t.Cleanup(kv.Close)
		c := New(kv, "test")
		c.retry = testRetry
		return c
	}
}

// domainOut returns a change that takes failure domains out.
func domainOut(id string, names ...string) Change {
	ch := Change{ID: id, Author: "author of " + id, At: time.Unix(0, 0).UTC()}
	for _, name := range names {
		ch.Objects = append(ch.Objects, model.Object{
			Key:         model.ObjectKey{Kind: model.KindDomainState, Name: name},
			DomainState: &model.DomainState{Name: model.DomainName(name), Out: true},
		})
	}
	return ch
}

// manyDomains returns n distinct names.
func manyDomains(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("domain-%d", i)
	}
	return names
}

// mustApply applies a change and fails the test on an error.
func mustApply(t *testing.T, c *Client, base uint64, ch Change) Record {
	t.Helper()
	record, err := c.Apply(t.Context(), base, ch)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// historyIDs returns the change IDs in the history, newest first.
func historyIDs(t *testing.T, c *Client) []string {
	t.Helper()
	records, err := c.History(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, r := range records {
		ids = append(ids, r.Change.ID)
	}
	return ids
}

// gatedStore calls gate before the first transaction that has a condition, which
// is the first write.
type gatedStore struct {
	store.Store
	once sync.Once
	gate func()
}

func (g *gatedStore) Txn(ctx context.Context, t store.Txn) (store.TxnResult, error) {
	if len(t.Compares) > 0 {
		g.once.Do(g.gate)
	}
	return g.Store.Txn(ctx, t)
}
