package scenario

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// readyTimeout bounds the wait for a started process to open its admin
	// address.
	readyTimeout = 15 * time.Second
	// readyPollInterval is the interval between connection attempts.
	readyPollInterval = 20 * time.Millisecond
	// programTimeout bounds the run of a program that a command waits for.
	programTimeout = time.Minute
	// tailLines is the number of lines of each log shown after a failure.
	tailLines = 15
)

// process is a process started by a script.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	// done is closed when the process has ended; err is set before.
	done chan struct{}
	err  error
}

// launch starts a program in the script's environment and appends its output to
// a log file.
func (h *harness) launch(ts *testscript.TestScript, name, program string, args []string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if previous, ok := h.processes[name]; ok && !previous.hasEnded() {
		return fmt.Errorf("%s is still running", name)
	}
	path, err := lookPath(program, ts.Getenv("PATH"))
	if err != nil {
		return err
	}
	p := &process{name: name, done: make(chan struct{}), log: filepath.Join(h.work, logDir, name+".log")}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer out.Close()
	p.cmd = exec.Command(path, args...)
	p.cmd.Dir = ts.MkAbs(".")
	p.cmd.Env = scriptEnvironment(ts)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	h.processes[name] = p
	return nil
}

// inheritedVariables are the script variables passed to programs. testscript
// does not expose the list of a script's variables.
var inheritedVariables = []string{
	"PATH", "HOME", "TMPDIR", workEnv, "USER",
	"AMARANTH_CONFIG", "AMARANTH_CLUSTER", "AMARANTH_STORE", "AMARANTH_BALANCERS", "AMARANTH_AUTHOR",
}

// scriptEnvironment returns the inherited variables that are set.
func scriptEnvironment(ts *testscript.TestScript) []string {
	var out []string
	for _, name := range inheritedVariables {
		if value := ts.Getenv(name); value != "" {
			out = append(out, name+"="+value)
		}
	}
	return out
}

// lookPath finds an executable in the directories of a PATH value.
func lookPath(program, path string) (string, error) {
	if strings.ContainsRune(program, os.PathSeparator) {
		return program, nil
	}
	for _, dir := range filepath.SplitList(path) {
		candidate := filepath.Join(dir, program)
		if info, err := os.Stat(candidate); err == nil && !info.IsDir() && info.Mode()&0o111 != 0 {
			return candidate, nil
		}
	}
	return "", fmt.Errorf("program %q: %w", program, exec.ErrNotFound)
}

// runningProcess returns a process that has not ended.
func (h *harness) runningProcess(name string) (*process, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.processes[name]
	if !ok {
		return nil, fmt.Errorf("no process %q was started", name)
	}
	if p.hasEnded() {
		return nil, fmt.Errorf("%s has ended: %v", name, p.err)
	}
	return p, nil
}

// isCaller reports whether the process is a load of the caller stand-in.
func (p *process) isCaller() bool {
	return filepath.Base(p.cmd.Path) == standinProgram && len(p.cmd.Args) > 1 && p.cmd.Args[1] == callerCommand
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill sends SIGKILL and waits for the process to end.
func (p *process) kill() {
	if !p.hasEnded() {
		_ = p.cmd.Process.Kill() // the process may have ended meanwhile
	}
	<-p.done
}

// wait waits for the process to exit and returns an error for a nonzero status
// or after the timeout.
func (p *process) wait(timeout time.Duration) error {
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s: %w", p.name, p.err)
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s did not end within %v", p.name, timeout)
	}
}

// waitReady waits until the process accepts connections on its admin address.
func (p *process) waitReady(addr string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		conn, err := net.DialTimeout("tcp", addr, readyTimeout)
		if err == nil {
			conn.Close()
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s ended during startup: %w", p.name, errors.Join(p.err, err))
		case <-time.After(readyPollInterval):
		}
	}
	return fmt.Errorf("%s did not open %s within %v", p.name, addr, readyTimeout)
}

// logTails prints the last lines of every process's log.
func (h *harness) logTails(ts *testscript.TestScript) {
	paths, _ := filepath.Glob(filepath.Join(h.work, logDir, "*.log")) // the pattern is valid
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimRight(string(content), "\n"), "\n")
		lines = lines[max(0, len(lines)-tailLines):]
		ts.Logf("[log of %s]\n%s", strings.TrimSuffix(filepath.Base(path), ".log"), strings.Join(lines, "\n"))
	}
}

// signalProcess sends a signal to a running process.
func (h *harness) signalProcess(name string, s syscall.Signal) (*process, error) {
	p, err := h.runningProcess(name)
	if err != nil {
		return nil, err
	}
	return p, p.cmd.Process.Signal(s)
}

// adminFlag is the flag of the stand-ins for their admin address.
const adminFlag = "--admin"

// adminFlagValue returns the value of the admin flag in a command line, or "".
func adminFlagValue(args []string) string {
	if i := slices.Index(args, adminFlag); i >= 0 && i+1 < len(args) {
		return args[i+1]
	}
	return ""
}
