package declare

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/declaration"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// parseObjects parses a file and converts it.
func parseObjects(t *testing.T, name string, data []byte) []model.Object {
	t.Helper()
	file, err := declaration.Parse(name, data)
	if err != nil {
		t.Fatal(err)
	}
	out, err := ConvertFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func readAuthority(t *testing.T) []byte {
	t.Helper()
	data, err := os.ReadFile("../../operator/examples/authority/testdata/authority.toml")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// newConfig returns a configuration at version 1 with the objects.
func newConfig(objects []model.Object) *model.Config {
	config := model.NewConfig()
	for i := range objects {
		objects[i].Version = 1
	}
	config.Merge(1, objects)
	return config
}

func TestDiff(t *testing.T) {
	current := newConfig(parseObjects(t, "authority.toml", readAuthority(t)))
	out := model.ObjectKey{Kind: model.KindDomainState, Name: "om-north-a"}
	current.Objects[out] = model.Object{Key: out, DomainState: &model.DomainState{Name: "om-north-a", Out: true}}

	if changes := Diff(current, parseObjects(t, "authority.toml", readAuthority(t))); len(changes) != 0 {
		t.Errorf("an identical file yields changes: %v", changes)
	}

	edited := string(readAuthority(t))
	edited = strings.Replace(edited, `max_slots = 10`, `max_slots = 12`, 1)
	edited = strings.Replace(edited, `name = "lease-desk"`, `name = "rents"`, 1)
	edited = strings.Replace(edited, `region = "om-north"`, `region = "om-south"`, 1)
	changes := Diff(current, parseObjects(t, "edited.toml", []byte(edited)))
	var lines strings.Builder
	for _, c := range changes {
		lines.WriteString(c.String() + "\n")
	}
	goldie.New(t).Assert(t, "diff", []byte(lines.String()))
	text, err := json.MarshalIndent(changes, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "diff-json", append(text, '\n'))

	after := ApplyChanges(current, changes)
	if !after.DomainOut("om-north-a") {
		t.Error("applying a file reverted the state of a failure domain")
	}
	if removed := after.Objects[model.ObjectKey{Kind: model.KindService, Name: "lease-desk"}]; !removed.Deleted() {
		t.Error("the removed service is not a tombstone")
	}
}

func TestServiceNamesRemovedDomain(t *testing.T) {
	current := newConfig(parseObjects(t, "authority.toml", readAuthority(t)))
	key := model.ObjectKey{Kind: model.KindDomain, Name: "om-north-b"}
	current.Objects[key] = model.Object{Key: key}
	var found *findings.Error
	if err := Validate(current); !errors.As(err, &found) || len(found.Findings) != 2 {
		t.Fatalf("got %v", err)
	}
	want := `service.drawings.domains: failure domain "om-north-b" is not declared, but the service names it`
	if got := found.Findings[0].String(); got != want {
		t.Errorf("got %q", got)
	}
}

func TestServiceIDCollision(t *testing.T) {
	file, err := declaration.Parse("authority.toml", readAuthority(t))
	if err != nil {
		t.Fatal(err)
	}
	constantHash := func(model.ServiceName) model.ServiceID { return 7 }
	if err := checkIDCollisions(file, constantHash); err == nil || !strings.Contains(err.Error(), "authority.toml:30: service.lease-desk.name: has the same identity") {
		t.Errorf("got %v", err)
	}
	current := newConfig(parseObjects(t, "authority.toml", readAuthority(t)))
	removed := model.ObjectKey{Kind: model.KindService, Name: "drawings"}
	current.Objects[removed] = model.Object{Key: removed}
	var found findings.List
	if checkServiceIDs(current, constantHash, &found); len(found.All()) != 1 {
		t.Errorf("a collision with a removed service's ID was not reported: %v", found.All())
	}
}

// servicesFile returns a file with n services on consecutive ports from firstPort
// on.
func servicesFile(n, firstPort int) []byte {
	var b strings.Builder
	b.WriteString("[[domain]]\nname = \"a\"\nregion = \"r\"\n")
	for i := range n {
		fmt.Fprintf(&b, "[[service]]\nname = \"s-%03d\"\nmode = \"flow\"\naddress = \"127.0.0.1:%d\"\n", i, firstPort+i)
		b.WriteString("domains = [\"a\"]\ntargets = [\"t\"]\nmax_slots = 1\nmax_connections = 1\n")
	}
	return []byte(b.String())
}

func TestSplitChanges(t *testing.T) {
	const limit = 120
	empty := model.NewConfig()
	desired := parseObjects(t, "many.toml", servicesFile(300, 1000))
	steps, err := SplitChanges(empty, Diff(empty, desired), limit)
	if err != nil {
		t.Fatal(err)
	}
	if len(steps) != 3 || steps[0][0].Kind != model.KindDomain || len(steps[0]) != limit {
		t.Errorf("%d steps, the first starts with %s", len(steps), steps[0][0].String())
	}

	current := newConfig(desired)
	shifted := Diff(current, parseObjects(t, "shifted.toml", servicesFile(300, 1001)))
	var split *SplitError
	if _, err := SplitChanges(current, shifted, limit); !errors.As(err, &split) {
		t.Errorf("ports reused before they are released: %v", err)
	}
	removed := Diff(current, nil)
	steps, err = SplitChanges(current, removed, limit)
	if err != nil {
		t.Fatal(err)
	}
	if last := steps[len(steps)-1]; last[len(last)-1].Kind != model.KindDomain {
		t.Error("the failure domain is removed before the services that name it")
	}
}
