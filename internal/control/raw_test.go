package control

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"amaranthwheel.example/amaranthwheel/internal/controlpb"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

func dialRaw(t *testing.T, addr netip.AddrPort) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// rawSession starts a node, opens an authenticated session to it without a hub
// and returns the node and the session's control stream.
func rawSession(t *testing.T) (*testNode, net.Conn) {
	t.Helper()
	n := startNode(t, nodeOptions{id: "a"})
	conn := dialRaw(t, n.addr)
	id := identity{
		cluster: "om-north", secrets: [][]byte{[]byte("first")},
		member: model.Member{Node: "raw", Role: model.RoleAgent, State: model.StateAlive},
	}
	if _, err := id.handshakeAsDialer(conn); err != nil {
		t.Fatal(err)
	}
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	mux, err := yamux.Client(conn, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = mux.Close() })
	stream, err := mux.Open()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Write([]byte{byte(streamControl)}); err != nil {
		t.Fatal(err)
	}
	return n, stream
}

func rawHello(t *testing.T, node string) []byte {
	t.Helper()
	return mustMarshal(t, &controlpb.Hello{
		Protocol: protocolVersion, Cluster: "om-north", Nonce: make([]byte, nonceBytes),
		Member: &controlpb.Member{Node: node, Role: 1, State: 1},
	})
}

func mustMarshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	raw, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func frameBytes(t testing.TB, f *controlpb.Frame) []byte {
	t.Helper()
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, f); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}
