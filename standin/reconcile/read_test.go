package reconcile

import (
	"os"
	"path/filepath"
	"testing"
)

const (
	startLine = `{"start":{"target":"mast-1","service":"lease-desk"}}` + "\n"
	cutLine   = `{"run":{"number":1,"requ`
)

func readText(t *testing.T, text string) (Targets, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "mast-1.jsonl")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadTargets([]string{path})
}

// TestRecordCutByAKillIsPassedOver covers a process that was killed while it
// wrote: the kernel may end a write between two pages.
func TestRecordCutByAKillIsPassedOver(t *testing.T) {
	targets, err := readText(t, startLine+cutLine)
	if err != nil || targets.Services["mast-1"] != "lease-desk" {
		t.Errorf("got %+v, %v", targets, err)
	}
}

func TestBrokenRecordInTheMiddleIsAnError(t *testing.T) {
	if _, err := readText(t, startLine+cutLine+"\n"+startLine); err == nil {
		t.Error("a broken record in the middle of a ledger was passed over")
	}
	if _, err := readText(t, startLine+cutLine+"\n"); err == nil {
		t.Error("a whole line that is no record was passed over")
	}
}
