package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/core/rendezvous"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

func testNodes(n int) []rendezvous.Node {
	nodes := make([]rendezvous.Node, n)
	for i := range nodes {
		nodes[i] = rendezvous.NewNode(model.NodeID(fmt.Sprintf("node-%d", i)))
	}
	return nodes
}

func TestTopAndInTopAgree(t *testing.T) {
	all := testNodes(50)
	for i := range 200 {
		subject := rendezvous.NewNode(model.NodeID(fmt.Sprintf("node-%d", i)))
		top := rendezvous.Top(subject, all, 3)
		for _, n := range all {
			if got, want := rendezvous.InTop(subject, all, 3, n), slices.Contains(top, n); got != want {
				t.Fatalf("InTop(%s, %s) is %v, Top %v", subject.ID, n.ID, got, top)
			}
		}
	}
}

func TestTopIsBalancedAndStable(t *testing.T) {
	all := testNodes(20)
	counts := make(map[model.NodeID]int)
	moved := 0
	const subjects = 2000
	for i := range subjects {
		subject := rendezvous.NewNode(model.NodeID(fmt.Sprintf("agent-%d", i)))
		top := rendezvous.Top(subject, all, 1)
		counts[top[0].ID]++
		if rendezvous.Top(subject, all[1:], 1)[0] != top[0] {
			moved++
		}
	}
	for id, n := range counts {
		if n < subjects/20/2 || n > subjects/20*2 {
			t.Errorf("%s is selected %d times", id, n)
		}
	}
	if moved != counts[all[0].ID] {
		t.Errorf("%d selections changed, want only the %d of the removed node", moved, counts[all[0].ID])
	}
}
