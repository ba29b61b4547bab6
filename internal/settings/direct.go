package settings

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// PollingStore holds the settings of a store that is watched with long polls.
// TOML table [store].
type PollingStore struct {
	// Address is the store's address, ip:port. Required.
	Address netip.AddrPort `toml:"address"`
	// Timeout limits the time until the response of a call begins, and each pause within
	// it. Default 1500ms. A shorter one retries sooner; a longer one tolerates a slow store.
	Timeout time.Duration `toml:"timeout"`
	// Wait is how long one long poll waits for changes. Default 20s. A shorter one
	// costs calls. A poll that was lost without an error is detected sooner: see
	// DirectBalancer.ApplyTimeout.
	Wait time.Duration `toml:"wait"`
	// Lease is the lifetime of an agent's record after its last renewal. Default
	// 60s. A shorter one removes failed agents sooner and costs calls.
	Lease time.Duration `toml:"lease"`
}

// Direct holds the common settings of both daemons for direct server return.
type Direct struct {
	// Node names the host slot. Required.
	Node model.NodeID `toml:"node"`
	// Domain is the failure domain of the host. Required.
	Domain model.DomainName `toml:"domain"`
	// Segments is the UDP address for callers' segments. Required. Its port is
	// also the one at which callers receive responses.
	Segments netip.AddrPort `toml:"segments"`
	// Peer is the UDP address for messages between balancers and agents.
	// Required. All nodes use the same port.
	Peer netip.AddrPort `toml:"peer"`
	// Ready is the HTTP address of the readiness check, by which routers decide
	// whether to send traffic to the node. Required.
	Ready netip.AddrPort `toml:"ready"`
	// Metrics is the HTTP address that serves the metrics. Required.
	Metrics netip.AddrPort `toml:"metrics"`
	// StopTimeout limits a planned stop. Default 6s. A longer one forwards for
	// longer while routers switch to other nodes.
	StopTimeout time.Duration `toml:"stop_timeout"`
	// LogLevel is the lowest severity that is logged: debug, info, warn or
	// error. Default info.
	LogLevel string `toml:"log_level"`
	// Store holds the settings of the key-value store.
	Store PollingStore `toml:"store"`
}

// DirectBalancer holds the settings of a balancer for direct server return.
type DirectBalancer struct {
	Direct
	// ApplyTimeout is the time in which a change by operators has to be in force
	// everywhere. Default 3s. A shorter one costs calls to the store.
	ApplyTimeout time.Duration `toml:"apply_timeout"`
}

// DirectAgent holds the settings of an agent for direct server return.
type DirectAgent struct {
	Direct
	// Outbound is the UDP address to which the target sends. Required.
	Outbound netip.AddrPort `toml:"outbound"`
	// Announce is the HTTP address for the target's heartbeats. Required.
	Announce netip.AddrPort `toml:"announce"`
	// Target is the UDP address of the target. Required.
	Target netip.AddrPort `toml:"target"`
	// Service names the service that the host is assigned to. Required.
	Service string `toml:"service"`
	// HeartbeatInterval is the interval between the target's heartbeats. Default
	// 1s.
	HeartbeatInterval time.Duration `toml:"heartbeat_interval"`
	// Pace limits the concurrency of a new or recovered target whose routes declare an
	// objective. Default true. False uses all slots at once.
	Pace bool `toml:"pace"`
}

// Defaults and ranges of the settings for direct server return.
const (
	defaultDirectStopTimeout = 6 * time.Second
	maxDirectStopTimeout     = 5 * time.Minute

	defaultApplyTimeout = 3 * time.Second
	minApplyTimeout     = 100 * time.Millisecond
	maxApplyTimeout     = time.Hour

	defaultPollingTimeout = 1500 * time.Millisecond
	defaultPollWait       = 20 * time.Second
	minPollWait           = 100 * time.Millisecond
	maxPollWait           = 30 * time.Second
	defaultRecordLease    = time.Minute
	minRecordLease        = time.Second
	maxRecordLease        = 10 * time.Minute

	defaultHeartbeatInterval = time.Second
	minHeartbeatInterval     = 10 * time.Millisecond
	maxHeartbeatInterval     = time.Minute
)

