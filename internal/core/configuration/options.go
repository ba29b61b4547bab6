package configuration

import "time"

// Options tunes the controller.
type Options struct {
	// Readers is the number of balancers that watch the store. Default 3: two
	// may be dead or paused unnoticed for some seconds. More cost a waiting
	// watch each, and reads during an outage.
	Readers int
	// StartDelay is how long a new balancer lets peers answer first, before
	// it elects readers or reads the store. Default 1 s. Shorter starts sooner
	// from the store; longer spares the store when all balancers restart.
	StartDelay time.Duration
	// PollInterval is the least interval between fallback reads of a balancer
	// that is not a reader. Default 30 s. Longer is cheaper for the store.
	PollInterval time.Duration
	// PollSpacing is the mean interval between the fallback reads of all
	// balancers together, which stretches PollInterval in large clusters.
	// Default 3 s. Longer is cheaper for the store.
	PollSpacing time.Duration
	// IsolatedPollInterval is the interval between reads of a balancer
	// without a session to another one. Default 5 s.
	IsolatedPollInterval time.Duration
	// LoadTimeout is how long a read may stay unanswered before it is counted
	// as failed. Default 10 s; it exceeds the process's own store timeout.
	LoadTimeout time.Duration
	// BackoffMin and BackoffMax bound the wait after failed reads, which
	// doubles with every failure and is jittered by half. Defaults 500 ms and
	// 30 s. A lower maximum notices the store's return sooner, at more calls.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.Readers, 3)
	setDefault(&o.StartDelay, time.Second)
	setDefault(&o.PollInterval, 30*time.Second)
	setDefault(&o.PollSpacing, 3*time.Second)
	setDefault(&o.IsolatedPollInterval, 5*time.Second)
	setDefault(&o.LoadTimeout, 10*time.Second)
	setDefault(&o.BackoffMin, 500*time.Millisecond)
	setDefault(&o.BackoffMax, 30*time.Second)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
