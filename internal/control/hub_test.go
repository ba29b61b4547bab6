package control

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protodelim"

	"amaranthwheel.example/amaranthwheel/internal/controlpb"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const eventTimeout = 5 * time.Second

// testNode is a hub that listens on loopback and records its events.
type testNode struct {
	*Hub
	addr   netip.AddrPort
	events chan core.Event
}

type nodeOptions struct {
	id          string
	cluster     string
	incarnation uint64
	secrets     []string
}

func startNode(t *testing.T, o nodeOptions) *testNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &testNode{events: make(chan core.Event, 1024), addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	self := model.Member{
		Node: model.NodeID(o.id), Role: model.RoleBalancer, Incarnation: o.incarnation,
		State: model.StateAlive, ControlAddr: n.addr,
	}
	if o.cluster == "" {
		o.cluster = "om-north"
	}
	if o.secrets == nil {
		o.secrets = []string{"first"}
	}
	var secrets [][]byte
	for _, s := range o.secrets {
		secrets = append(secrets, []byte(s))
	}
	n.Hub = NewHub(Options{
		Self: func() model.Member { return self }, Cluster: o.cluster, Secrets: secrets,
		Service: func() model.ServiceName { return "lease-desk" },
		Logger:  log.NewNopLogger(), Emit: func(ev core.Event) { n.events <- ev },
	})
	go func() { _ = n.Serve(ln) }()
	t.Cleanup(func() { _ = n.Close() })
	return n
}

// awaitEvent returns the next event of the type and skips others.
func awaitEvent[E core.Event](t *testing.T, n *testNode) E {
	t.Helper()
	timeout := time.After(eventTimeout)
	for {
		select {
		case ev := <-n.events:
			if e, ok := ev.(E); ok {
				return e
			}
		case <-timeout:
			var want E
			t.Fatalf("no %T within %v", want, eventTimeout)
		}
	}
}

// expectNoEvent fails if the node emits an event of the type.
func expectNoEvent[E core.Event](t *testing.T, n *testNode) {
	t.Helper()
	for {
		select {
		case ev := <-n.events:
			if _, ok := ev.(E); ok {
				t.Fatalf("unexpected event %#v", ev)
			}
		case <-time.After(200 * time.Millisecond):
			return
		}
	}
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", eventTimeout, condition)
}

func connectedPair(t *testing.T) (a, b *testNode) {
	t.Helper()
	a, b = startNode(t, nodeOptions{id: "a"}), startNode(t, nodeOptions{id: "b"})
	a.Dial(b.addr)
	if got := awaitEvent[core.SessionOpened](t, a); got.Member.Node != "b" || got.Service != "lease-desk" {
		t.Fatalf("opened session with %+v", got)
	}
	awaitEvent[core.SessionOpened](t, b)
	return a, b
}

func TestMessagesArriveInOrder(t *testing.T) {
	a, b := connectedPair(t)
	for i := range uint64(100) {
		a.Send("b", core.HeartbeatAck{Sequence: i})
	}
	for i := range uint64(100) {
		if got := awaitEvent[core.MessageReceived](t, b); got.From != "a" || got.Message != (core.HeartbeatAck{Sequence: i}) {
			t.Fatalf("message %d is %+v", i, got)
		}
	}
	a.CloseSession("b", "test")
	awaitEvent[core.SessionClosed](t, a)
	awaitEvent[core.SessionClosed](t, b)
}

func TestHandshakeRejectsForeignPeers(t *testing.T) {
	tests := map[string]struct {
		dialer  nodeOptions
		counter func(Counters) uint64
	}{
		"wrong secret":  {nodeOptions{id: "a", secrets: []string{"foreign"}}, func(c Counters) uint64 { return c.RejectedProof }},
		"wrong cluster": {nodeOptions{id: "a", cluster: "fj-central"}, func(c Counters) uint64 { return c.RejectedCluster }},
		"own node ID":   {nodeOptions{id: "b"}, func(c Counters) uint64 { return c.FailedHandshakes }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := startNode(t, tt.dialer), startNode(t, nodeOptions{id: "b"})
			a.Dial(b.addr)
			if got := awaitEvent[core.DialFailed](t, a); got.Addr != b.addr {
				t.Fatalf("dial to %v failed", got.Addr)
			}
			eventually(t, "rejection is counted", func() bool { return tt.counter(b.Counters()) == 1 })
			expectNoEvent[core.SessionOpened](t, b)
		})
	}
}