func directSchema(d *Direct) schema {
	return schema{
		fields: []field{
			nameField("node", "Name of the host slot. No two live processes may share it.", &d.Node),
			nameField("domain", "Failure domain of the host.", &d.Domain),
			addressField("segments", "UDP address for callers' segments; callers receive responses at the same port.", &d.Segments),
			addressField("peer", "UDP address for messages between nodes; all nodes use the same port.", &d.Peer),
			addressField("ready", "HTTP address of the readiness check, by which routers decide whether to send traffic to the node.", &d.Ready),
			addressField("metrics", "HTTP address that serves the metrics.", &d.Metrics),
			durationField("stop_timeout", "Time limit of a planned stop. A longer one forwards for longer while routers switch to other nodes.",
				defaultDirectStopTimeout, 0, maxDirectStopTimeout, &d.StopTimeout),
			choiceField("log_level", "Lowest severity that is logged.", "info", logLevels, &d.LogLevel),
			addressField("store.address", "Address of the store.", &d.Store.Address),
			durationField("store.timeout", "Time limit until the response of a call begins, and of each pause within it. A shorter one retries sooner; a longer one tolerates a slow store.",
				defaultPollingTimeout, minStoreTimeout, maxStoreTimeout, &d.Store.Timeout),
			durationField("store.wait", "Time that one long poll waits for changes. A shorter one costs calls.",
				defaultPollWait, minPollWait, maxPollWait, &d.Store.Wait),
			durationField("store.lease", "Lifetime of an agent's record after its last renewal. A shorter one removes failed agents sooner and costs calls.",
				defaultRecordLease, minRecordLease, maxRecordLease, &d.Store.Lease),
		},
	}
}

func directBalancerSchema(b *DirectBalancer) schema {
	s := directSchema(&b.Direct)
	s.fields = append(s.fields,
		durationField("apply_timeout", "Time in which a change by operators has to be in force everywhere. A shorter one costs calls to the store.",
			defaultApplyTimeout, minApplyTimeout, maxApplyTimeout, &b.ApplyTimeout),
	)
	s.checks = append(s.checks, func(p *parseState) {
		checkAddressConflicts(p, []listener{{"ready", b.Ready}, {"metrics", b.Metrics}})
		checkAddressConflicts(p, []listener{{"segments", b.Segments}, {"peer", b.Peer}})
	})
	return s
}

func directAgentSchema(a *DirectAgent) schema {
	s := directSchema(&a.Direct)
	s.fields = append(s.fields,
		addressField("outbound", "UDP address to which the target sends.", &a.Outbound),
		addressField("announce", "HTTP address for the target's heartbeats.", &a.Announce),
		addressField("target", "UDP address of the target.", &a.Target),
		nameField("service", "Service that the host is assigned to.", &a.Service),
		durationField("heartbeat_interval", "Interval between the target's heartbeats.",
			defaultHeartbeatInterval, minHeartbeatInterval, maxHeartbeatInterval, &a.HeartbeatInterval),
		boolField("pace", "Whether a new or recovered target starts with a third of its slots, if its routes declare an objective. False uses all slots at once.",
			true, &a.Pace),
	)
	s.checks = append(s.checks, func(p *parseState) {
		checkAddressConflicts(p, []listener{{"ready", a.Ready}, {"metrics", a.Metrics}, {"announce", a.Announce}})
		checkAddressConflicts(p, []listener{{"segments", a.Segments}, {"peer", a.Peer}, {"outbound", a.Outbound}, {"target", a.Target}})
	})
	return s
}

// LoadDirectBalancer reads the settings of a balancer for direct server
// return. All errors in them are returned as one *findings.Error.
func LoadDirectBalancer(path string) (*DirectBalancer, error) {
	b := new(DirectBalancer)
	if err := load(path, directBalancerSchema(b)); err != nil {
		return nil, err
	}
	return b, nil
}

// LoadDirectAgent reads the settings of an agent for direct server return.
// All errors in them are returned as one *findings.Error.
func LoadDirectAgent(path string) (*DirectAgent, error) {
	a := new(DirectAgent)
	if err := load(path, directAgentSchema(a)); err != nil {
		return nil, err
	}
	return a, nil
}
