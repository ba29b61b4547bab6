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

func balancerMembers(n int) *core.MemberSection {
	records := make(map[model.NodeID]model.Member)
	for i := range n {
		id := model.NodeID(fmt.Sprintf("balancer-%03d", i))
		records[id] = model.Member{Node: id, Role: model.RoleBalancer, State: model.StateAlive}
	}
	return &core.MemberSection{Records: records}
}

func TestSessionsConnectAllBalancers(t *testing.T) {
	for _, n := range []int{1, 2, 5, 6, 50, 610} {
		section := balancerMembers(n)
		balancers := topology.NewBalancers(section)
		neighbors := make(map[model.NodeID][]model.NodeID)
		for id := range section.Records {
			for _, peer := range balancers.Peers(id, model.RoleBalancer) {
				neighbors[id] = append(neighbors[id], peer)
				neighbors[peer] = append(neighbors[peer], id)
				if !balancers.IsPeer(rendezvous.NewNode(peer), id, model.RoleBalancer) {
					t.Fatalf("%s would close the session of %s", peer, id)
				}
			}
		}
		if got := countReachable("balancer-000", neighbors); got != n {
			t.Errorf("%d of %d balancers are connected", got, n)
		}
	}
}

func countReachable(from model.NodeID, neighbors map[model.NodeID][]model.NodeID) int {
	visited := []model.NodeID{from}
	for i := 0; i < len(visited); i++ {
		for _, next := range neighbors[visited[i]] {
			if !slices.Contains(visited, next) {
				visited = append(visited, next)
			}
		}
	}
	return len(visited)
}
