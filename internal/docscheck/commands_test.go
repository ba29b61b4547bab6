package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/ctl"
	"amaranthwheel.example/amaranthwheel/internal/daemon"
)

// TestCommandsExist checks the commands in the pages against the command trees
// of the programs and the Makefile.
func TestCommandsExist(t *testing.T) {
	programs := map[string]*cli.Command{
		"amaranthctl":   ctl.New(nil, nil).Command(),
		"amaranthwheel": daemon.Command(nil, nil),
	}
	targets := makeTargets(t)
	seen := make(map[string]int)
	for _, p := range loadPages(t) {
		for _, words := range extractCommands(p) {
			program := filepath.Base(words[0])
			if root := programs[program]; root != nil {
				checkCommand(t, p, root, words)
				seen[program]++
			}
			if program == "make" {
				checkMakeTargets(t, p, targets, words[1:])
				seen[program]++
			}
		}
	}
	for _, program := range []string{"amaranthctl", "amaranthwheel", "make"} {
		if seen[program] == 0 {
			t.Errorf("no page shows a command of %s", program)
		}
	}
}

var commandLine = regexp.MustCompile(`(?m)^\s*(?:\$ )?((?:\S*/)?(?:amaranthctl|amaranthwheel|make) .*)$`)

// extractCommands returns the words of each command in code blocks and code
// spans.
func extractCommands(p page) [][]string {
	var out [][]string
	for _, text := range append(codeSpans(p.text), p.blocks...) {
		for _, match := range commandLine.FindAllStringSubmatch(text, -1) {
			out = append(out, strings.Fields(match[1]))
		}
	}
	return out
}

// codeSpans returns the code spans of a text.
func codeSpans(text string) []string {
	var out []string
	for i, part := range strings.Split(text, "`") {
		if i%2 == 1 {
			out = append(out, part)
		}
	}
	return out
}

// checkCommand resolves the words of a command line in the command tree as far
// as they are subcommands, and checks each flag.
func checkCommand(t *testing.T, p page, root *cli.Command, words []string) {
	t.Helper()
	path := []*cli.Command{root}
	expectsValue := false
	for _, word := range words[1:] {
		switch {
		case strings.ContainsAny(word, "|>#&;"):
			return // the rest is shell syntax
		case strings.HasPrefix(word, "-"):
			expectsValue = checkFlag(t, p, path, word)
			continue
		case expectsValue:
			expectsValue = false
			continue
		}
		current := path[len(path)-1]
		if len(current.Commands) == 0 || word == "..." {
			continue
		}
		sub := current.Command(word)
		if sub == nil {
			t.Errorf("%s shows %q, but %s has no command %q", p.path, strings.Join(words, " "), current.Name, word)
			return
		}
		path = append(path, sub)
	}
}

// checkFlag reports a flag that no command of the path has. It returns whether
// the next word is the value of the flag.
func checkFlag(t *testing.T, p page, path []*cli.Command, word string) bool {
	t.Helper()
	name, _, hasValue := strings.Cut(strings.TrimLeft(word, "-"), "=")
	if name == "help" || name == "h" || name == "version" {
		return false
	}
	for _, command := range path {
		for _, flag := range command.Flags {
			for _, known := range flag.Names() {
				if known == name {
					_, boolean := flag.(*cli.BoolFlag)
					return !boolean && !hasValue
				}
			}
		}
	}
	t.Errorf("%s shows %s, which %s does not have", p.path, word, path[len(path)-1].Name)
	return false
}

var makeTarget = regexp.MustCompile(`(?m)^([a-z][a-z-]*):`)

func makeTargets(t *testing.T) map[string]bool {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(repoRoot, "Makefile"))
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]bool)
	for _, match := range makeTarget.FindAllStringSubmatch(string(data), -1) {
		out[match[1]] = true
	}
	return out
}

func checkMakeTargets(t *testing.T, p page, targets map[string]bool, words []string) {
	t.Helper()
	for _, word := range words {
		if strings.ContainsAny(word, "#>|&;") {
			return
		}
		if !targets[word] && !strings.ContainsAny(word, "=-") {
			t.Errorf("%s shows make %s, which the Makefile does not have", p.path, word)
		}
	}
}
