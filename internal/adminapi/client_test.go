package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

func startServer(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func TestStatusRoundTrip(t *testing.T) {
	member := model.Member{
		Node: "agent-1", Role: model.RoleAgent, State: model.StateSuspect,
		Incarnation: 1<<63 + 1, Domain: "om-north-a",
		AdminAddr: netip.MustParseAddrPort("127.0.0.9:9000"),
	}
	want := Status{
		Node: "balancer-1", Role: RoleBalancer, Incarnation: 1<<62 + 7, ConfigVersion: 5,
		Members: []Member{NewMember(&member, 4)},
		Watched: []WatchedAgent{{Node: "agent-1", Incarnation: 1<<63 + 1, ConfigVersion: 4}},
	}
	node := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != PathStatus || r.URL.Query().Get(ParamMembers) != "all" {
			t.Errorf("unexpected request for %s", r.URL)
		}
		json.NewEncoder(w).Encode(want)
	})
	got, err := NewClient(0).Status(t.Context(), node, MembersAll)
	if err != nil {
		t.Fatal(err)
	}
	if got.Incarnation != want.Incarnation || got.Members[0] != want.Members[0] || got.Watched[0] != want.Watched[0] {
		t.Errorf("got %+v", got)
	}
	if !got.Members[0].State.IsUp() || State("dead").IsUp() {
		t.Error("a suspect member is up and a dead one is not")
	}
}

func TestClientErrors(t *testing.T) {
	notFound := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		json.NewEncoder(w).Encode(Problem{Message: `service "nope" is not declared`})
	})
	var statusErr *StatusError
	_, err := NewClient(0).Explain(t.Context(), notFound, "nope", netip.MustParseAddrPort("127.0.0.1:1"))
	if !errors.As(err, &statusErr) || statusErr.Code != http.StatusNotFound || !strings.Contains(err.Error(), "not declared") {
		t.Errorf("got %v", err)
	}

	oversized := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 1<<20)
		for range 9 {
			w.Write(chunk)
		}
	})
	if _, err := NewClient(0).Flows(t.Context(), oversized, "", 1); !errors.Is(err, ErrResponseTooLarge) {
		t.Errorf("got %v", err)
	}

	release := make(chan struct{})
	unresponsive := startServer(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	if _, err := NewClient(50*time.Millisecond).Status(t.Context(), unresponsive, MembersNone); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}

func TestFanOutIsBoundedAndOrdered(t *testing.T) {
	nodes := make([]netip.AddrPort, 3*MaxConcurrentCalls)
	for i := range nodes {
		nodes[i] = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
	}
	var open, peak atomic.Int64
	results := FanOut(t.Context(), nodes, func(_ context.Context, node netip.AddrPort) (*uint16, error) {
		for now := open.Add(1); ; {
			previous := peak.Load()
			if now <= previous || peak.CompareAndSwap(previous, now) {
				break
			}
		}
		time.Sleep(time.Millisecond)
		open.Add(-1)
		port := node.Port()
		return &port, nil
	})
	for i, result := range results {
		if result.Node != nodes[i] || *result.Value != nodes[i].Port() {
			t.Fatalf("result %d is of node %s", i, result.Node)
		}
	}
	if peak.Load() > MaxConcurrentCalls {
		t.Errorf("%d concurrent calls", peak.Load())
	}
}
