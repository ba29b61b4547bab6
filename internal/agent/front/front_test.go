package front

import (
	"bufio"
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/admission"
	"amaranthwheel.example/amaranthwheel/internal/core/claims"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const service = model.ServiceName("lease-desk")

// agent is a front with its node.
type agent struct {
	t              *testing.T
	name           model.NodeID
	front          *Front
	mu             sync.Mutex
	node           *core.Node
	events         []core.Event
	addr           net.Addr
	streamListener net.Listener
	client         *http3.Transport
	cluster        []*agent
	dataAddr       netip.AddrPort
}

// Submit implements EventSink. It steps the node synchronously.
func (a *agent) Submit(ev core.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = append(a.events, ev)
	for _, e := range a.node.Step(time.Now(), ev) {
		switch e := e.(type) {
		case core.RequestEffect:
			a.front.DeliverDecision(e)
		case core.SendDatagram:
			a.sendDatagram(e)
		}
	}
}

func (a *agent) loadSection() core.LoadSection {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Board().Load
}

func (a *agent) updateBoard(f func(*core.Board)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.node.Board())
}

func startAgent(t *testing.T, name model.NodeID, slots int, target http.HandlerFunc, opts Options) *agent {
	t.Helper()
	a := &agent{t: t, name: name}
	a.dataAddr = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(name[0]))
	self := model.Member{Node: name, Service: service, State: model.StateAlive, Target: model.TargetName(name + "-target")}
	board := core.NewBoard(self)
	board.Self.TargetAccepted = true
	board.Lease.ValidUntil = time.Now().Add(time.Hour)
	c := claims.New()
	a.node = core.NewNode(board, 1, c, admission.New(), c.Recorder())
	opts.Events, opts.TLS, opts.Service, opts.OpenStream = a, newServerTLS(t), service.ID(), a.openStream
	a.front = New(opts)
	a.Submit(core.TargetAnnounced{Announcement: core.Announcement{Slots: slots, Instance: "1"}})
	a.front.SetTarget(Target{Addr: startTarget(t, target), Name: self.Target, MaxConnections: 100})
	a.serve()
	return a
}

func (a *agent) serve() {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	requireNoError(a.t, err)
	a.streamListener, err = net.Listen("tcp", "127.0.0.1:0")
	requireNoError(a.t, err)
	a.addr = conn.LocalAddr()
	a.client = &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	go func() { _ = a.front.Serve(conn) }()
	go func() { _ = a.front.ServeHandOver(a.streamListener) }()
	ticks := time.NewTicker(core.TickInterval)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticks.C:
				a.Submit(core.Tick{})
			case <-done:
				return
			}
		}
	}()
	a.t.Cleanup(func() {
		close(done)
		_ = a.client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = a.front.Shutdown(ctx)
		_ = conn.Close()
	})
}

// startTarget serves the handler over plain HTTP/1.1.
func startTarget(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func (a *agent) newRequest(ctx context.Context, method, body string, header ...string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "https://"+a.addr.String()+"/", strings.NewReader(body))
	requireNoError(a.t, err)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// sendRequest sends a request and returns the response and its body.
func (a *agent) sendRequest(method, body string, header ...string) (*http.Response, string) {
	a.t.Helper()
	resp, err := a.client.RoundTrip(a.newRequest(context.Background(), method, body, header...))
	requireNoError(a.t, err)
	text, err := io.ReadAll(resp.Body)
	requireNoError(a.t, err)
	return resp, string(text)
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func requireOutcome(t *testing.T, resp *http.Response, status int, outcome string) {
	t.Helper()
	if got := resp.Header.Get(HeaderOutcome); resp.StatusCode != status || got != outcome {
		t.Fatalf("got %d %q (%s), want %d %q", resp.StatusCode, got, resp.Header.Get(HeaderReason), status, outcome)
	}
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out waiting for: " + condition)
}

func newServerTLS(t *testing.T) *tls.Config {
	public, private, err := ed25519.GenerateKey(nil)
	requireNoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(nil, template, template, public, private)
	requireNoError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}}}
}

// connectAgents adds the agents to each other's member lists and views.
func connectAgents(agents ...*agent) {
	view := &core.View{Service: service}
	members := make(map[model.NodeID]model.Member)
	for _, a := range agents {
		m := model.Member{Node: a.name, Service: service, State: model.StateAlive, DataAddr: a.dataAddr}
		members[a.name] = m
		view.Candidates = append(view.Candidates, core.Candidate{Member: m, Seed: routing.Seed(a.name), AcceptsNewFlows: true})
	}
	for _, a := range agents {
		a.updateBoard(func(b *core.Board) {
			b.Routes.Views[service.ID()] = view
			b.Members.Records = members
			a.cluster = agents
		})
	}
}

// sendDatagram delivers a datagram to another agent of the cluster.
func (a *agent) sendDatagram(e core.SendDatagram) {
	i := slices.IndexFunc(a.cluster, func(p *agent) bool { return p.dataAddr == e.To })
	go a.cluster[i].Submit(core.DatagramReceived{From: a.dataAddr, Header: e.Header, Payload: e.Payload})
}

