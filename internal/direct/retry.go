package direct

import (
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

const (
	// minRetryInterval and maxRetryInterval bound the backoff after a failed
	// call. The maximum is small because a node without a configuration can't serve.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = time.Second
	// maxRefusedInterval bounds the backoff after a call that the store has served and
	// refused. It would most likely refuse it again, and thousands of nodes may repeat it.
	maxRefusedInterval = 15 * time.Second
)

// storeRetry is the jittered exponential backoff of failed calls to the store.
type storeRetry struct{ unavailable, refused *backoff.ExponentialBackOff }

func newStoreRetry() *storeRetry {
	return &storeRetry{newBackoff(maxRetryInterval), newBackoff(maxRefusedInterval)}
}

func newBackoff(maxInterval time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryInterval
	b.MaxInterval = maxInterval
	return b
}

// next returns how long to wait after a call that failed with an error.
func (r *storeRetry) next(err error) time.Duration {
	for _, refusal := range []error{store.ErrCompareFailed, store.ErrRejected, store.ErrLeaseLapsed} {
		if errors.Is(err, refusal) {
			return r.refused.NextBackOff()
		}
	}
	r.refused.Reset()
	return r.unavailable.NextBackOff()
}

// reset begins anew after a call that succeeded.
func (r *storeRetry) reset() {
	r.unavailable.Reset()
	r.refused.Reset()
}
