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

// startStore runs the store's stand-in and names it for the following runs.
func startStore(t *testing.T) *standin.Server {
	t.Helper()
	server := standin.New()
	gateway := httptest.NewServer(server.Handler())
	t.Cleanup(gateway.Close)
	t.Setenv("AMARANTH_STORE", gateway.URL)
	t.Setenv("AMARANTH_CLUSTER", "authority")
	return server
}

// runReal runs a command line against the stand-in.
func runReal(t *testing.T, line string) (int, string) {
	var stdout, stderr strings.Builder
	code := New(&stdout, &stderr).Run(t.Context(), append([]string{"amaranthctl"}, strings.Fields(line)...))
	return code, stdout.String() + stderr.String()
}

// requireReal runs a command line and requires its exit code.
func requireReal(t *testing.T, want int, line string) string {
	t.Helper()
	code, out := runReal(t, line)
	if code != want {
		t.Errorf("amaranthctl %s: exit code %d, want %d:\n%s", line, code, want, out)
	}
	return out
}

func TestLostAnswerOfTheStoreIsResolved(t *testing.T) {
	b := newBench(t)
	server := startStore(t)
	file := b.file("authority.toml", authority(t))
	server.SetFaults(standin.Faults{LoseResponses: 1})
	out := requireReal(t, ExitOK, "apply "+file+" --wait 0s")
	if !strings.Contains(out, "accepted as version 1 ") {
		t.Errorf("got %s", out)
	}
	server.SetFaults(standin.Faults{LoseResponses: 1})
	requireReal(t, ExitOK, "domain out om-north-b --wait 0s")
	out = requireReal(t, ExitOK, "domain list")
	if !strings.Contains(out, "out    2") || !strings.Contains(out, "version 2\n") {
		t.Errorf("the change was made more or less than once:\n%s", out)
	}
}

func TestStoreOutage(t *testing.T) {
	b := newBench(t)
	server := startStore(t)
	file := b.file("authority.toml", authority(t))
	server.SetFaults(standin.Faults{Down: true})
	requireReal(t, ExitStoreUnavailable, "apply "+file+" --wait 0s --timeout 300ms")
	time.AfterFunc(400*time.Millisecond, func() { server.SetFaults(standin.Faults{}) })
	requireReal(t, ExitOK, "apply "+file+" --wait 0s")
}

// failAfterLostAnswer takes the store down as soon as it has lost an answer.
func failAfterLostAnswer(server *standin.Server) {
	server.SetFaults(standin.Faults{LoseResponses: 1})
	go func() {
		for server.Faults().LoseResponses > 0 {
			time.Sleep(time.Millisecond)
		}
		server.SetFaults(standin.Faults{Down: true})
	}()
}

// TestAnswersLostUntilTheEnd checks that a command which never learns the
// outcome says so, and that history tells it later.
func TestAnswersLostUntilTheEnd(t *testing.T) {
	b := newBench(t)
	server := startStore(t)
	requireReal(t, ExitOK, "apply "+b.file("authority.toml", authority(t))+" --wait 0s")
	failAfterLostAnswer(server)
	out := requireReal(t, ExitUnresolved, "domain out om-north-a --wait 0s --timeout 1s")
	_, id, found := strings.Cut(out, "history --change ")
	if !found {
		t.Fatalf("the answer names no change: %s", out)
	}
	server.SetFaults(standin.Faults{})
	requireReal(t, ExitOK, "history --change "+strings.TrimSpace(id))
}

func TestRaceHasOneWinner(t *testing.T) {
	b := newBench(t)
	startStore(t)
	requireReal(t, ExitOK, "apply "+b.file("authority.toml", authority(t))+" --wait 0s")
	var files []string
	for _, slots := range []string{"11", "12", "13", "14"} {
		text := strings.Replace(authority(t), "max_slots = 10", "max_slots = "+slots, 1)
		files = append(files, b.file("slots.toml", text))
	}
	var pending sync.WaitGroup
	codes := make([]int, len(files))
	outs := make([]string, len(files))
	for i, file := range files {
		pending.Go(func() { codes[i], outs[i] = runReal(t, "apply --base 1 --wait 0s "+file) })
	}
	pending.Wait()
	slices.Sort(codes)
	if want := []int{ExitOK, ExitConflict, ExitConflict, ExitConflict}; !slices.Equal(codes, want) {
		t.Errorf("exit codes %v, want %v:\n%s", codes, want, strings.Join(outs, "\n"))
	}
}

// TestUnrelatedChangesDoNotConflict takes failure domains out and drains
// targets at the same time.
func TestUnrelatedChangesDoNotConflict(t *testing.T) {
	b := newBench(t)
	startStore(t)
	requireReal(t, ExitOK, "apply "+b.file("authority.toml", authority(t))+" --wait 0s")
	lines := []string{"domain out om-north-a", "domain out om-north-b", "target drain drawings-1", "target drain drawings-2"}
	var pending sync.WaitGroup
	for _, line := range lines {
		pending.Go(func() {
			if code, out := runReal(t, line+" --wait 0s"); code != ExitOK {
				t.Errorf("%s: exit code %d: %s", line, code, out)
			}
		})
	}
	pending.Wait()
	if out := requireReal(t, ExitOK, "get"); !strings.HasSuffix(out, "version 5\n") {
		t.Errorf("got %s", out)
	}
}

// TestWholeHistoryIsSearched finds a change behind many others.
func TestWholeHistoryIsSearched(t *testing.T) {
	b := newBench(t)
	startStore(t)
	out := requireReal(t, ExitOK, "apply "+b.file("authority.toml", authority(t))+" --wait 0s")
	_, id, _ := strings.Cut(out, "(change ")
	id, _, _ = strings.Cut(id, ")")
	const changes = 50
	for i := range changes {
		verb := []string{"out", "in"}[i%2]
		requireReal(t, ExitOK, "domain "+verb+" om-north-a --wait 0s")
	}
	requireReal(t, ExitOK, "history --change "+id)
	if changes+1 > configstore.HistoryLimit {
		t.Fatal("the test makes more changes than the history holds")
	}
}
