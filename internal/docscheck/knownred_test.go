package docscheck

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// knownRedScript is the script of CI that reads KNOWN-RED.txt beside it.
const knownRedScript = ".ci/known-red"

func TestOnlyListedTestsArePassedOver(t *testing.T) {
	for list, want := range map[string]string{
		"# Comment only\n": "",
		"internal/core TestOne | go test | seen | 1\n":                                          "^TestOne$",
		"standin/soak seed 31 | make soak SEED=31 | seen | 1\n":                                 "",
		"a TestOne | c | s | 1\n# b TestTwo | c | s | 1\nstandin/b TestTwo/sub/x | c | s | 1\n": "^TestOne$|^TestTwo$/^sub$/^x$",
	} {
		if got := knownRedSkips(t, list); got != want {
			t.Errorf("with the list %q CI passes over %q, want %q", list, got, want)
		}
	}
}

// knownRedSkips returns the pattern of tests that CI passes over with the list.
func knownRedSkips(t *testing.T, list string) string {
	t.Helper()
	script, err := os.ReadFile(filepath.Join(root, knownRedScript))
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