func (a *agent) openStream(_ context.Context, peer model.NodeID, _ netip.AddrPort) (net.Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.IndexFunc(a.cluster, func(p *agent) bool { return p.name == peer })
	return net.Dial("tcp", a.cluster[i].streamListener.Addr().String())
}

func TestResponsesAreComplete(t *testing.T) {
	targetText := strings.Repeat("0123456789", 20_000)
	a := startAgent(t, "a", 4, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
		_, _ = io.WriteString(w, targetText)
	}, Options{})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 5 {
				requestText := strings.Repeat("x", 100_000)
				resp, body := a.sendRequest("PUT", requestText)
				if resp.StatusCode == http.StatusOK && body != requestText+targetText {
					t.Errorf("got %d bytes", len(body))
				}
				if resp.StatusCode != http.StatusOK && resp.Header.Get(HeaderOutcome) != OutcomeNotRun {
					t.Errorf("got status %d", resp.StatusCode)
				}
			}
		})
	}
	wg.Wait()
	eventually(t, "all slots are released", func() bool { return a.loadSection().InFlight == 0 })
}

// TestCancellationReachesTargetAndKeepsSlotUntilItStops checks that a cancelled
// request occupies its slot until the target has stopped running it.
func TestCancellationReachesTargetAndKeepsSlotUntilItStops(t *testing.T) {
	started, stopped, finish := make(chan bool, 1), make(chan bool, 1), make(chan bool)
	a := startAgent(t, "a", 1, func(_ http.ResponseWriter, r *http.Request) {
		started <- true
		<-r.Context().Done()
		stopped <- true
		<-finish
	}, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	if _, err := a.client.RoundTrip(a.newRequest(ctx, "GET", "")); err == nil {
		t.Fatal("a cancelled request received a response")
	}
	<-stopped
	time.Sleep(100 * time.Millisecond)
	if got := a.loadSection().InFlight; got != 1 {
		t.Fatalf("%d requests in flight while the target is running one", got)
	}
	close(finish)
	eventually(t, "the slot is released", func() bool { return a.loadSection().InFlight == 0 })
}

func TestIncompleteResponseIsReset(t *testing.T) {
	for name, length := range map[string]string{"chunked": "", "sized": "1000"} {
		t.Run(name, func(t *testing.T) {
			a := startAgent(t, "a", 1, func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, "truncated")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}, Options{})
			resp, err := a.client.RoundTrip(a.newRequest(context.Background(), "GET", ""))
			if err != nil {
				return // the stream was reset before the header
			}
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Fatalf("an incomplete response of %d bytes looks complete", len(body))
			}
		})
	}
}

func TestFailedRequestIsNotResent(t *testing.T) {
	var runs atomic.Int32
	a := startAgent(t, "a", 1, func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_, _ = io.ReadAll(r.Body)
		panic(http.ErrAbortHandler)
	}, Options{})
	peer := startAgent(t, "b", 1, func(http.ResponseWriter, *http.Request) { runs.Add(1) }, Options{})
	connectAgents(a, peer)
	for _, method := range []string{"POST", "PATCH", "GET"} {
		runs.Store(0)
		resp, _ := a.sendRequest(method, "", HeaderIdempotencyKey, method)
		requireOutcome(t, resp, http.StatusBadGateway, OutcomeUnknown)
		if runs.Load() != 1 {
			t.Fatalf("%s reached targets %d times", method, runs.Load())
		}
	}
}

func TestRepeatedKeyGetsStoredResponse(t *testing.T) {
	var runs atomic.Int32
	target := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusCreated)
		_, _ = io.Copy(w, r.Body)
	}
	a, b, c := startAgent(t, "a", 1, target, Options{}), startAgent(t, "b", 1, target, Options{}), startAgent(t, "c", 1, target, Options{})
	connectAgents(a, b, c)
	for _, entry := range []*agent{a, a, b, c} {
		resp, body := entry.sendRequest("POST", "application", HeaderIdempotencyKey, "k")
		if resp.StatusCode != http.StatusCreated || body != "application" || resp.Header.Get(HeaderTarget) != "a-target" {
			t.Fatalf("%s: got %d %q %v", entry.name, resp.StatusCode, body, resp.Header)
		}
	}
	resp, _ := b.sendRequest("POST", "another application", HeaderIdempotencyKey, "k")
	requireOutcome(t, resp, http.StatusUnprocessableEntity, OutcomeNotRun)
	if runs.Load() != 1 {
		t.Fatalf("the request ran %d times", runs.Load())
	}
}

