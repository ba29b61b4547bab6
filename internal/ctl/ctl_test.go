package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/configstore"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

func (h *harness) golden(name string) {
	h.t.Helper()
	goldie.New(h.t).Assert(h.t, name, h.transcript.Bytes())
}

func TestTypicalSession(t *testing.T) {
	h := newHarness(t)
	file := h.writeFile("authority.toml", readAuthorityFile(t))
	h.run(ExitOK, "check "+file)
	h.setStoreEnv()
	h.run(ExitOK, "diff "+file)
	h.run(ExitOK, "apply "+file+" --wait 0s --note first")
	h.run(ExitOK, "apply "+file+" --wait 0s")
	h.run(ExitOK, "domain out om-north-b --wait 0s --note fans")
	h.run(ExitOK, "domain out om-north-b --wait 0s")
	h.run(ExitOK, "apply --wait 0s "+file)
	h.run(ExitOK, "domain list")
	h.run(ExitOK, "domain in om-north-b --wait 0s")
	h.run(ExitOK, "domain in om-north-c --wait 0s")
	h.run(ExitOK, "target drain lease-desk-3 --wait 0s")
	h.run(ExitOK, "target undrain lease-desk-3 --wait 0s")
	edited := h.writeFile("edited.toml", strings.Replace(readAuthorityFile(t), "max_slots = 10", "max_slots = 12", 1))
	h.run(ExitOK, "diff -o json "+edited)
	h.run(ExitOK, "-o json apply "+edited+" --wait 0s --base 5")
	h.run(ExitOK, "get")
	h.run(ExitOK, "get services drawings -o json")
	h.run(ExitOK, "history --limit 2")
	h.run(ExitOK, "history --change change-1-1 -o json")
	h.golden("typical-session")
	if h.store.config.DomainOut("om-north-b") {
		t.Error("the failure domain is still out")
	}
}

func TestBadInput(t *testing.T) {
	h := newHarness(t)
	bad := h.writeFile("bad.toml", "[[domain]]\nname = \"a b\"\ncolour = 1\n[[service]]\nname = \"lease-desk\"\ndomains = [\"gone\"]\n")
	h.run(ExitBadInput, "check "+bad)
	h.run(ExitBadInput, "check absent.toml")
	h.run(ExitBadInput, "check")
	h.run(ExitBadInput, "-o yaml check "+bad)
	h.run(ExitBadInput, "frobnicate")
	h.run(ExitBadInput, "domain")
	h.run(ExitBadInput, "domain list --colour")
	h.run(ExitBadInput, "get")
	h.run(ExitBadInput, "--store lease.example:1 --cluster c get")
	h.run(ExitBadInput, "--balancer nowhere status")
	h.run(ExitBadInput, "status")
	h.run(ExitBadInput, "--timeout 5 get")
	settings := h.writeFile("client.toml", "cluster = \"c\"\nstore = [\"ftp://127.0.0.1:1\"]\nbalancers = [\"127.0.0.1:0\"]\ntimeout = \"soon\"\n")
	h.run(ExitBadInput, "--config "+settings+" get")
	h.run(ExitBadInput, "--config "+h.writeFile("unknown.toml", "cluster = \"c\"\ncolour = 1\n")+" get")
	h.setStoreEnv()
	file := h.writeFile("authority.toml", readAuthorityFile(t))
	h.run(ExitBadInput, "apply "+file)
	h.run(ExitBadInput, "apply "+file+" --wait -1s")
	h.run(ExitBadInput, "apply "+file+" --wait 0s --base 9")
	h.run(ExitOK, "apply "+file+" --wait 0s")
	h.run(ExitBadInput, "domain out om-south-a --wait 0s")
	h.run(ExitBadInput, "target drain unknown-1 --wait 0s")
	h.run(ExitBadInput, "get colours")
	h.run(ExitFailure, "get service colours")
	h.run(ExitFailure, "history --change none")
	h.run(ExitBadInput, "history --limit 0")
	h.golden("bad-input")
	if h.store.config.Version != 1 {
		t.Errorf("invalid input increased the version to %d", h.store.config.Version)
	}
}

// concurrentChange returns a change by another operator.
func concurrentChange(id string, objects ...model.Object) configstore.Change {
	return configstore.Change{ID: id, Author: "tevita", Note: "quarterly close", At: changeTime, Objects: objects}
}

// drawingsWithSlots returns the drawings service with another number of slots.
func (h *harness) drawingsWithSlots(slots int) model.Object {
	o := h.store.config.Objects[model.ObjectKey{Kind: model.KindService, Name: "drawings"}]
	changed := *o.Service
	changed.MaxSlots = slots
	o.Service = &changed
	return o
}

