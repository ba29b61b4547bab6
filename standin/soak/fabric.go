package soak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/platform"
	"amaranthwheel.example/amaranthwheel/standin/relay"
)

const (
	probeInterval = 200 * time.Millisecond
	probeMisses   = 2
)

// fabric is a stand-in for the platform's routers: it hashes flows over the
// balancers that are in rotation.
type fabric struct {
	hosts []*host
	conn  *net.UDPConn

	mu     sync.Mutex
	misses map[*host]int
	loss   relay.DatagramFault
	// dropped is an address to which nothing is sent.
	dropped steering.Endpoint
}

func newFabric(hosts []*host) (*fabric, error) {
	conn, err := net.ListenUDP("udp4", udpAddr("127.0.0.1", 0))
	if err != nil {
		return nil, err
	}
	f := &fabric{hosts: hosts, conn: conn, misses: make(map[*host]int)}
	for _, h := range hosts {
		f.misses[h] = probeMisses
	}
	return f, nil
}

// probe asks the balancers whether they are ready until the run stops.
func (f *fabric) probe(stopping func() bool) {
	client := &http.Client{Timeout: probeInterval}
	for !stopping() {
		for _, h := range f.hosts {
			response, err := client.Get(fmt.Sprintf("http://%s:%d%s", h.ip, portReady, platform.ReadyPath))
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			f.mu.Lock()
			f.misses[h]++
			if ready {
				f.misses[h] = 0
			}
			f.mu.Unlock()
		}
		time.Sleep(probeInterval)
	}
}

// send sends a packet to the balancer that the flow's hash selects now.
func (f *fabric) send(flow steering.Flow, raw []byte) {
	f.mu.Lock()
	loss := f.loss
	if f.dropped == flow.Address {
		loss.CutTo = true
	}
	var in []*host
	for _, h := range f.hosts {
		if f.misses[h] < probeMisses {
			in = append(in, h)
		}
	}
	f.mu.Unlock()
	if len(in) == 0 {
		in = f.hosts
	}
	h := in[flow.Hash()%uint64(len(in))]
	if !loss.CutTo {
		loss.Deliver(func() { _, _ = f.conn.WriteToUDP(raw, udpAddr(h.ip, portSegments)) }) // as lost on the way
	}
}

// drop loses everything that callers send to an address from now on.
func (f *fabric) drop(to steering.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropped = to
}

// set lets things go wrong with what callers send.
func (f *fabric) set(l relay.DatagramFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = l
}
