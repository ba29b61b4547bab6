package soak_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/soak"
)

var seed = flag.Uint64("soak.seed", 1, "seed of the short soak")

// regressions is the seeds that ever failed, with their causes.
var regressions = map[uint64]string{
	245: "an agent that was stopped twice in 100 ms deleted its record, and its successor ruled out flows that it held",
}

// faultTime is how long a short run injects faults.
const faultTime = 8 * time.Second

func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "amaranthwheel")
	build := exec.Command("go", "build", "-o", binary, "amaranthwheel.example/amaranthwheel/cmd/amaranthwheel")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := map[uint64]string{*seed: "the short run"}
	maps.Copy(seeds, regressions)
	t.Run("seeds", func(t *testing.T) {
		for seed, what := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				runSeed(t, binary, seed, what)
			})
		}
	})
}

func runSeed(t *testing.T, binary string, seed uint64, what string) {
	t.Helper()
	dir := t.TempDir()
	timeline, err := os.Create(filepath.Join(dir, "faults.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer timeline.Close()
	result, err := soak.Run(t.Context(), soak.Options{Seed: seed, For: faultTime, Binary: binary, Dir: dir, Timeline: timeline})
	t.Logf("%+v", result)
	if err == nil {
		return
	}
	faults, readErr := os.ReadFile(timeline.Name())
	t.Errorf("seed %d (%s): %v\nfaults (%v):\n%s", seed, what, err, readErr, faults)
}
