package scenario

import (
	"fmt"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// stopLimit is how long a planned stop may take if a script names no limit.
const stopLimit = 35 * time.Second

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

// cmdStart starts a process. One with an admin flag must open that address.
func cmdStart(b *bench, ts *testscript.TestScript, args []string) error {
	return b.startReady(ts, args[0], args[1], args[2:])
}

func (b *bench) startReady(ts *testscript.TestScript, name, program string, args []string) error {
	if err := b.launch(ts, name, program, args); err != nil {
		return err
	}
	admin := adminOf(args)
	if admin == "" {
		return nil
	}
	b.setAdmin(name, admin)
	p, err := b.running(name)
	if err != nil {
		return err
	}
	return p.ready(admin)
}

// cmdAdmin tells the admin address of a process that has no admin flag.
func cmdAdmin(b *bench, _ *testscript.TestScript, args []string) error {
	b.setAdmin(args[0], args[1])
	return nil
}

func (b *bench) setAdmin(name, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admins[name] = addr
}

// adminURL returns the URL of a path on the admin address of a name.
func (b *bench) adminURL(name, path string) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addr, ok := b.admins[name]
	if !ok {
		return "", fmt.Errorf("no admin address of %q is known", name)
	}
	return "http://" + addr + path, nil
}

// cmdCrash kills processes without a chance to clean up.
func cmdCrash(b *bench, _ *testscript.TestScript, args []string) error {
	for _, name := range args {
		p, err := b.running(name)
		if err != nil {
			return err
		}
		p.kill()
	}
	return nil
}

// signalAll returns a command that sends a signal to processes.
func signalAll(s syscall.Signal) func(*bench, *testscript.TestScript, []string) error {
	return func(b *bench, _ *testscript.TestScript, args []string) error {
		for _, name := range args {
			if _, err := b.signal(name, s); err != nil {
				return err
			}
		}
		return nil
	}
}

// cmdTerminate asks a process for a planned stop and waits for it.
func cmdTerminate(b *bench, _ *testscript.TestScript, args []string) error {
	limit, err := limitArg(args, 1, stopLimit)
	if err != nil {
		return err
	}
	p, err := b.signal(args[0], syscall.SIGTERM)
	if err != nil {
		return err
	}
	return p.wait(limit)
}

// cmdAwait waits for a process to end by itself.
func cmdAwait(b *bench, _ *testscript.TestScript, args []string) error {
	limit, err := limitArg(args, 1, stopLimit)
	if err != nil {
		return err
	}
	b.mu.Lock()
	p, ok := b.processes[args[0]]
	b.mu.Unlock()
	if !ok {
		return fmt.Errorf("no process %q was started", args[0])
	}
	return p.wait(limit)
}

// limitArg returns the duration at an index of the arguments, or a default.
func limitArg(args []string, at int, otherwise time.Duration) (time.Duration, error) {
	if len(args) <= at {
		return otherwise, nil
	}
	limit, err := time.ParseDuration(args[at])
	if err != nil {
		return 0, fmt.Errorf("limit: %w", err)
	}
	return limit, nil
}
