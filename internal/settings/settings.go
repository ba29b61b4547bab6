// Package settings reads the daemons' settings from TOML files.
//
// A file is checked completely: unknown keys, wrong types and units, missing
// keys, values out of range and conflicting addresses are collected as findings
// with file, line and key, and returned together as a *findings.Error.
// docs/CONFIGURATION.md lists every key; Reference returns the same list.
package settings

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Store holds the settings of a balancer's key-value store. TOML table [store].
type Store struct {
	// Endpoints are the URLs of the etcd v3 JSON gateways, as http://ip:port.
	// Required. Calls go to the first that responds; more endpoints tolerate the
	// loss of one, but each failed one before it delays a call by up to Timeout.
	Endpoints []string `toml:"endpoints"`
	// Timeout limits one call to one endpoint. Default 2s. A shorter one fails
	// over sooner; a longer one tolerates a slow store without retries.
	Timeout time.Duration `toml:"timeout"`
	// MaxResponse limits one response of the store, in bytes. Default 16MB. A
	// larger one allows a larger configuration, and costs memory while loading.
	MaxResponse int64 `toml:"max_response"`
}

// Common holds the settings that both daemons have.
type Common struct {
	// Node names the host slot and is kept across restarts. Required. Two
	// live processes must never share it.
	Node model.NodeID `toml:"node"`
	// Domain is the failure domain of the host. Required.
	Domain model.DomainName `toml:"domain"`
	// Cluster names the set of nodes that work together, and their part of the
	// store. Required.
	Cluster string `toml:"cluster"`
	// Secrets authenticate nodes to each other, each at least 16 bytes: the
	// first one signs, all verify. Given as a list of strings, or one per line
	// in the file that secret_file names. Required. Several allow rotation
	// without downtime; each further one costs a check per foreign datagram.
	Secrets [][]byte `toml:"secrets"`
	// Data is the UDP address for encapsulated datagrams, ip:port. Required.
	Data netip.AddrPort `toml:"data"`
	// Control is the TCP address for control sessions, ip:port. Required.
	Control netip.AddrPort `toml:"control"`
	// Admin is the HTTP address of the admin page, ip:port. Required. It is
	// not authenticated: restrict it to the operators' network.
	Admin netip.AddrPort `toml:"admin"`
	// Seeds are control addresses of balancers through which the node joins;
	// its own address is skipped. Required for agents, default none for
	// balancers. More seeds tolerate more failed balancers at startup.
	Seeds []netip.AddrPort `toml:"seeds"`
	// StopTimeout limits a planned stop. Default 30s. A longer one lets longer
	// requests finish; a shorter one frees the host sooner.
	StopTimeout time.Duration `toml:"stop_timeout"`
	// LogLevel is the lowest severity that is logged: debug, info, warn or
	// error. Default info.
	LogLevel string `toml:"log_level"`
	// TraceFile is the file for traces as JSON lines: "" is off, "-" is
	// standard output. Default off. Tracing costs CPU time on every request.
	TraceFile string `toml:"trace_file"`
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// Bind is the address on which the port of every service is bound, instead
	// of the service's own address. Default none. Needed if the services'
	// addresses are not local to the host.
	Bind netip.Addr `toml:"bind"`
	// Store holds the settings of the key-value store.
	Store Store `toml:"store"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// Announce is the HTTP address at which the target announces itself,
	// ip:port. Required. It should be reachable only from the target's host.
	Announce netip.AddrPort `toml:"announce"`
	// Certificate is the path of the PEM certificate presented to callers.
	// Required.
	Certificate string `toml:"certificate"`
	// PrivateKey is the path of the certificate's PEM private key. Required.
	PrivateKey string `toml:"private_key"`
}

// LoadBalancer reads the settings of a balancer. All errors in them are returned
// as one *findings.Error.
func LoadBalancer(path string) (*Balancer, error) {
	b := new(Balancer)
	if err := load(path, balancerSchema(b)); err != nil {
		return nil, err
	}
	return b, nil
}

// LoadAgent reads the settings of an agent. All errors in them are returned as
// one *findings.Error.
func LoadAgent(path string) (*Agent, error) {
	a := new(Agent)
	if err := load(path, agentSchema(a)); err != nil {
		return nil, err
	}
	return a, nil
}
