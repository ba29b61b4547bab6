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

// fakeStore is an in-memory ConfigStore.
type fakeStore struct {
	config  *model.Config
	records []configstore.Record
	// beforeApply runs once, before the next Apply, to simulate a concurrent
	// change.
	beforeApply func()
	// loseReplies makes Apply return an unknown outcome: "after" the change was
	// written, or "before" it was.
	loseReplies string
	// maxObjects is the maximum number of objects in one Apply.
	maxObjects int
	// err is returned by every call.
	err error
}

func newFakeStore() *fakeStore {
	return &fakeStore{config: model.NewConfig(), maxObjects: configstore.MaxObjects}
}

func (f *fakeStore) Load(_ context.Context, since uint64) (configstore.Snapshot, error) {
	return configstore.Snapshot{Version: f.config.Version, Objects: f.config.ChangedSince(since)}, f.err
}

func (f *fakeStore) Apply(_ context.Context, base uint64, change configstore.Change) (configstore.Record, error) {
	if hook := f.beforeApply; hook != nil {
		f.beforeApply = nil
		hook()
	}
	if len(change.Objects) > f.maxObjects {
		return configstore.Record{}, &configstore.TooLargeError{ID: change.ID, Objects: len(change.Objects)}
	}
	unresolved := &configstore.UnresolvedError{ID: change.ID, Base: base, Err: store.ErrOutcomeUnknown}
	if f.loseReplies == "before" {
		return configstore.Record{}, unresolved
	}
	if base != f.config.Version {
		winners := recordsAbove(f.records, base)
		return configstore.Record{}, &configstore.ConflictError{Base: base, Current: f.config.Version, Winners: winners}
	}
	record := f.accept(change)
	if f.loseReplies == "after" {
		return configstore.Record{}, unresolved
	}
	return record, f.err
}

// accept stores the change as the next version.
func (f *fakeStore) accept(change configstore.Change) configstore.Record {
	version := f.config.Version + 1
	for i := range change.Objects {
		change.Objects[i].Version = version
	}
	f.config.Merge(version, change.Objects)
	record := configstore.Record{Version: version, Change: change}
	f.records = append([]configstore.Record{record}, f.records...)
	return record
}

func (f *fakeStore) History(_ context.Context, limit int) ([]configstore.Record, error) {
	return slices.Clone(f.records[:min(limit, len(f.records))]), f.err
}

// harness runs amaranthctl in the test process and records a transcript.
type harness struct {
	t            *testing.T
	store        *fakeStore
	transcript   bytes.Buffer
	replacements []string
}

// changeTime is the time that is recorded with the changes of the tests.
var changeTime = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

func newHarness(t *testing.T) *harness {
	for _, name := range []string{"CONFIG", "CLUSTER", "STORE", "BALANCERS", "AUTHOR"} {
		t.Setenv("AMARANTH_"+name, "")
		os.Unsetenv("AMARANTH_" + name)
	}
	t.Setenv("USER", "salma")
	return &harness{t: t, store: newFakeStore()}
}

// run runs a command line against the fake store and checks the exit code.
func (h *harness) run(want int, line string) string {
	h.t.Helper()
	var stdout, stderr bytes.Buffer
	app := New(&stdout, &stderr)
	app.OpenStore = func(StoreSettings) ConfigStore { return h.store }
	app.Now = func() time.Time { return changeTime }
	changes := 0
	app.NewChangeID = func() string {
		changes++
		return fmt.Sprintf("change-%d-%d", h.store.config.Version, changes)
	}
	app.MaxPollInterval = 10 * time.Millisecond
	code := app.Run(h.t.Context(), append([]string{"amaranthctl"}, strings.Fields(line)...))
	text := strings.NewReplacer(h.replacements...).Replace(fmt.Sprintf("$ amaranthctl %s\n%s%sexit code %d\n\n", line, &stdout, &stderr, code))
	h.transcript.WriteString(text)
	if code != want {
		h.t.Errorf("exit code %d, want %d:\n%s", code, want, text)
	}
	return stdout.String() + stderr.String()
}

// setStoreEnv sets the store and the cluster in the environment of the
// following runs.
func (h *harness) setStoreEnv() {
	h.t.Setenv("AMARANTH_STORE", "http://127.0.0.1:2379")
	h.t.Setenv("AMARANTH_CLUSTER", "authority")
}

// writeFile writes a file and returns its path. Transcripts show the name only.
func (h *harness) writeFile(name, text string) string {
	h.t.Helper()
	dir := h.t.TempDir()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
	h.replacements = append(h.replacements, dir+"/", "")
	return path
}

// readAuthorityFile returns the declared file of the authority example.
func readAuthorityFile(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../operator/examples/authority/testdata/authority.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// fakeNode is a server of the admin API.
type fakeNode struct {
	status      adminapi.Status
	flows       adminapi.Flows
	explanation adminapi.Explanation
	notFound    string // message of a 404 response
	address     netip.AddrPort
}

// startNode starts the node. Transcripts show its name in place of its address.
func (h *harness) startNode(n *fakeNode) *fakeNode {
	responses := map[string]any{
		adminapi.PathStatus: &n.status, adminapi.PathFlows: &n.flows, adminapi.PathExplain: &n.explanation,
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.notFound != "" {
			w.WriteHeader(http.StatusNotFound)
			json.NewEncoder(w).Encode(adminapi.Problem{Message: n.notFound})
			return
		}
		json.NewEncoder(w).Encode(responses[r.URL.Path])
	}))
	h.t.Cleanup(server.Close)
	n.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	h.replacements = append(h.replacements, n.address.String(), string(n.status.Node)+":admin")
	return n
}

// startBalancer starts a balancer that has the version.
func (h *harness) startBalancer(name model.NodeID, version uint64) *fakeNode {
	return h.startNode(&fakeNode{status: adminapi.Status{
		Node: name, Role: adminapi.RoleBalancer, Incarnation: 1, Domain: "om-north-a", ConfigVersion: version, Peers: 3,
	}})
}

// startAgent starts an agent and returns it with its member record.
func (h *harness) startAgent(name model.NodeID) (*fakeNode, adminapi.Member) {
	n := h.startNode(&fakeNode{status: adminapi.Status{Node: name, Role: adminapi.RoleAgent, Incarnation: 1}})
	return n, adminapi.Member{
		Node: name, Role: adminapi.RoleAgent, State: adminapi.StateAlive, Incarnation: 1, Revision: 1, Domain: "om-north-b",
		Admin: n.address, Service: "lease-desk", Target: "lease-desk-" + model.TargetName(name), Slots: 10,
	}
}

// memberRecord returns the member record of the node in the state.
func (n *fakeNode) memberRecord(state adminapi.State) adminapi.Member {
	return adminapi.Member{
		Node: n.status.Node, Role: n.status.Role, State: state, Incarnation: n.status.Incarnation,
		Revision: 1, Domain: n.status.Domain, Admin: n.address,
	}
}
