package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	portPackets  = 8172
	portReady    = 8167
	portControl  = 8166
	portOutbound = 8162
	portApp      = 8165
	portPeer     = 7720
	portStore    = 8169
	portMetrics  = 9464
)

// grace is grace_s.
const grace = 6 * time.Second

// Node is a machine of the system with its process.
type Node struct {
	Role, Name, Zone, IP, Service, Store string
	// ApplyMs is config_apply_ms, 3000 if zero.
	ApplyMs int
	dir     string
	record  *Record
	cmd     *exec.Cmd
	exited  chan struct{}
}

// settings returns the settings file, as the platform renders it from the template of the role.
func (n *Node) settings() string {
	s := fmt.Sprintf("node = %q\ndomain = %q\nsegments = \"%s:%d\"\npeer = \"%s:%d\"\nready = \"%s:%d\"\nmetrics = \"%s:%d\"\nstop_timeout = \"6s\"\n",
		n.Name, n.Zone, n.IP, portPackets, n.IP, portPeer, n.IP, portReady, n.IP, portMetrics)
	if n.Role == "balancer" {
		apply := n.ApplyMs
		if apply == 0 {
			apply = 3000
		}
		s += fmt.Sprintf("apply_timeout = \"%dms\"\n", apply)
	} else {
		s += fmt.Sprintf("outbound = \"%s:%d\"\nannounce = \"%s:%d\"\ntarget = \"%s:%d\"\nservice = %q\nheartbeat_interval = \"770ms\"\n",
			n.IP, portOutbound, n.IP, portControl, n.IP, portApp, n.Service)
	}
	return s + fmt.Sprintf("\n[store]\naddress = %q\n", n.Store)
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() error {
	file := filepath.Join(n.dir, n.Name+".toml")
	if err := os.WriteFile(file, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	n.cmd = exec.Command("target/amaranthwheel", "direct", n.Role)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AMARANTHWHEEL_NODE_FILE=" + file}
	n.cmd.Stdout, n.cmd.Stderr = logs, logs
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.record.Note("%s starts, process %d", n.Name, n.cmd.Process.Pid)
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() {
		_ = cmd.Wait()
		n.record.Note("process %d of %s has ended: %s", cmd.Process.Pid, n.Name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.record.Note("%s gets %v", n.Name, s)
	_ = n.cmd.Process.Signal(s)
}

// Stop sends SIGTERM, and SIGKILL after the grace period, and waits for the end.
func (n *Node) Stop() {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(grace):
		n.Kill()
	}
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if n.cmd == nil {
		return
	}
	select {
	case <-n.exited:
		return
	default:
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// Ready reports whether the router would send packets to the node.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", n.IP, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
