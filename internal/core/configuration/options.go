package configuration

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// Options tunes the controller.
type Options struct {
	// Readers is the number of balancers that watch the store. Default 3: two
	// may be dead or paused undetected for some seconds. Each further reader
	// costs a pending watch, and reads during an outage.
	Readers int
	// StartDelay is how long a new balancer waits for its peers before it
	// elects readers or reads the store. Default 1 s. Shorter starts sooner
	// from the store; longer spares the store when all balancers restart.
	StartDelay time.Duration
	// PollInterval is the minimum interval between fallback reads of a balancer
	// that is not a reader. Default 30 s. Longer is cheaper for the store.
	PollInterval time.Duration
	// PollSpacing is the mean interval between the fallback reads of all
	// balancers together, which stretches PollInterval in large clusters.
	// Default 3 s. Longer is cheaper for the store.
	PollSpacing time.Duration
	// IsolatedPollInterval is the interval between reads of a balancer
	// without a session to another one. Default 5 s.
	IsolatedPollInterval time.Duration
	// LoadTimeout is how long a read may be pending before it counts as failed. Default 10 s; it exceeds the process's own store timeout.
	LoadTimeout time.Duration
	// BackoffMin and BackoffMax bound the wait after failed reads, which
	// doubles with every failure and is jittered by half. Defaults 500 ms and
	// 30 s. A lower maximum detects the store's return sooner, at more calls.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

func (o Options) withDefaults() Options {
	core.SetDefault(&o.Readers, 3)
	core.SetDefault(&o.StartDelay, time.Second)
	core.SetDefault(&o.PollInterval, 30*time.Second)
	core.SetDefault(&o.PollSpacing, 3*time.Second)
	core.SetDefault(&o.IsolatedPollInterval, 5*time.Second)
	core.SetDefault(&o.LoadTimeout, 10*time.Second)
	core.SetDefault(&o.BackoffMin, 500*time.Millisecond)
	core.SetDefault(&o.BackoffMax, 30*time.Second)
	return o
}