func TestSecretRotation(t *testing.T) {
	a := startNode(t, nodeOptions{id: "a", secrets: []string{"new", "old"}})
	b := startNode(t, nodeOptions{id: "b", secrets: []string{"old", "new"}})
	a.Dial(b.addr)
	awaitEvent[core.SessionOpened](t, a)
	awaitEvent[core.SessionOpened](t, b)
}

func TestProofCannotBeReflected(t *testing.T) {
	a := startNode(t, nodeOptions{id: "a"})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	a.Dial(ln.Addr().(*net.TCPAddr).AddrPort())
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The attacker has no secret and returns the node's own proof.
	if _, err := readDelimited(conn); err != nil {
		t.Fatal(err)
	}
	if err := writeDelimited(conn, rawHello(t, "attacker")); err != nil {
		t.Fatal(err)
	}
	proof, err := readDelimited(conn)
	if err != nil {
		t.Fatal(err)
	}
	if err := writeDelimited(conn, proof); err != nil {
		t.Fatal(err)
	}
	awaitEvent[core.DialFailed](t, a)
	if got := a.Counters().RejectedProof; got != 1 {
		t.Fatalf("counted %d rejected proofs, want 1", got)
	}
}

func TestInvalidInputClosesSession(t *testing.T) {
	oversized := &bytes.Buffer{}
	_, _ = protodelim.MarshalTo(oversized, &controlpb.Subscribe{Service: string(make([]byte, MaxMessageBytes+1))})
	invalidSlots := frameBytes(t, &controlpb.Frame{Body: &controlpb.Frame_Delta{Delta: &controlpb.Delta{
		Members: []*controlpb.Member{{Node: "c", Role: 2, State: 1, Slots: 1 << 31}},
	}}})
	tests := map[string]struct {
		input   []byte
		counter func(Counters) uint64
	}{
		"oversized":     {oversized.Bytes(), func(c Counters) uint64 { return c.Oversized }},
		"garbage":       {[]byte("\x05\xff\xff\xff\xff\xff"), func(c Counters) uint64 { return c.Malformed }},
		"empty frame":   {[]byte{0}, func(c Counters) uint64 { return c.Malformed }},
		"invalid slots": {invalidSlots, func(c Counters) uint64 { return c.Malformed }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, stream := rawSession(t)
			awaitEvent[core.SessionOpened](t, a)
			_, _ = stream.Write(tt.input)
			awaitEvent[core.SessionClosed](t, a)
			if got := tt.counter(a.Counters()); got != 1 {
				t.Fatalf("counted %d, want 1: %+v", got, a.Counters())
			}
			if got := a.Counters().MessagesReceived; got != 0 {
				t.Fatalf("%d messages were delivered", got)
			}
		})
	}
}

func TestTruncatedMessageIsNotDelivered(t *testing.T) {
	a, stream := rawSession(t)
	awaitEvent[core.SessionOpened](t, a)
	message := frameBytes(t, &controlpb.Frame{Body: &controlpb.Frame_Pull{Pull: &controlpb.Pull{Since: 9}}})
	_, _ = stream.Write(message[:len(message)-1])
	_ = stream.Close()
	awaitEvent[core.SessionClosed](t, a)
	if got := a.Counters().MessagesReceived; got != 0 {
		t.Fatalf("%d messages were delivered", got)
	}
}

func TestHandshakeTimesOutForSilentPeer(t *testing.T) {
	a := startNode(t, nodeOptions{id: "a"})
	conn := dialRaw(t, a.addr)
	_ = conn.SetReadDeadline(time.Now().Add(2 * handshakeTimeout))
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("read from the node: %v, want EOF", err)
	}
}

