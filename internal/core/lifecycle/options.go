package lifecycle

import "time"

// Options tunes the controller.
type Options struct {
	// DrainTimeout bounds how long a stopping agent waits for its flows and
	// requests to end. Default 10 min. Longer keeps more flows; shorter stops
	// sooner.
	DrainTimeout time.Duration
	// BalancerDrainDuration is how long a stopping balancer keeps forwarding,
	// because the fabric still sends it packets. Default 5 s. It must exceed
	// the time that the fabric takes to detect the stop.
	BalancerDrainDuration time.Duration
	// LeaveDelay is the time between state left and StopFinished, in which the
	// record spreads. Default 500 ms. Shorter exits sooner, but the node may
	// then be removed only because of missing heartbeats.
	LeaveDelay time.Duration
}

func (o Options) withDefaults() Options {
	if o.DrainTimeout <= 0 {
		o.DrainTimeout = 10 * time.Minute
	}
	if o.BalancerDrainDuration <= 0 {
		o.BalancerDrainDuration = 5 * time.Second
	}
	if o.LeaveDelay <= 0 {
		o.LeaveDelay = 500 * time.Millisecond
	}
	return o
}
