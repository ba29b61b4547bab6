package settings

import (
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the tables of docs/CONFIGURATION.md")

const referencePage = "../../docs/CONFIGURATION.md"

// TestDocumentationMatchesReference compares the tables in the documentation with
// the keys.
func TestDocumentationMatchesReference(t *testing.T) {
	data, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	want := text
	for _, daemon := range Daemons() {
		want = replaceTable(t, want, daemon)
	}
	if *update {
		if err := os.WriteFile(referencePage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if text != want {
		t.Error("docs/CONFIGURATION.md is out of date; run: go test ./internal/settings -update")
	}
}

// replaceTable replaces the text between the daemon's markers with its table.
func replaceTable(t *testing.T, text string, daemon Daemon) string {
	t.Helper()
	begin := "<!-- keys of the " + string(daemon) + " -->\n"
	const end = "<!-- end of keys -->"
	before, rest, hasBegin := strings.Cut(text, begin)
	_, after, hasEnd := strings.Cut(rest, end)
	if !hasBegin || !hasEnd {
		t.Fatalf("the page has no table of the %s", daemon)
	}
	return before + begin + Markdown(daemon) + end + after
}

// TestTypesMatchReference checks that the keys and the structs' fields are the
// same.
func TestTypesMatchReference(t *testing.T) {
	types := map[Daemon]reflect.Type{
		DaemonBalancer:       reflect.TypeFor[Balancer](),
		DaemonAgent:          reflect.TypeFor[Agent](),
		DaemonDirectBalancer: reflect.TypeFor[DirectBalancer](),
		DaemonDirectAgent:    reflect.TypeFor[DirectAgent](),
	}
	keys := make(map[Daemon]map[string]bool)
	for _, d := range Daemons() {
		keys[d] = make(map[string]bool)
	}
	for _, k := range Reference() {
		keys[k.Daemon][k.Name] = true
		if k.Type == "" || k.Description == "" || k.Range == "" || k.Required != (k.Default == "") {
			t.Errorf("description of %s of the %s is incomplete: %+v", k.Name, k.Daemon, k)
		}
	}
	for daemon, typ := range types {
		delete(keys[daemon], "secret_file") // another source of Secrets
		for _, name := range tagNames(typ, "") {
			if !keys[daemon][name] {
				t.Errorf("the %s has no key %s", daemon, name)
			}
			delete(keys[daemon], name)
		}
		if len(keys[daemon]) > 0 {
			t.Errorf("keys of the %s without a field: %v", daemon, keys[daemon])
		}
	}
}

// tagNames returns the dotted keys in the tags of a struct's fields.
func tagNames(typ reflect.Type, prefix string) []string {
	var out []string
	for _, f := range reflect.VisibleFields(typ) {
		tag := f.Tag.Get("toml")
		switch {
		case f.Anonymous:
		case f.Type == reflect.TypeFor[Store](), f.Type == reflect.TypeFor[PollingStore]():
			out = append(out, tagNames(f.Type, tag+".")...)
		default:
			out = append(out, prefix+tag)
		}
	}
	return out
}
