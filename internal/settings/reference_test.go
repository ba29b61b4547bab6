package settings

import (
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

var update = flag.Bool("update", false, "rewrite the tables of docs/CONFIGURATION.md")

const page = "../../docs/CONFIGURATION.md"

// TestPageAgreesWithReference compares the tables of the page with the keys.
func TestPageAgreesWithReference(t *testing.T) {
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	want := text
	for _, role := range []model.Role{model.RoleBalancer, model.RoleAgent} {
		want = replaceTable(t, want, role)
	}
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if text != want {
		t.Error("docs/CONFIGURATION.md is out of date; run: go test ./internal/settings -update")
	}
}

// replaceTable replaces the text between the role's markers by its table.
func replaceTable(t *testing.T, text string, role model.Role) string {
	t.Helper()
	begin := "<!-- keys of the " + role.String() + " -->\n"
	const end = "<!-- end of keys -->"
	before, rest, found := strings.Cut(text, begin)
	_, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		t.Fatalf("the page has no table of the %s", role)
	}
	return before + begin + Markdown(role) + end + after
}

// TestTypesAgreeWithReference checks that keys and struct fields are the same.
func TestTypesAgreeWithReference(t *testing.T) {
	types := map[model.Role]reflect.Type{
		model.RoleBalancer: reflect.TypeFor[Balancer](),
		model.RoleAgent:    reflect.TypeFor[Agent](),
	}
	keys := map[model.Role]map[string]bool{model.RoleBalancer: {}, model.RoleAgent: {}}
	for _, k := range Reference() {
		keys[k.Role][k.Name] = true
		if k.Type == "" || k.Description == "" || k.Range == "" || k.Required != (k.Default == "") {
			t.Errorf("%s of the %s is described incompletely: %+v", k.Name, k.Role, k)
		}
	}
	for role, typ := range types {
		delete(keys[role], "secret_file") // another source of Secrets
		for _, name := range tagNames(typ, "") {
			if !keys[role][name] {
				t.Errorf("the %s has no key %s", role, name)
			}
			delete(keys[role], name)
		}
		if len(keys[role]) > 0 {
			t.Errorf("keys of the %s without a field: %v", role, keys[role])
		}
	}
}

// tagNames returns the dotted keys of a struct's fields.
func tagNames(typ reflect.Type, prefix string) []string {
	var out []string
	for _, f := range reflect.VisibleFields(typ) {
		tag := f.Tag.Get("toml")
		switch {
		case f.Anonymous:
		case f.Type == reflect.TypeFor[Store]():
			out = append(out, tagNames(f.Type, tag+".")...)
		default:
			out = append(out, prefix+tag)
		}
	}
	return out
}