func TestSlowPeerIsDisconnected(t *testing.T) {
	a, stream := rawSession(t) // the raw peer never reads
	defer stream.Close()
	awaitEvent[core.SessionOpened](t, a)
	delta := core.Delta{Members: make([]model.Member, 100)}
	for i := range delta.Members {
		delta.Members[i] = model.Member{Node: "agent", Role: model.RoleAgent, State: model.StateAlive, Target: "t"}
	}
	start := time.Now()
	for range 100 * sendQueueLength {
		a.Send("raw", delta)
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Fatalf("Send blocked for %v", elapsed)
	}
	awaitEvent[core.SessionClosed](t, a)
	if got := a.Counters().SlowPeers; got != 1 {
		t.Fatalf("counted %d slow peers, want 1", got)
	}
}

func TestSimultaneousOpenKeepsOneSession(t *testing.T) {
	for range 20 {
		a, b := startNode(t, nodeOptions{id: "a"}), startNode(t, nodeOptions{id: "b"})
		a.Dial(b.addr)
		b.Dial(a.addr)
		eventually(t, "both nodes keep the session that a dialed", func() bool {
			fromA, fromB := a.session("b"), b.session("a")
			return fromA != nil && fromB != nil && fromA.isDialer && !fromB.isDialer
		})
		b.Send("a", core.Digest{ConfigVersion: 7})
		if got := awaitEvent[core.MessageReceived](t, a); got.Message != (core.Digest{ConfigVersion: 7}) {
			t.Fatalf("received %+v", got)
		}
		_, _ = a.Close(), b.Close()
	}
}

func TestNewerIncarnationReplacesSession(t *testing.T) {
	a := startNode(t, nodeOptions{id: "a"})
	older := startNode(t, nodeOptions{id: "b", incarnation: 1})
	older.Dial(a.addr)
	awaitEvent[core.SessionOpened](t, a)
	newer := startNode(t, nodeOptions{id: "b", incarnation: 2})
	newer.Dial(a.addr)
	awaitEvent[core.SessionClosed](t, a)
	if got := awaitEvent[core.SessionOpened](t, a); got.Member.Incarnation != 2 {
		t.Fatalf("session with incarnation %d, want 2", got.Member.Incarnation)
	}
	older.Dial(a.addr)
	expectNoEvent[core.SessionOpened](t, a)
	if got := a.session("b").peer.member.Incarnation; got != 2 {
		t.Fatalf("kept incarnation %d, want 2", got)
	}
}

func TestHandoverStream(t *testing.T) {
	a, b := startNode(t, nodeOptions{id: "a"}), startNode(t, nodeOptions{id: "b"})
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	for range 2 { // first without a session, then with one
		out, err := a.OpenStream(ctx, "b", b.addr)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = out.Write([]byte("request")); _ = out.Close() }()
		in := acceptStream(t, b)
		got, err := io.ReadAll(in)
		if err != nil || string(got) != "request" {
			t.Fatalf("read %q, %v", got, err)
		}
		_ = in.Close()
	}
	if _, err := a.OpenStream(ctx, "c", b.addr); err == nil {
		t.Fatal("opened a stream although another node listens at the address")
	}
}

// acceptStream accepts a hand-over stream, or fails the test after
// eventTimeout.
func acceptStream(t *testing.T, n *testNode) net.Conn {
	t.Helper()
	timer := time.AfterFunc(eventTimeout, func() { _ = n.StreamListener().Close() })
	defer timer.Stop()
	stream, err := n.StreamListener().Accept()
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

func TestClosedHubRejectsStreams(t *testing.T) {
	a, b := connectedPair(t)
	_ = a.Close()
	awaitEvent[core.SessionClosed](t, b)
	if _, err := a.OpenStream(t.Context(), "b", b.addr); err == nil {
		t.Fatal("closed hub opened a stream")
	}
	if _, err := a.StreamListener().Accept(); err == nil {
		t.Fatal("closed hub accepted a stream")
	}
}
