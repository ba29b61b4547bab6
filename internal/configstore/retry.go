package configstore

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// retryPolicy is how calls to the store are repeated.
type retryPolicy struct {
	initial, longest time.Duration
}

// defaultRetry spreads the first repeats over half a second, and those of a
// long outage over five.
var defaultRetry = retryPolicy{initial: 500 * time.Millisecond, longest: 5 * time.Second}

// jitter is the share by which an interval varies in both directions.
const jitter = 0.5

// backoff returns a new sequence of intervals, each with jitter.
func (p retryPolicy) backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = p.initial
	b.MaxInterval = p.longest
	b.RandomizationFactor = jitter
	b.Multiplier = 2
	return b
}
