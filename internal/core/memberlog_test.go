package core_test

import (
	"fmt"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

func newMembers() *core.MemberSection {
	return &core.NewBoard(model.Member{}).Members
}

func TestChangedSinceNamesEveryChange(t *testing.T) {
	members := newMembers()
	members.Put(model.Member{Node: "a"})
	seen := members.Generation
	members.Put(model.Member{Node: "b"})
	members.Remove("a")
	got, ok := members.ChangedSince(seen)
	if want := "[b a]"; !ok || fmt.Sprint(got) != want {
		t.Fatalf("got %v, %v; want %s", got, ok, want)
	}
	if got, ok := members.ChangedSince(members.Generation); !ok || len(got) != 0 {
		t.Fatalf("got %v, %v; want no change", got, ok)
	}
}

func TestChangedSinceIsUnknownAfterAnUnnotedChange(t *testing.T) {
	members := newMembers()
	members.Put(model.Member{Node: "a"})
	seen := members.Generation
	members.Records["b"] = model.Member{Node: "b"}
	members.Generation++
	if _, ok := members.ChangedSince(seen); ok {
		t.Fatal("a change that was not noted is taken as known")
	}
	members.Put(model.Member{Node: "c"})
	if _, ok := members.ChangedSince(seen); ok {
		t.Fatal("a change before the latest one was not noted, yet is taken as known")
	}
}

func TestChangedSinceIsUnknownForAReaderFarBehind(t *testing.T) {
	members := newMembers()
	members.Put(model.Member{Node: "a"})
	seen := members.Generation
	for i := range 10_000 {
		members.Put(model.Member{Node: model.NodeID(fmt.Sprint(i))})
		got, ok := members.ChangedSince(seen)
		if ok && len(got) != i+1 {
			t.Fatalf("%d changes named after %d", len(got), i+1)
		}
	}
	if _, ok := members.ChangedSince(seen); ok {
		t.Fatal("10,000 changes are remembered")
	}
}
