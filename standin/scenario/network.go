package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports that every host of a deployment uses. Each host has a loopback address
// of its own.
const (
	storePort      = 2379
	storeAdminPort = 2380
	dataPort       = 7000
	controlPort    = 7001
	adminPort      = 7002
	announcePort   = 7003
	targetPort     = 7004
	targetAdmin    = 7005
)

// Last bytes of the addresses of a deployment's hosts.
const (
	storeHost     = 1
	balancerHosts = 10
	agentHosts    = 100
	serviceHost   = 250
)

// Bounds of the second byte of a deployment's network.
const (
	firstNetwork = 64
	endNetwork   = 250
)

// errNoNetwork reports that no loopback network is free.
var errNoNetwork = errors.New("no free loopback network")

// network is 254 loopback addresses that no other script uses.
type network struct{ second, third int }

// networks remembers the networks that were given out by this process.
var networks = struct {
	sync.Mutex
	given map[network]bool
}{given: make(map[network]bool)}

// freeNetwork returns a network that was not given out before, and on whose
// store address nobody listens.
func freeNetwork() (network, error) {
	networks.Lock()
	defer networks.Unlock()
	for range 1000 {
		n := network{firstNetwork + rand.IntN(endNetwork-firstNetwork), rand.IntN(256)}
		if networks.given[n] || !n.free() {
			continue
		}
		networks.given[n] = true
		return n, nil
	}
	return network{}, errNoNetwork
}

func (n network) free() bool {
	listener, err := net.Listen("tcp4", n.at(storeHost, storePort))
	if err != nil {
		return false
	}
	listener.Close()
	return true
}

// host returns the address of a host.
func (n network) host(last int) string { return fmt.Sprintf("127.%d.%d.%d", n.second, n.third, last) }

// at returns the address of a host's port.
func (n network) at(last, port int) string { return fmt.Sprintf("%s:%d", n.host(last), port) }
