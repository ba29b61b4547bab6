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

func (b *harness) golden(name string) {
	b.t.Helper()
	goldie.New(b.t).Assert(b.t, name, b.transcript.Bytes())
}

func TestFirstHour(t *testing.T) {
	b := newHarness(t)
	file := b.file("authority.toml", authority(t))
	b.run(ExitOK, "check "+file)
	b.online()
	b.run(ExitOK, "diff "+file)
	b.run(ExitOK, "apply "+file+" --wait 0s --note first")
	b.run(ExitOK, "apply "+file+" --wait 0s")
	b.run(ExitOK, "domain out om-north-b --wait 0s --note fans")
	b.run(ExitOK, "domain out om-north-b --wait 0s")
	b.run(ExitOK, "apply --wait 0s "+file)
	b.run(ExitOK, "domain list")
	b.run(ExitOK, "domain in om-north-b --wait 0s")
	b.run(ExitOK, "domain in om-north-c --wait 0s")
	b.run(ExitOK, "target drain lease-desk-3 --wait 0s")
	b.run(ExitOK, "target undrain lease-desk-3 --wait 0s")
	edited := b.file("edited.toml", strings.Replace(authority(t), "max_slots = 10", "max_slots = 12", 1))
	b.run(ExitOK, "diff -o json "+edited)
	b.run(ExitOK, "-o json apply "+edited+" --wait 0s --base 5")
	b.run(ExitOK, "get")
	b.run(ExitOK, "get services drawings -o json")
	b.run(ExitOK, "history --limit 2")
	b.run(ExitOK, "history --change change-1-1 -o json")
	b.golden("first-hour")
	if b.store.config.DomainOut("om-north-b") {
		t.Error("the failure domain is still out")
	}
}

func TestBadInput(t *testing.T) {
	b := newHarness(t)
	bad := b.file("bad.toml", "[[domain]]\nname = \"a b\"\ncolour = 1\n[[service]]\nname = \"lease-desk\"\ndomains = [\"gone\"]\n")
	b.run(ExitBadInput, "check "+bad)
	b.run(ExitBadInput, "check absent.toml")
	b.run(ExitBadInput, "check")
	b.run(ExitBadInput, "-o yaml check "+bad)
	b.run(ExitBadInput, "frobnicate")
	b.run(ExitBadInput, "domain")
	b.run(ExitBadInput, "domain list --colour")
	b.run(ExitBadInput, "get")
	b.run(ExitBadInput, "--store lease.example:1 --cluster c get")
	b.run(ExitBadInput, "--balancer nowhere status")
	b.run(ExitBadInput, "status")
	b.run(ExitBadInput, "--timeout 5 get")
	settings := b.file("client.toml", "cluster = \"c\"\nstore = [\"ftp://127.0.0.1:1\"]\nbalancers = [\"127.0.0.1:0\"]\ntimeout = \"soon\"\n")
	b.run(ExitBadInput, "--config "+settings+" get")
	b.run(ExitBadInput, "--config "+b.file("unknown.toml", "cluster = \"c\"\ncolour = 1\n")+" get")
	b.online()
	file := b.file("authority.toml", authority(t))
	b.run(ExitBadInput, "apply "+file)
	b.run(ExitBadInput, "apply "+file+" --wait -1s")
	b.run(ExitBadInput, "apply "+file+" --wait 0s --base 9")
	b.run(ExitOK, "apply "+file+" --wait 0s")
	b.run(ExitBadInput, "domain out om-south-a --wait 0s")
	b.run(ExitBadInput, "target drain unknown-1 --wait 0s")
	b.run(ExitBadInput, "get colours")
	b.run(ExitFailure, "get service colours")
	b.run(ExitFailure, "history --change none")
	b.run(ExitBadInput, "history --limit 0")
	b.golden("bad-input")
	if b.store.config.Version != 1 {
		t.Errorf("bad input raised the version to %d", b.store.config.Version)
	}
}

// otherChange is a change by another operator.
func otherChange(id string, objects ...model.Object) configstore.Change {
	return configstore.Change{ID: id, Author: "tevita", Note: "quarterly close", At: changeTime, Objects: objects}
}

// drawingsWithSlots returns the drawings service with other slots.
func (b *harness) drawingsWithSlots(slots int) model.Object {
	o := b.store.config.Objects[model.ObjectKey{Kind: model.KindService, Name: "drawings"}]
	changed := *o.Service
	changed.MaxSlots = slots
	o.Service = &changed
	return o
}

func domainOut(name model.DomainName, out bool) model.Object {
	return model.Object{
		Key:         model.ObjectKey{Kind: model.KindDomainState, Name: string(name)},
		DomainState: &model.DomainState{Name: name, Out: out},
	}
}

