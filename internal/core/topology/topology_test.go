package topology_test

import (
	"fmt"
	"slices"
	"testing"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/rendezvous"
	"amaranthwheel.example/amaranthwheel/internal/core/topology"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

func members(n int) *core.MemberSection {
	records := make(map[model.NodeID]model.Member)
	for i := range n {
		id := model.NodeID(fmt.Sprintf("balancer-%03d", i))
		records[id] = model.Member{Node: id, Role: model.RoleBalancer, State: model.StateAlive}
	}
	return &core.MemberSection{Records: records}
}

func TestSessionsConnectAllBalancers(t *testing.T) {
	for _, n := range []int{1, 2, 5, 6, 50, 610} {
		section := members(n)
		balancers := topology.NewBalancers(section)
		links := make(map[model.NodeID][]model.NodeID)
		for id := range section.Records {
			for _, peer := range balancers.Peers(id, model.RoleBalancer) {
				links[id] = append(links[id], peer)
				links[peer] = append(links[peer], id)
				if !balancers.IsPeer(rendezvous.NewNode(peer), id, model.RoleBalancer) {
					t.Fatalf("%s would hang up on %s", peer, id)
				}
			}
		}
		if got := reachable("balancer-000", links); got != n {
			t.Errorf("%d of %d balancers are connected", got, n)
		}
	}
}

func reachable(from model.NodeID, links map[model.NodeID][]model.NodeID) int {
	seen := []model.NodeID{from}
	for i := 0; i < len(seen); i++ {
		for _, next := range links[seen[i]] {
			if !slices.Contains(seen, next) {
				seen = append(seen, next)
			}
		}
	}
	return len(seen)
}
