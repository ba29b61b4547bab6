package front

import (
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
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

// agent is a front with a node behind it.
type agent struct {
	t      *testing.T
	name   model.NodeID
	front  *Front
	mu     sync.Mutex
	node   *core.Node
	events []core.Event
	addr   net.Addr
	peers  net.Listener
	client *http3.Transport
	known  []*agent
	data   netip.AddrPort
}

// Submit steps the node at once, as a process's loop would.
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

func (a *agent) load() core.LoadSection {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Board().Load
}

func (a *agent) change(f func(*core.Board)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.node.Board())
}

func startAgent(t *testing.T, name model.NodeID, slots int, target http.HandlerFunc, opts Options) *agent {
	t.Helper()
	a := &agent{t: t, name: name}
	a.data = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(name[0]))
	self := model.Member{Node: name, Service: service, State: model.StateAlive, Target: model.TargetName(name + "-target")}
	board := core.NewBoard(self)
	board.Self.TargetAccepted = true
	board.Lease.ValidUntil = time.Now().Add(time.Hour)
	c := claims.New()
	a.node = core.NewNode(board, 1, c, admission.New(), c.Recorder())
	opts.Events, opts.TLS, opts.Service, opts.OpenStream = a, serverTLS(t), service.ID(), a.openStream
	a.front = New(opts)
	a.Submit(core.TargetAnnounced{Announcement: core.Announcement{Slots: slots, Instance: "1"}})
	a.front.SetTarget(Target{Addr: startTarget(t, target), Name: self.Target, MaxConnections: 100})
	a.serve()
	return a
}

func (a *agent) serve() {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	check(a.t, err)
	a.peers, err = net.Listen("tcp", "127.0.0.1:0")
	check(a.t, err)
	a.addr = conn.LocalAddr()
	a.client = &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	go func() { _ = a.front.Serve(conn) }()
	go func() { _ = a.front.ServeHandOver(a.peers) }()
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
	check(t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func (a *agent) request(ctx context.Context, method, body string, header ...string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "https://"+a.addr.String()+"/", strings.NewReader(body))
	check(a.t, err)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// do sends a request and returns the answer with its body read.
func (a *agent) do(method, body string, header ...string) (*http.Response, string) {
	a.t.Helper()
	resp, err := a.client.RoundTrip(a.request(context.Background(), method, body, header...))
	check(a.t, err)
	text, err := io.ReadAll(resp.Body)
	check(a.t, err)
	return resp, string(text)
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func wantOutcome(t *testing.T, resp *http.Response, status int, outcome string) {
	t.Helper()
	if got := resp.Header.Get(HeaderOutcome); resp.StatusCode != status || got != outcome {
		t.Fatalf("got %d %q (%s), want %d %q", resp.StatusCode, got, resp.Header.Get(HeaderReason), status, outcome)
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("never happened: " + what)
}

func serverTLS(t *testing.T) *tls.Config {
	public, private, err := ed25519.GenerateKey(nil)
	check(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(nil, template, template, public, private)
	check(t, err)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}}}
}

// connect makes agents know each other.
func connect(agents ...*agent) {
	view := &core.View{Service: service}
	members := make(map[model.NodeID]model.Member)
	for _, a := range agents {
		m := model.Member{Node: a.name, Service: service, State: model.StateAlive, DataAddr: a.data}
		members[a.name] = m
		view.Candidates = append(view.Candidates, core.Candidate{Member: m, Seed: routing.Seed(a.name), AcceptsNewFlows: true})
	}
	for _, a := range agents {
		a.change(func(b *core.Board) {
			b.Routes.Views[service.ID()] = view
			b.Members.Records = members
			a.known = agents
		})
	}
}

// sendDatagram delivers a datagram to a known agent.
func (a *agent) sendDatagram(e core.SendDatagram) {
	i := slices.IndexFunc(a.known, func(p *agent) bool { return p.data == e.To })
	go a.known[i].Submit(core.DatagramReceived{From: a.data, Header: e.Header, Payload: e.Payload})
}

func (a *agent) openStream(_ context.Context, peer model.NodeID, _ netip.AddrPort) (net.Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.IndexFunc(a.known, func(p *agent) bool { return p.name == peer })
	return net.Dial("tcp", a.known[i].peers.Addr().String())
}

func TestAnswersAreWhole(t *testing.T) {
	answer := strings.Repeat("0123456789", 20_000)
	a := startAgent(t, "a", 4, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
		_, _ = io.WriteString(w, answer)
	}, Options{})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 5 {
				request := strings.Repeat("x", 100_000)
				resp, body := a.do("PUT", request)
				if resp.StatusCode == http.StatusOK && body != request+answer {
					t.Errorf("got %d bytes", len(body))
				}
				if resp.StatusCode != http.StatusOK && resp.Header.Get(HeaderOutcome) != OutcomeNotRun {
					t.Errorf("got status %d", resp.StatusCode)
				}
			}
		})
	}
	wg.Wait()
	eventually(t, "slots freed", func() bool { return a.load().InFlight == 0 })
}

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
	if _, err := a.client.RoundTrip(a.request(ctx, "GET", "")); err == nil {
		t.Fatal("a cancelled request was answered")
	}
	<-stopped
	time.Sleep(100 * time.Millisecond)
	if got := a.load().InFlight; got != 1 {
		t.Fatalf("in flight %d while the target runs", got)
	}
	close(finish)
	eventually(t, "slot freed", func() bool { return a.load().InFlight == 0 })
}

