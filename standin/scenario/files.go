package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// Range of the ports allocated to scripts. It lies below the ephemeral port
// range of Linux.
const (
	firstPort = 20000
	endPort   = 32000
)

const loopback = "127.0.0.1"

// errNoPort is returned if no free port was found.
var errNoPort = errors.New("no free port")

// ports records the ports that this process has allocated.
var ports = struct {
	sync.Mutex
	allocated map[int]bool
}{allocated: make(map[int]bool)}

// fileCommands returns the commands that prepare a script's files.
func fileCommands() map[string]command {
	return map[string]command{
		"ports":  {"VARIABLE...", 1, cmdPorts},
		"expand": {"FILE...", 1, cmdExpand},
	}
}

// cmdPorts sets variables to free ports.
func cmdPorts(_ *harness, ts *testscript.TestScript, args []string) error {
	for _, name := range args {
		port, err := allocatePort()
		if err != nil {
			return err
		}
		ts.Setenv(name, strconv.Itoa(port))
	}
	return nil
}

// allocatePort returns a port that is free for TCP and UDP on all addresses and
// was not allocated before.
func allocatePort() (int, error) {
	ports.Lock()
	defer ports.Unlock()
	for range endPort - firstPort {
		port := firstPort + rand.IntN(endPort-firstPort)
		if ports.allocated[port] || !portIsFree(port) {
			continue
		}
		ports.allocated[port] = true
		return port, nil
	}
	return 0, errNoPort
}

func portIsFree(port int) bool {
	addr := ":" + strconv.Itoa(port)
	tcp, err := net.Listen("tcp4", addr)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return false
	}
	udp.Close()
	return true
}

// cmdExpand replaces ${VARIABLE} in files with the value of the script variable.
func cmdExpand(_ *harness, ts *testscript.TestScript, args []string) error {
	for _, name := range args {
		path := ts.MkAbs(name)
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var missing error
		expanded := os.Expand(string(content), func(variable string) string {
			value := ts.Getenv(variable)
			if value == "" {
				missing = errors.Join(missing, fmt.Errorf("%s: variable %s is not set", name, variable))
			}
			return value
		})
		if missing != nil {
			return missing
		}
		if err := os.WriteFile(path, []byte(expanded), 0o644); err != nil {
			return err
		}
	}
	return nil
}
