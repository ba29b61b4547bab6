package scenario

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// Directories below a script's work directory.
const (
	logDir          = "logs"
	callerLedgerDir = "ledgers/callers"
	targetLedgerDir = "ledgers/targets"
)

// logsEnv names the environment variable with the directory to which the logs
// and ledgers of all scripts are copied.
const logsEnv = "SCENARIO_LOGS"

// workEnv names the variable with a script's work directory.
const workEnv = "WORK"

// harness is the state of one running script and its processes.
type harness struct {
	work string

	mu        sync.Mutex
	processes map[string]*process
	// admins maps process names to admin addresses.
	admins map[string]string
	// deployment is nil until the script starts one.
	deployment *deployment
	// faults is the last fault configuration sent to the store.
	faults storeFaults
}

// harnessKey is the key of the harness in testscript.Env.Values.
type harnessKey struct{}

// Params returns the testscript parameters for the scripts in dir. The
// binaries directory comes first in PATH.
func Params(dir, binaries string) testscript.Params {
	return testscript.Params{
		Dir:                dir,
		Cmds:               commands(),
		RequireUniqueNames: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binaries+string(os.PathListSeparator)+env.Getenv("PATH"))
			return setUp(env)
		},
	}
}

// setUp creates the harness of a script and registers its cleanup.
func setUp(env *testscript.Env) error {
	h := &harness{work: env.WorkDir, processes: make(map[string]*process), admins: make(map[string]string)}
	for _, dir := range []string{logDir, callerLedgerDir, targetLedgerDir} {
		if err := os.MkdirAll(filepath.Join(h.work, dir), 0o755); err != nil {
			return fmt.Errorf("create directory: %w", err)
		}
	}
	env.Values[harnessKey{}] = h
	env.Defer(h.close)
	return nil
}

// close kills the processes that are still running and copies the logs if
// logsEnv is set.
func (h *harness) close() {
	h.mu.Lock()
	processes := maps.Clone(h.processes)
	h.mu.Unlock()
	destination := os.Getenv(logsEnv)
	if destination != "" {
		h.fetchCallerLedgers()
	}
	for _, p := range processes {
		p.kill()
	}
	if destination == "" {
		return
	}
	for _, dir := range []string{logDir, "ledgers"} {
		to := filepath.Join(destination, filepath.Base(h.work), dir)
		_ = os.CopyFS(to, os.DirFS(filepath.Join(h.work, dir))) // existing logs of an earlier run are not overwritten
	}
}

// fetchCallerLedgers writes the ledgers of the loads that still run, which a failed
// script has not ended.
func (h *harness) fetchCallerLedgers() {
	for name, p := range h.processes {
		file := filepath.Join(h.work, callerLedgerDir, name+".json")
		if _, err := os.Stat(file); err == nil || !p.isCaller() {
			continue
		}
		ledger, err := h.sendRequest(http.MethodGet, name, "/ledger", "")
		if err == nil {
			err = os.WriteFile(file, ledger, 0o644)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "ledger of %s: %v\n", name, err)
		}
	}
}

// command is a custom testscript command. An error from run fails the script.
type command struct {
	usage   string
	minArgs int
	run     func(h *harness, ts *testscript.TestScript, args []string) error
}

// commands returns all custom commands by name.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for _, group := range []map[string]command{
		processCommands(), standinCommands(), storeCommands(), operatorCommands(), conditionCommands(), fileCommands(), deploymentCommands(),
	} {
		for name, c := range group {
			out[name] = c.adapt(name)
		}
	}
	return out
}

// adapt converts the command to a testscript function. A command negated with
// "!" must fail.
func (c command) adapt(name string) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < c.minArgs {
			ts.Fatalf("usage: %s %s", name, c.usage)
		}
		h := ts.Value(harnessKey{}).(*harness)
		err := c.run(h, ts, args)
		switch {
		case neg && err == nil:
			h.logTails(ts)
			ts.Fatalf("%s succeeded unexpectedly", name)
		case neg:
			ts.Logf("%s failed as expected: %v", name, err)
		case err != nil:
			h.logTails(ts)
			ts.Fatalf("%s: %v", name, err)
		}
	}
}
