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

// errNoDeployment reports a command that needs a deployment.
var errNoDeployment = errors.New("no deployment was started")

// endpoint is a target with the agent beside it.
type endpoint struct {
	name    string
	service string
	domain  string
	// host is the last byte of the address of its host.
	host int
	// args are further arguments of the target.
	args []string
}

// deployment is a whole system of processes.
type deployment struct {
	layout    layout
	network   network
	addresses map[string]string // of services, by name
	endpoints map[string]*endpoint
	// targetArgs are further arguments of every target.
	targetArgs []string
}

// newDeployment prepares the files and variables of a deployment.
func (b *bench) newDeployment(ts *testscript.TestScript, name string, targetArgs []string) (*deployment, error) {
	l, err := findLayout(name)
	if err != nil {
		return nil, err
	}
	n, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	d := &deployment{
		layout: l, network: n, targetArgs: targetArgs,
		addresses: make(map[string]string), endpoints: make(map[string]*endpoint),
	}
	if err := certs.Write(filepath.Join(b.work, certDir), []string{"localhost"}); err != nil {
		return nil, err
	}
	d.setVariables(ts)
	return d, d.declare(b, ts)
}

// setVariables tells the script and the operators' client where things are.
func (d *deployment) setVariables(ts *testscript.TestScript) {
	var admins, hosts []string
	for n := range d.layout.balancers {
		admins = append(admins, d.network.at(balancerHosts+n, adminPort))
		hosts = append(hosts, d.network.host(balancerHosts+n))
	}
	ts.Setenv("AMARANTH_CLUSTER", d.layout.cluster)
	ts.Setenv("AMARANTH_STORE", "http://"+d.network.at(storeHost, storePort))
	ts.Setenv("AMARANTH_BALANCERS", strings.Join(admins, ","))
	ts.Setenv("AMARANTH_AUTHOR", "scenario")
	ts.Setenv("BALANCERS", strings.Join(hosts, ","))
	ts.Setenv("STORE", d.network.at(storeHost, storePort))
	ts.Setenv("NETWORK", strings.TrimSuffix(d.network.host(0), ".0"))
}

// serviceLine matches a service's name or address in a declared file.
var serviceLine = regexp.MustCompile(`(?m)^(name|address) = "([^"]+)"$`)

// declare writes the configuration that the users' program prints, with the
// services' addresses moved to the deployment's network.
func (d *deployment) declare(b *bench, ts *testscript.TestScript) error {
	out, err := output(ts, d.layout.program)
	if err != nil {
		return err
	}
	name := ""
	moved := serviceLine.ReplaceAllStringFunc(string(out), func(line string) string {
		found := serviceLine.FindStringSubmatch(line)
		if found[1] == "name" {
			name = found[2]
			return line
		}
		_, port, _ := strings.Cut(found[2], ":")
		d.addresses[name] = d.network.host(serviceHost) + ":" + port
		return fmt.Sprintf("address = %q", d.addresses[name])
	})
	if d.layout.opaque {
		moved = strings.ReplaceAll(moved, `mode = "request"`, `mode = "flow"`)
	}
	return os.WriteFile(filepath.Join(b.work, declaredFile), []byte(moved), 0o644)
}

// addEndpoint remembers an endpoint, which gets a host of its own.
func (d *deployment) addEndpoint(name, service, domain string, args []string) *endpoint {
	e := &endpoint{
		name: name, service: service, domain: domain,
		host: agentHosts + len(d.endpoints), args: args,
	}
	d.endpoints[name] = e
	return e
}

// startStore starts the store stand-in.
func (d *deployment) startStore(b *bench, ts *testscript.TestScript) error {
	return b.startReady(ts, storeName, standinProgram, []string{
		"store", "--listen", d.network.at(storeHost, storePort),
		adminFlag, d.network.at(storeHost, storeAdminPort),
	})
}

// startBalancer starts the nth balancer over a store, or a relay to it.
func (d *deployment) startBalancer(b *bench, ts *testscript.TestScript, n int, storeAddr string) error {
	name := balancerName(n)
	path, err := d.writeSettings(b.work, name, d.balancerSettings(n, d.layout.domainOf(n), storeAddr))
	if err != nil {
		return err
	}
	b.setAdmin(name, d.network.at(balancerHosts+n, adminPort))
	return b.launch(ts, name, daemonProgram, []string{"balancer", "--config", path})
}

// startAgent starts the agent of an endpoint.
func (d *deployment) startAgent(b *bench, ts *testscript.TestScript, e *endpoint) error {
	name := agentName(e.name)
	path, err := d.writeSettings(b.work, name, d.agentSettings(e))
	if err != nil {
		return err
	}
	b.setAdmin(name, d.network.at(e.host, adminPort))
	return b.launch(ts, name, daemonProgram, []string{"agent", "--config", path})
}

// startTarget starts the target of an endpoint.
func (d *deployment) startTarget(b *bench, ts *testscript.TestScript, e *endpoint) error {
	g, err := d.layout.groupOf(e.service)
	if err != nil {
		return err
	}
	admin := d.network.at(e.host, targetAdmin)
	line := []string{
		"target", "--name", e.name, "--service", e.service,
		"--ledger", filepath.Join(b.work, targetLedgerDir, e.name+".jsonl"),
		"--listen", d.network.at(e.host, targetPort), adminFlag, admin,
		"--announce", d.network.at(e.host, announcePort),
		"--slots", fmt.Sprint(g.slots), "--connections", fmt.Sprint(g.connections),
	}
	if d.layout.opaque {
		line = append(line, "--mode", "flow")
	}
	b.setAdmin(e.name, admin)
	return b.launch(ts, e.name, standinProgram, append(append(line, d.targetArgs...), e.args...))
}