func TestLostRaces(t *testing.T) {
	b := newHarness(t)
	b.online()
	file := b.file("authority.toml", authority(t))
	b.run(ExitOK, "apply "+file+" --wait 0s")
	edited := b.file("edited.toml", strings.Replace(authority(t), "max_slots = 10", "max_slots = 12", 1))

	b.store.beforeApply = func() { b.store.accept(otherChange("theirs", b.drawingsWithSlots(7))) }
	b.run(ExitConflict, "apply "+edited+" --wait 0s")
	b.run(ExitConflict, "apply "+edited+" --wait 0s --base 1")
	b.store.beforeApply = func() { b.store.accept(otherChange("same", b.drawingsWithSlots(12))) }
	b.run(ExitConflict, "apply "+edited+" --wait 0s")

	// An unrelated change does not stop a failure domain from going out.
	b.store.beforeApply = func() { b.store.accept(otherChange("unrelated", b.drawingsWithSlots(9))) }
	b.run(ExitOK, "domain out om-north-a --wait 0s")
	if !b.store.config.DomainOut("om-north-a") {
		t.Error("the failure domain is not out")
	}
	// A change of the same state does.
	b.store.beforeApply = func() { b.store.accept(otherChange("back", domainOut("om-north-a", true))) }
	b.run(ExitConflict, "domain in om-north-a --wait 0s")
	if !b.store.config.DomainOut("om-north-a") {
		t.Error("a lost race brought a failure domain back")
	}
	b.golden("lost-races")
}

// TestEndlessRace checks that the retries are bounded.
func TestEndlessRace(t *testing.T) {
	b := newHarness(t)
	b.online()
	b.run(ExitOK, "apply "+b.file("authority.toml", authority(t))+" --wait 0s")
	races := 0
	var race func()
	race = func() {
		races++
		b.store.accept(otherChange(fmt.Sprint("race-", races), b.drawingsWithSlots(races)))
		b.store.beforeApply = race
	}
	b.store.beforeApply = race
	b.run(ExitConflict, "domain out om-north-a --wait 0s")
	if races != maxAttempts {
		t.Errorf("tried %d times", races)
	}
}

func TestLostAnswers(t *testing.T) {
	b := newHarness(t)
	b.online()
	file := b.file("authority.toml", authority(t))
	b.store.loseReplies = "after"
	b.run(ExitOK, "apply "+file+" --wait 0s")
	if b.store.config.Version != 1 {
		t.Errorf("version %d", b.store.config.Version)
	}
	b.store.loseReplies = "before"
	b.run(ExitUnresolved, "--timeout 300ms domain out om-north-a --wait 0s")
	// Somebody else took the version, so the lost change can't be accepted.
	b.store.beforeApply = func() { b.store.accept(otherChange("theirs", domainOut("om-north-a", true))) }
	b.run(ExitConflict, "domain out om-north-a --wait 0s")
	b.golden("lost-answers")
}

func TestStoreUnavailable(t *testing.T) {
	b := newHarness(t)
	b.online()
	b.store.down = fmt.Errorf("no gateway answered: %w", store.ErrUnavailable)
	file := b.file("authority.toml", authority(t))
	b.run(ExitOK, "check "+file)
	b.run(ExitStoreUnavailable, "apply "+file+" --wait 0s --timeout 100ms")
	b.run(ExitStoreUnavailable, "domain list --timeout 100ms")
	b.golden("store-unavailable")
}

func TestLargeChangeIsSplit(t *testing.T) {
	b := newHarness(t)
	b.online()
	var text strings.Builder
	text.WriteString("[[domain]]\nname = \"a\"\nregion = \"r\"\n")
	for i := range 2 * configstore.MaxObjects {
		fmt.Fprintf(&text, "[[service]]\nname = \"s-%d\"\nmode = \"flow\"\naddress = \"127.0.0.1:%d\"\n", i, i+1)
		text.WriteString("domains = [\"a\"]\ntargets = [\"t\"]\nmax_slots = 1\nmax_connections = 1\n")
	}
	file := b.file("many.toml", text.String())
	if out := b.run(ExitOK, "apply "+file+" --wait 0s"); !strings.Contains(out, "accepted as version 3") {
		t.Errorf("the last lines are %s", out[len(out)-200:])
	}
	if got := len(b.store.config.Services()); got != 2*configstore.MaxObjects {
		t.Errorf("%d services", got)
	}
	// The file with 2 services removes the others, in pieces that the store takes.
	b.store.maxObjects = 50
	if out := b.run(ExitOK, "apply "+b.file("authority.toml", authority(t))+" --wait 0s"); !strings.Contains(out, "accepted as version 12 ") {
		t.Errorf("the answer ends in %s", out[len(out)-200:])
	}
	if got := len(b.store.config.Services()); got != 2 {
		t.Errorf("%d services", got)
	}
}

