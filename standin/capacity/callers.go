package capacity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"amaranthwheel.example/amaranthwheel/internal/agent/front"
	"amaranthwheel.example/amaranthwheel/internal/agent/relay"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/standin/certs"
)

// callerTimeout bounds the handshakes and the shutdown of one measurement.
const callerTimeout = 20 * time.Second

// noEvents drops the events of an agent's local ends.
type noEvents struct{}

// Submit implements front.EventSink and relay.EventSink.
func (noEvents) Submit(core.Event) {}

// relayedFlows returns the memory of an agent's relay that carries n opaque
// flows to a target on loopback.
func relayedFlows(n int) (float64, error) {
	target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, fmt.Errorf("open a target's socket: %w", err)
	}
	defer target.Close()
	r := relay.New(relay.Options{Events: noEvents{}, SendResponse: func(model.FlowKey, []byte) {}, MaxFlows: n})
	defer r.Close()
	r.SetTarget(target.LocalAddr().(*net.UDPAddr).AddrPort())
	return growth(func() (any, error) {
		for i := range n {
			if err := r.Deliver(flowKey(i), midFlowPacket); err != nil {
				return nil, err
			}
		}
		return r, nil
	})
}

// quicConnections returns the memory of one end of n idle connections to an
// agent's front: both ends run here, and share it evenly.
func quicConnections(n int) (float64, error) {
	server, client, err := tlsConfigs()
	if err != nil {
		return 0, err
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, fmt.Errorf("open the front's socket: %w", err)
	}
	defer socket.Close()
	f := front.New(front.Options{Events: noEvents{}, TLS: server, Service: serviceName(0).ID()})
	f.SetTarget(front.Target{MaxConnections: n})
	go func() { _ = f.Serve(socket) }()
	callers, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, fmt.Errorf("open the callers' socket: %w", err)
	}
	transport := &quic.Transport{Conn: callers}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	var opened []*quic.Conn
	both, err := growth(func() (any, error) {
		opened, err = dialAll(ctx, transport, socket.LocalAddr(), client, n)
		return opened, err
	})
	for _, conn := range opened {
		_ = conn.CloseWithError(0, "")
	}
	_ = transport.Close()
	_ = callers.Close()
	_ = f.Shutdown(ctx)
	return both / 2, err
}

// dialAll opens n connections, one after the other.
func dialAll(ctx context.Context, t *quic.Transport, to net.Addr, config *tls.Config, n int) ([]*quic.Conn, error) {
	var out []*quic.Conn
	for range n {
		conn, err := t.Dial(ctx, to, config, &quic.Config{DisablePathMTUDiscovery: true})
		if err != nil {
			return out, fmt.Errorf("open connection %d: %w", len(out), err)
		}
		out = append(out, conn)
	}
	return out, nil
}

// tlsConfigs returns the settings of a server with a new certificate and of a
// client that trusts it.
func tlsConfigs() (server, client *tls.Config, err error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(dir)
	if err := certs.Write(dir, []string{"127.0.0.1"}); err != nil {
		return nil, nil, err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, certs.CertFile), filepath.Join(dir, certs.KeyFile))
	if err != nil {
		return nil, nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(pair.Leaf)
	server = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	client = &tls.Config{RootCAs: roots, ServerName: "127.0.0.1", NextProtos: []string{http3.NextProtoH3}, MinVersion: tls.VersionTLS13}
	return server, client, nil
}
