package relay

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// listenDatagrams opens a socket on loopback until the test ends.
func listenDatagrams(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func addrOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// arrived counts the datagrams that arrive until there is a pause, and returns the
// sender of the last.
func arrived(t *testing.T, conn *net.UDPConn) (int, netip.AddrPort) {
	t.Helper()
	var from netip.AddrPort
	buf := make([]byte, 100)
	for n := 0; ; n++ {
		if err := conn.SetReadDeadline(time.Now().Add(quiet)); err != nil {
			t.Fatal(err)
		}
		_, sender, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return n, from
		}
		from = sender
	}
}

func TestDatagramsPassBothWays(t *testing.T) {
	const sent = 20
	tests := map[string]struct {
		loss         Loss
		there, again int
	}{
		"whole":      {Loss{}, sent, sent},
		"late":       {Loss{Late: 20 * time.Millisecond}, sent, sent},
		"twice":      {Loss{Repeat: 1}, 2 * sent, 2 * sent},
		"lost":       {Loss{Drop: 1}, 0, 0},
		"lost to":    {Loss{To: true}, 0, sent},
		"lost from":  {Loss{From: true}, sent, 0},
		"cut wholly": {Loss{To: true, From: true}, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := listenDatagrams(t), listenDatagrams(t)
			anyPort := func(netip.Addr) netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }
			d, err := StartDatagrams(anyPort(netip.Addr{}), addrOf(far), anyPort)
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
			send(near, addrOf(d.front))
			_, face := arrived(t, far)
			d.Set(tt.loss)
			send(near, addrOf(d.front))
			if got, _ := arrived(t, far); got != tt.there {
				t.Errorf("%d datagrams arrive, want %d", got, tt.there)
			}
			send(far, face)
			if got, _ := arrived(t, near); got != tt.again {
				t.Errorf("%d answers arrive, want %d", got, tt.again)
			}
		})
	}
}
