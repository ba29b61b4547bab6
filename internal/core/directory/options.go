package directory

import "time"

// Options tunes the placement of flows.
type Options struct {
	// SettleWindow is how long after a change of candidates a home probes
	// before it places an unknown flow. It must exceed the time in which a
	// change reaches every agent and holders register again. Longer costs
	// probes; shorter risks two holders. Default 10 s.
	SettleWindow time.Duration
	// RetryInterval is the interval between repeated probes and offers. Default 100 ms.
	RetryInterval time.Duration
	// MaxAttempts is how often a probe or an offer is sent before its receiver
	// counts as silent. Default 3.
	MaxAttempts int
	// Choices is how many random candidates a new flow picks the least loaded
	// of. 1 ignores load; large values herd onto stale reports. Default 2.
	Choices int
	// RegisterInterval is how often a holder repeats a confirmed registration,
	// and a third of an entry's life at the home. Default 60 s.
	RegisterInterval time.Duration
	// HandshakeTimeout ends a held flow whose caller does not complete its
	// handshake. Default 10 s.
	HandshakeTimeout time.Duration
	// MaxEntries bounds the directory. Default 100,000 flows.
	MaxEntries int
}

// withDefaults fills in unset options.
func (o Options) withDefaults() Options {
	setDefault(&o.SettleWindow, 10*time.Second)
	setDefault(&o.RetryInterval, 100*time.Millisecond)
	setDefault(&o.MaxAttempts, 3)
	setDefault(&o.Choices, 2)
	setDefault(&o.RegisterInterval, 60*time.Second)
	setDefault(&o.HandshakeTimeout, 10*time.Second)
	setDefault(&o.MaxEntries, 100_000)
	return o
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

const (
	// placementWidth bounds the candidates that a flow may be held by: the
	// highest ranked ones.
	placementWidth = 8
	// probeWidth bounds the candidates that are probed. It exceeds
	// placementWidth so that holders placed under older candidates are found.
	probeWidth = 16
	// maxPending bounds the datagrams kept while a flow is being placed.
	maxPending = 8
	// placingTimeout ends the placement of a flow that finds no holder.
	placingTimeout = 10 * time.Second
	// yieldedTimeout is how long datagrams go to another home after a probe.
	yieldedTimeout = 10 * time.Second
	// strangerTimeout is how long an agent whose record has not arrived is
	// dealt with after its last message.
	strangerTimeout = 10 * time.Second
	// registerInterval is how long registrations wait for others to the same
	// home. A home that is asked meanwhile probes, or knows from the offer.
	registerInterval = 250 * time.Millisecond
	// registerRetry is the interval between unconfirmed registrations.
	registerRetry = 500 * time.Millisecond
	// registerBatch bounds the flows in one registration, so that it fits a
	// datagram.
	registerBatch = 24
	// silentPenalty is how long a candidate that left offers unanswered is
	// offered nothing.
	silentPenalty = time.Second
	// probeRefillInterval and maxMidFlowProbes bound the searches for unknown flows.
	probeRefillInterval = time.Second
	maxMidFlowProbes    = 200
)