func TestBrokenAnswerIsNeverShort(t *testing.T) {
	for name, length := range map[string]string{"chunked": "", "sized": "1000"} {
		t.Run(name, func(t *testing.T) {
			a := startAgent(t, "a", 1, func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, "half of it")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}, Options{})
			resp, err := a.client.RoundTrip(a.request(context.Background(), "GET", ""))
			if err != nil {
				return // the reset came before the header
			}
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Fatalf("a broken answer of %d bytes looks whole", len(body))
			}
		})
	}
}

func TestNothingIsSentTwice(t *testing.T) {
	var hits atomic.Int32
	a := startAgent(t, "a", 1, func(_ http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		_, _ = io.ReadAll(r.Body)
		panic(http.ErrAbortHandler)
	}, Options{})
	peer := startAgent(t, "b", 1, func(http.ResponseWriter, *http.Request) { hits.Add(1) }, Options{})
	connect(a, peer)
	for _, method := range []string{"POST", "PATCH", "GET"} {
		hits.Store(0)
		resp, _ := a.do(method, "", HeaderIdempotencyKey, method)
		wantOutcome(t, resp, http.StatusBadGateway, OutcomeUnknown)
		if hits.Load() != 1 {
			t.Fatalf("%s reached targets %d times", method, hits.Load())
		}
	}
}

func TestRepeatedKeyGetsTheWholeStoredAnswer(t *testing.T) {
	var hits atomic.Int32
	target := func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		w.WriteHeader(http.StatusCreated)
		_, _ = io.Copy(w, r.Body)
	}
	a, b, c := startAgent(t, "a", 1, target, Options{}), startAgent(t, "b", 1, target, Options{}), startAgent(t, "c", 1, target, Options{})
	connect(a, b, c)
	for _, at := range []*agent{a, a, b, c} {
		resp, body := at.do("POST", "application", HeaderIdempotencyKey, "k")
		if resp.StatusCode != http.StatusCreated || body != "application" || resp.Header.Get(HeaderTarget) != "a-target" {
			t.Fatalf("%s: got %d %q %v", at.name, resp.StatusCode, body, resp.Header)
		}
	}
	resp, _ := b.do("POST", "another application", HeaderIdempotencyKey, "k")
	wantOutcome(t, resp, http.StatusUnprocessableEntity, OutcomeNotRun)
	if hits.Load() != 1 {
		t.Fatalf("ran %d times", hits.Load())
	}
}

