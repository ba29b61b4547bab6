package scenario

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"amaranthwheel.example/amaranthwheel/standin/certs"
)

// daemonProgram is the program of balancers and agents.
const daemonProgram = "amaranthwheel"

// declaredFile is the name of the configuration that a deployment starts with.
const declaredFile = "declared.toml"

// errNoDeployment is returned by commands that need a deployment.
var errNoDeployment = errors.New("no deployment was started")

// endpoint is a target and its agent on one host.
type endpoint struct {
	name    string
	service string
	domain  string
	// host is the last byte of the host address.
	host int
	// args are additional arguments of the target.
	args []string
}

// deployment is a complete system: store, balancers, agents and targets.
type deployment struct {
	layout    layout
	network   network
	addresses map[string]string // by service
	endpoints map[string]*endpoint
	// targetArgs are additional arguments of every target.
	targetArgs []string
}

// newDeployment creates the files and variables of a deployment without
// starting it.
func (h *harness) newDeployment(ts *testscript.TestScript, name string, targetArgs []string) (*deployment, error) {
	l, err := findLayout(name)
	if err != nil {
		return nil, err
	}
	n, err := allocateNetwork()
	if err != nil {
		return nil, err
	}
	d := &deployment{
		layout: l, network: n, targetArgs: targetArgs,
		addresses: make(map[string]string), endpoints: make(map[string]*endpoint),
	}
	if err := certs.Write(filepath.Join(h.work, certDir), []string{"localhost"}); err != nil {
		return nil, err
	}
	d.setVariables(ts)
	return d, d.writeDeclaredFile(h, ts)
}

// setVariables sets the variables with the addresses of the deployment for the
// script and the operators' client.
func (d *deployment) setVariables(ts *testscript.TestScript) {
	var admins, hosts []string
	for n := range d.layout.balancers {
		admins = append(admins, d.network.hostPort(balancerHosts+n, adminPort))
		hosts = append(hosts, d.network.hostAddr(balancerHosts+n))
	}
	ts.Setenv("AMARANTH_CLUSTER", d.layout.cluster)
	ts.Setenv("AMARANTH_STORE", "http://"+d.network.hostPort(storeHost, storePort))
	ts.Setenv("AMARANTH_BALANCERS", strings.Join(admins, ","))
	ts.Setenv("AMARANTH_AUTHOR", "scenario")
	ts.Setenv("BALANCERS", strings.Join(hosts, ","))
	ts.Setenv("STORE", d.network.hostPort(storeHost, storePort))
	ts.Setenv("NETWORK", strings.TrimSuffix(d.network.hostAddr(0), ".0"))
}

// serviceLine matches a service's name or address in a declared configuration.
var serviceLine = regexp.MustCompile(`(?m)^(name|address) = "([^"]+)"$`)

// writeDeclaredFile writes the configuration that the users' program prints,
// with the services' addresses moved to the deployment's network.
func (d *deployment) writeDeclaredFile(h *harness, ts *testscript.TestScript) error {
	out, err := runProgram(ts, d.layout.program)
	if err != nil {
		return err
	}
	name := ""
	rewritten := serviceLine.ReplaceAllStringFunc(string(out), func(line string) string {
		match := serviceLine.FindStringSubmatch(line)
		if match[1] == "name" {
			name = match[2]
			return line
		}
		_, port, _ := strings.Cut(match[2], ":")
		d.addresses[name] = d.network.hostAddr(serviceHost) + ":" + port
		return fmt.Sprintf("address = %q", d.addresses[name])
	})
	if d.layout.opaque {
		rewritten = strings.ReplaceAll(rewritten, `mode = "request"`, `mode = "flow"`)
	}
	return os.WriteFile(filepath.Join(h.work, declaredFile), []byte(rewritten), 0o644)
}

// addEndpoint records an endpoint on a new host address.
func (d *deployment) addEndpoint(name, service, domain string, args []string) *endpoint {
	e := &endpoint{
		name: name, service: service, domain: domain,
		host: agentHosts + len(d.endpoints), args: args,
	}
	d.endpoints[name] = e
	return e
}

// startStore starts the store stand-in.
func (d *deployment) startStore(h *harness, ts *testscript.TestScript) error {
	return h.startProcess(ts, storeName, standinProgram, []string{
		"store", "--listen", d.network.hostPort(storeHost, storePort),
		adminFlag, d.network.hostPort(storeHost, storeAdminPort),
	})
}

// startBalancer starts the nth balancer. storeAddr is the address of the store
// or of a relay to it.
func (d *deployment) startBalancer(h *harness, ts *testscript.TestScript, n int, storeAddr string) error {
	name := balancerName(n)
	path, err := d.writeSettings(h.work, name, d.balancerSettings(n, d.layout.domainOf(n), storeAddr))
	if err != nil {
		return err
	}
	h.setAdmin(name, d.network.hostPort(balancerHosts+n, adminPort))
	return h.launch(ts, name, daemonProgram, []string{"balancer", "--config", path})
}

// startAgent starts the agent of an endpoint.
func (d *deployment) startAgent(h *harness, ts *testscript.TestScript, e *endpoint) error {
	name := agentName(e.name)
	path, err := d.writeSettings(h.work, name, d.agentSettings(e))
	if err != nil {
		return err
	}
	h.setAdmin(name, d.network.hostPort(e.host, adminPort))
	return h.launch(ts, name, daemonProgram, []string{"agent", "--config", path})
}

// startTarget starts the target of an endpoint.
func (d *deployment) startTarget(h *harness, ts *testscript.TestScript, e *endpoint) error {
	g, err := d.layout.groupOf(e.service)
	if err != nil {
		return err
	}
	admin := d.network.hostPort(e.host, targetAdminPort)
	args := []string{
		"target", "--name", e.name, "--service", e.service,
		"--ledger", filepath.Join(h.work, targetLedgerDir, e.name+".jsonl"),
		"--listen", d.network.hostPort(e.host, targetPort), adminFlag, admin,
		"--announce", d.network.hostPort(e.host, announcePort),
		"--slots", fmt.Sprint(g.slots), "--connections", fmt.Sprint(g.connections),
	}
	if d.layout.opaque {
		args = append(args, "--mode", "flow")
	}
	h.setAdmin(e.name, admin)
	return h.launch(ts, e.name, standinProgram, append(append(args, d.targetArgs...), e.args...))
}
