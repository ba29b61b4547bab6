package scenario

import (
	"fmt"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// defaultStopTimeout bounds a planned stop if the script gives no limit.
const defaultStopTimeout = 35 * time.Second

// processCommands returns the commands that start and end processes.
func processCommands() map[string]command {
	return map[string]command{
		"start":     {"NAME PROGRAM ARGS...", 2, cmdStart},
		"admin":     {"NAME IP:PORT", 2, cmdAdmin},
		"crash":     {"NAME...", 1, cmdCrash},
		"pause":     {"NAME...", 1, signalAll(syscall.SIGSTOP)},
		"resume":    {"NAME...", 1, signalAll(syscall.SIGCONT)},
		"stopping":  {"NAME...", 1, signalAll(syscall.SIGTERM)},
		"terminate": {"NAME [LIMIT]", 1, cmdTerminate},
		"await":     {"NAME [LIMIT]", 1, cmdAwait},
	}
}

// cmdStart starts a process and, if it has an admin flag, waits until that
// address accepts connections.
func cmdStart(h *harness, ts *testscript.TestScript, args []string) error {
	return h.startProcess(ts, args[0], args[1], args[2:])
}

// startProcess launches a process and waits for the admin address in its
// arguments, if any.
func (h *harness) startProcess(ts *testscript.TestScript, name, program string, args []string) error {
	if err := h.launch(ts, name, program, args); err != nil {
		return err
	}
	admin := adminFlagValue(args)
	if admin == "" {
		return nil
	}
	h.setAdmin(name, admin)
	p, err := h.runningProcess(name)
	if err != nil {
		return err
	}
	return p.waitReady(admin)
}

// cmdAdmin sets the admin address of a process that has no admin flag.
func cmdAdmin(h *harness, _ *testscript.TestScript, args []string) error {
	h.setAdmin(args[0], args[1])
	return nil
}

func (h *harness) setAdmin(name, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.admins[name] = addr
}

// adminURL returns the URL of a path on the admin address of a process.
func (h *harness) adminURL(name, path string) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	addr, ok := h.admins[name]
	if !ok {
		return "", fmt.Errorf("no admin address of %q is known", name)
	}
	return "http://" + addr + path, nil
}

// cmdCrash kills processes with SIGKILL.
func cmdCrash(h *harness, _ *testscript.TestScript, args []string) error {
	for _, name := range args {
		p, err := h.runningProcess(name)
		if err != nil {
			return err
		}
		p.kill()
	}
	return nil
}

// signalAll returns a command that sends a signal to processes.
func signalAll(s syscall.Signal) func(*harness, *testscript.TestScript, []string) error {
	return func(h *harness, _ *testscript.TestScript, args []string) error {
		for _, name := range args {
			if _, err := h.signalProcess(name, s); err != nil {
				return err
			}
		}
		return nil
	}
}

// cmdTerminate sends SIGTERM to a process and waits until it exits.
func cmdTerminate(h *harness, _ *testscript.TestScript, args []string) error {
	limit, err := durationArg(args, 1, defaultStopTimeout)
	if err != nil {
		return err
	}
	p, err := h.signalProcess(args[0], syscall.SIGTERM)
	if err != nil {
		return err
	}
	return p.wait(limit)
}

// cmdAwait waits for a process to exit.
func cmdAwait(h *harness, _ *testscript.TestScript, args []string) error {
	limit, err := durationArg(args, 1, defaultStopTimeout)
	if err != nil {
		return err
	}
	h.mu.Lock()
	p, ok := h.processes[args[0]]
	h.mu.Unlock()
	if !ok {
		return fmt.Errorf("no process %q was started", args[0])
	}
	return p.wait(limit)
}

// durationArg parses the argument at an index as a duration. It returns fallback
// if the argument is absent.
func durationArg(args []string, index int, fallback time.Duration) (time.Duration, error) {
	if len(args) <= index {
		return fallback, nil
	}
	limit, err := time.ParseDuration(args[index])
	if err != nil {
		return 0, fmt.Errorf("limit: %w", err)
	}
	return limit, nil
}
