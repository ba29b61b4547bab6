package balancer

import (
	"net"
	"net/netip"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// TestForwardDoesNotAllocate covers the whole packet path after the receive
// call: the choice of the home, the header and the send call.
func TestForwardDoesNotAllocate(t *testing.T) {
	f, conn := newTestForwarder(t, 7), listenLoopback(t)
	buf := make([]byte, wire.MaxDatagramSize)
	flow := testFlow(1)
	if allocs := testing.AllocsPerRun(1000, func() { f.forward(conn, buf, testPayloadSize, flow) }); allocs != 0 {
		t.Errorf("%v allocations per datagram, want 0", allocs)
	}
	if sent, failed := f.Counters.Forwarded.Load(), f.Counters.SendFailed.Load(); sent == 0 || failed != 0 {
		t.Errorf("%d datagrams forwarded, %d failed", sent, failed)
	}
}

// TestRouteDoesNotAllocate also covers a datagram that has no home.
func TestRouteDoesNotAllocate(t *testing.T) {
	f := newTestForwarder(t, 7)
	unknown := testFlow(1)
	unknown.Service = model.ServiceName("unknown").ID()
	for _, flow := range []model.FlowKey{testFlow(1), unknown} {
		if allocs := testing.AllocsPerRun(1000, func() { f.route(flow) }); allocs != 0 {
			t.Errorf("%v allocations for %v, want 0", allocs, flow)
		}
	}
}

// testPayloadSize is the payload size of the test datagrams, in bytes.
const testPayloadSize = 1200

const testService model.ServiceName = "lease-desk"

func testFlow(i int) model.FlowKey {
	addr := netip.AddrFrom4([4]byte{192, 168, byte(i >> 16), byte(i >> 8)})
	return model.FlowKey{Caller: netip.AddrPortFrom(addr, uint16(20000+i&0xff)), Service: testService.ID()}
}

// newTestForwarder returns a forwarder whose candidates all have the address
// of a loopback socket that is never read.
func newTestForwarder(t testing.TB, candidates int) *Forwarder {
	t.Helper()
	f := NewForwarder(wire.NewKeys([][]byte{[]byte("secret")}), netip.Addr{})
	sink := listenLoopback(t).LocalAddr().(*net.UDPAddr).AddrPort()
	views := testViews(candidates, sink)
	f.views.Store(&views)
	f.RecordLoopStep()
	return f
}

func listenLoopback(t testing.TB) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
