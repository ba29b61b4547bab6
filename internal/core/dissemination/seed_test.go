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

// An agent starts just as the only balancer that it knows begins to drain. It had no
// lease until another balancer dialed it 3 s later, and new flows whose home it was
// did not open: scenario planned-stops-openings.
func TestAgentDialsSeedWhenItsOnlyBalancerDrains(t *testing.T) {
	drainingAddr, otherAddr := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	now := time.Unix(1000, 0)
	board := core.NewBoard(model.Member{Node: "agent", Role: model.RoleAgent, Incarnation: 1, State: model.StateAlive})
	node := core.NewNode(board, 1, membership.New(membership.Options{}),
		dissemination.New(dissemination.Options{Seeds: []netip.AddrPort{drainingAddr, otherAddr}, HealInterval: time.Hour}))
	balancer := model.Member{Node: "balancer-1", Role: model.RoleBalancer, Incarnation: 1, State: model.StateAlive, ControlAddr: drainingAddr}
	node.Step(now, core.SessionOpened{Member: balancer})
	dialedWithinSecond := func() map[netip.AddrPort]bool {
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
	if got := dialedWithinSecond(); len(got) != 0 {
		t.Fatalf("dialed %v while the balancer was alive, want none", got)
	}
	balancer.State, balancer.Revision = model.StateDraining, 1
	node.Step(now, core.MessageReceived{From: "balancer-1", Message: core.Delta{Members: []model.Member{balancer}}})
	if got := dialedWithinSecond(); len(got) != 1 || !got[otherAddr] {
		t.Fatalf("dialed %v within 1 s after the only balancer began to drain, want %v", got, otherAddr)
	}
}
