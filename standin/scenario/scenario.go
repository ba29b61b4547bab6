package scenario

import (
	"fmt"
	"maps"
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

// logsEnv names the environment variable with a directory that keeps the logs
// and ledgers of all scripts.
const logsEnv = "SCENARIO_LOGS"

// workEnv names the variable with a script's work directory.
const workEnv = "WORK"

// bench is the state of one running script.
type bench struct {
	work string

	mu        sync.Mutex
	processes map[string]*process
	// admins holds the admin address of each name.
	admins map[string]string
	// deployment is the one that the script started; nil before.
	deployment *deployment
	// faults are the store's switches as last set.
	faults storeFaults
}

// benchKey is the key of a script's bench among its values.
type benchKey struct{}

// Params returns the parameters of a run over the scripts in a directory.
// The programs are looked up in the directory of binaries first.
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

// setUp prepares the bench of a script and its removal.
func setUp(env *testscript.Env) error {
	b := &bench{work: env.WorkDir, processes: make(map[string]*process), admins: make(map[string]string)}
	for _, dir := range []string{logDir, callerLedgerDir, targetLedgerDir} {
		if err := os.MkdirAll(filepath.Join(b.work, dir), 0o755); err != nil {
			return fmt.Errorf("create directory: %w", err)
		}
	}
	env.Values[benchKey{}] = b
	env.Defer(b.close)
	return nil
}

// close kills every process that the script left and keeps its logs.
func (b *bench) close() {
	b.mu.Lock()
	processes := maps.Clone(b.processes)
	b.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	kept := os.Getenv(logsEnv)
	if kept == "" {
		return
	}
	for _, dir := range []string{logDir, "ledgers"} {
		to := filepath.Join(kept, filepath.Base(b.work), dir)
		_ = os.CopyFS(to, os.DirFS(filepath.Join(b.work, dir))) // logs of an earlier run stay
	}
}

// command is a custom command of scripts. It fails the script by its error.
type command struct {
	usage string
	// least is the number of arguments that it needs.
	least int
	run   func(b *bench, ts *testscript.TestScript, args []string) error
}

// commands returns the custom commands by name.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for _, group := range []map[string]command{
		processCommands(), standinCommands(), storeCommands(), operatorCommands(), conditionCommands(), fileCommands(), deploymentCommands(),
	} {
		for name, c := range group {
			out[name] = c.script(name)
		}
	}
	return out
}

// script adapts the command. A command after "!" must fail.
func (c command) script(name string) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < c.least {
			ts.Fatalf("usage: %s %s", name, c.usage)
		}
		b := ts.Value(benchKey{}).(*bench)
		err := c.run(b, ts, args)
		switch {
		case neg && err == nil:
			b.logTails(ts)
			ts.Fatalf("%s succeeded unexpectedly", name)
		case neg:
			ts.Logf("%s failed as expected: %v", name, err)
		case err != nil:
			b.logTails(ts)
			ts.Fatalf("%s: %v", name, err)
		}
	}
}
