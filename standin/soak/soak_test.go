package soak_test

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/soak"
)

var seed = flag.Uint64("soak.seed", 1, "seed of the short soak")

// TestShortSoak runs the daemons under a few seconds of faults.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "amaranthwheel")
	build := exec.Command("go", "build", "-o", binary, "amaranthwheel.example/amaranthwheel/cmd/amaranthwheel")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	timeline, err := os.Create(filepath.Join(dir, "faults.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer timeline.Close()
	result, err := soak.Run(t.Context(), soak.Options{Seed: *seed, For: 8 * time.Second, Binary: binary, Dir: dir, Timeline: timeline})
	t.Logf("%+v", result)
	if err == nil {
		return
	}
	faults, readErr := os.ReadFile(timeline.Name())
	t.Errorf("%v\nfaults (%v):\n%s", err, readErr, faults)
}
