package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/adminapi"
	"amaranthwheel.example/amaranthwheel/internal/configstore"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/store"
)

// fakeStore is a ConfigStore in memory.
type fakeStore struct {
	config  *model.Config
	records []configstore.Record
	// beforeApply runs before each Apply, as another operator would.
	beforeApply func()
	// loseReplies makes Apply report an unknown outcome: "after" the write
	// took effect, "before" it did.
	loseReplies string
	// maxObjects is the most objects that Apply takes.
	maxObjects int
	// down fails every call.
	down error
}

func newFakeStore() *fakeStore {
	return &fakeStore{config: model.NewConfig(), maxObjects: configstore.MaxObjects}
}

func (f *fakeStore) Load(_ context.Context, since uint64) (configstore.Snapshot, error) {
	return configstore.Snapshot{Version: f.config.Version, Objects: f.config.ChangedSince(since)}, f.down
}

func (f *fakeStore) Apply(_ context.Context, base uint64, ch configstore.Change) (configstore.Record, error) {
	if hook := f.beforeApply; hook != nil {
		f.beforeApply = nil
		hook()
	}
	if len(ch.Objects) > f.maxObjects {
		return configstore.Record{}, &configstore.TooLargeError{ID: ch.ID, Objects: len(ch.Objects)}
	}
	unresolved := &configstore.UnresolvedError{ID: ch.ID, Base: base, Err: store.ErrOutcomeUnknown}
	if f.loseReplies == "before" {
		return configstore.Record{}, unresolved
	}
	if base != f.config.Version {
		winners := recordsAbove(f.records, base)
		return configstore.Record{}, &configstore.ConflictError{Base: base, Current: f.config.Version, Winners: winners}
	}
	record := f.accept(ch)
	if f.loseReplies == "after" {
		return configstore.Record{}, unresolved
	}
	return record, f.down
}

// accept raises the version with the change.
func (f *fakeStore) accept(ch configstore.Change) configstore.Record {
	version := f.config.Version + 1
	for i := range ch.Objects {
		ch.Objects[i].Version = version
	}
	f.config.Merge(version, ch.Objects)
	record := configstore.Record{Version: version, Change: ch}
	f.records = append([]configstore.Record{record}, f.records...)
	return record
}

func (f *fakeStore) History(_ context.Context, limit int) ([]configstore.Record, error) {
	return slices.Clone(f.records[:min(limit, len(f.records))]), f.down
}

// bench runs amaranthctl in the process and keeps a transcript.
type harness struct {
	t          *testing.T
	store      *fakeStore
	transcript bytes.Buffer
	replace    []string
}

// changeTime is the time that changes of the tests are recorded with.
var changeTime = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

func newHarness(t *testing.T) *harness {
	for _, name := range []string{"CONFIG", "CLUSTER", "STORE", "BALANCERS", "AUTHOR"} {
		t.Setenv("AMARANTH_"+name, "")
		os.Unsetenv("AMARANTH_" + name)
	}
	t.Setenv("USER", "salma")
	return &harness{t: t, store: newFakeStore()}
}

// run runs a command line against the fake store and requires the exit code.
func (b *harness) run(want int, line string) string {
	b.t.Helper()
	var stdout, stderr bytes.Buffer
	app := New(&stdout, &stderr)
	app.OpenStore = func(StoreSettings) ConfigStore { return b.store }
	app.Now = func() time.Time { return changeTime }
	changes := 0
	app.NewChangeID = func() string {
		changes++
		return fmt.Sprintf("change-%d-%d", b.store.config.Version, changes)
	}
	app.MaxPollInterval = 10 * time.Millisecond
	code := app.Run(b.t.Context(), append([]string{"amaranthctl"}, strings.Fields(line)...))
	text := strings.NewReplacer(b.replace...).Replace(fmt.Sprintf("$ amaranthctl %s\n%s%sexit code %d\n\n", line, &stdout, &stderr, code))
	b.transcript.WriteString(text)
	if code != want {
		b.t.Errorf("exit code %d, want %d:\n%s", code, want, text)
	}
	return stdout.String() + stderr.String()
}

// online names the store and the cluster for the following runs.
func (b *harness) online() {
	b.t.Setenv("AMARANTH_STORE", "http://127.0.0.1:2379")
	b.t.Setenv("AMARANTH_CLUSTER", "authority")
}

// file writes a file and returns its path, which transcripts show by name.
func (b *harness) file(name, text string) string {
	b.t.Helper()
	dir := b.t.TempDir()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	b.replace = append(b.replace, dir+"/", "")
	return path
}

// authority returns the Authority's declared file.
func authority(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../operator/examples/authority/testdata/authority.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// fakeNode serves the admin API.
type fakeNode struct {
	status      adminapi.Status
	flows       adminapi.Flows
	explanation adminapi.Explanation
	refusal     string // message of a 404 answer
	address     netip.AddrPort
}

// serve starts the node; transcripts show its address by its name.
func (b *harness) serve(n *fakeNode) *fakeNode {
	answers := map[string]any{
		adminapi.PathStatus: &n.status, adminapi.PathFlows: &n.flows, adminapi.PathExplain: &n.explanation,
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.refusal != "" {
			w.WriteHeader(http.StatusNotFound)
			json.NewEncoder(w).Encode(adminapi.Problem{Message: n.refusal})
			return
		}
		json.NewEncoder(w).Encode(answers[r.URL.Path])
	}))
	b.t.Cleanup(server.Close)
	n.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	b.replace = append(b.replace, n.address.String(), string(n.status.Node)+":admin")
	return n
}

// balancer starts a balancer that holds the version.
func (b *harness) balancer(name model.NodeID, version uint64) *fakeNode {
	return b.serve(&fakeNode{status: adminapi.Status{
		Node: name, Role: adminapi.RoleBalancer, Incarnation: 1, Domain: "om-north-a", ConfigVersion: version, Peers: 3,
	}})
}

// agent starts an agent and returns its member record.
func (b *harness) agent(name model.NodeID) (*fakeNode, adminapi.Member) {
	n := b.serve(&fakeNode{status: adminapi.Status{Node: name, Role: adminapi.RoleAgent, Incarnation: 1}})
	return n, adminapi.Member{
		Node: name, Role: adminapi.RoleAgent, State: adminapi.StateAlive, Incarnation: 1, Revision: 1, Domain: "om-north-b",
		Admin: n.address, Service: "lease-desk", Target: "lease-desk-" + model.TargetName(name), Slots: 10,
	}
}

// record returns the member record of a node.
func (n *fakeNode) record(state adminapi.State) adminapi.Member {
	return adminapi.Member{
		Node: n.status.Node, Role: n.status.Role, State: state, Incarnation: n.status.Incarnation,
		Revision: 1, Domain: n.status.Domain, Admin: n.address,
	}
}
