package agent

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"
)

func newTestConn(t *testing.T) *callerConn {
	t.Helper()
	data, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = data.Close() })
	return newCallerConn(data)
}

func TestCallerConnReadsWhatIsDelivered(t *testing.T) {
	c := newTestConn(t)
	caller := netip.MustParseAddrPort("127.0.0.9:5000")
	if !c.deliver(caller, []byte("hello")) {
		t.Fatal("no room")
	}
	buf := make([]byte, 16)
	n, from, err := c.ReadFrom(buf)
	if err != nil || string(buf[:n]) != "hello" || from.String() != caller.String() {
		t.Errorf("got %q from %v, %v", buf[:n], from, err)
	}
}

func TestCallerConnIsBounded(t *testing.T) {
	c := newTestConn(t)
	caller := netip.MustParseAddrPort("127.0.0.9:5000")
	for range callersQueue {
		c.deliver(caller, nil)
	}
	if c.deliver(caller, nil) {
		t.Error("a full queue took a datagram")
	}
}

func TestCallerConnDeadlineAndClose(t *testing.T) {
	c := newTestConn(t)
	_ = c.SetReadDeadline(time.Now().Add(-time.Second))
	if _, _, err := c.ReadFrom(nil); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v", err)
	}
	// A deadline set while a read waits takes effect at once.
	_ = c.SetReadDeadline(time.Time{})
	result := make(chan error, 1)
	go func() {
		_, _, err := c.ReadFrom(nil)
		result <- err
	}()
	_ = c.SetReadDeadline(time.Now())
	if err := <-result; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v", err)
	}
	_ = c.SetReadDeadline(time.Time{})
	_ = c.Close()
	_ = c.Close()
	if _, _, err := c.ReadFrom(nil); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v", err)
	}
}
