package dissemination_test

import (
	"net/netip"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/dissemination"
	"amaranthwheel.example/amaranthwheel/internal/core/membership"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// An agent starts just as the balancer that it has reached begins to leave, and
// knows no other one. It got no lease until another balancer dialed it 3 s later, and
// new flows with their home there did not open: scenario planned-stops-openings.
func TestAgentLooksForAnotherBalancerWhenItsOnlyOneLeaves(t *testing.T) {
	leaving, other := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	now := time.Unix(1000, 0)
	board := core.NewBoard(model.Member{Node: "agent", Role: model.RoleAgent, Incarnation: 1, State: model.StateAlive})
	node := core.NewNode(board, 1, membership.New(membership.Options{}),
		dissemination.New(dissemination.Options{Seeds: []netip.AddrPort{leaving, other}, HealInterval: time.Hour}))
	balancer := model.Member{Node: "balancer-1", Role: model.RoleBalancer, Incarnation: 1, State: model.StateAlive, ControlAddr: leaving}
	node.Step(now, core.SessionOpened{Member: balancer})
	dialed := func() map[netip.AddrPort]bool {
		out := make(map[netip.AddrPort]bool)
		for end := now.Add(time.Second); now.Before(end); now = now.Add(core.TickInterval) {
			for _, e := range node.Step(now, core.Tick{}) {
				if d, ok := e.(core.Dial); ok {
					out[d.Addr] = true
				}
			}
		}
		return out
	}
	if got := dialed(); len(got) != 0 {
		t.Fatalf("with a balancer that stays, %v are dialed", got)
	}
	balancer.State, balancer.Revision = model.StateDraining, 1
	node.Step(now, core.MessageReceived{From: "balancer-1", Message: core.Delta{Members: []model.Member{balancer}}})
	if got := dialed(); len(got) != 1 || !got[other] {
		t.Fatalf("within 1 s after its only balancer began to leave %v are dialed, want %v", got, other)
	}
}
