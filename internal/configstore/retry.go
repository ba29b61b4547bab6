package configstore

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// retryPolicy is the exponential backoff between calls to the store.
type retryPolicy struct {
	initialInterval, maxInterval time.Duration
}

// defaultRetry spreads the clients' first retries over half a second, and those
// during a long outage over five.
var defaultRetry = retryPolicy{initialInterval: 500 * time.Millisecond, maxInterval: 5 * time.Second}

// jitterFraction is the fraction by which an interval varies in both directions.
const jitterFraction = 0.5

// backoff returns a new sequence of retry intervals with jitter.
func (p retryPolicy) backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = p.initialInterval
	b.MaxInterval = p.maxInterval
	b.RandomizationFactor = jitterFraction
	b.Multiplier = 2
	return b
}
