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
	responses, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = responses.Close() })
	return newCallerConn(responses)
}

func TestCallerConnReadsQueuedDatagram(t *testing.T) {
	c := newTestConn(t)
	caller := netip.MustParseAddrPort("127.0.0.9:5000")
	if !c.enqueue(caller, []byte("hello")) {
		t.Fatal("the queue is full")
	}
	buf := make([]byte, 16)
	n, from, err := c.ReadFrom(buf)
	if err != nil || string(buf[:n]) != "hello" || from.String() != caller.String() {
		t.Errorf("got %q from %v, %v", buf[:n], from, err)
	}
}

func TestCallerConnQueueIsBounded(t *testing.T) {
	c := newTestConn(t)
	caller := netip.MustParseAddrPort("127.0.0.9:5000")
	for range callerQueueSize {
		c.enqueue(caller, nil)
	}
	if c.enqueue(caller, nil) {
		t.Error("a full queue accepted a datagram")
	}
}

func TestCallerConnDeadlineAndClose(t *testing.T) {
	c := newTestConn(t)
	_ = c.SetReadDeadline(time.Now().Add(-time.Second))
	if _, _, err := c.ReadFrom(nil); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v", err)
	}
	// A deadline set during a blocked read takes effect immediately.
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
