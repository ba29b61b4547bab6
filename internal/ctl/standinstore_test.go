package ctl

import (
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/configstore"
	standin "amaranthwheel.example/amaranthwheel/standin/store"
)

// startStandinStore starts the stand-in of the store and sets it in the
// environment of the following runs.
func startStandinStore(t *testing.T) *standin.Server {
	t.Helper()
	server := standin.New()
	gateway := httptest.NewServer(server.Handler())
	t.Cleanup(gateway.Close)
	t.Setenv("AMARANTH_STORE", gateway.URL)
	t.Setenv("AMARANTH_CLUSTER", "authority")
	return server
}

// runWithStore runs a command line against the stand-in.
func runWithStore(t *testing.T, line string) (int, string) {
	var stdout, stderr strings.Builder
	code := New(&stdout, &stderr).Run(t.Context(), append([]string{"amaranthctl"}, strings.Fields(line)...))
	return code, stdout.String() + stderr.String()
}

// requireRun runs a command line and checks its exit code.
func requireRun(t *testing.T, want int, line string) string {
	t.Helper()
	code, out := runWithStore(t, line)
	if code != want {
		t.Errorf("amaranthctl %s: exit code %d, want %d:\n%s", line, code, want, out)
	}
	return out
}

func TestLostStoreReplyIsResolved(t *testing.T) {
	h := newHarness(t)
	server := startStandinStore(t)
	file := h.writeFile("authority.toml", readAuthorityFile(t))
	server.SetFaults(standin.Faults{LoseResponses: 1})
	out := requireRun(t, ExitOK, "apply "+file+" --wait 0s")
	if !strings.Contains(out, "accepted as version 1 ") {
		t.Errorf("got %s", out)
	}
	server.SetFaults(standin.Faults{LoseResponses: 1})
	requireRun(t, ExitOK, "domain out om-north-b --wait 0s")
	out = requireRun(t, ExitOK, "domain list")
	if !strings.Contains(out, "out    2") || !strings.Contains(out, "version 2\n") {
		t.Errorf("the change was not made exactly once:\n%s", out)
	}
}

func TestStoreOutage(t *testing.T) {
	h := newHarness(t)
	server := startStandinStore(t)
	file := h.writeFile("authority.toml", readAuthorityFile(t))
	server.SetFaults(standin.Faults{Down: true})
	requireRun(t, ExitStoreUnavailable, "apply "+file+" --wait 0s --timeout 300ms")
	time.AfterFunc(400*time.Millisecond, func() { server.SetFaults(standin.Faults{}) })
	requireRun(t, ExitOK, "apply "+file+" --wait 0s")
}

// stopAfterLostReply makes the store unavailable as soon as it has dropped one
// reply.
func stopAfterLostReply(server *standin.Server) {
	server.SetFaults(standin.Faults{LoseResponses: 1})
	go func() {
		for server.Faults().LoseResponses > 0 {
			time.Sleep(time.Millisecond)
		}
		server.SetFaults(standin.Faults{Down: true})
	}()
}

// TestUnresolvedChangeIsFoundInHistory checks that a command reports an unknown
// outcome if the store stays unavailable after a lost reply, and that history
// finds the change later.
func TestUnresolvedChangeIsFoundInHistory(t *testing.T) {
	h := newHarness(t)
	server := startStandinStore(t)
	requireRun(t, ExitOK, "apply "+h.writeFile("authority.toml", readAuthorityFile(t))+" --wait 0s")
	stopAfterLostReply(server)
	out := requireRun(t, ExitUnresolved, "domain out om-north-a --wait 0s --timeout 1s")
	_, id, found := strings.Cut(out, "history --change ")
	if !found {
		t.Fatalf("the output names no change: %s", out)
	}
	server.SetFaults(standin.Faults{})
	requireRun(t, ExitOK, "history --change "+strings.TrimSpace(id))
}

func TestConcurrentAppliesHaveOneWinner(t *testing.T) {
	h := newHarness(t)
	startStandinStore(t)
	requireRun(t, ExitOK, "apply "+h.writeFile("authority.toml", readAuthorityFile(t))+" --wait 0s")
	var files []string
	for _, slots := range []string{"11", "12", "13", "14"} {
		text := strings.Replace(readAuthorityFile(t), "max_slots = 10", "max_slots = "+slots, 1)
		files = append(files, h.writeFile("slots.toml", text))
	}
	var wg sync.WaitGroup
	codes := make([]int, len(files))
	outs := make([]string, len(files))
	for i, file := range files {
		wg.Go(func() { codes[i], outs[i] = runWithStore(t, "apply --base 1 --wait 0s "+file) })
	}
	wg.Wait()
	slices.Sort(codes)
	if want := []int{ExitOK, ExitConflict, ExitConflict, ExitConflict}; !slices.Equal(codes, want) {
		t.Errorf("exit codes %v, want %v:\n%s", codes, want, strings.Join(outs, "\n"))
	}
}

// TestUnrelatedChangesDoNotConflict takes failure domains out of service and
// drains targets concurrently.
func TestUnrelatedChangesDoNotConflict(t *testing.T) {
	h := newHarness(t)
	startStandinStore(t)
	requireRun(t, ExitOK, "apply "+h.writeFile("authority.toml", readAuthorityFile(t))+" --wait 0s")
	lines := []string{"domain out om-north-a", "domain out om-north-b", "target drain drawings-1", "target drain drawings-2"}
	var wg sync.WaitGroup
	for _, line := range lines {
		wg.Go(func() {
			if code, out := runWithStore(t, line+" --wait 0s"); code != ExitOK {
				t.Errorf("%s: exit code %d: %s", line, code, out)
			}
		})
	}
	wg.Wait()
	if out := requireRun(t, ExitOK, "get"); !strings.HasSuffix(out, "version 5\n") {
		t.Errorf("got %s", out)
	}
}

// TestWholeHistoryIsSearched finds a change that many newer changes follow.
func TestWholeHistoryIsSearched(t *testing.T) {
	h := newHarness(t)
	startStandinStore(t)
	out := requireRun(t, ExitOK, "apply "+h.writeFile("authority.toml", readAuthorityFile(t))+" --wait 0s")
	_, id, _ := strings.Cut(out, "(change ")
	id, _, _ = strings.Cut(id, ")")
	const changes = 50
	for i := range changes {
		verb := []string{"out", "in"}[i%2]
		requireRun(t, ExitOK, "domain "+verb+" om-north-a --wait 0s")
	}
	requireRun(t, ExitOK, "history --change "+id)
	if changes+1 > configstore.HistoryLimit {
		t.Fatal("the test makes more changes than the history holds")
	}
}
