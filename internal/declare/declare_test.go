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

// objects parses a file and converts it.
func objects(t *testing.T, name string, data []byte) []model.Object {
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

func authority(t *testing.T) []byte {
	t.Helper()
	data, err := os.ReadFile("../../operator/examples/authority/testdata/authority.toml")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// inForce returns a configuration at version 1 with the objects.
func inForce(objects []model.Object) *model.Config {
	config := model.NewConfig()
	for i := range objects {
		objects[i].Version = 1
	}
	config.Merge(1, objects)
	return config
}

func TestDiff(t *testing.T) {
	current := inForce(objects(t, "authority.toml", authority(t)))
	out := model.ObjectKey{Kind: model.KindDomainState, Name: "om-north-a"}
	current.Objects[out] = model.Object{Key: out, DomainState: &model.DomainState{Name: "om-north-a", Out: true}}

	if changes := Diff(current, objects(t, "authority.toml", authority(t))); len(changes) != 0 {
		t.Errorf("an equal file changes %v", changes)
	}

	edited := string(authority(t))
	edited = strings.Replace(edited, `max_slots = 10`, `max_slots = 12`, 1)
	edited = strings.Replace(edited, `name = "lease-desk"`, `name = "rents"`, 1)
	edited = strings.Replace(edited, `region = "om-north"`, `region = "om-south"`, 1)
	changes := Diff(current, objects(t, "edited.toml", []byte(edited)))
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
		t.Error("applying a file brought a failure domain back")
	}
	if removed := after.Objects[model.ObjectKey{Kind: model.KindService, Name: "lease-desk"}]; !removed.Deleted() {
		t.Error("the removed service is no tombstone")
	}
}

func TestRemovedDomainStillNamed(t *testing.T) {
	current := inForce(objects(t, "authority.toml", authority(t)))
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

func TestIdentityCollision(t *testing.T) {
	file, err := declaration.Parse("authority.toml", authority(t))
	if err != nil {
		t.Fatal(err)
	}
	same := func(model.ServiceName) model.ServiceID { return 7 }
	if err := checkCollisions(file, same); err == nil || !strings.Contains(err.Error(), "authority.toml:30: service.lease-desk.name: has the same identity") {
		t.Errorf("got %v", err)
	}
	current := inForce(objects(t, "authority.toml", authority(t)))
	gone := model.ObjectKey{Kind: model.KindService, Name: "drawings"}
	current.Objects[gone] = model.Object{Key: gone}
	var found findings.List
	if checkIdentities(current, same, &found); len(found.All()) != 1 {
		t.Errorf("a removed service's identity was not kept: %v", found.All())
	}
}

// services returns a file with n services on ports from first on.
func services(n, first int) []byte {
	var b strings.Builder
	b.WriteString("[[domain]]\nname = \"a\"\nregion = \"r\"\n")
	for i := range n {
		fmt.Fprintf(&b, "[[service]]\nname = \"s-%03d\"\nmode = \"flow\"\naddress = \"127.0.0.1:%d\"\n", i, first+i)
		b.WriteString("domains = [\"a\"]\ntargets = [\"t\"]\nmax_slots = 1\nmax_connections = 1\n")
	}
	return []byte(b.String())
}

func TestSplit(t *testing.T) {
	const limit = 120
	empty := model.NewConfig()
	desired := objects(t, "many.toml", services(300, 1000))
	steps, err := SplitChanges(empty, Diff(empty, desired), limit)
	if err != nil {
		t.Fatal(err)
	}
	if len(steps) != 3 || steps[0][0].Kind != model.KindDomain || len(steps[0]) != limit {
		t.Errorf("%d steps, the first starts with %s", len(steps), steps[0][0].String())
	}

	current := inForce(desired)
	shifted := Diff(current, objects(t, "shifted.toml", services(300, 1001)))
	var split *SplitError
	if _, err := SplitChanges(current, shifted, limit); !errors.As(err, &split) {
		t.Errorf("ports taken before they are given up: %v", err)
	}
	removed := Diff(current, nil)
	steps, err = SplitChanges(current, removed, limit)
	if err != nil {
		t.Fatal(err)
	}
	if last := steps[len(steps)-1]; last[len(last)-1].Kind != model.KindDomain {
		t.Error("the failure domain goes before the services that name it")
	}
}
