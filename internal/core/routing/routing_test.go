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

// TestIncrementalViewsMatchAFullRebuild changes members and configuration at
// random, some changes unnoted, and compares the views with those that a new
// controller builds.
func TestIncrementalViewsMatchAFullRebuild(t *testing.T) {
	const services, targets = 4, 12
	rapid.Check(t, func(t *rapid.T) {
		board := newBoard(services, targets)
		node := core.NewNode(board, 1, routing.New())
		version := uint64(1)
		now := benchStart
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				version++
				changeBoard(t, board, version)
			}
			now = now.Add(time.Second)
			before := board.Routes.Generation
			effects := node.Step(now, core.Tick{})
			if (len(effects) > 0) != (board.Routes.Generation > before) {
				t.Fatalf("%d effects, generation %d after %d", len(effects), board.Routes.Generation, before)
			}
			compareViews(t, board)
		}
	})
}

// changeBoard makes one random change.
func changeBoard(t *rapid.T, board *core.Board, version uint64) {
	const services = 4
	i := rapid.IntRange(0, 11).Draw(t, "target")
	m := agent(i, services)
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
		changeObject(board, model.Object{Key: key, Version: version, DomainState: &model.DomainState{Name: m.Domain, Out: out}})
	case 5:
		object := model.Object{Key: model.ObjectKey{Kind: model.KindService, Name: string(m.Service)}, Version: version}
		if rapid.Bool().Draw(t, "declared") {
			object.Service = service(i % services)
		}
		changeObject(board, object)
	default:
		states := []model.MemberState{model.StateAlive, model.StateDraining, model.StateSuspect, model.StateLeft, model.StateDead}
		m.State = rapid.SampledFrom(states).Draw(t, "state")
		board.Members.Put(m)
	}
}

func changeObject(board *core.Board, object model.Object) {
	board.Config.Current.Merge(object.Version, []model.Object{object})
	board.Config.Generation++
}

// compareViews fails unless the board's views equal freshly built ones in all
// but the time of their last change.
func compareViews(t *rapid.T, board *core.Board) {
	fresh := core.NewBoard(board.Self.Member)
	fresh.Config, fresh.Members = board.Config, board.Members
	core.NewNode(fresh, 1, routing.New()).Step(benchStart, core.Tick{})
	if len(fresh.Routes.Views) != len(board.Routes.Views) {
		t.Fatalf("%d views, want %d", len(board.Routes.Views), len(fresh.Routes.Views))
	}
	for id, want := range fresh.Routes.Views {
		got := *board.Routes.Views[id]
		got.ChangedAt = want.ChangedAt
		if !reflect.DeepEqual(&got, want) {
			t.Fatalf("view of %s is %+v, want %+v", want.Service, got, *want)
		}
	}
}

// TestPublishedViewsStayUnchanged checks that a change never writes to views
// that the packet path may be reading.
func TestPublishedViewsStayUnchanged(t *testing.T) {
	board := newBoard(2, 6)
	node := core.NewNode(board, 1, routing.New())
	node.Step(benchStart, core.Tick{})
	published := board.Routes.Views
	touched, other := serviceName(0).ID(), serviceName(1).ID()
	held, candidates := published[touched], len(published[touched].Candidates)
	dead := agent(0, 2)
	dead.State = model.StateDead
	board.Members.Put(dead)
	node.Step(benchStart, core.Tick{})
	if published[touched] != held || len(held.Candidates) != candidates {
		t.Error("a published view was written to")
	}
	if got := len(board.Routes.Views[touched].Candidates); got != candidates-1 {
		t.Errorf("%d candidates after a death, want %d", got, candidates-1)
	}
	if board.Routes.Views[other] != published[other] {
		t.Error("the view of a service that was not touched was replaced")
	}
}
