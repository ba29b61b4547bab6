package configstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

const (
	// minWatchAge is the least age at which a watch is renewed; the greatest is
	// twice that. It bounds the delay after a connection was lost without an
	// error.
	minWatchAge = time.Minute
	// stableWatchAge is the age above which the failure of a watch resets the
	// backoff, as it is not one of a series of failures.
	stableWatchAge = 10 * time.Second
)

// Watch calls notify with the changes since the version after, and then with the
// further changes whenever the version increases. The versions notified only
// increase: a store that was restored to an older state counts as failed until it
// has caught up. Watch reconnects with jittered backoff and returns only when the
// context ends, with its cause.
func (c *Client) Watch(ctx context.Context, after uint64, notify func(Snapshot)) error {
	w := &watcher{client: c, pos: position{version: after}, notify: notify}
	backoff := c.retry.backoff()
	for {
		started := time.Now()
		err := w.runOnce(ctx)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if errors.Is(err, errRenewWatch) {
			continue
		}
		if c.OnWatchError != nil {
			c.OnWatchError(err)
		}
		if time.Since(started) > stableWatchAge {
			backoff.Reset()
		}
		if err := sleep(ctx, backoff.NextBackOff()); err != nil {
			return err
		}
	}
}

// errRenewWatch ends a watch that is old enough to be renewed.
var errRenewWatch = errors.New("watch is renewed because of its age")

// watcher is the state of one Watch.
type watcher struct {
	client *Client
	// pos has the newest version notified, at first the version of the Watch's
	// start, and a revision at which it was current.
	pos    position
	notify func(Snapshot)
}

// runOnce reads the missed changes, then watches until the watch fails or is old
// enough to be renewed. It always returns an error.
func (w *watcher) runOnce(ctx context.Context) error {
	if err := w.readChanges(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	renewal := time.AfterFunc(minWatchAge+rand.N(minWatchAge), func() { cancel(errRenewWatch) })
	defer renewal.Stop()
	err := w.client.kv.Watch(ctx, w.client.keys.version(), w.pos.revision, func(e store.Event) {
		if err := w.handleEvent(ctx, e); err != nil {
			cancel(err)
		}
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// handleEvent reads the changes after an event of the version key, unless an
// earlier read already included them.
func (w *watcher) handleEvent(ctx context.Context, e store.Event) error {
	if !e.KV.ModRevision.After(w.pos.revision) {
		return nil
	}
	return w.readChanges(ctx)
}

// readChanges reads the changes since the last position and notifies of them.
func (w *watcher) readChanges(ctx context.Context) error {
	snapshot, pos, err := w.client.readSince(ctx, w.pos)
	if err != nil {
		return err
	}
	seen := w.pos.version
	if pos.version < seen {
		return &StaleStoreError{LastSeen: seen, Current: pos.version}
	}
	w.pos = pos
	if pos.version > seen {
		w.notify(snapshot)
	}
	return nil
}
