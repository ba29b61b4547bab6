package settings

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// schema has the fields of one daemon's settings and the checks that involve
// several keys.
type schema struct {
	fields []field
	checks []func(p *parseState)
}

// logLevels are the values of log_level, most verbose first.
var logLevels = []string{"debug", "info", "warn", "error"}

// Defaults and ranges of the settings.
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

// commonSchema returns the schema of the settings that both daemons have.
func commonSchema(c *Common, role model.Role) schema {
	var secretFile string
	s := schema{fields: []field{
		nameField("node", "Name of the host slot, kept across restarts. No two live processes may share it.", &c.Node),
		nameField("domain", "Failure domain of the host.", &c.Domain),
		nameField("cluster", "Name of the set of nodes that work together, and of their part of the store.", &c.Cluster),
		secretsField(&c.Secrets),
		secretFileField(&secretFile),
		addressField("data", "UDP address for encapsulated datagrams.", &c.Data),
		addressField("control", "TCP address for control sessions.", &c.Control),
		addressField("admin", "HTTP address of the admin page. Not authenticated: restrict it to the operators' network.", &c.Admin),
		addressesField("seeds", "Control addresses of balancers through which the node joins; its own address is skipped. More seeds tolerate more failed balancers. Required for agents.",
			role == model.RoleAgent, &c.Seeds),
		durationField("stop_timeout", "Time limit of a planned stop. A longer one lets longer requests finish; a shorter one frees the host sooner.",
			defaultStopTimeout, 0, maxStopTimeout, &c.StopTimeout),
		choiceField("log_level", "Lowest severity that is logged.", "info", logLevels, &c.LogLevel),
		pathField("trace_file", `File for traces as JSON lines; "" is off, "-" is standard output. Tracing costs CPU time on every request.`, false, &c.TraceFile),
	}}
	s.checks = append(s.checks, func(p *parseState) { checkSecrets(p, c, secretFile) })
	return s
}

// balancerSchema returns the schema of a balancer's settings.
func balancerSchema(b *Balancer) schema {
	s := commonSchema(&b.Common, model.RoleBalancer)
	s.fields = append(s.fields,
		ipField("bind", "Address on which the port of every service is bound, instead of the service's own address. Needed if that address is not local to the host.", &b.Bind),
		endpointsField("store.endpoints", "URLs of the etcd v3 JSON gateways. Calls go to the first that responds; a failed one before it delays a call by up to store.timeout.", &b.Store.Endpoints),
		durationField("store.timeout", "Time limit of one call to one endpoint. A shorter one fails over sooner; a longer one tolerates a slow store without retries.",
			defaultStoreTimeout, minStoreTimeout, maxStoreTimeout, &b.Store.Timeout),
		sizeField("store.max_response", "Size limit of one response of the store. A larger one allows a larger configuration and costs memory while loading.",
			defaultMaxResponse, minMaxResponse, maxMaxResponse, &b.Store.MaxResponse),
	)
	s.checks = append(s.checks, func(p *parseState) {
		checkAddressConflicts(p, []listener{{"control", b.Control}, {"admin", b.Admin}})
	})
	return s
}

// agentSchema returns the schema of an agent's settings.
func agentSchema(a *Agent) schema {
	s := commonSchema(&a.Common, model.RoleAgent)
	s.fields = append(s.fields,
		addressField("announce", "HTTP address at which the target announces itself. It should be reachable only from the target's host.", &a.Announce),
		pathField("certificate", "File with the PEM certificate presented to callers.", true, &a.Certificate),
		pathField("private_key", "File with the PEM private key of the certificate.", true, &a.PrivateKey),
	)
	s.checks = append(s.checks,
		func(p *parseState) {
			checkAddressConflicts(p, []listener{{"control", a.Control}, {"admin", a.Admin}, {"announce", a.Announce}})
		},
		func(p *parseState) { checkKeyPair(p, a) },
	)
	return s
}
