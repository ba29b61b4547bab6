package soak_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/soak"
)

var seed = flag.Uint64("soak.seed", 1, "seed of the short soak")

// regressions is the seeds that ever failed, with their causes.
var regressions = map[uint64]string{
	245:  "an agent that was stopped twice in 100 ms deleted its record, and its successor ruled out flows that it held",
	9251: "a balancer started while the store had lost records, and took flows of agents that it did not know for lost",
	9707: "an agent handed late requests to a target that had become slow, beyond its places",
}

// breadths is those of the seeds that failed before there were all faults.
var breadths = map[uint64]soak.Breadth{245: soak.Narrow, 9251: soak.Wide}

// faultTime is how long a short run injects faults.
const faultTime = 8 * time.Second

func TestShortSoak(t *testing.T) {
	binary := buildDaemon(t)
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

// Each check notices what it is there for.
func TestChecksNoticeBrokenPromises(t *testing.T) {
	binary := buildDaemon(t)
	t.Run("sabotage", func(t *testing.T) {
		seed := uint64(500)
		for sabotage, want := range map[soak.Sabotage]string{
			soak.SabotageReset:   "was reset while the target",
			soak.SabotageAnswer:  "got an answer that is not its own",
			soak.SabotageGarbage: "got bytes that are no packet",
			soak.SabotageDrain:   "was sent 1 flows later than",
			soak.SabotageOut:     "1 flows opened in domain d1 later than",
			soak.SabotageExit:    "ended by itself",
			soak.SabotageLinks:   "flows did not open",
			soak.SabotageService: "flows did not open",
			soak.SabotageTwice:   "was run 2 times",
			soak.SabotageNotRun:  "was refused as not run, but a target ran it",
			soak.SabotageLimit:   "requests at once, more than",
			soak.SabotageLate:    "later than its timeout",
			soak.SabotageStarve:  "posts starved in a crowd",
		} {
			seed++
			hosts := seed // a network of its own
			t.Run(string(sabotage), func(t *testing.T) {
				t.Parallel()
				_, err := soak.Run(t.Context(), soak.Options{Seed: hosts, Binary: binary, Dir: t.TempDir(), Sabotage: sabotage})
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("the run ended with %v, want %q", err, want)
				}
			})
		}
	})
}

func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "amaranthwheel")
	build := exec.Command("go", "build", "-o", binary, "amaranthwheel.example/amaranthwheel/cmd/amaranthwheel")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func runSeed(t *testing.T, binary string, seed uint64, what string) {
	t.Helper()
	dir := t.TempDir()
	timeline, err := os.Create(filepath.Join(dir, "faults.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer timeline.Close()
	result, err := soak.Run(t.Context(), soak.Options{
		Seed: seed, For: faultTime, Binary: binary, Dir: dir, Timeline: timeline, Breadth: breadths[seed],
	})
	t.Logf("%+v", result)
	if err == nil {
		return
	}
	faults, readErr := os.ReadFile(timeline.Name())
	t.Errorf("seed %d (%s): %v\nfaults (%v):\n%s", seed, what, err, readErr, faults)
}