func domainStateObject(name model.DomainName, out bool) model.Object {
	return model.Object{
		Key:         model.ObjectKey{Kind: model.KindDomainState, Name: string(name)},
		DomainState: &model.DomainState{Name: name, Out: out},
	}
}

func TestConflicts(t *testing.T) {
	h := newHarness(t)
	h.setStoreEnv()
	file := h.writeFile("authority.toml", readAuthorityFile(t))
	h.run(ExitOK, "apply "+file+" --wait 0s")
	edited := h.writeFile("edited.toml", strings.Replace(readAuthorityFile(t), "max_slots = 10", "max_slots = 12", 1))

	h.store.beforeApply = func() { h.store.accept(concurrentChange("theirs", h.drawingsWithSlots(7))) }
	h.run(ExitConflict, "apply "+edited+" --wait 0s")
	h.run(ExitConflict, "apply "+edited+" --wait 0s --base 1")
	h.store.beforeApply = func() { h.store.accept(concurrentChange("same", h.drawingsWithSlots(12))) }
	h.run(ExitConflict, "apply "+edited+" --wait 0s")

	// A concurrent change of another object does not prevent the change.
	h.store.beforeApply = func() { h.store.accept(concurrentChange("unrelated", h.drawingsWithSlots(9))) }
	h.run(ExitOK, "domain out om-north-a --wait 0s")
	if !h.store.config.DomainOut("om-north-a") {
		t.Error("the failure domain is not out")
	}
	// A concurrent change of the same state does.
	h.store.beforeApply = func() { h.store.accept(concurrentChange("back", domainStateObject("om-north-a", true))) }
	h.run(ExitConflict, "domain in om-north-a --wait 0s")
	if !h.store.config.DomainOut("om-north-a") {
		t.Error("a rejected change brought the failure domain back into service")
	}
	h.golden("conflicts")
}

// TestRetriesOnConflictAreBounded has another change accepted before every
// attempt.
func TestRetriesOnConflictAreBounded(t *testing.T) {
	h := newHarness(t)
	h.setStoreEnv()
	h.run(ExitOK, "apply "+h.writeFile("authority.toml", readAuthorityFile(t))+" --wait 0s")
	conflicts := 0
	var acceptAnother func()
	acceptAnother = func() {
		conflicts++
		h.store.accept(concurrentChange(fmt.Sprint("race-", conflicts), h.drawingsWithSlots(conflicts)))
		h.store.beforeApply = acceptAnother
	}
	h.store.beforeApply = acceptAnother
	h.run(ExitConflict, "domain out om-north-a --wait 0s")
	if conflicts != maxAttempts {
		t.Errorf("%d attempts", conflicts)
	}
}

func TestLostReplies(t *testing.T) {
	h := newHarness(t)
	h.setStoreEnv()
	file := h.writeFile("authority.toml", readAuthorityFile(t))
	h.store.loseReplies = "after"
	h.run(ExitOK, "apply "+file+" --wait 0s")
	if h.store.config.Version != 1 {
		t.Errorf("version %d", h.store.config.Version)
	}
	h.store.loseReplies = "before"
	h.run(ExitUnresolved, "--timeout 300ms domain out om-north-a --wait 0s")
	// Another change has the version, so the unresolved one cannot be accepted
	// any more.
	h.store.beforeApply = func() { h.store.accept(concurrentChange("theirs", domainStateObject("om-north-a", true))) }
	h.run(ExitConflict, "domain out om-north-a --wait 0s")
	h.golden("lost-replies")
}

func TestStoreUnavailable(t *testing.T) {
	h := newHarness(t)
	h.setStoreEnv()
	h.store.err = fmt.Errorf("no gateway answered: %w", store.ErrUnavailable)
	file := h.writeFile("authority.toml", readAuthorityFile(t))
	h.run(ExitOK, "check "+file)
	h.run(ExitStoreUnavailable, "apply "+file+" --wait 0s --timeout 100ms")
	h.run(ExitStoreUnavailable, "domain list --timeout 100ms")
	h.golden("store-unavailable")
}

