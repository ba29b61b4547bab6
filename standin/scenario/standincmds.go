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

// callerCommand is the subcommand of standinProgram that puts load on a service.
const callerCommand = "caller"

// standinCommands returns the commands that control targets and callers.
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
func cmdTarget(h *harness, ts *testscript.TestScript, args []string) error {
	ledger := filepath.Join(h.work, targetLedgerDir, args[0]+".jsonl")
	return h.startStandin(ts, "target", args, ledger)
}

// cmdLoad starts a caller stand-in with a ledger and an admin address.
func cmdLoad(h *harness, ts *testscript.TestScript, args []string) error {
	ledger := filepath.Join(h.work, callerLedgerDir, args[0]+".json")
	return h.startStandin(ts, callerCommand, args, ledger)
}

// startStandin starts a stand-in with a ledger, and with an admin address if the
// arguments have none.
func (h *harness) startStandin(ts *testscript.TestScript, kind string, args []string, ledger string) error {
	command := []string{kind, "--name", args[0], "--ledger", ledger}
	if adminFlagValue(args) == "" {
		port, err := allocatePort()
		if err != nil {
			return err
		}
		command = append(command, adminFlag, fmt.Sprintf("%s:%d", loopback, port))
	}
	return h.startProcess(ts, args[0], standinProgram, append(command, args[1:]...))
}

// cmdFinish stops a load early and waits until its process exits.
func cmdFinish(h *harness, ts *testscript.TestScript, args []string) error {
	if err := h.post(args[0], "/stop"); err != nil {
		return err
	}
	return cmdAwait(h, ts, args)
}

// cmdBalancers replaces the balancer addresses of a caller's fabric.
func cmdBalancers(h *harness, _ *testscript.TestScript, args []string) error {
	_, err := h.sendRequest(http.MethodPut, args[0], "/balancers", strings.Join(args[1:], "\n"))
	return err
}

// cmdAllow permits a caller's flows to move away from targets.
func cmdAllow(h *harness, _ *testscript.TestScript, args []string) error {
	for _, target := range args[1:] {
		if err := h.post(args[0], "/allow?target="+url.QueryEscape(target)); err != nil {
			return err
		}
	}
	return nil
}

// switchCommand returns a command that turns a switch of a stand-in on or off.
func switchCommand(path string) func(*harness, *testscript.TestScript, []string) error {
	return func(h *harness, _ *testscript.TestScript, args []string) error {
		on, err := switchArg(args, 1)
		if err != nil {
			return err
		}
		return h.post(args[0], fmt.Sprintf("%s?on=%t", path, on))
	}
}

// cmdAnnounce makes a target announce itself or withdraw its announcement.
func cmdAnnounce(h *harness, _ *testscript.TestScript, args []string) error {
	on, err := switchArg(args, 1)
	if err != nil {
		return err
	}
	return h.post(args[0], fmt.Sprintf("/leave?on=%t", !on))
}

// switchArg parses the argument at an index as on or off. The default is on.
func switchArg(args []string, index int) (bool, error) {
	if len(args) <= index {
		return true, nil
	}
	switch args[index] {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, errors.New(`the switch must be "on" or "off"`)
}

// cmdCold makes targets cold without announcing it.
func cmdCold(h *harness, _ *testscript.TestScript, args []string) error {
	for _, name := range args {
		if err := h.post(name, "/cold"); err != nil {
			return err
		}
	}
	return nil
}

// cmdSlow adds latency to each request that a target runs.
func cmdSlow(h *harness, _ *testscript.TestScript, args []string) error {
	return h.post(args[0], "/slow?ms="+url.QueryEscape(args[1]))
}

// cmdLie sets false values for a target's health and load endpoints.
func cmdLie(h *harness, _ *testscript.TestScript, args []string) error {
	return h.post(args[0], "/lie?"+strings.Join(args[1:], "&"))
}

// cmdReconcile compares the ledgers of all callers and targets of the script.
func cmdReconcile(h *harness, ts *testscript.TestScript, args []string) error {
	command := []string{
		"reconcile", "--prefix", ts.Name(),
		"--caller", filepath.Join(h.work, callerLedgerDir, "*.json"),
		"--target", filepath.Join(h.work, targetLedgerDir, "*.jsonl"),
	}
	return ts.Exec(standinProgram, append(command, args...)...)
}
