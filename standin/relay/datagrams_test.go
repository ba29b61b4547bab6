package relay

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// listenUDP opens a UDP socket on loopback and closes it when the test ends.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func localAddr(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// arrivalTimeout bounds the wait for a datagram that must arrive.
const arrivalTimeout = 10 * time.Second

// countArrivals waits for the wanted number of datagrams, then counts further ones
// until none arrives for the time quiet. It returns how many arrived in all and the
// sender of the last one.
func countArrivals(t *testing.T, conn *net.UDPConn, want int) (int, netip.AddrPort) {
	t.Helper()
	var from netip.AddrPort
	buf := make([]byte, 100)
	for n := 0; ; n++ {
		timeout := quiet
		if n < want {
			timeout = arrivalTimeout
		}
		if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			t.Fatal(err)
		}
		_, sender, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return n, from
		}
		from = sender
	}
}

func TestDatagramRelayForwardsBothWays(t *testing.T) {
	const sent = 20
	tests := map[string]struct {
		fault               DatagramFault
		forwarded, returned int
	}{
		"whole":      {DatagramFault{}, sent, sent},
		"late":       {DatagramFault{MaxDelay: 20 * time.Millisecond}, sent, sent},
		"twice":      {DatagramFault{DuplicateRate: 1}, 2 * sent, 2 * sent},
		"lost":       {DatagramFault{DropRate: 1}, 0, 0},
		"lost to":    {DatagramFault{CutTo: true}, 0, sent},
		"lost from":  {DatagramFault{CutFrom: true}, sent, 0},
		"cut wholly": {DatagramFault{CutTo: true, CutFrom: true}, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			client, upstream := listenUDP(t), listenUDP(t)
			anyPort := func(netip.Addr) netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }
			d, err := StartDatagramRelay(anyPort(netip.Addr{}), localAddr(upstream), anyPort)
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			send := func(from *net.UDPConn, to netip.AddrPort) {
				for range sent {
					if _, err := from.WriteToUDPAddrPort([]byte("x"), to); err != nil {
						t.Fatal(err)
					}
				}
			}
			send(client, localAddr(d.listener))
			_, sourceAddr := countArrivals(t, upstream, sent)
			d.SetFault(tt.fault)
			send(client, localAddr(d.listener))
			if got, _ := countArrivals(t, upstream, tt.forwarded); got != tt.forwarded {
				t.Errorf("%d datagrams arrive, want %d", got, tt.forwarded)
			}
			send(upstream, sourceAddr)
			if got, _ := countArrivals(t, client, tt.returned); got != tt.returned {
				t.Errorf("%d replies arrive, want %d", got, tt.returned)
			}
		})
	}
}