func TestLargeChangeIsSplit(t *testing.T) {
	h := newHarness(t)
	h.setStoreEnv()
	var text strings.Builder
	text.WriteString("[[domain]]\nname = \"a\"\nregion = \"r\"\n")
	for i := range 2 * configstore.MaxObjects {
		fmt.Fprintf(&text, "[[service]]\nname = \"s-%d\"\nmode = \"flow\"\naddress = \"127.0.0.1:%d\"\n", i, i+1)
		text.WriteString("domains = [\"a\"]\ntargets = [\"t\"]\nmax_slots = 1\nmax_connections = 1\n")
	}
	file := h.writeFile("many.toml", text.String())
	if out := h.run(ExitOK, "apply "+file+" --wait 0s"); !strings.Contains(out, "accepted as version 3") {
		t.Errorf("the output ends in %s", out[len(out)-200:])
	}
	if got := len(h.store.config.Services()); got != 2*configstore.MaxObjects {
		t.Errorf("%d services", got)
	}
	// The file with 2 services removes the others, in changes of a size that the
	// store accepts.
	h.store.maxObjects = 50
	if out := h.run(ExitOK, "apply "+h.writeFile("authority.toml", readAuthorityFile(t))+" --wait 0s"); !strings.Contains(out, "accepted as version 12 ") {
		t.Errorf("the output ends in %s", out[len(out)-200:])
	}
	if got := len(h.store.config.Services()); got != 2 {
		t.Errorf("%d services", got)
	}
}

// TestWaitReportsLaggingNodes has a fleet with every kind of lagging node.
func TestWaitReportsLaggingNodes(t *testing.T) {
	h := newHarness(t)
	h.setStoreEnv()
	current := h.startBalancer("balancer-1", 1)
	behind := h.startBalancer("balancer-2", 0)
	dead := h.startBalancer("balancer-3", 0)
	paused := h.startBalancer("balancer-4", 0)
	paused.address = netip.MustParseAddrPort("127.0.0.1:1")
	_, currentAgent := h.startAgent("agent-1")
	_, laggingAgent := h.startAgent("agent-2")
	_, unknown := h.startAgent("agent-3")
	unknown.Admin = netip.MustParseAddrPort("127.0.0.1:3")
	queriedNode, unwatched := h.startAgent("agent-5")
	queriedNode.status.ConfigVersion = 1
	_, gone := h.startAgent("agent-4")
	unknown.State = adminapi.StateSuspect
	gone.State = adminapi.StateLeft
	current.status.Members = []adminapi.Member{
		behind.memberRecord(adminapi.StateAlive), dead.memberRecord(adminapi.StateDead), paused.memberRecord(adminapi.StateSuspect),
		currentAgent, laggingAgent, unknown, unwatched, gone,
	}
	current.status.Watched = []adminapi.WatchedAgent{{Node: "agent-1", Incarnation: 1, ConfigVersion: 1}}
	behind.status.Watched = []adminapi.WatchedAgent{
		{Node: "agent-2", Incarnation: 1, ConfigVersion: 0}, {Node: "agent-3", Incarnation: 0, ConfigVersion: 1},
	}
	t.Setenv("AMARANTH_BALANCERS", current.address.String()+",127.0.0.1:2")

	file := h.writeFile("authority.toml", readAuthorityFile(t))
	h.replacements = append(h.replacements, "127.0.0.1:1\"", "balancer-4:admin\"")
	h.run(ExitNotInForce, "apply "+file+" --wait 1s")
	h.run(ExitOK, "status")

	// The lagging nodes catch up while a command waits.
	current.status.Members = []adminapi.Member{behind.memberRecord(adminapi.StateAlive), currentAgent, laggingAgent}
	behind.status.ConfigVersion = 2
	current.status.ConfigVersion = 2
	current.status.Watched[0].ConfigVersion = 2
	behind.status.Watched[0].ConfigVersion = 2
	h.run(ExitOK, "domain out om-north-c --wait 5s")
	h.golden("wait")

	t.Setenv("AMARANTH_BALANCERS", "127.0.0.1:2")
	h.run(ExitNotInForce, "domain in om-north-c --wait 1s")
	h.run(ExitNoResponse, "status")
	h.run(ExitNoResponse, "flows")
	h.run(ExitNoResponse, "explain lease-desk 127.0.0.1:5000")
}

// TestNodesAheadOfTheStore has a node whose version is not in the store, as
// after the restore of an older backup, and a node of another cluster.
func TestNodesAheadOfTheStore(t *testing.T) {
	h := newHarness(t)
	h.setStoreEnv()
	node := h.startBalancer("balancer-1", 9)
	node.status.Cluster = "authority"
	t.Setenv("AMARANTH_BALANCERS", node.address.String())
	h.run(ExitNotInForce, "apply "+h.writeFile("authority.toml", readAuthorityFile(t))+" --wait 5s")
	h.run(ExitOK, "status")
	node.status.Cluster = "vatukoula"
	h.run(ExitBadInput, "status")
	h.golden("ahead")

	// A newer version by another operator is not reported as ahead of the store.
	node.status.Cluster = "authority"
	for range 8 {
		h.store.accept(concurrentChange("later", domainStateObject("om-north-a", true)))
	}
	h.run(ExitOK, "domain out om-north-a --wait 5s")
}

