package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Figures of the users' pages for a small deployment (sites/otia-masts.toml).
const (
	contact     = 4 * time.Second        // contact_ms
	maxFlowAge  = 60 * time.Second       // max_flow_s
	idleTimeout = 15 * time.Second       // idle_timeout_ms of the configuration
	restart     = 500 * time.Millisecond // a process that ended is started again after this
)

// ports are the same on all machines.
type ports struct{ segments, peer, ready, control, outbound, app, store, metrics int }

// host is a machine with one process of the system, and with an endpoint if it is of
// class side.
type host struct {
	name, zone, ip, role, service string

	mu sync.Mutex
	// disturbedAt is when the machine was last disturbed: its process stopped, killed or
	// started, or its endpoint crashed.
	disturbedAt time.Time
	process     *exec.Cmd
	ended       chan struct{}
	stopping    bool
	log         *os.File
	server      *server
}

func (h *host) disturb() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbedAt = time.Now()
}

// rig is one run.
type rig struct {
	trouble bool
	folder  string
	net     int
	ports   ports
	start   time.Time

	store   *store
	router  *router
	clients *clients

	mu   sync.Mutex
	out  *bufio.Writer
	file *os.File
	// broken lists the breaks of the claimed rule, other what else went wrong.
	broken, other []string
	runs          map[string]int
	balancers     []*host
	agents        []*host
	// coreAt is when the store was last disturbed.
	coreAt time.Time

	processMu sync.Mutex
	// closing is set once no more processes may start; processes are all that were started.
	closing   bool
	processes []startedProcess
}

// startedProcess is a process that the rig started.
type startedProcess struct {
	host  *host
	cmd   *exec.Cmd
	ended chan struct{}
}

// claimedRule is the rule of all cases.
const claimedRule = "FLOW"

func newRig(recordPath string, trouble bool) (*rig, error) {
	r := &rig{trouble: trouble, start: time.Now(), runs: map[string]int{}}
	var err error
	if r.file, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	r.out = bufio.NewWriter(r.file)
	if r.folder, err = os.MkdirTemp("", "review-rig-"); err != nil {
		return nil, err
	}
	for range 50 {
		r.net = 10 + rand.IntN(200)
		base := 20000 + rand.IntN(300)*40
		r.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}
		if r.free() {
			break
		}
	}
	r.store = newStore(r.record)
	if err := r.store.serve(r.storeAddress()); err != nil {
		return nil, err
	}
	if err := r.startRouter(); err != nil {
		return nil, err
	}
	r.record("addresses 127.%d.0.0/16, ports from %d, trouble %v", r.net, r.ports.segments, trouble)
	return r, r.startClients()
}

// free reports whether the ports of the first machines are free.
func (r *rig) free() bool {
	for _, ip := range []string{r.ip(1, 1), r.ip(2, 1), r.ip(3, 1), r.ip(4, 1)} {
		for p := r.ports.segments; p <= r.ports.metrics; p++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
			c, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = c.Close()
		}
	}
	return true
}

func (r *rig) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.net, group, number)
}

func (r *rig) storeAddress() string { return fmt.Sprintf("%s:%d", r.ip(3, 1), r.ports.store) }

// record writes a line with the time since the start.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLocked(format, args...)
}

func (r *rig) recordLocked(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// violate records a broken rule. Only the claimed one decides the result.
func (r *rig) violate(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := rule + ": " + fmt.Sprintf(format, args...)
	if rule != claimedRule {
		r.other = append(r.other, text)
		r.recordLocked("OTHER %s", text)
		return
	}
	r.broken = append(r.broken, text)
	r.recordLocked("BROKEN %s", text)
}

// ran counts the runs of a request.
func (r *rig) ran(request, server string) {
	r.mu.Lock()
	r.runs[request]++
	n := r.runs[request]
	r.mu.Unlock()
	if n > 1 {
		r.violate("REQUESTS", "%q was run %d times, last by %s", request, n, server)
	}
}

// touchCore notes that the store is or was disturbed now.
func (r *rig) touchCore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coreAt = time.Now()
}

func (r *rig) balancerList() []*host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.balancers)
}

func (r *rig) hostList() []*host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(slices.Clone(r.balancers), r.agents...)
}

// addHost adds a machine. Its process is started by startProcess.
func (r *rig) addHost(name, zone, ip, role, service string) *host {
	h := &host{name: name, zone: zone, ip: ip, role: role, service: service}
	r.mu.Lock()
	defer r.mu.Unlock()
	if role == "balancer" {
		r.balancers = append(r.balancers, h)
	} else {
		r.agents = append(r.agents, h)
	}
	return h
}

// removeHost takes a machine away.
func (r *rig) removeHost(h *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancers = slices.DeleteFunc(r.balancers, func(x *host) bool { return x == h })
	r.agents = slices.DeleteFunc(r.agents, func(x *host) bool { return x == h })
}

