package directory

import "time"

// Options configures the placement of flows.
type Options struct {
	// SettleWindow is how long after a change of candidates a home probes
	// before it places an unknown flow. It must exceed the time that a change
	// takes to reach every agent and holders take to register again. A longer
	// window costs probes; a shorter one risks two holders. Default 10 s.
	SettleWindow time.Duration
	// RetryInterval is the interval at which probes and offers are resent.
	// Default 100 ms.
	RetryInterval time.Duration
	// MaxAttempts is how often a probe or an offer is sent before its receiver
	// counts as unresponsive. Default 3.
	MaxAttempts int
	// Choices is the number of random candidates of which the least loaded is
	// offered a new flow first. 1 ignores load; with large values, flows herd
	// to the candidates whose stale reports show low load. Default 2.
	Choices int
	// RegisterInterval is the interval at which a holder renews a confirmed
	// registration. The home expires an entry after three of them. Default 60 s.
	RegisterInterval time.Duration
	// HandshakeTimeout closes a local flow whose caller does not complete its
	// handshake. Default 10 s.
	HandshakeTimeout time.Duration
	// MaxEntries limits the directory entries. Default 100,000 flows.
	MaxEntries int
}

// withDefaults returns the options with defaults in unset fields.
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

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

const (
	// maxPlacementCandidates is the number of candidates, highest ranked first,
	// that may become a flow's holder.
	maxPlacementCandidates = 8
	// maxProbeCandidates is the number of candidates that are probed. It
	// exceeds maxPlacementCandidates so that probes find holders chosen under
	// an older view.
	maxProbeCandidates = 16
	// maxPendingDatagrams limits the datagrams queued while a flow is being
	// placed.
	maxPendingDatagrams = 8
	// placementTimeout abandons the placement of a flow that finds no holder.
	placementTimeout = 10 * time.Second
	// yieldTimeout is how long datagrams are forwarded to another home after
	// its probe.
	yieldTimeout = 10 * time.Second
	// provisionalPeerTimeout is how long after its last message an agent
	// without a live member record is treated as a peer.
	provisionalPeerTimeout = 10 * time.Second
	// registrationBatchInterval is the interval at which due registrations are
	// sent, batched by home. Until then a home knows the holder from its offer,
	// or probes for it.
	registrationBatchInterval = 250 * time.Millisecond
	// registrationRetryInterval is the interval at which an unconfirmed
	// registration is resent.
	registrationRetryInterval = 500 * time.Millisecond
	// maxRegistrationFlows limits the flows in one registration, so that it
	// fits in a datagram.
	maxRegistrationFlows = 24
	// unresponsiveBackoff is how long a candidate that did not reply to offers
	// is offered no flows.
	unresponsiveBackoff = time.Second
	// maxMidFlowProbes limits the searches for holders of unknown flows per
	// probeRefillInterval.
	probeRefillInterval = time.Second
	maxMidFlowProbes    = 200
)
