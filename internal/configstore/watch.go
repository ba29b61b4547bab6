package configstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

const (
	// watchAge is how long one watch is kept, at least, before it is renewed:
	// a connection that died in silence costs this delay, up to twice.
	watchAge = time.Minute
	// stableAge is how long a watch lives before its end counts as a new
	// fault rather than one more of a series.
	stableAge = 10 * time.Second
)

// Watch calls notify with what changed, first since the version after, then on
// every rise of the version. The versions notified only rise: a store that
// falls back to an older state is a failure until it has caught up. Watch
// reconnects with jittered backoff and returns only when the context ends,
// with its cause.
func (c *Client) Watch(ctx context.Context, after uint64, notify func(Snapshot)) error {
	f := &follower{client: c, at: position{version: after}, notify: notify}
	backoff := c.retry.backoff()
	for {
		started := time.Now()
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if errors.Is(err, errRenew) {
			continue
		}
		if c.OnWatchError != nil {
			c.OnWatchError(err)
		}
		if time.Since(started) > stableAge {
			backoff.Reset()
		}
		if err := sleep(ctx, backoff.NextBackOff()); err != nil {
			return err
		}
	}
}

// errRenew ends a watch for its age.
var errRenew = errors.New("watch is renewed")

// follower is the progress of one Watch.
type follower struct {
	client *Client
	// at is the newest version notified, with a state of the store that held
	// it.
	at     position
	notify func(Snapshot)
}

// follow reads what is missing, then watches until the watch fails or is old
// enough to be renewed. It always returns an error.
func (f *follower) follow(ctx context.Context) error {
	if err := f.read(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	renewal := time.AfterFunc(watchAge+rand.N(watchAge), func() { cancel(errRenew) })
	defer renewal.Stop()
	err := f.client.kv.Watch(ctx, f.client.keys.version(), f.at.revision+1, func(e store.Event) {
		if err := f.handle(ctx, e); err != nil {
			cancel(err)
		}
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// handle reads the difference after an event of the version key, unless a
// read has already seen it.
func (f *follower) handle(ctx context.Context, e store.Event) error {
	if e.KV.ModRevision <= f.at.revision {
		return nil
	}
	return f.read(ctx)
}

// read notifies of what has changed since the last time.
func (f *follower) read(ctx context.Context) error {
	snapshot, at, err := f.client.read(ctx, f.at)
	if err != nil {
		return err
	}
	held := f.at.version
	if at.version < held {
		return &StaleStoreError{LastSeen: held, Current: at.version}
	}
	f.at = at
	if at.version > held {
		f.notify(snapshot)
	}
	return nil
}
