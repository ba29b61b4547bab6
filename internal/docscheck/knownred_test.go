package docscheck

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// knownRedScript is the CI script that reads KNOWN-RED.txt at the root of the
// repository.
const knownRedScript = ".ci/known-red"

// TestCISkipsOnlyKnownRedTests checks the pattern of skipped tests that the
// script derives from the list. Comments, and entries that name no Go test,
// skip nothing.
func TestCISkipsOnlyKnownRedTests(t *testing.T) {
	for list, want := range map[string]string{
		"# Comment only\n": "",
		"internal/core TestOne | go test | seen | 1\n":                                          "^TestOne$",
		"standin/soak seed 31 | make soak SEED=31 | seen | 1\n":                                 "",
		"a TestOne | c | s | 1\n# b TestTwo | c | s | 1\nstandin/b TestTwo/sub/x | c | s | 1\n": "^TestOne$|^TestTwo$/^sub$/^x$",
	} {
		if got := skipPattern(t, list); got != want {
			t.Errorf("with the list %q CI skips %q, want %q", list, got, want)
		}
	}
}

// skipPattern returns the pattern of the tests that CI skips with the list.
func skipPattern(t *testing.T, list string) string {
	t.Helper()
	script, err := os.ReadFile(filepath.Join(repoRoot, knownRedScript))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.MkdirAll(filepath.Join(dir, ".ci"), 0o755); err != nil {
		t.Fatal(err)
	}
	for name, f := range map[string]struct {
		text string
		mode os.FileMode
	}{"KNOWN-RED.txt": {list, 0o644}, knownRedScript: {string(script), 0o755}} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(f.text), f.mode); err != nil {
			t.Fatal(err)
		}
	}
	out, err := exec.Command(filepath.Join(dir, knownRedScript), "skip").Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(out))
}
