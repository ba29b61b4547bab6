package direct

import (
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/platform"
	"amaranthwheel.example/amaranthwheel/platform/platformtest"
)

const (
	// storeDelay is the time in which the users' store responds.
	storeDelay = 4 * time.Millisecond
	// unroutedAnswerTimeout bounds the answer to a segment without a route: callers retransmit
	// after it, and nothing may make them wait for that.
	unroutedAnswerTimeout = 200 * time.Millisecond
)

// Guards against callers that wait for their time budget: a segment from the middle of a flow
// whose address has no route in any version is answered after one read of the store.
func TestSegmentWithoutRouteIsAnsweredAfterOneRead(t *testing.T) {
	s := serveStore(t)
	s.SetFaults(platformtest.Faults{Delay: storeDelay})
	s.Configure(1, "s")
	// Resets go to the port at which balancers receive, at the caller's address.
	caller, err := listenUDP(netip.MustParseAddrPort("127.0.0.2:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	to := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), caller.LocalAddr().(*net.UDPAddr).AddrPort().Port())
	b := startBalancerAt(t, to, newStoreClient(s), platform.DecodeOperatorState)
	eventually(t, "first version", func() bool { return b.version() == 1 })
	var times []time.Duration
	for port := range uint16(5) {
		time.Sleep(2 * minChangePause) // callers come one by one, and no read is due
		from := steering.Endpoint{IP: [4]byte{127, 0, 0, 2}, Port: 1024 + port}
		unrouted := steering.Endpoint{IP: platformtest.RouteAddress.IP, Port: platformtest.RouteAddress.Port + 1}
		sent := time.Now()
		if _, err := caller.WriteToUDPAddrPort(platformtest.NewPacket(from, unrouted, platformtest.FlagACK, 1, 7, []byte("x")), to); err != nil {
			t.Fatal(err)
		}
		_ = caller.SetReadDeadline(sent.Add(unroutedAnswerTimeout))
		raw := make([]byte, maxDatagram)
		n, _, err := caller.ReadFromUDPAddrPort(raw)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		if flags := raw[:n][22]; flags != platformtest.FlagRST {
			t.Fatalf("flags of the answer are %d", flags)
		}
		times = append(times, time.Since(sent))
	}
	slices.Sort(times)
	t.Logf("answered after %v in the median, %v at most", times[len(times)/2], times[len(times)-1])
}