// settings renders what the templates of platform/ give.
func (r *rig) settings(h *host) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "node = %q\ndomain = %q\n", h.name, h.zone)
	fmt.Fprintf(&b, "segments = \"%s:%d\"\npeer = \"%s:%d\"\n", h.ip, r.ports.segments, h.ip, r.ports.peer)
	fmt.Fprintf(&b, "ready = \"%s:%d\"\nmetrics = \"%s:%d\"\nstop_timeout = \"6s\"\n", h.ip, r.ports.ready, h.ip, r.ports.metrics)
	if h.role == "balancer" {
		fmt.Fprintf(&b, "apply_timeout = \"3000ms\"\n")
	} else {
		fmt.Fprintf(&b, "outbound = \"%s:%d\"\nannounce = \"%s:%d\"\ntarget = \"%s:%d\"\n", h.ip, r.ports.outbound, h.ip, r.ports.control, h.ip, r.ports.app)
		fmt.Fprintf(&b, "service = %q\nheartbeat_interval = \"770ms\"\n", h.service)
	}
	fmt.Fprintf(&b, "\n[store]\naddress = %q\n", r.storeAddress())
	return b.String()
}

var errClosing = errors.New("the rig is closing")

// startProcess starts the system's process of a machine with the deploy file's command.
func (r *rig) startProcess(h *host) error {
	path := filepath.Join(r.folder, h.name+".toml")
	if err := os.WriteFile(path, []byte(r.settings(h)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/amaranthwheel", "direct", h.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AMARANTHWHEEL_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	r.processMu.Lock()
	defer r.processMu.Unlock()
	if r.closing {
		return errClosing
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.processes = append(r.processes, startedProcess{h, cmd, ended})
	h.mu.Lock()
	h.process, h.ended, h.stopping, h.log = cmd, ended, false, log
	h.disturbedAt = time.Now()
	h.mu.Unlock()
	r.record("process of %s starts, pid %d", h.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		stopping := h.stopping
		h.mu.Unlock()
		r.record("process of %s has ended: %v", h.name, err)
		if !stopping {
			r.violate("FAULT", "the process of %s ended by itself: %v", h.name, err)
		}
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to a machine's process.
func (r *rig) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		h.stopping = true
	}
	process := h.process
	h.disturbedAt = time.Now()
	h.mu.Unlock()
	r.record("%v to the process of %s", s, h.name)
	_ = process.Process.Signal(s)
}

// end sends a signal and waits for the process; after 6 s, grace_s, it is killed.
func (r *rig) end(h *host, s syscall.Signal) {
	r.signal(h, s)
	select {
	case <-h.ended:
	case <-time.After(6 * time.Second):
		r.signal(h, syscall.SIGKILL)
		<-h.ended
	}
	h.disturb()
}

// endAndRestart ends a process and starts it again.
func (r *rig) endAndRestart(h *host, s syscall.Signal) error {
	r.end(h, s)
	time.Sleep(restart)
	return r.startProcess(h)
}

// close ends all processes that the rig started.
func (r *rig) close() {
	r.processMu.Lock()
	r.closing = true
	processes := slices.Clone(r.processes)
	r.processMu.Unlock()
	for _, p := range processes {
		p.host.mu.Lock()
		p.host.stopping = true
		p.host.mu.Unlock()
		_ = p.cmd.Process.Kill() // fails only if it has ended
	}
	for _, p := range processes {
		<-p.ended
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	logs, _ := filepath.Glob(filepath.Join(r.folder, "*.log"))
	for _, path := range logs {
		raw, _ := os.ReadFile(path)
		fmt.Fprintf(r.out, "\n--- log of %s\n%s", filepath.Base(path), raw)
	}
	_ = r.out.Flush()
	_ = r.file.Close()
	_ = os.RemoveAll(r.folder)
}

// hostAt returns the machine with an address.
func (r *rig) hostAt(ip string) *host {
	for _, h := range r.hostList() {
		if h.ip == ip {
			return h
		}
	}
	return nil
}

// inTouch reports whether a machine has not been disturbed for contact_ms, nor the core.
func (r *rig) inTouch(h *host) bool {
	r.mu.Lock()
	core := r.coreAt
	r.mu.Unlock()
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.disturbedAt) >= contact && time.Since(core) >= contact
}

// checkReset judges a reset that a client got, by the rule FLOW (a) with its excuses.
func (r *rig) checkReset(f *clientFlow, from string, system bool) {
	sender := r.hostAt(from)
	name := from
	if sender != nil {
		name = sender.name
	}
	for _, h := range r.hostList() {
		if h.server == nil {
			continue
		}
		held, ok := h.server.holds(f.local)
		if !ok {
			continue
		}
		age, idle := time.Since(held.openedAt), time.Since(held.lastUsed)
		counts := system && age <= maxFlowAge && idle <= idleTimeout && r.inTouch(h) && r.inTouch(f.lastBalancer) && r.inTouch(sender)
		r.record("client %s gets a reset from %s, while %s on %s lives and holds the flow, open for %v, idle for %v; counts: %v",
			f.local, name, h.server.id, h.name, age.Round(time.Millisecond), idle.Round(time.Millisecond), counts)
		if counts {
			r.violate("FLOW", "client %s got a reset from %s that %s, its flow's endpoint, did not send", f.local, name, h.server.id)
		}
		return
	}
	r.record("client %s gets a reset from %s, no endpoint holds the flow", f.local, name)
}

// holder returns the machine whose server holds a flow.
func (r *rig) holder(f *clientFlow) *host {
	for _, h := range r.hostList() {
		if h.server != nil {
			if _, ok := h.server.holds(f.local); ok {
				return h
			}
		}
	}
	return nil
}

// at waits until a time after the given moment.
func at(from time.Time, after time.Duration) { time.Sleep(time.Until(from.Add(after))) }