// TestWait has a fleet with every kind of node that may lag.
func TestWait(t *testing.T) {
	b := newHarness(t)
	b.online()
	current := b.balancer("balancer-1", 1)
	behind := b.balancer("balancer-2", 0)
	dead := b.balancer("balancer-3", 0)
	paused := b.balancer("balancer-4", 0)
	paused.address = netip.MustParseAddrPort("127.0.0.1:1")
	_, fresh := b.agent("agent-1")
	_, old := b.agent("agent-2")
	_, unknown := b.agent("agent-3")
	unknown.Admin = netip.MustParseAddrPort("127.0.0.1:3")
	asked, unwatched := b.agent("agent-5")
	asked.status.ConfigVersion = 1
	_, gone := b.agent("agent-4")
	unknown.State = adminapi.StateSuspect
	gone.State = adminapi.StateLeft
	current.status.Members = []adminapi.Member{
		behind.record(adminapi.StateAlive), dead.record(adminapi.StateDead), paused.record(adminapi.StateSuspect),
		fresh, old, unknown, unwatched, gone,
	}
	current.status.Watched = []adminapi.WatchedAgent{{Node: "agent-1", Incarnation: 1, ConfigVersion: 1}}
	behind.status.Watched = []adminapi.WatchedAgent{
		{Node: "agent-2", Incarnation: 1, ConfigVersion: 0}, {Node: "agent-3", Incarnation: 0, ConfigVersion: 1},
	}
	t.Setenv("AMARANTH_BALANCERS", current.address.String()+",127.0.0.1:2")

	file := b.file("authority.toml", authority(t))
	b.replace = append(b.replace, "127.0.0.1:1\"", "balancer-4:admin\"")
	b.run(ExitNotInForce, "apply "+file+" --wait 1s")
	b.run(ExitOK, "status")

	// The laggards catch up while a change waits.
	current.status.Members = []adminapi.Member{behind.record(adminapi.StateAlive), fresh, old}
	behind.status.ConfigVersion = 2
	current.status.ConfigVersion = 2
	current.status.Watched[0].ConfigVersion = 2
	behind.status.Watched[0].ConfigVersion = 2
	b.run(ExitOK, "domain out om-north-c --wait 5s")
	b.golden("wait")

	t.Setenv("AMARANTH_BALANCERS", "127.0.0.1:2")
	b.run(ExitNotInForce, "domain in om-north-c --wait 1s")
	b.run(ExitNoResponse, "status")
	b.run(ExitNoResponse, "flows")
	b.run(ExitNoResponse, "explain lease-desk 127.0.0.1:5000")
}

// TestNodesAheadOfTheStore has nodes of a store that was restored to an older
// state, and a node of another cluster.
func TestNodesAheadOfTheStore(t *testing.T) {
	b := newHarness(t)
	b.online()
	node := b.balancer("balancer-1", 9)
	node.status.Cluster = "authority"
	t.Setenv("AMARANTH_BALANCERS", node.address.String())
	b.run(ExitNotInForce, "apply "+b.file("authority.toml", authority(t))+" --wait 5s")
	b.run(ExitOK, "status")
	node.status.Cluster = "vatukoula"
	b.run(ExitBadInput, "status")
	b.golden("ahead")

	// A later change of somebody else is no such case.
	node.status.Cluster = "authority"
	for range 8 {
		b.store.accept(otherChange("later", domainOut("om-north-a", true)))
	}
	b.run(ExitOK, "domain out om-north-a --wait 5s")
}

func TestStatusJSON(t *testing.T) {
	b := newHarness(t)
	node := b.balancer("balancer-1", 4)
	t.Setenv("AMARANTH_BALANCERS", node.address.String())
	var report statusReport
	if err := json.Unmarshal([]byte(b.run(ExitOK, "status -o json")), &report); err != nil {
		t.Fatal(err)
	}
	if len(report.Nodes) != 1 || !report.Nodes[0].Answered || report.Nodes[0].ConfigVersion != 4 || report.StoreVersion != nil {
		t.Errorf("got %+v", report)
	}
}

func TestFlowsAndExplain(t *testing.T) {
	b := newHarness(t)
	caller := netip.MustParseAddrPort("127.0.3.7:5000")
	node := b.balancer("balancer-1", 4)
	home, homeRecord := b.agent("agent-1")
	holder, holderRecord := b.agent("agent-2")
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
	b.run(ExitOK, "flows --service lease-desk")
	b.run(ExitOK, "explain lease-desk 127.0.3.7:5000")
	b.run(ExitBadInput, "explain lease-desk caller")
	b.run(ExitBadInput, "flows --limit 0")
	node.refusal = `service "rents" is not declared`
	b.run(ExitBadInput, "explain rents 127.0.3.7:5000")
	b.golden("flows")
}

func TestConclusions(t *testing.T) {
	balancer := func(home model.NodeID, admits bool) adminapi.Explanation {
		return adminapi.Explanation{Route: &adminapi.Route{Home: home, Candidates: []adminapi.Candidate{{Node: home, AcceptsNewFlows: admits}}}}
	}
	held := adminapi.Explanation{Node: "agent-2", LocalFlow: &adminapi.Flow{}}
	cases := []struct {
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
	for _, c := range cases {
		got := deriveConclusion(&explainReport{Balancers: c.balancers, Agents: c.agents})
		if !strings.Contains(got, c.want) {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}

func TestInterruptedCommandEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if sleep(ctx, time.Hour) {
		t.Error("slept through the end of the context")
	}
}
