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

// formationTimeout bounds the wait until a deployment, or a node that joins
// one, is ready.
const formationTimeout = 30 * time.Second

// deploymentCommands returns the commands that act on a whole deployment.
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
func cmdDeployment(h *harness, ts *testscript.TestScript, args []string) error {
	d, err := h.newDeployment(ts, args[0], args[1:])
	if err != nil {
		return err
	}
	h.deployment = d
	if err := d.startStore(h, ts); err != nil {
		return err
	}
	if err := ts.Exec(operatorProgram, "apply", declaredFile, "--wait", "0s"); err != nil {
		return err
	}
	for n := range d.layout.balancers {
		if err := d.startBalancer(h, ts, n, d.network.hostPort(storeHost, storePort)); err != nil {
			return err
		}
	}
	for _, g := range d.layout.groups {
		for n := range g.targets {
			e := d.addEndpoint(endpointName(g.service, n), g.service, d.layout.domainOf(n), nil)
			if err := d.startEndpoint(h, ts, e); err != nil {
				return err
			}
		}
	}
	return h.waitUntilFormed(ts, formationTimeout)
}

// startEndpoint starts the agent and the target of an endpoint unless they run.
func (d *deployment) startEndpoint(h *harness, ts *testscript.TestScript, e *endpoint) error {
	if !h.isRunning(agentName(e.name)) {
		if err := d.startAgent(h, ts, e); err != nil {
			return err
		}
	}
	if h.isRunning(e.name) {
		return nil
	}
	return d.startTarget(h, ts, e)
}

// cmdBalancer starts a balancer with the given store address, by default that
// of the deployment.
func cmdBalancer(h *harness, ts *testscript.TestScript, args []string) error {
	d := h.deployment
	if d == nil {
		return errNoDeployment
	}
	n, err := strconv.Atoi(args[0])
	if err != nil || n < 1 {
		return errors.New("balancers are numbered from 1")
	}
	storeAddr := d.network.hostPort(storeHost, storePort)
	if len(args) > 1 {
		storeAddr = args[1]
	}
	return d.startBalancer(h, ts, n-1, storeAddr)
}

// cmdEndpoint starts a new endpoint, or restarts the agent or target of a known
// one.
func cmdEndpoint(h *harness, ts *testscript.TestScript, args []string) error {
	d := h.deployment
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
	return d.startEndpoint(h, ts, e)
}

// cmdFormed waits until all running nodes have complete membership.
func cmdFormed(h *harness, ts *testscript.TestScript, args []string) error {
	limit, err := durationArg(args, 0, formationTimeout)
	if err != nil {
		return err
	}
	return h.waitUntilFormed(ts, limit)
}

// cmdCallers starts a caller stand-in for a service of the deployment.
func cmdCallers(h *harness, ts *testscript.TestScript, args []string) error {
	d := h.deployment
	if d == nil {
		return errNoDeployment
	}
	address, ok := d.addresses[args[1]]
	if !ok {
		return fmt.Errorf("the deployment has no service %q", args[1])
	}
	loadArgs := []string{
		args[0], "--service", args[1], "--address", address,
		"--balancers", ts.Getenv("BALANCERS"), "--ca", filepath.Join(h.work, certDir, "cert.pem"),
	}
	return cmdLoad(h, ts, append(loadArgs, args[2:]...))
}

// waitUntilFormed waits until every running balancer lists every running agent
// as alive with its target, and every agent those of its own service.
func (h *harness) waitUntilFormed(ts *testscript.TestScript, limit time.Duration) error {
	started := time.Now()
	for {
		err := h.checkFormed()
		if err == nil {
			ts.Logf("formed after %v", time.Since(started).Round(time.Millisecond))
			return nil
		}
		if time.Since(started) > limit {
			return fmt.Errorf("not formed within %v: %w", limit, err)
		}
		time.Sleep(conditionPollInterval)
	}
}

// checkFormed checks the member lists of all running nodes.
func (h *harness) checkFormed() error {
	d := h.deployment
	if d == nil {
		return errNoDeployment
	}
	all := make(map[string]bool)
	byService := make(map[string]map[string]bool)
	for _, g := range d.layout.groups {
		byService[g.service] = h.runningAgents(g.service)
		maps.Copy(all, byService[g.service])
	}
	for _, agents := range byService {
		for name := range agents {
			if err := h.checkMembers(name, agents, false); err != nil {
				return err
			}
		}
	}
	for n := range agentHosts - balancerHosts {
		if !h.isRunning(balancerName(n)) {
			continue
		}
		if err := h.checkMembers(balancerName(n), all, true); err != nil {
			return err
		}
	}
	return nil
}

// runningAgents returns the agents of a service that run beside a running
// target.
func (h *harness) runningAgents(service string) map[string]bool {
	out := make(map[string]bool)
	for name, e := range h.deployment.endpoints {
		if e.service == service && h.isRunning(agentName(name)) && h.isRunning(name) {
			out[agentName(name)] = true
		}
	}
	return out
}

// checkMembers checks that a node has a configuration and lists the wanted
// agents as alive. With exact set it must list no other agents.
func (h *harness) checkMembers(node string, want map[string]bool, exact bool) error {
	body, err := h.sendRequest(http.MethodGet, node, adminapi.PathStatus, "")
	if err != nil {
		return err
	}
	var status adminapi.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return fmt.Errorf("status of %s: %w", node, err)
	}
	if status.ConfigVersion == 0 {
		return fmt.Errorf("%s has no configuration", node)
	}
	listed := 0
	for _, m := range status.Members {
		if m.Role != adminapi.RoleAgent || !m.State.IsUp() || !exact && !want[string(m.Node)] {
			continue
		}
		if !want[string(m.Node)] || m.State != adminapi.StateAlive || m.Target == "" {
			return fmt.Errorf("%s lists %s as %s with target %q", node, m.Node, m.State, m.Target)
		}
		listed++
	}
	if listed != len(want) {
		return fmt.Errorf("%s lists %d agents of %d", node, listed, len(want))
	}
	return nil
}

// isRunning reports whether a process of that name is running.
func (h *harness) isRunning(name string) bool {
	_, err := h.runningProcess(name)
	return err == nil
}

// runProgram runs a program from the script's PATH and returns its standard
// output.
func runProgram(ts *testscript.TestScript, program string, args ...string) ([]byte, error) {
	path, err := lookPath(program, ts.Getenv("PATH"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), programTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, path, args...)
	cmd.Env = scriptEnvironment(ts)
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", program, strings.Join(args, " "), err)
	}
	return out, nil
}
