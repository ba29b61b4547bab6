package configstore

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// Client reads and changes the configuration of one cluster. It is safe for
// concurrent use.
type Client struct {
	// OnWatchError, if set before Watch, is called with every failure that Watch
	// recovers from.
	OnWatchError func(error)

	kv    store.Store
	keys  keys
	retry retryPolicy

	mu sync.Mutex
	// lastLoad is the position of the last Load.
	lastLoad position
}

// position is a version and a revision of the store at which it was current;
// the zero revision means unknown.
type position struct {
	version  uint64
	revision store.Revision
}

// New returns a client for the cluster's configuration.
func New(kv store.Store, cluster string) *Client {
	return &Client{kv: kv, keys: newKeys(cluster), retry: defaultRetry}
}

// Snapshot is a consistent read of the configuration.
type Snapshot struct {
	// Version is the version at which the read was consistent.
	Version uint64
	// Objects are those that changed after the requested version, including
	// tombstones.
	Objects []model.Object
}

// Load reads the objects that changed after a version, or all objects if since
// is 0, in one transaction. It does not retry: it fails with
// store.ErrUnavailable, or with a *CorruptError.
func (c *Client) Load(ctx context.Context, since uint64) (Snapshot, error) {
	from := position{version: since}
	c.mu.Lock()
	if c.lastLoad.version == since {
		from = c.lastLoad
	}
	c.mu.Unlock()
	snapshot, pos, err := c.readSince(ctx, from)
	if err != nil {
		return Snapshot{}, oops.In("configstore").Wrapf(err, "load the configuration")
	}
	c.mu.Lock()
	c.lastLoad = pos
	c.mu.Unlock()
	return snapshot, nil
}

// readSince reads the changes since a position and returns them with the new
// position. If the position's revision is known, objects that were written up to
// it are not read.
func (c *Client) readSince(ctx context.Context, from position) (Snapshot, position, error) {
	objects := store.Prefix(c.keys.objects())
	objects.After = from.revision
	version := store.Range{Key: c.keys.version()}
	result, err := c.kv.Txn(ctx, store.Txn{Ops: []store.Op{version, objects}})
	if err != nil {
		return Snapshot{}, position{}, err
	}
	if result.Revision.Before(from.revision) {
		// The store was restored to an older state, so the revision filter may
		// have excluded changed objects.
		return c.readSince(ctx, position{version: from.version})
	}
	return c.decodeSnapshot(result, from.version)
}

func (c *Client) decodeSnapshot(result store.TxnResult, since uint64) (Snapshot, position, error) {
	version, err := decodeVersion(result.Ranges[0])
	if err != nil {
		return Snapshot{}, position{}, err
	}
	objects, err := c.keys.decodeObjects(result.Ranges[1], since)
	if err != nil {
		return Snapshot{}, position{}, err
	}
	return Snapshot{Version: version, Objects: objects}, position{version, result.Revision}, nil
}

// sleep waits for d, or returns the context's cause if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
