package routing_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// TestIncrementalViewsMatchFullRebuild changes members and configuration at
// random, some members without an entry in the change log, and compares the
// views with those that a new controller builds.
func TestIncrementalViewsMatchFullRebuild(t *testing.T) {
	const services, targets = 4, 12
	rapid.Check(t, func(t *rapid.T) {
		board := newBoard(services, targets)
		node := core.NewNode(board, 1, routing.New())
		version := uint64(1)
		now := startTime
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				version++
				applyRandomChange(t, board, version)
			}
			now = now.Add(time.Second)
			before := board.Routes.Generation
			effects := node.Step(now, core.Tick{})
			if (len(effects) > 0) != (board.Routes.Generation > before) {
				t.Fatalf("%d effects, generation %d after %d", len(effects), board.Routes.Generation, before)
			}
			checkViewsMatchRebuild(t, board)
		}
	})
}

// applyRandomChange makes one random change.
func applyRandomChange(t *rapid.T, board *core.Board, version uint64) {
	const services = 4
	i := rapid.IntRange(0, 11).Draw(t, "target")
	m := newAgent(i, services)
	m.Revision = version
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		board.Members.Remove(m.Node)
	case 1:
		m.Service = serviceName(rapid.IntRange(0, services).Draw(t, "service"))
		board.Members.Put(m)
	case 2:
		m.Role = model.RoleBalancer
		board.Members.Put(m)
	case 3:
		m.Incarnation = version
		board.Members.Records[m.Node] = m
		board.Members.Generation++
	case 4:
		key := model.ObjectKey{Kind: model.KindDomainState, Name: string(m.Domain)}
		out := rapid.Bool().Draw(t, "out")
		mergeObject(board, model.Object{Key: key, Version: version, DomainState: &model.DomainState{Name: m.Domain, Out: out}})
	case 5:
		object := model.Object{Key: model.ObjectKey{Kind: model.KindService, Name: string(m.Service)}, Version: version}
		if rapid.Bool().Draw(t, "declared") {
			object.Service = newService(i % services)
		}
		mergeObject(board, object)
	default:
		states := []model.MemberState{model.StateAlive, model.StateDraining, model.StateSuspect, model.StateLeft, model.StateDead}
		m.State = rapid.SampledFrom(states).Draw(t, "state")
		board.Members.Put(m)
	}
}

func mergeObject(board *core.Board, object model.Object) {
	board.Config.Current.Merge(object.Version, []model.Object{object})
	board.Config.Generation++
}

// checkViewsMatchRebuild fails unless the board's views equal newly built ones
// in all but the time of their last change.
func checkViewsMatchRebuild(t *rapid.T, board *core.Board) {
	rebuilt := core.NewBoard(board.Self.Member)
	rebuilt.Config, rebuilt.Members = board.Config, board.Members
	core.NewNode(rebuilt, 1, routing.New()).Step(startTime, core.Tick{})
	if len(rebuilt.Routes.Views) != len(board.Routes.Views) {
		t.Fatalf("%d views, want %d", len(board.Routes.Views), len(rebuilt.Routes.Views))
	}
	for id, want := range rebuilt.Routes.Views {
		got := *board.Routes.Views[id]
		got.ChangedAt = want.ChangedAt
		if !reflect.DeepEqual(&got, want) {
			t.Fatalf("view of %s is %+v, want %+v", want.Service, got, *want)
		}
	}
}

// TestPublishedViewsAreImmutable checks that a change never writes to views
// that the packet path may be reading.
func TestPublishedViewsAreImmutable(t *testing.T) {
	board := newBoard(2, 6)
	node := core.NewNode(board, 1, routing.New())
	node.Step(startTime, core.Tick{})
	published := board.Routes.Views
	changedID, otherID := serviceName(0).ID(), serviceName(1).ID()
	view, candidates := published[changedID], len(published[changedID].Candidates)
	deadMember := newAgent(0, 2)
	deadMember.State = model.StateDead
	board.Members.Put(deadMember)
	node.Step(startTime, core.Tick{})
	if published[changedID] != view || len(view.Candidates) != candidates {
		t.Error("a published view was written to")
	}
	if got := len(board.Routes.Views[changedID].Candidates); got != candidates-1 {
		t.Errorf("%d candidates after a death, want %d", got, candidates-1)
	}
	if board.Routes.Views[otherID] != published[otherID] {
		t.Error("the view of an unaffected service was replaced")
	}
}
