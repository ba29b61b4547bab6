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

func TestChangedSinceListsEveryChange(t *testing.T) {
	members := newMembers()
	members.Put(model.Member{Node: "a"})
	generation := members.Generation
	members.Put(model.Member{Node: "b"})
	members.Remove("a")
	got, ok := members.ChangedSince(generation)
	if want := "[b a]"; !ok || fmt.Sprint(got) != want {
		t.Fatalf("got %v, %v; want %s", got, ok, want)
	}
	if got, ok := members.ChangedSince(members.Generation); !ok || len(got) != 0 {
		t.Fatalf("got %v, %v; want no change", got, ok)
	}
}

func TestChangedSinceUnknownAfterUnloggedChange(t *testing.T) {
	members := newMembers()
	members.Put(model.Member{Node: "a"})
	generation := members.Generation
	members.Records["b"] = model.Member{Node: "b"}
	members.Generation++
	if _, ok := members.ChangedSince(generation); ok {
		t.Fatal("ChangedSince reports a complete list after a change that was not logged")
	}
	members.Put(model.Member{Node: "c"})
	if _, ok := members.ChangedSince(generation); ok {
		t.Fatal("ChangedSince reports a complete list although an earlier change was not logged")
	}
}

func TestChangedSinceUnknownForReaderFarBehind(t *testing.T) {
	members := newMembers()
	members.Put(model.Member{Node: "a"})
	generation := members.Generation
	for i := range 10_000 {
		members.Put(model.Member{Node: model.NodeID(fmt.Sprint(i))})
		got, ok := members.ChangedSince(generation)
		if ok && len(got) != i+1 {
			t.Fatalf("%d changes listed, want %d", len(got), i+1)
		}
	}
	if _, ok := members.ChangedSince(generation); ok {
		t.Fatal("the log still covers 10,000 changes")
	}
}
