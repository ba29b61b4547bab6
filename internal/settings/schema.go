package settings

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// schema is the keys of one daemon and the checks over several keys.
type schema struct {
	fields []field
	checks []func(r *reading)
}

// logLevels are the levels of log_level, the most verbose first.
var logLevels = []string{"debug", "info", "warn", "error"}

// Defaults and ranges.
const (
	defaultStopTimeout = 30 * time.Second
	maxStopTimeout     = 24 * time.Hour

	defaultStoreTimeout = 2 * time.Second
	minStoreTimeout     = 10 * time.Millisecond
	maxStoreTimeout     = time.Minute

	defaultMaxResponse = 16 * megabyte
	minMaxResponse     = 64 * kilobyte
	maxMaxResponse     = 256 * megabyte
)

// commonSchema returns the keys of both daemons.
func commonSchema(c *Common, role model.Role) schema {
	var secretFile string
	s := schema{fields: []field{
		nameField("node", "Name of the host slot, kept across restarts. No two live processes may share it.", &c.Node),
		nameField("domain", "Failure domain of the host.", &c.Domain),
		nameField("cluster", "Nodes that work together and their part of the store.", &c.Cluster),
		secretsField(&c.Secrets),
		secretFileField(&secretFile),
		addressField("data", "UDP address for encapsulated datagrams.", &c.Data),
		addressField("control", "TCP address for control sessions.", &c.Control),
		addressField("admin", "HTTP address of the admin page. Not authenticated: keep it on the operators' network.", &c.Admin),
		addressesField("seeds", "Control addresses of balancers to join by; the node's own is skipped. More outlast more dead balancers. Required for agents.",
			role == model.RoleAgent, &c.Seeds),
		durationField("stop_timeout", "Bound of a planned stop. Longer lets longer requests finish; shorter frees the host sooner.",
			defaultStopTimeout, 0, maxStopTimeout, &c.StopTimeout),
		choiceField("log_level", "Least severe lines that are written.", "info", logLevels, &c.LogLevel),
		pathField("trace_file", `Receives traces as JSON lines; "" is off, "-" is standard output. Costs processor time on every request.`, false, &c.TraceFile),
	}}
	s.checks = append(s.checks, func(r *reading) { checkSecrets(r, c, secretFile) })
	return s
}

// balancerSchema returns the keys of a balancer.
func balancerSchema(b *Balancer) schema {
	s := commonSchema(&b.Common, model.RoleBalancer)
	s.fields = append(s.fields,
		ipField("bind", "Address to bind every service's port on, in place of the service's own. Needed where that is not local to the host.", &b.Bind),
		endpointsField("store.endpoints", "The etcd v3 JSON gateways. Calls go to the first that answers; a dead one before it delays a call by up to store.timeout.", &b.Store.Endpoints),
		durationField("store.timeout", "Bound of one call to one endpoint. Shorter fails over sooner; longer tolerates a slow store without repeats.",
			defaultStoreTimeout, minStoreTimeout, maxStoreTimeout, &b.Store.Timeout),
		sizeField("store.max_response", "Bound of one answer of the store. Larger allows a larger configuration and costs memory while loading.",
			defaultMaxResponse, minMaxResponse, maxMaxResponse, &b.Store.MaxResponse),
	)
	s.checks = append(s.checks, func(r *reading) {
		checkClashes(r, []listener{{"control", b.Control}, {"admin", b.Admin}})
	})
	return s
}

// agentSchema returns the keys of an agent.
func agentSchema(a *Agent) schema {
	s := commonSchema(&a.Common, model.RoleAgent)
	s.fields = append(s.fields,
		addressField("announce", "HTTP address where the target announces itself. Bind it where only the target's host can reach it.", &a.Announce),
		pathField("certificate", "PEM certificate shown to callers.", true, &a.Certificate),
		pathField("private_key", "PEM private key of the certificate.", true, &a.PrivateKey),
	)
	s.checks = append(s.checks,
		func(r *reading) {
			checkClashes(r, []listener{{"control", a.Control}, {"admin", a.Admin}, {"announce", a.Announce}})
		},
		func(r *reading) { checkKeyPair(r, a) },
	)
	return s
}
