package ctl

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/operator/declaration"
)

func readPage(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../docs/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// requireContains reports a text that is missing in a page.
func requireContains(t *testing.T, page, text string) {
	t.Helper()
	if !strings.Contains(page, text) {
		t.Errorf("the page does not contain %s", text)
	}
}

// TestCommandsAreDocumented checks that the page lists all commands, flags and
// environment variables.
func TestCommandsAreDocumented(t *testing.T) {
	text := readPage(t, "AMARANTHCTL.md")
	requireCommands(t, text, New(nil, nil).Command(), "")
}

func requireCommands(t *testing.T, text string, cmd *cli.Command, parents string) {
	t.Helper()
	for _, flag := range cmd.Flags {
		requireContains(t, text, "`--"+flag.Names()[0])
		for _, env := range flag.(cli.DocGenerationFlag).GetEnvVars() {
			requireContains(t, text, env)
		}
	}
	for _, sub := range cmd.Commands {
		path := strings.TrimSpace(parents + " " + sub.Name)
		if len(sub.Commands) == 0 {
			requireContains(t, text, strings.TrimSpace("### "+path+" "+sub.ArgsUsage)+"\n")
		}
		requireCommands(t, text, sub, path)
	}
}

// TestFlagsInPageExist checks that the page names no flag that does not exist.
func TestFlagsInPageExist(t *testing.T) {
	known := make(map[string]bool)
	collectFlags(New(nil, nil).Command(), known)
	for _, field := range strings.Fields(readPage(t, "AMARANTHCTL.md")) {
		name, ok := strings.CutPrefix(strings.Trim(field, "`[](),.;:"), "--")
		if ok && strings.Trim(name, "-") != "" && !known[name] {
			t.Errorf("the page names --%s, which does not exist", name)
		}
	}
}

func collectFlags(cmd *cli.Command, known map[string]bool) {
	for _, flag := range cmd.Flags {
		known[flag.Names()[0]] = true
	}
	for _, sub := range cmd.Commands {
		collectFlags(sub, known)
	}
}

func TestExitCodesAreDocumented(t *testing.T) {
	text := readPage(t, "AMARANTHCTL.md")
	for code := ExitOK; code <= ExitNoResponse; code++ {
		requireContains(t, text, "| "+strconv.Itoa(code)+" | ")
	}
	if strings.Contains(text, "| "+strconv.Itoa(ExitNoResponse+1)+" | ") {
		t.Error("the page lists an exit code that does not exist")
	}
}

func TestClientSettingsAreDocumented(t *testing.T) {
	text := readPage(t, "AMARANTHCTL.md")
	for _, key := range []string{keyCluster, keyStore, keyBalancers, keyTimeout, keyAuthor} {
		requireContains(t, text, "\n"+key+" = ")
	}
}

func TestDeclaredKeysAreDocumented(t *testing.T) {
	text := readPage(t, "CONFIGURATION-FILE.md")
	rows := 0
	for _, key := range declaration.Keys() {
		defaultValue := key.Default
		if key.Required() {
			defaultValue = "required"
		}
		requireContains(t, text, fmt.Sprintf("| `%s` | %s | %s | %s |\n", key, key.Type, defaultValue, key.Range))
		rows++
	}
	if got := strings.Count(text, "\n| `"); got != rows {
		t.Errorf("the page has %d keys, the file format %d", got, rows)
	}
	requireContains(t, text, strconv.Itoa(declaration.MaxFileBytes)+" bytes")
}

// TestFindingsInPage checks the page's example of findings against the output
// of check.
func TestFindingsInPage(t *testing.T) {
	const path = "operator/declaration/testdata/bad.toml"
	t.Chdir("../..")
	var stdout, stderr bytes.Buffer
	if code := New(&stdout, &stderr).Run(t.Context(), []string{"amaranthctl", "check", path}); code != ExitBadInput {
		t.Errorf("exit code %d", code)
	}
	data, err := os.ReadFile("docs/CONFIGURATION-FILE.md")
	if err != nil {
		t.Fatal(err)
	}
	requireContains(t, string(data), "$ amaranthctl check "+path+"\n"+stderr.String()+"```")
}

// TestExamplesInPageAreTranscripts checks that each example in the page is part
// of the transcript of a test.
func TestExamplesInPageAreTranscripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.golden")
	if err != nil {
		t.Fatal(err)
	}
	var transcripts strings.Builder
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		transcripts.Write(data)
	}
	examples := 0
	for i, block := range strings.Split(readPage(t, "AMARANTHCTL.md"), "```") {
		if i%2 == 0 || !strings.HasPrefix(block, "\n$ ") {
			continue
		}
		examples++
		requireContains(t, transcripts.String(), block[1:]+"\n")
	}
	if examples == 0 {
		t.Error("the page has no examples")
	}
}
