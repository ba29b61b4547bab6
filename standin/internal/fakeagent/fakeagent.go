// Package fakeagent ends HTTP/3 and passes each request on to one target, with
// no balancer and no admission, so that the caller and target stand-ins can be
// tested without the system.
package fakeagent

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"path/filepath"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"amaranthwheel.example/amaranthwheel/standin/certs"
	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// Handler answers a request in place of the agent, or calls next to pass it
// on to the target.
type Handler func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc)

// Agent is a running fake agent.
type Agent struct {
	target    string
	handler   Handler
	client    *http.Client
	socket    *net.UDPConn
	transport *quic.Transport
	server    *http3.Server
}

// Start listens on the UDP address with the certificate pair in the directory
// and passes requests on to the target's address. The handler may be nil.
func Start(listen, certDir, target string, handler Handler) (*Agent, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(certDir, certs.CertFile), filepath.Join(certDir, certs.KeyFile))
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	addr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("resolve address: %w", err)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	a := &Agent{target: target, handler: handler, client: &http.Client{Transport: &http.Transport{}}, socket: socket}
	a.transport = &quic.Transport{Conn: socket}
	a.server = &http3.Server{Handler: http.HandlerFunc(a.serve)}
	tlsConfig := http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13})
	listener, err := a.transport.ListenEarly(tlsConfig, &quic.Config{InitialPacketSize: 1200, DisablePathMTUDiscovery: true})
	if err != nil {
		socket.Close()
		return nil, fmt.Errorf("listen for connections: %w", err)
	}
	go a.server.ServeListener(listener)
	return a, nil
}

// Port returns the bound port.
func (a *Agent) Port() uint16 { return a.socket.LocalAddr().(*net.UDPAddr).AddrPort().Port() }

// Shutdown sends GOAWAY on all connections, waits until they are closed and
// refuses new ones.
func (a *Agent) Shutdown(ctx context.Context) error { return a.server.Shutdown(ctx) }

// Close ends all connections.
func (a *Agent) Close() {
	a.server.Close()
	a.transport.Close()
	a.socket.Close()
	a.client.CloseIdleConnections()
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if a.handler == nil {
		a.forward(w, r)
		return
	}
	a.handler(w, r, a.forward)
}

// forward passes a request on to the target and its answer back.
func (a *Agent) forward(w http.ResponseWriter, r *http.Request) {
	u := url.URL{Scheme: "http", Host: a.target, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, u.String(), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req.ContentLength = r.ContentLength
	req.Header = r.Header.Clone()
	resp, err := a.client.Do(req)
	if err != nil {
		w.Header().Set(workload.HeaderOutcome, workload.OutcomeUnknown)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body) // the caller went away
}
