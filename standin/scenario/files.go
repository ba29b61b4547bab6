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

// Bounds of the ports that scripts get. They lie below the ports that Linux
// gives to sockets that ask for none.
const (
	firstPort = 20000
	endPort   = 32000
)

const loopback = "127.0.0.1"

// errNoPort reports that all ports are taken.
var errNoPort = errors.New("no free port")

// ports remembers the ports that were given out by this process.
var ports = struct {
	sync.Mutex
	given map[int]bool
}{given: make(map[int]bool)}

// fileCommands returns the commands that prepare a script's files.
func fileCommands() map[string]command {
	return map[string]command{
		"ports":  {"VARIABLE...", 1, cmdPorts},
		"expand": {"FILE...", 1, cmdExpand},
	}
}

// cmdPorts sets variables to free ports.
func cmdPorts(_ *bench, ts *testscript.TestScript, args []string) error {
	for _, name := range args {
		port, err := freePort()
		if err != nil {
			return err
		}
		ts.Setenv(name, strconv.Itoa(port))
	}
	return nil
}

// freePort returns a port that is free for TCP and UDP on all addresses, and
// that was not given out before.
func freePort() (int, error) {
	ports.Lock()
	defer ports.Unlock()
	for range endPort - firstPort {
		port := firstPort + rand.IntN(endPort-firstPort)
		if ports.given[port] || !portIsFree(port) {
			continue
		}
		ports.given[port] = true
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

// cmdExpand replaces ${VARIABLE} in files by the script's variables.
func cmdExpand(_ *bench, ts *testscript.TestScript, args []string) error {
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
