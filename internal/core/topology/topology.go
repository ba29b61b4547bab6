// Package topology decides which balancers a node keeps control sessions
// with. It is a pure function of the member records, so that the node and its
// watchers agree on it.
package topology

import (
	"cmp"
	"slices"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/rendezvous"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	// WatchersPerNode is the number of balancers that watch a node's
	// heartbeats.
	WatchersPerNode = 3
	// fullMeshSize is the largest number of balancers that all keep sessions
	// with each other.
	fullMeshSize = 5
)

// Balancers is the balancers that may watch, in the order of their IDs.
type Balancers struct{ nodes []rendezvous.Node }

// NewBalancers returns the balancers that may watch: those that are neither
// leaving nor gone. A suspect one stays, so that a short silence moves
// nothing.
func NewBalancers(members *core.MemberSection) Balancers {
	var nodes []rendezvous.Node
	for id, m := range members.Records {
		if m.Role == model.RoleBalancer && (m.State == model.StateAlive || m.State == model.StateSuspect) {
			nodes = append(nodes, rendezvous.NewNode(id))
		}
	}
	slices.SortFunc(nodes, func(a, b rendezvous.Node) int { return cmp.Compare(a.ID, b.ID) })
	return Balancers{nodes}
}

// Watchers returns the balancers that watch the node.
func (b Balancers) Watchers(node model.NodeID) []model.NodeID {
	return ids(rendezvous.Top(rendezvous.NewNode(node), b.nodes, WatchersPerNode))
}

// IsWatcher reports whether the balancer is among the node's watchers. One that
// is leaving never is, however few others there are: it gets no heartbeats.
func (b Balancers) IsWatcher(balancer rendezvous.Node, node model.NodeID) bool {
	return b.has(balancer.ID) && rendezvous.InTop(rendezvous.NewNode(node), b.nodes, WatchersPerNode, balancer)
}

func (b Balancers) has(balancer model.NodeID) bool {
	_, found := slices.BinarySearchFunc(b.nodes, balancer, func(n rendezvous.Node, id model.NodeID) int { return cmp.Compare(n.ID, id) })
	return found
}

// Peers returns the balancers that the node opens sessions to: its watchers
// and, for a balancer, its successor in the ring of IDs, which keeps the graph
// of sessions connected. A few balancers form a full mesh.
func (b Balancers) Peers(node model.NodeID, role model.Role) []model.NodeID {
	if role == model.RoleBalancer && len(b.nodes) <= fullMeshSize {
		return ids(rendezvous.Top(rendezvous.NewNode(node), b.nodes, fullMeshSize))
	}
	peers := b.Watchers(node)
	if role != model.RoleBalancer {
		return peers
	}
	if successor := b.successor(node); !slices.Contains(peers, successor) {
		peers = append(peers, successor)
	}
	return peers
}

// IsPeer reports whether the balancer is among the peers of another node.
func (b Balancers) IsPeer(balancer rendezvous.Node, node model.NodeID, role model.Role) bool {
	if role == model.RoleBalancer && (len(b.nodes) <= fullMeshSize || b.successor(node) == balancer.ID) {
		return true
	}
	return b.IsWatcher(balancer, node)
}

// successor returns the balancer after the node in the ring of IDs.
func (b Balancers) successor(node model.NodeID) model.NodeID {
	next, _ := slices.BinarySearchFunc(b.nodes, node, func(other rendezvous.Node, id model.NodeID) int {
		if other.ID <= id {
			return -1
		}
		return 1
	})
	return b.nodes[next%len(b.nodes)].ID
}

func ids(nodes []rendezvous.Node) []model.NodeID {
	out := make([]model.NodeID, len(nodes))
	for i, n := range nodes {
		out[i] = n.ID
	}
	return out
}
