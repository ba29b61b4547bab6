package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
)

// formationLimit bounds the wait for a deployment, or a node that joins one,
// to be ready.
const formationLimit = 30 * time.Second

// deploymentCommands returns the commands over a whole deployment.
func deploymentCommands() map[string]command {
	return map[string]command{
		"deployment": {"authority|vatukoula|small|opaque [TARGET ARGS...]", 1, cmdDeployment},
		"balancer":   {"NUMBER [STORE IP:PORT]", 1, cmdBalancer},
		"endpoint":   {"NAME [SERVICE DOMAIN [TARGET ARGS...]]", 1, cmdEndpoint},
		"formed":     {"[LIMIT]", 0, cmdFormed},
		"callers":    {"NAME SERVICE ARGS...", 2, cmdCallers},
	}
}

// cmdDeployment starts a deployment and waits until it is ready.
func cmdDeployment(b *bench, ts *testscript.TestScript, args []string) error {
	d, err := b.newDeployment(ts, args[0], args[1:])
	if err != nil {
		return err
	}
	b.deployment = d
	if err := d.startStore(b, ts); err != nil {
		return err
	}
	if err := ts.Exec(operatorProgram, "apply", declaredFile, "--wait", "0s"); err != nil {
		return err
	}
	for n := range d.layout.balancers {
		if err := d.startBalancer(b, ts, n, d.network.at(storeHost, storePort)); err != nil {
			return err
		}
	}
	for _, g := range d.layout.groups {
		for n := range g.targets {
			e := d.addEndpoint(endpointName(g.service, n), g.service, d.layout.domainOf(n), nil)
			if err := d.startEndpoint(b, ts, e); err != nil {
				return err
			}
		}
	}
	return b.awaitFormed(ts, formationLimit)
}

// startEndpoint starts what does not run of an endpoint.
func (d *deployment) startEndpoint(b *bench, ts *testscript.TestScript, e *endpoint) error {
	if !b.runs(agentName(e.name)) {
		if err := d.startAgent(b, ts, e); err != nil {
			return err
		}
	}
	if b.runs(e.name) {
		return nil
	}
	return d.startTarget(b, ts, e)
}

// cmdBalancer starts a balancer, over another store address if one is given.
func cmdBalancer(b *bench, ts *testscript.TestScript, args []string) error {
	d := b.deployment
	if d == nil {
		return errNoDeployment
	}
	n, err := strconv.Atoi(args[0])
	if err != nil || n < 1 {
		return errors.New("balancers are numbered from 1")
	}
	storeAddr := d.network.at(storeHost, storePort)
	if len(args) > 1 {
		storeAddr = args[1]
	}
	return d.startBalancer(b, ts, n-1, storeAddr)
}

// cmdEndpoint starts a new endpoint, or one again whose agent or target has
// ended.
func cmdEndpoint(b *bench, ts *testscript.TestScript, args []string) error {
	d := b.deployment
	if d == nil {
		return errNoDeployment
	}
	e, known := d.endpoints[args[0]]
	switch {
	case !known && len(args) < 3:
		return fmt.Errorf("a new endpoint needs a service and a failure domain")
	case !known:
		e = d.addEndpoint(args[0], args[1], args[2], args[3:])
	}
	return d.startEndpoint(b, ts, e)
}

// cmdFormed waits until all running nodes know each other.
func cmdFormed(b *bench, ts *testscript.TestScript, args []string) error {
	limit, err := limitArg(args, 0, formationLimit)
	if err != nil {
		return err
	}
	return b.awaitFormed(ts, limit)
}

// cmdCallers starts a caller stand-in of a service of the deployment.
func cmdCallers(b *bench, ts *testscript.TestScript, args []string) error {
	d := b.deployment
	if d == nil {
		return errNoDeployment
	}
	address, ok := d.addresses[args[1]]
	if !ok {
		return fmt.Errorf("the deployment has no service %q", args[1])
	}
	line := []string{
		args[0], "--service", args[1], "--address", address,
		"--balancers", ts.Getenv("BALANCERS"), "--ca", filepath.Join(b.work, certDir, "cert.pem"),
	}
	return cmdLoad(b, ts, append(line, args[2:]...))
}

// awaitFormed waits until every running balancer knows every agent with its
// target as alive, and every agent those of its own service.
func (b *bench) awaitFormed(ts *testscript.TestScript, limit time.Duration) error {
	started := time.Now()
	for {
		err := b.formed()
		if err == nil {
			ts.Logf("formed after %v", time.Since(started).Round(time.Millisecond))
			return nil
		}
		if time.Since(started) > limit {
			return fmt.Errorf("not formed within %v: %w", limit, err)
		}
		time.Sleep(conditionPoll)
	}
}

// formed checks the status of every running node.
func (b *bench) formed() error {
	d := b.deployment
	if d == nil {
		return errNoDeployment
	}
	all := make(map[string]bool)
	byService := make(map[string]map[string]bool)
	for _, g := range d.layout.groups {
		byService[g.service] = b.runningAgents(g.service)
		maps.Copy(all, byService[g.service])
	}
	for _, agents := range byService {
		for name := range agents {
			if err := b.knows(name, agents, false); err != nil {
				return err
			}
		}
	}
	for n := range agentHosts - balancerHosts {
		if !b.runs(balancerName(n)) {
			continue
		}
		if err := b.knows(balancerName(n), all, true); err != nil {
			return err
		}
	}
	return nil
}

// runningAgents returns the agents of a service that run beside a running
// target.
func (b *bench) runningAgents(service string) map[string]bool {
	out := make(map[string]bool)
	for name, e := range b.deployment.endpoints {
		if e.service == service && b.runs(agentName(name)) && b.runs(name) {
			out[agentName(name)] = true
		}
	}
	return out
}

// knows checks that a node holds a configuration and the wanted agents, and no
// others if they are all.
func (b *bench) knows(node string, want map[string]bool, all bool) error {
	answer, err := b.request(http.MethodGet, node, adminapi.PathStatus, "")
	if err != nil {
		return err
	}
	var status adminapi.Status
	if err := json.Unmarshal(answer, &status); err != nil {
		return fmt.Errorf("status of %s: %w", node, err)
	}
	if status.ConfigVersion == 0 {
		return fmt.Errorf("%s holds no configuration", node)
	}
	known := 0
	for _, m := range status.Members {
		if m.Role != adminapi.RoleAgent || !m.State.IsUp() || !all && !want[string(m.Node)] {
			continue
		}
		if !want[string(m.Node)] || m.State != adminapi.StateAlive || m.Target == "" {
			return fmt.Errorf("%s knows %s as %s with target %q", node, m.Node, m.State, m.Target)
		}
		known++
	}
	if known != len(want) {
		return fmt.Errorf("%s knows %d agents of %d", node, known, len(want))
	}
	return nil
}

// runs reports whether a process of that name is running.
func (b *bench) runs(name string) bool {
	_, err := b.running(name)
	return err == nil
}

// output runs a program of the script's path and returns its standard output.
func output(ts *testscript.TestScript, program string, args ...string) ([]byte, error) {
	path, err := lookPath(program, ts.Getenv("PATH"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), programLimit)
	defer cancel()
	cmd := exec.CommandContext(ctx, path, args...)
	cmd.Env = environment(ts)
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", program, strings.Join(args, " "), err)
	}
	return out, nil
}
