package dissemination_test

import (
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/dissemination"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// An agent subscribes to a service whose other agent has long been known. The
// other agent's record used to arrive only after two differing digests, about 6 s
// later; until then the two agents ignored each other's messages about idempotency
// keys.
func TestSubscriberIsSentServiceRecordsAtNextTick(t *testing.T) {
	now := time.Unix(1000, 0)
	board := core.NewBoard(model.Member{Node: "balancer-1", Role: model.RoleBalancer, Incarnation: 1, State: model.StateAlive})
	board.Members.Put(model.Member{
		Node: "agent-1", Role: model.RoleAgent, Incarnation: 1, State: model.StateAlive, Service: "lease-desk",
	})
	board.Members.Put(model.Member{
		Node: "agent-9", Role: model.RoleAgent, Incarnation: 1, State: model.StateAlive, Service: "drawings",
	})
	node := core.NewNode(board, 1, dissemination.New(dissemination.Options{}))
	node.Step(now, core.SessionOpened{Member: model.Member{Node: "agent-2", Role: model.RoleAgent, Incarnation: 1}})
	node.Step(now, core.Tick{})
	node.Step(now, core.MessageReceived{From: "agent-2", Message: core.Subscribe{Service: "lease-desk"}})
	var got []model.NodeID
	for _, e := range node.Step(now.Add(core.TickInterval), core.Tick{}) {
		if s, ok := e.(core.SendMessage); ok && s.To == "agent-2" {
			if d, ok := s.Message.(core.Delta); ok {
				for _, m := range d.Members {
					got = append(got, m.Node)
				}
			}
		}
	}
	if len(got) != 1 || got[0] != "agent-1" {
		t.Errorf("the subscriber was sent %v, want agent-1", got)
	}
}
