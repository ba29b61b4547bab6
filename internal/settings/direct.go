package settings

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// PollingStore is how a node reaches a store with long polls. TOML table
// [store].
type PollingStore struct {
	// Address is where the store listens, ip:port. Required.
	Address netip.AddrPort `toml:"address"`
	// Timeout bounds one call. Default 1500ms. A shorter one repeats sooner; a
	// longer one tolerates a slow store.
	Timeout time.Duration `toml:"timeout"`
	// Wait is how long a watch waits for changes. Default 1500ms: a watch that
	// was cut silently is found within the time in which a configuration has to
	// be in force. A shorter one costs calls.
	Wait time.Duration `toml:"wait"`
	// Lease is the life of an agent's record after its last renewal. Default
	// 60s. A shorter one forgets dead agents sooner and costs calls.
	Lease time.Duration `toml:"lease"`
}

// Direct holds the settings that both daemons for direct server return have.
type Direct struct {
	// Node names the host slot. Required.
	Node model.NodeID `toml:"node"`
	// Domain is the failure domain of the host. Required.
	Domain model.DomainName `toml:"domain"`
	// Segments is the UDP address for callers' segments. Required. Its port is
	// also the one at which callers receive answers.
	Segments netip.AddrPort `toml:"segments"`
	// Peer is the UDP address for messages between balancers and agents.
	// Required. All nodes use the same port.
	Peer netip.AddrPort `toml:"peer"`
	// Ready is the HTTP address where routers ask whether the node takes
	// traffic. Required.
	Ready netip.AddrPort `toml:"ready"`
	// Metrics is the HTTP address of the metrics. Required.
	Metrics netip.AddrPort `toml:"metrics"`
	// StopTimeout bounds a planned stop. Default 6s. A longer one forwards
	// longer while routers learn to send elsewhere.
	StopTimeout time.Duration `toml:"stop_timeout"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level"`
	// Store is how the node reaches the store.
	Store PollingStore `toml:"store"`
}

// DirectBalancer holds the settings of a balancer for direct server return.
type DirectBalancer struct {
	Direct
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
	// Service names the service that the host is meant for. Required.
	Service string `toml:"service"`
	// HeartbeatInterval is how often the target sends heartbeats. Default 1s.
	HeartbeatInterval time.Duration `toml:"heartbeat_interval"`
}

// Defaults and ranges of the direct daemons.
const (
	defaultDirectStop = 6 * time.Second
	maxDirectStop     = 5 * time.Minute

	defaultPolledTimeout = 1500 * time.Millisecond
	defaultPolledWait    = 1500 * time.Millisecond
	minPolledWait        = 100 * time.Millisecond
	maxPolledWait        = 30 * time.Second
	defaultRecordLease   = time.Minute
	minRecordLease       = time.Second
	maxRecordLease       = 10 * time.Minute

	defaultHeartbeat = time.Second
	minHeartbeat     = 10 * time.Millisecond
	maxHeartbeat     = time.Minute
)

func directSchema(d *Direct) schema {
	return schema{
		fields: []field{
			nameField("node", "Name of the host slot. No two live processes may share it.", &d.Node),
			nameField("domain", "Failure domain of the host.", &d.Domain),
			addressField("segments", "UDP address for callers' segments; callers receive answers at the same port.", &d.Segments),
			addressField("peer", "UDP address for messages between nodes; all nodes use the same port.", &d.Peer),
			addressField("ready", "HTTP address where routers ask whether the node takes traffic.", &d.Ready),
			addressField("metrics", "HTTP address of the metrics.", &d.Metrics),
			durationField("stop_timeout", "Bound of a planned stop. Longer forwards longer while routers learn to send elsewhere.",
				defaultDirectStop, 0, maxDirectStop, &d.StopTimeout),
			choiceField("log_level", "Least severe lines that are written.", "info", logLevels, &d.LogLevel),
			addressField("store.address", "Address of the store.", &d.Store.Address),
			durationField("store.timeout", "Bound of one call. Shorter repeats sooner; longer tolerates a slow store.",
				defaultPolledTimeout, minStoreTimeout, maxStoreTimeout, &d.Store.Timeout),
			durationField("store.wait", "How long a watch waits for changes. Shorter costs calls; longer finds a lost watch later.",
				defaultPolledWait, minPolledWait, maxPolledWait, &d.Store.Wait),
			durationField("store.lease", "Life of an agent's record after its last renewal. Shorter forgets dead agents sooner and costs calls.",
				defaultRecordLease, minRecordLease, maxRecordLease, &d.Store.Lease),
		},
	}
}

func directBalancerSchema(b *DirectBalancer) schema {
	s := directSchema(&b.Direct)
	s.checks = append(s.checks, func(r *reading) {
		checkClashes(r, []listener{{"ready", b.Ready}, {"metrics", b.Metrics}})
		checkClashes(r, []listener{{"segments", b.Segments}, {"peer", b.Peer}})
	})
	return s
}

func directAgentSchema(a *DirectAgent) schema {
	s := directSchema(&a.Direct)
	s.fields = append(s.fields,
		addressField("outbound", "UDP address to which the target sends.", &a.Outbound),
		addressField("announce", "HTTP address for the target's heartbeats.", &a.Announce),
		addressField("target", "UDP address of the target.", &a.Target),
		nameField("service", "Service that the host is meant for.", &a.Service),
		durationField("heartbeat_interval", "How often the target sends heartbeats.",
			defaultHeartbeat, minHeartbeat, maxHeartbeat, &a.HeartbeatInterval),
	)
	s.checks = append(s.checks, func(r *reading) {
		checkClashes(r, []listener{{"ready", a.Ready}, {"metrics", a.Metrics}, {"announce", a.Announce}})
		checkClashes(r, []listener{{"segments", a.Segments}, {"peer", a.Peer}, {"outbound", a.Outbound}, {"target", a.Target}})
	})
	return s
}

// LoadDirectBalancer reads the settings of a balancer for direct server
// return. Whatever is wrong with them is returned as one *findings.Error.
func LoadDirectBalancer(path string) (*DirectBalancer, error) {
	b := new(DirectBalancer)
	if err := load(path, directBalancerSchema(b)); err != nil {
		return nil, err
	}
	return b, nil
}

// LoadDirectAgent reads the settings of an agent for direct server return.
// Whatever is wrong with them is returned as one *findings.Error.
func LoadDirectAgent(path string) (*DirectAgent, error) {
	a := new(DirectAgent)
	if err := load(path, directAgentSchema(a)); err != nil {
		return nil, err
	}
	return a, nil
}
