package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/relay"
)

// Ports, the same on all hosts: each host has an address of its own on loopback.
const (
	portSegments = 8172
	portReady    = 8167
	portAnnounce = 8166
	portOutbound = 8162
	portTarget   = 8165
	portPeer     = 7720
	portMetrics  = 9464
	portStore    = 8169
)

func udpAddr(ip string, port int) *net.UDPAddr { return &net.UDPAddr{IP: net.ParseIP(ip), Port: port} }

// host runs one daemon.
type host struct {
	name, ip, domain, role string
	// storeAddr is that of the host's way to the store.
	binary, dir, storeAddr string
	way                    *relay.Relay

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// expected is set while the run ends the process.
	expected bool
	// disturbed is when the process was last killed, paused or started.
	disturbed time.Time
	unplanned []string
}

// agentHost runs an agent beside a target.
type agentHost struct {
	host
	target *target
	// link is the way of datagrams to the agent.
	link *relay.DatagramRelay
	// clock is how far the host's clock is off.
	clock time.Duration
}

func (h *host) settings() string {
	text := fmt.Sprintf("node = %q\ndomain = %q\nsegments = \"%s:%d\"\npeer = \"%s:%d\"\nready = \"%s:%d\"\nmetrics = \"%s:%d\"\nstop_timeout = \"4s\"\n",
		h.name, h.domain, h.ip, portSegments, h.ip, portPeer, h.ip, portReady, h.ip, portMetrics)
	if h.role == "agent" {
		text += fmt.Sprintf("outbound = \"%s:%d\"\nannounce = \"%s:%d\"\ntarget = \"%s:%d\"\nservice = %q\nheartbeat_interval = %q\n",
			h.ip, portOutbound, h.ip, portAnnounce, h.ip, portTarget, serviceName, heartbeatInterval)
	}
	return text + fmt.Sprintf("\n[store]\naddress = %q\n", h.storeAddr)
}

// start starts the daemon's process. Its output goes to a log of the host.
func (h *host) start() error {
	path := filepath.Join(h.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.binary, "direct", h.role, "--config", path)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.command, h.exited, h.expected, h.disturbed = command, exited, false, time.Now()
	h.mu.Unlock()
	go func() {
		err := command.Wait()
		_ = out.Close()
		h.mu.Lock()
		if !h.expected {
			h.unplanned = append(h.unplanned, fmt.Sprintf("%s ended by itself: %v", h.name, err))
		}
		h.mu.Unlock()
		close(exited)
	}()
	return nil
}

// steadySince returns since when the process has run undisturbed, and whether it does.
func (h *host) steadySince() (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disturbed, !h.expected
}

// signal sends a signal to the process that this host started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = time.Now()
	_ = h.command.Process.Signal(s) // it may have ended already
}

// stop ends the process with the signal and waits for its end.
func (h *host) stop(s syscall.Signal, patience time.Duration) {
	h.mu.Lock()
	h.expected = true
	exited := h.exited
	h.mu.Unlock()
	h.signal(s)
	select {
	case <-exited:
	case <-time.After(patience):
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-exited
	}
}
