package scenario

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// standinProgram is the program of the stand-ins.
const standinProgram = "standin"

// standinCommands returns the commands over targets and callers.
func standinCommands() map[string]command {
	return map[string]command{
		"target":    {"NAME ARGS...", 1, cmdTarget},
		"load":      {"NAME ARGS...", 1, cmdLoad},
		"finish":    {"NAME [LIMIT]", 1, cmdFinish},
		"balancers": {"NAME ADDRESS...", 1, cmdBalancers},
		"allow":     {"NAME TARGET...", 2, cmdAllow},
		"cut":       {"NAME on|off", 2, switchCommand("/cut")},
		"drain":     {"NAME [on|off]", 1, switchCommand("/drain")},
		"announce":  {"NAME on|off", 2, cmdAnnounce},
		"cold":      {"NAME...", 1, cmdCold},
		"slow":      {"NAME MILLISECONDS", 2, cmdSlow},
		"lie":       {"NAME [health=ok|bad] [load=SHARE]", 1, cmdLie},
		"reconcile": {"ARGS...", 0, cmdReconcile},
	}
}

// cmdTarget starts a target stand-in with a ledger and an admin address.
func cmdTarget(b *bench, ts *testscript.TestScript, args []string) error {
	ledger := filepath.Join(b.work, targetLedgerDir, args[0]+".jsonl")
	return b.startStandin(ts, "target", args, ledger)
}

// cmdLoad starts a caller stand-in with a ledger and an admin address.
func cmdLoad(b *bench, ts *testscript.TestScript, args []string) error {
	ledger := filepath.Join(b.work, callerLedgerDir, args[0]+".json")
	return b.startStandin(ts, "caller", args, ledger)
}

// startStandin starts a stand-in under its own name.
func (b *bench) startStandin(ts *testscript.TestScript, kind string, args []string, ledger string) error {
	line := []string{kind, "--name", args[0], "--ledger", ledger}
	if adminOf(args) == "" {
		port, err := freePort()
		if err != nil {
			return err
		}
		line = append(line, adminFlag, fmt.Sprintf("%s:%d", loopback, port))
	}
	return b.startReady(ts, args[0], standinProgram, append(line, args[1:]...))
}

// cmdFinish ends a load before its bounds and waits for its ledger.
func cmdFinish(b *bench, ts *testscript.TestScript, args []string) error {
	if err := b.post(args[0], "/stop"); err != nil {
		return err
	}
	return cmdAwait(b, ts, args)
}

// cmdBalancers replaces the balancers that a caller's fabric sends to.
func cmdBalancers(b *bench, _ *testscript.TestScript, args []string) error {
	_, err := b.request(http.MethodPut, args[0], "/balancers", strings.Join(args[1:], "\n"))
	return err
}

// cmdAllow lets a caller's flows move away from targets.
func cmdAllow(b *bench, _ *testscript.TestScript, args []string) error {
	for _, target := range args[1:] {
		if err := b.post(args[0], "/allow?target="+url.QueryEscape(target)); err != nil {
			return err
		}
	}
	return nil
}

// switchCommand returns a command that turns a switch of a stand-in on, or
// off.
func switchCommand(path string) func(*bench, *testscript.TestScript, []string) error {
	return func(b *bench, _ *testscript.TestScript, args []string) error {
		on, err := switchArg(args, 1)
		if err != nil {
			return err
		}
		return b.post(args[0], fmt.Sprintf("%s?on=%t", path, on))
	}
}

// cmdAnnounce makes a target announce itself, or leave.
func cmdAnnounce(b *bench, _ *testscript.TestScript, args []string) error {
	on, err := switchArg(args, 1)
	if err != nil {
		return err
	}
	return b.post(args[0], fmt.Sprintf("/leave?on=%t", !on))
}

// switchArg returns the argument at an index, which is on if it is left out.
func switchArg(args []string, at int) (bool, error) {
	if len(args) <= at {
		return true, nil
	}
	switch args[at] {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, errors.New(`the switch must be "on" or "off"`)
}

// cmdCold makes targets cold without telling anybody.
func cmdCold(b *bench, _ *testscript.TestScript, args []string) error {
	for _, name := range args {
		if err := b.post(name, "/cold"); err != nil {
			return err
		}
	}
	return nil
}

// cmdSlow adds time to each request that a target runs.
func cmdSlow(b *bench, _ *testscript.TestScript, args []string) error {
	return b.post(args[0], "/slow?ms="+url.QueryEscape(args[1]))
}

// cmdLie sets what a target's health and load endpoints claim.
func cmdLie(b *bench, _ *testscript.TestScript, args []string) error {
	return b.post(args[0], "/lie?"+strings.Join(args[1:], "&"))
}

// cmdReconcile compares the ledgers of all callers and targets of the script.
func cmdReconcile(b *bench, ts *testscript.TestScript, args []string) error {
	line := []string{
		"reconcile", "--prefix", ts.Name(),
		"--caller", filepath.Join(b.work, callerLedgerDir, "*.json"),
		"--target", filepath.Join(b.work, targetLedgerDir, "*.jsonl"),
	}
	return ts.Exec(standinProgram, append(line, args...)...)
}