func TestRefusedRequestsDoNotRun(t *testing.T) {
	var runs atomic.Int32
	a := startAgent(t, "a", 1, func(http.ResponseWriter, *http.Request) { runs.Add(1) }, Options{})
	for name, update := range map[string]func(*core.Board){
		"draining":     func(b *core.Board) { b.Self.Stopping = true },
		"domain-out":   func(b *core.Board) { b.Self.DomainOut = true },
		"lease-lapsed": func(b *core.Board) { b.Lease.ValidUntil = time.Time{} },
		"no-target":    func(b *core.Board) { b.Self.TargetAccepted = false },
	} {
		var before core.Board
		a.updateBoard(func(b *core.Board) { before = *b; update(b) })
		resp, _ := a.sendRequest("POST", "application")
		requireOutcome(t, resp, http.StatusServiceUnavailable, OutcomeNotRun)
		if got := resp.Header.Get(HeaderReason); got != name {
			t.Errorf("got reason %q, want %q", got, name)
		}
		a.updateBoard(func(b *core.Board) { b.Self, b.Lease = before.Self, before.Lease })
	}
	a.front.SetTarget(Target{Addr: netip.MustParseAddrPort("127.0.0.1:1"), MaxConnections: 100})
	resp, _ := a.sendRequest("POST", "application")
	requireOutcome(t, resp, http.StatusServiceUnavailable, OutcomeNotRun)
	if runs.Load() != 0 {
		t.Fatal("a refused request ran")
	}
}

func TestShedRequestIsHandedOver(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	shed := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.Header().Set(HeaderOutcome, OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	a := startAgent(t, "a", 1, shed, Options{TracerProvider: provider})
	received := make(chan http.Header, 1)
	peer := startAgent(t, "b", 1, func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header
		_, _ = io.Copy(w, r.Body)
	}, Options{TracerProvider: provider})
	connectAgents(a, peer)
	trace := "0af7651916cd43dd8448eb211c80319c"
	resp, body := a.sendRequest("POST", "application", HeaderTimeout, "5000", "Traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	if resp.StatusCode != http.StatusOK || body != "application" || resp.Header.Get(HeaderTarget) != "b-target" {
		t.Fatalf("got %d %q from %q", resp.StatusCode, body, resp.Header.Get(HeaderTarget))
	}
	header := <-received
	timeout, parent := header.Get(HeaderTimeout), header.Get("Traceparent")
	if timeout == "" || len(timeout) > 4 || timeout == "5000" || !strings.Contains(parent, trace) {
		t.Fatalf("target got timeout %q and traceparent %q", timeout, parent)
	}
	eventually(t, "five spans of the same trace", func() bool {
		ended := spans.Ended()
		other := slices.ContainsFunc(ended, func(s sdktrace.ReadOnlySpan) bool {
			return s.SpanContext().TraceID().String() != trace
		})
		return len(ended) == 5 && !other
	})
}

func TestDeadlineExceededAtTarget(t *testing.T) {
	a := startAgent(t, "a", 1, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, Options{})
	resp, _ := a.sendRequest("POST", "", HeaderTimeout, "100")
	requireOutcome(t, resp, http.StatusGatewayTimeout, OutcomeUnknown)
}

func TestShutdownWaitsForRequests(t *testing.T) {
	started := make(chan bool, 1)
	a := startAgent(t, "a", 1, func(w http.ResponseWriter, _ *http.Request) {
		started <- true
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "complete")
	}, Options{})
	go func() {
		<-started
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = a.front.Shutdown(ctx)
	}()
	if _, body := a.sendRequest("POST", ""); body != "complete" {
		t.Fatalf("got %q", body)
	}
}

func TestFlowsAreReportedAndLimited(t *testing.T) {
	a := startAgent(t, "a", 1, func(http.ResponseWriter, *http.Request) {}, Options{})
	a.front.SetTarget(Target{Addr: a.front.target.Load().Addr, MaxConnections: 1})
	a.sendRequest("GET", "")
	_, err := quic.DialAddr(context.Background(), a.addr.String(),
		&tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}, nil)
	if err == nil {
		t.Fatal("a connection above the limit was accepted")
	}
	requireNoError(t, a.client.Close())
	eventually(t, "one flow is established and closed", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		var flows []core.Event
		for _, ev := range a.events {
			switch ev.(type) {
			case core.FlowEstablished, core.FlowClosed:
				flows = append(flows, ev)
			}
		}
		return len(flows) == 2
	})
}

// A target sends each response twice, the second copy late. A connection serves one
// request, so the copy must reach neither the request's caller nor a later one.
func TestSecondCopyOfAResponseReachesNobody(t *testing.T) {
	a := startAgent(t, "a", 2, func(http.ResponseWriter, *http.Request) {}, Options{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
				_, _ = io.WriteString(conn, response)
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(conn, response)
			}()
		}
	}()
	a.front.SetTarget(Target{Addr: ln.Addr().(*net.TCPAddr).AddrPort(), Name: "t", MaxConnections: 100})
	for n := range 4 {
		resp, body := a.sendRequest("POST", "")
		if want := fmt.Sprint(n); body != want || resp.StatusCode != http.StatusOK {
			t.Errorf("request %d got %d %q, want its own response %q", n, resp.StatusCode, body, want)
		}
		time.Sleep(30 * time.Millisecond) // the next request begins while the copy arrives
	}
}
