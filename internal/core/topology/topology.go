// Package topology decides with which balancers a node has control sessions. The
// decision is a pure function of the member records, so that the node and its
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
	// WatchersPerNode is the number of balancers that monitor a node's
	// heartbeats.
	WatchersPerNode = 3
	// maxFullMeshSize is the largest number of balancers that form a full mesh
	// of sessions.
	maxFullMeshSize = 5
)

// Balancers is the list of balancers that may be watchers, in the order of their
// IDs.
type Balancers struct{ nodes []rendezvous.Node }

// NewBalancers returns the balancers that may be watchers: those that are neither
// draining nor gone. A suspect one stays, so that a short gap in its heartbeats
// does not move sessions.
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

// Watchers returns the balancers that monitor the node's heartbeats.
func (b Balancers) Watchers(node model.NodeID) []model.NodeID {
	return nodeIDs(rendezvous.Top(rendezvous.NewNode(node), b.nodes, WatchersPerNode))
}

// IsWatcher reports whether the balancer is among the node's watchers. A draining
// one never is, however few others there are: it receives no heartbeats.
func (b Balancers) IsWatcher(balancer rendezvous.Node, node model.NodeID) bool {
	return b.contains(balancer.ID) && rendezvous.InTop(rendezvous.NewNode(node), b.nodes, WatchersPerNode, balancer)
}

func (b Balancers) contains(balancer model.NodeID) bool {
	_, found := slices.BinarySearchFunc(b.nodes, balancer, func(n rendezvous.Node, id model.NodeID) int { return cmp.Compare(n.ID, id) })
	return found
}

// Peers returns the balancers to which the node opens sessions: its watchers
// and, for a balancer, its successor in the ring of IDs, which keeps the graph
// of sessions connected. Up to maxFullMeshSize balancers form a full mesh.
func (b Balancers) Peers(node model.NodeID, role model.Role) []model.NodeID {
	if role == model.RoleBalancer && len(b.nodes) <= maxFullMeshSize {
		return nodeIDs(rendezvous.Top(rendezvous.NewNode(node), b.nodes, maxFullMeshSize))
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
	if role == model.RoleBalancer && (len(b.nodes) <= maxFullMeshSize || b.successor(node) == balancer.ID) {
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

func nodeIDs(nodes []rendezvous.Node) []model.NodeID {
	ids := make([]model.NodeID, len(nodes))
	for i, n := range nodes {
		ids[i] = n.ID
	}
	return ids
}
