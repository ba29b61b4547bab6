// Package rendezvous selects nodes for a subject by highest random weight
// (rendezvous hashing): every process with the same list selects the same nodes,
// and a change to the list changes only the selections that it affects.
package rendezvous

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Node is a node, or another subject to select nodes for, with the hash of its
// name.
type Node struct {
	ID   model.NodeID
	seed uint64
}

// NewNode returns the node with its hash.
func NewNode(id model.NodeID) Node {
	return Node{id, xxhash.Sum64String(string(id))}
}

// weight returns the weight of a node for a subject. Unlike routing.Score it is
// not symmetric: balancers that select each other in pairs would leave the graph
// of their sessions sparse.
func weight(subject, node uint64) uint64 {
	hi, lo := bits.Mul64(subject^0x9e3779b97f4a7c15, node^0xd1b54a32d192ed03)
	x := hi ^ lo
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// weightedNode is a node with its weight for one subject.
type weightedNode struct {
	node   Node
	weight uint64
}

// ranksBefore reports whether a ranks before b.
func (a weightedNode) ranksBefore(b weightedNode) bool {
	if a.weight != b.weight {
		return a.weight > b.weight
	}
	return a.node.ID < b.node.ID
}

// Top returns the n nodes with the highest weight for the subject, best
// first. The subject itself is never selected.
func Top(subject Node, nodes []Node, n int) []Node {
	best := make([]weightedNode, 0, n+1)
	for _, node := range nodes {
		if node.ID == subject.ID {
			continue
		}
		entry := weightedNode{node, weight(subject.seed, node.seed)}
		if len(best) == n && (n == 0 || !entry.ranksBefore(best[n-1])) {
			continue
		}
		index := slices.IndexFunc(best, entry.ranksBefore)
		if index < 0 {
			index = len(best)
		}
		best = slices.Insert(best, index, entry)
		best = best[:min(n, len(best))]
	}
	top := make([]Node, len(best))
	for i, entry := range best {
		top[i] = entry.node
	}
	return top
}

// InTop reports whether Top would return the node, which need not be listed.
// It stops as soon as n nodes rank higher.
func InTop(subject Node, nodes []Node, n int, node Node) bool {
	if subject.ID == node.ID || n <= 0 {
		return false
	}
	entry := weightedNode{node, weight(subject.seed, node.seed)}
	higher := 0
	for _, other := range nodes {
		if other.ID == node.ID || other.ID == subject.ID {
			continue
		}
		if entry.ranksBefore(weightedNode{other, weight(subject.seed, other.seed)}) {
			continue
		}
		higher++
		if higher >= n {
			return false
		}
	}
	return true
}
