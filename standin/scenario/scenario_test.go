package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"amaranthwheel.example/amaranthwheel/standin/internal/fakeagent"
	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// TestMain adds the program fakeagent, which lets scripts test the stand-ins
// without the daemons.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"fakeagent": runFakeAgent})
}

// runFakeAgent forwards requests to one target until SIGTERM.
func runFakeAgent() {
	listen := flag.String("listen", "", "UDP address")
	dir := flag.String("certs", "", "directory of the certificate and key")
	target := flag.String("target", "", "address of the target")
	fault := flag.String("fault", "", "fault applied to every request")
	flag.Parse()
	agent, err := fakeagent.Start(*listen, *dir, *target, faultHandlers[*fault])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	<-stop
	agent.Close()
}

// faultHandlers are the faults of a fake agent, for scripts that check that
// reconciliation detects them.
var faultHandlers = map[string]fakeagent.Handler{
	"": nil,
	"duplicate": func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		body, _ := io.ReadAll(r.Body) // a body that breaks off is not run twice
		r.Body = io.NopCloser(bytes.NewReader(body))
		next(httptest.NewRecorder(), r)
		r.Body = io.NopCloser(bytes.NewReader(body))
		next(w, r)
	},
	"cross": func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		r.Header.Set(workload.HeaderRequestID, "another")
		next(w, r)
	},
	"false-not-run": func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		next(httptest.NewRecorder(), r)
		w.Header().Set(workload.HeaderOutcome, workload.OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	},
	"truncate": func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		recorder := httptest.NewRecorder()
		next(recorder, r)
		w.Write(recorder.Body.Bytes()[:recorder.Body.Len()/2])
	},
}

func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios start processes")
	}
	binaries := t.TempDir()
	if err := Build(binaries); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, Params("testdata", binaries))
}

// measureSeedEnv names the variable with the seed of a measurement.
const measureSeedEnv = "MEASURE_SEED"

// TestMeasure runs the measurement scripts, which print their figures.
func TestMeasure(t *testing.T) {
	seed := os.Getenv(measureSeedEnv)
	if seed == "" {
		t.Skipf("%s is not set", measureSeedEnv)
	}
	binaries := t.TempDir()
	if err := Build(binaries); err != nil {
		t.Fatal(err)
	}
	params := Params("testdata/measure", binaries)
	setUp := params.Setup
	params.Setup = func(env *testscript.Env) error {
		env.Setenv("SEED", seed)
		return setUp(env)
	}
	testscript.Run(t, params)
}

// knownRedEnv names the variable that runs the scenarios of KNOWN-RED.txt.
const knownRedEnv = "KNOWN_RED"

// TestKnownRed runs the scenarios that fail for a fault that is not fixed yet.
func TestKnownRed(t *testing.T) {
	scripts, err := filepath.Glob("testdata/red/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	if len(scripts) == 0 {
		return
	}
	if os.Getenv(knownRedEnv) == "" {
		t.Skipf("known red, see KNOWN-RED.txt: %v", scripts)
	}
	binaries := t.TempDir()
	if err := Build(binaries); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, Params("testdata/red", binaries))
}

func TestLeftoverProcessesAreKilled(t *testing.T) {
	dir := t.TempDir()
	script := "start sleeper sleep 600\npause sleeper\nstart other sleep 600\n"
	if err := os.WriteFile(filepath.Join(dir, "leftover.txtar"), []byte(script), 0o644); err != nil {
		t.Fatal(err)
	}
	var h *harness
	params := Params(dir, t.TempDir())
	setUp := params.Setup
	params.Setup = func(env *testscript.Env) error {
		err := setUp(env)
		h = env.Values[harnessKey{}].(*harness)
		return err
	}
	t.Run("script", func(t *testing.T) { testscript.Run(t, params) })
	if len(h.processes) != 2 {
		t.Fatalf("%d processes were started, want 2", len(h.processes))
	}
	for name, p := range h.processes {
		if err := p.cmd.Process.Signal(syscall.Signal(0)); !p.hasEnded() || !errors.Is(err, os.ErrProcessDone) {
			t.Errorf("%s was left running: %v", name, err)
		}
	}
}

func TestLookUpAndCompare(t *testing.T) {
	var document any
	source := `{"members":[{"node":"a","state":"alive"},{"node":"b","slots":10}],"out":false,"nothing":null}`
	if err := json.Unmarshal([]byte(source), &document); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		path, relation, want string
		holds                bool
	}{
		{"members.length", "==", "2", true},
		{"members.0.state", "==", "alive", true},
		{"members.node=b.slots", ">=", "10", true},
		{"members.node=b.slots", "<", "10", false},
		{"out", "!=", "true", true},
		{"members.node=a.state", "~", "^ali", true},
		{"nothing.length", "==", "0", true},
	}
	for _, tc := range cases {
		value, err := lookUp(document, tc.path)
		if err != nil {
			t.Errorf("%s: %v", tc.path, err)
			continue
		}
		if holds, err := compare(formatValue(value), tc.relation, tc.want); err != nil || holds != tc.holds {
			t.Errorf("%s %s %s: %t, %v", tc.path, tc.relation, tc.want, holds, err)
		}
	}
	for _, path := range []string{"members.2", "members.node=c", "absent", "out.deeper"} {
		if _, err := lookUp(document, path); !errors.Is(err, errNoField) {
			t.Errorf("%s: %v, want %v", path, err, errNoField)
		}
	}
	if _, err := compare("alive", "<", "1"); err == nil {
		t.Error("text was compared as a number")
	}
}

func TestParseRaceCommands(t *testing.T) {
	got := parseRaceCommands([]string{"a", "1", "--", "b", "--", "c"})
	if len(got) != 3 || len(got[0].line) != 2 || got[1].line[0] != "b" || got[2].line[0] != "c" {
		t.Errorf("split %+v", got)
	}
}
