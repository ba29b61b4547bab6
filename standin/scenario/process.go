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
	// readyLimit bounds the wait for a started process to open its admin
	// address.
	readyLimit = 15 * time.Second
	// readyPoll is how often the address is tried.
	readyPoll = 20 * time.Millisecond
	// programLimit bounds a program that a command waits for.
	programLimit = time.Minute
	// tailLines is how much of each log is shown after a failure.
	tailLines = 15
)

// process is one process that a script started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	// done is closed when the process has ended; err is set before.
	done chan struct{}
	err  error
}

// launch starts a program in the script's environment, with its output in a
// log file.
func (b *bench) launch(ts *testscript.TestScript, name, program string, args []string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.processes[name]; ok && !old.ended() {
		return fmt.Errorf("%s is still running", name)
	}
	path, err := lookPath(program, ts.Getenv("PATH"))
	if err != nil {
		return err
	}
	p := &process{name: name, done: make(chan struct{}), log: filepath.Join(b.work, logDir, name+".log")}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer out.Close()
	p.cmd = exec.Command(path, args...)
	p.cmd.Dir = ts.MkAbs(".")
	p.cmd.Env = environment(ts)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	b.processes[name] = p
	return nil
}

// inherited lists the variables that programs get from the script. The script
// engine shows no list of its variables.
var inherited = []string{
	"PATH", "HOME", "TMPDIR", workEnv, "USER",
	"AMARANTH_CONFIG", "AMARANTH_CLUSTER", "AMARANTH_STORE", "AMARANTH_BALANCERS", "AMARANTH_AUTHOR",
}

func environment(ts *testscript.TestScript) []string {
	var out []string
	for _, name := range inherited {
		if value := ts.Getenv(name); value != "" {
			out = append(out, name+"="+value)
		}
	}
	return out
}

// lookPath finds a program in a list of directories.
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

// running returns a process that has not ended.
func (b *bench) running(name string) (*process, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.processes[name]
	if !ok {
		return nil, fmt.Errorf("no process %q was started", name)
	}
	if p.ended() {
		return nil, fmt.Errorf("%s has ended: %v", name, p.err)
	}
	return p, nil
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if !p.ended() {
		_ = p.cmd.Process.Kill() // it may have ended meanwhile
	}
	<-p.done
}

// wait waits for the process to end by itself and returns how it ended.
func (p *process) wait(limit time.Duration) error {
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s: %w", p.name, p.err)
		}
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s did not end within %v", p.name, limit)
	}
}

// ready waits until the process accepts connections on its admin address.
func (p *process) ready(addr string) error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		conn, err := net.DialTimeout("tcp", addr, readyLimit)
		if err == nil {
			conn.Close()
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s ended at its start: %w", p.name, errors.Join(p.err, err))
		case <-time.After(readyPoll):
		}
	}
	return fmt.Errorf("%s did not open %s within %v", p.name, addr, readyLimit)
}

// logTails shows the end of every process's log.
func (b *bench) logTails(ts *testscript.TestScript) {
	paths, _ := filepath.Glob(filepath.Join(b.work, logDir, "*.log")) // the pattern is valid
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
		lines = lines[max(0, len(lines)-tailLines):]
		ts.Logf("[log of %s]\n%s", strings.TrimSuffix(filepath.Base(path), ".log"), strings.Join(lines, "\n"))
	}
}

// signal sends a signal to a running process.
func (b *bench) signal(name string, s syscall.Signal) (*process, error) {
	p, err := b.running(name)
	if err != nil {
		return nil, err
	}
	return p, p.cmd.Process.Signal(s)
}

// adminFlag is the flag by which stand-ins are told their admin address.
const adminFlag = "--admin"

// adminOf returns the address in a command line's admin flag, or "".
func adminOf(args []string) string {
	if at := slices.Index(args, adminFlag); at >= 0 && at+1 < len(args) {
		return args[at+1]
	}
	return ""
}
