package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/direct"
)

// startHost serves the views of a host at the address and returns the address;
// port 0 selects a free port.
func startHost(t *testing.T, address string, view steering.View, flowView steering.FlowView) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(direct.ViewPath, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(view) })
	mux.HandleFunc(direct.FlowPath, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("flow") != exampleFlow {
			http.Error(w, "another flow", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(flowView)
	})
	server := httptest.NewUnstartedServer(mux)
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

const exampleFlow = "100.64.0.7:1025>198.18.0.1:443"

func newPeerView(ip string, lastSeenMS int64) steering.PeerView {
	return steering.PeerView{Address: netip.AddrPortFrom(netip.MustParseAddr(ip), 7000), LastSeenMS: lastSeenMS}
}

// startHosts starts a balancer and an agent that know each other, and returns
// the address of the agent. The balancer also knows an agent that does not
// exist.
func startHosts(t *testing.T) string {
	t.Helper()
	agent := startHost(t, "127.0.0.11:0", steering.View{
		Role: "agent", Node: "agent-1", Domain: "a", Revision: 9, Flows: 3, Refusal: "draining",
		Demand: []steering.DemandView{{DemandCount: steering.DemandCount{Service: "desk", Priority: 1, Admitted: 30, Refused: map[string]uint64{"draining": 2, "busy": 5}}}},
		Target: &steering.TargetView{Instance: "i-1", Service: "desk", Slots: 4, InFlight: 2, LastSeenMS: 340},
		Peers:  []steering.PeerView{newPeerView("127.0.0.12", 100)},
	}, steering.FlowView{Role: "agent", Node: "agent-1", Known: true, State: "held", LastSeenMS: 1250, RequestInFlight: true})
	balancer := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.12"), agent.Port())
	startHost(t, balancer.String(), steering.View{
		Role: "balancer", Node: "balancer-1", Domain: "a", Version: 4, Revision: 9, ConfirmedMS: 1100, Flows: 2, DomainsOut: []string{"b"},
		Demand: []steering.DemandView{
			{DemandCount: steering.DemandCount{Service: "desk", Priority: 1, Asked: 41, Admitted: 30, Queued: 9, Late: 4}, Waiting: 3, OldestWaitMS: 340},
			{DemandCount: steering.DemandCount{Service: "desk", Priority: 2, Asked: 7, Refused: map[string]uint64{"overload": 7}}},
		},
		Peers: []steering.PeerView{newPeerView("127.0.0.11", 40), newPeerView("127.0.0.13", -1)},
	}, steering.FlowView{Role: "balancer", Node: "balancer-1", State: "unknown", LastSeenMS: -1})
	return agent.String()
}

func runDirect(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = New(&stdout, &stderr).Run(context.Background(), append([]string{"amaranthctl", "direct"}, args...))
	return stdout.String() + stderr.String(), code
}

func requireOutput(t *testing.T, out string, want ...string) {
	t.Helper()
	text := strings.Join(strings.Fields(out), " ")
	for _, w := range want {
		if !strings.Contains(text, w) {
			t.Errorf("%q is missing in:\n%s", w, out)
		}
	}
}

func TestDirectStatusFindsAllHosts(t *testing.T) {
	out, code := runDirect(t, "status", "--host", startHosts(t))
	if code != ExitOK {
		t.Fatalf("exit code %d: %s", code, out)
	}
	requireOutput(t, out,
		"balancer-1 balancer a 4 9 1.1 s ago 2 - 1 of 2 agents answered, out: b",
		"agent-1 agent a - 9 - 3 - refuses: draining, i-1 of desk, 2 in work on 4 slots, heard 0.3 s ago",
		"127.0.0.13", "did not answer",
		"SERVICE PRIORITY COUNTED BY ASKED ADMITTED LATE WAITING OLDEST REFUSED",
		"desk 1 balancers 41 30 4 3 340 ms -",
		"desk 1 agents - 30 - - - busy 5, draining 2",
		"desk 2 balancers 7 - - - - overload 7")
}

func TestDirectExplainShowsTheFlowAtEachHost(t *testing.T) {
	out, code := runDirect(t, "explain", "--host", startHosts(t), exampleFlow)
	if code != ExitOK {
		t.Fatalf("exit code %d: %s", code, out)
	}
	requireOutput(t, out, "flow "+exampleFlow+" is known to 1 of 2 hosts", "agent-1 agent held - 1.2 s ago yes")
}

func TestDirectRejectsInvalidInput(t *testing.T) {
	for _, c := range []struct {
		want string
		code int
		args []string
	}{
		{`flow "100.64.0.7": want caller>address`, ExitBadInput, []string{"explain", "--host", "127.0.0.1:1", "100.64.0.7"}},
		{`--host "here" is no address`, ExitBadInput, []string{"status", "--host", "here"}},
		{"no host answered", ExitNoResponse, []string{"status", "--host", "127.0.0.14:1"}},
	} {
		out, code := runDirect(t, c.args...)
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%v: exit code %d, %s; want %d, %s", c.args, code, out, c.code, c.want)
		}
	}
}

// Revisions above 2^53 reach the operator unchanged, also from a store that was restored
// (review/15).
func TestHighRevisionsAreShownWhole(t *testing.T) {
	for want, view := range map[string]steering.View{
		"9007199254740993":       {Era: 1, Revision: 1<<53 + 1},
		"9223372036854775807":    {Revision: math.MaxInt64},
		"3:9007199254740993":     {Era: 3, Revision: 1<<53 + 1},
		"18446744073709551615:7": {Era: math.MaxUint64, Revision: 7},
	} {
		data, err := json.Marshal(view)
		if err != nil {
			t.Fatal(err)
		}
		var read steering.View
		if err := json.Unmarshal(data, &read); err != nil {
			t.Fatal(err)
		}
		if got := formatRevision(read); got != want {
			t.Errorf("%s is shown as %s, want %s", data, got, want)
		}
	}
}