func TestRefusalsAreTrue(t *testing.T) {
	var hits atomic.Int32
	a := startAgent(t, "a", 1, func(http.ResponseWriter, *http.Request) { hits.Add(1) }, Options{})
	for name, change := range map[string]func(*core.Board){
		"draining":     func(b *core.Board) { b.Self.Stopping = true },
		"domain-out":   func(b *core.Board) { b.Self.DomainOut = true },
		"lease-lapsed": func(b *core.Board) { b.Lease.ValidUntil = time.Time{} },
		"no-target":    func(b *core.Board) { b.Self.TargetAccepted = false },
	} {
		var before core.Board
		a.change(func(b *core.Board) { before = *b; change(b) })
		resp, _ := a.do("POST", "application")
		wantOutcome(t, resp, http.StatusServiceUnavailable, OutcomeNotRun)
		if got := resp.Header.Get(HeaderReason); got != name {
			t.Errorf("got reason %q, want %q", got, name)
		}
		a.change(func(b *core.Board) { b.Self, b.Lease = before.Self, before.Lease })
	}
	a.front.SetTarget(Target{Addr: netip.MustParseAddrPort("127.0.0.1:1"), MaxConnections: 100})
	resp, _ := a.do("POST", "application")
	wantOutcome(t, resp, http.StatusServiceUnavailable, OutcomeNotRun)
	if hits.Load() != 0 {
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
	seen := make(chan http.Header, 1)
	peer := startAgent(t, "b", 1, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		_, _ = io.Copy(w, r.Body)
	}, Options{TracerProvider: provider})
	connect(a, peer)
	trace := "0af7651916cd43dd8448eb211c80319c"
	resp, body := a.do("POST", "application", HeaderTimeout, "5000", "Traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	if resp.StatusCode != http.StatusOK || body != "application" || resp.Header.Get(HeaderTarget) != "b-target" {
		t.Fatalf("got %d %q from %q", resp.StatusCode, body, resp.Header.Get(HeaderTarget))
	}
	header := <-seen
	timeout, parent := header.Get(HeaderTimeout), header.Get("Traceparent")
	if timeout == "" || len(timeout) > 4 || timeout == "5000" || !strings.Contains(parent, trace) {
		t.Fatalf("target got timeout %q and traceparent %q", timeout, parent)
	}
	eventually(t, "five spans of one trace", func() bool {
		ended := spans.Ended()
		other := slices.ContainsFunc(ended, func(s sdktrace.ReadOnlySpan) bool {
			return s.SpanContext().TraceID().String() != trace
		})
		return len(ended) == 5 && !other
	})
}

func TestDeadlinePassesWhileTargetRuns(t *testing.T) {
	a := startAgent(t, "a", 1, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, Options{})
	resp, _ := a.do("POST", "", HeaderTimeout, "100")
	wantOutcome(t, resp, http.StatusGatewayTimeout, OutcomeUnknown)
}

func TestShutdownCutsNoRequest(t *testing.T) {
	started := make(chan bool, 1)
	a := startAgent(t, "a", 1, func(w http.ResponseWriter, _ *http.Request) {
		started <- true
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}, Options{})
	go func() {
		<-started
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = a.front.Shutdown(ctx)
	}()
	if _, body := a.do("POST", ""); body != "whole" {
		t.Fatalf("got %q", body)
	}
}

func TestFlowsAreReportedAndBounded(t *testing.T) {
	a := startAgent(t, "a", 1, func(http.ResponseWriter, *http.Request) {}, Options{})
	a.front.SetTarget(Target{Addr: a.front.target.Load().Addr, MaxConnections: 1})
	a.do("GET", "")
	_, err := quic.DialAddr(context.Background(), a.addr.String(),
		&tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}, nil)
	if err == nil {
		t.Fatal("a connection above the limit was accepted")
	}
	check(t, a.client.Close())
	eventually(t, "one flow established and closed", func() bool {
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
