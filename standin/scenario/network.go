package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports used on every host of a deployment. Each host has its own loopback
// address.
const (
	storePort       = 2379
	storeAdminPort  = 2380
	dataPort        = 7000
	controlPort     = 7001
	adminPort       = 7002
	announcePort    = 7003
	targetPort      = 7004
	targetAdminPort = 7005
)

// Last bytes of the addresses of a deployment's hosts.
const (
	storeHost     = 1
	balancerHosts = 10
	agentHosts    = 100
	serviceHost   = 250
)

// Range of the second byte of a deployment's network.
const (
	firstNetwork = 64
	endNetwork   = 250
)

// errNoNetwork is returned if no free loopback network was found.
var errNoNetwork = errors.New("no free loopback network")

// network is a /24 of loopback addresses that no other script uses.
type network struct{ second, third int }

// networks records the networks that this process has allocated.
var networks = struct {
	sync.Mutex
	allocated map[network]bool
}{allocated: make(map[network]bool)}

// allocateNetwork returns a network that was not allocated before and whose
// store address has no listener.
func allocateNetwork() (network, error) {
	networks.Lock()
	defer networks.Unlock()
	for range 1000 {
		n := network{firstNetwork + rand.IntN(endNetwork-firstNetwork), rand.IntN(256)}
		if networks.allocated[n] || !n.isFree() {
			continue
		}
		networks.allocated[n] = true
		return n, nil
	}
	return network{}, errNoNetwork
}

func (n network) isFree() bool {
	listener, err := net.Listen("tcp4", n.hostPort(storeHost, storePort))
	if err != nil {
		return false
	}
	listener.Close()
	return true
}

// hostAddr returns the address of a host.
func (n network) hostAddr(hostByte int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.second, n.third, hostByte)
}

// hostPort returns the address of a host with a port.
func (n network) hostPort(hostByte, port int) string {
	return fmt.Sprintf("%s:%d", n.hostAddr(hostByte), port)
}