func TestStatusJSON(t *testing.T) {
	h := newHarness(t)
	node := h.startBalancer("balancer-1", 4)
	t.Setenv("AMARANTH_BALANCERS", node.address.String())
	var report statusReport
	if err := json.Unmarshal([]byte(h.run(ExitOK, "status -o json")), &report); err != nil {
		t.Fatal(err)
	}
	if len(report.Nodes) != 1 || !report.Nodes[0].Answered || report.Nodes[0].ConfigVersion != 4 || report.StoreVersion != nil {
		t.Errorf("got %+v", report)
	}
}

func TestFlowsAndExplain(t *testing.T) {
	h := newHarness(t)
	caller := netip.MustParseAddrPort("127.0.3.7:5000")
	node := h.startBalancer("balancer-1", 4)
	home, homeRecord := h.startAgent("agent-1")
	holder, holderRecord := h.startAgent("agent-2")
	node.status.Members = []adminapi.Member{homeRecord, holderRecord}
	flow := adminapi.Flow{Caller: caller, Service: "lease-desk", Established: true, Since: changeTime, LastSeen: changeTime.Add(time.Hour), Home: "agent-1"}
	holder.flows = adminapi.Flows{Node: "agent-2", Local: 7, DirectoryEntries: 2, Flows: []adminapi.Flow{flow}, Truncated: true}
	home.flows = adminapi.Flows{Node: "agent-1", DirectoryEntries: 5}
	node.explanation = adminapi.Explanation{Node: "balancer-1", Role: adminapi.RoleBalancer, ConfigVersion: 4, Route: &adminapi.Route{
		Home: "agent-1", Digest: "3fa9c01b", CandidatesTotal: 1,
		Candidates: []adminapi.Candidate{{
			Rank: 1, Node: "agent-1", Target: "lease-desk-1", Domain: "om-north-b", Admin: home.address,
			State: adminapi.StateAlive, Score: 18446744073709551615, AcceptsNewFlows: true, Reason: "highest score",
		}},
	}}
	home.explanation = adminapi.Explanation{Node: "agent-1", Role: adminapi.RoleAgent, Directory: &adminapi.DirectoryEntry{
		Holder: "agent-2", HolderAdmin: holder.address, Since: changeTime, Established: true,
	}}
	holder.explanation = adminapi.Explanation{Node: "agent-2", Role: adminapi.RoleAgent, LocalFlow: &flow}
	t.Setenv("AMARANTH_BALANCERS", node.address.String())
	h.run(ExitOK, "flows --service lease-desk")
	h.run(ExitOK, "explain lease-desk 127.0.3.7:5000")
	h.run(ExitBadInput, "explain lease-desk caller")
	h.run(ExitBadInput, "flows --limit 0")
	node.notFound = `service "rents" is not declared`
	h.run(ExitBadInput, "explain rents 127.0.3.7:5000")
	h.golden("flows")
}

func TestConclusions(t *testing.T) {
	balancer := func(home model.NodeID, admits bool) adminapi.Explanation {
		return adminapi.Explanation{Route: &adminapi.Route{Home: home, Candidates: []adminapi.Candidate{{Node: home, AcceptsNewFlows: admits}}}}
	}
	held := adminapi.Explanation{Node: "agent-2", LocalFlow: &adminapi.Flow{}}
	tests := []struct {
		want      string
		balancers []adminapi.Explanation
		agents    []adminapi.Explanation
	}{
		{"would be refused", []adminapi.Explanation{{Route: &adminapi.Route{}}}, nil},
		{"offered first to agent-1", []adminapi.Explanation{balancer("agent-1", true)}, nil},
		{"no candidate admits", []adminapi.Explanation{balancer("agent-1", false)}, nil},
		{"differently", []adminapi.Explanation{balancer("agent-1", true), balancer("agent-2", true)}, []adminapi.Explanation{held}},
		{"ranks first", []adminapi.Explanation{balancer("agent-2", true)}, []adminapi.Explanation{held}},
		{"has yet to register", []adminapi.Explanation{balancer("agent-1", true)}, []adminapi.Explanation{held}},
	}
	for _, c := range tests {
		got := deriveConclusion(&explainReport{Balancers: c.balancers, Agents: c.agents})
		if !strings.Contains(got, c.want) {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}

func TestSleepStopsWhenContextIsCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if sleep(ctx, time.Hour) {
		t.Error("sleep did not stop when the context was canceled")
	}
}
