package front

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// delayedConn delays every datagram that is read.
type delayedConn struct {
	net.PacketConn
	delay    time.Duration
	received chan delayedDatagram
}

type delayedDatagram struct {
	payload []byte
	from    net.Addr
	at      time.Time
}

func delayReads(conn net.PacketConn, delay time.Duration) *delayedConn {
	c := &delayedConn{PacketConn: conn, delay: delay, received: make(chan delayedDatagram, 1000)}
	go func() {
		defer close(c.received)
		buf := make([]byte, 1<<16)
		for {
			n, from, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			c.received <- delayedDatagram{append([]byte(nil), buf[:n]...), from, time.Now()}
		}
	}()
	return c
}

// ReadFrom returns a datagram once the delay has passed since its arrival.
func (c *delayedConn) ReadFrom(p []byte) (int, net.Addr, error) {
	d, ok := <-c.received
	if !ok {
		return 0, nil, net.ErrClosed
	}
	time.Sleep(time.Until(d.at.Add(c.delay)))
	return copy(p, d.payload), d.from, nil
}

// A caller whose handshake is in progress when the agent begins to stop, and takes
// longer than a few hundred milliseconds on a busy host, must not be left without a
// response.
func TestShutdownServesHandshakesInProgress(t *testing.T) {
	const delay = 400 * time.Millisecond
	started := make(chan struct{}, 1)
	a := startAgent(t, "a", 1, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "complete") }, Options{})
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	requireNoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	a.addr = conn.LocalAddr()
	go func() { _ = a.front.Serve(delayReads(conn, delay)) }()
	a.client = &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	t.Cleanup(func() { _ = a.client.Close() })

	go func() {
		eventually(t, "the handshake has begun", func() bool { return a.front.flows.pendingHandshakes() == 1 })
		started <- struct{}{}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = a.front.Shutdown(ctx)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	resp, err := a.client.RoundTrip(a.newRequest(ctx, "GET", ""))
	<-started
	if err != nil {
		t.Fatalf("request sent during the handshake: %v, want a response", err)
	}
	text, err := io.ReadAll(resp.Body)
	requireNoError(t, err)
	if string(text) != "complete" {
		t.Fatalf("got %q", text)
	}
}

// A caller that vanishes during its handshake delays the shutdown by the handshake's
// timeout at most.
func TestShutdownDoesNotWaitForAbandonedHandshakes(t *testing.T) {
	a := startAgent(t, "a", 1, func(http.ResponseWriter, *http.Request) {}, Options{})
	caller, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	requireNoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	// The caller receives nothing, so it never sends the second flight.
	deaf := delayReads(caller, time.Hour)
	go func() {
		_, _ = quic.Dial(ctx, deaf, a.addr, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}, nil)
	}()
	eventually(t, "the handshake has begun", func() bool { return a.front.flows.pendingHandshakes() == 1 })
	cancel()
	requireNoError(t, caller.Close())
	begin := time.Now()
	ctx, cancel = context.WithTimeout(context.Background(), 3*handshakeTimeout)
	defer cancel()
	requireNoError(t, a.front.Shutdown(ctx))
	if took := time.Since(begin); took > handshakeTimeout+time.Second {
		t.Errorf("shutdown took %v, want at most the handshake timeout of %v", took, handshakeTimeout)
	}
}
