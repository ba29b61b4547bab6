// Package rendezvous picks nodes for a subject by highest random weight, so
// that every node with the same list picks the same ones, and a change to the
// list moves only the picks that it has to.
package rendezvous

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Node is a node, or another subject to pick nodes for, with the hash of its
// name.
type Node struct {
	ID   model.NodeID
	seed uint64
}

// NewNode returns the node with its hash.
func NewNode(id model.NodeID) Node {
	return Node{id, xxhash.Sum64String(string(id))}
}

// score returns the weight of a node for a subject.
func score(subject, node uint64) uint64 {
	hi, lo := bits.Mul64(subject^0x9e3779b97f4a7c15, node^0xd1b54a32d192ed03)
	x := hi ^ lo
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// compare orders nodes by falling weight for the subject.
func compare(subject, a, b Node) int {
	return cmp.Or(
		cmp.Compare(score(subject.seed, b.seed), score(subject.seed, a.seed)),
		cmp.Compare(a.ID, b.ID),
	)
}

// Top returns the n nodes with the highest weight for the subject, best
// first. The subject itself is never among them.
func Top(subject Node, nodes []Node, n int) []Node {
	ranked := make([]Node, 0, len(nodes))
	for _, node := range nodes {
		if node.ID != subject.ID {
			ranked = append(ranked, node)
		}
	}
	slices.SortFunc(ranked, func(a, b Node) int { return compare(subject, a, b) })
	return ranked[:min(n, len(ranked))]
}

// InTop reports whether Top would return the node, which need not be listed.
// It stops as soon as n nodes rank higher.
func InTop(subject Node, nodes []Node, n int, node Node) bool {
	if subject.ID == node.ID {
		return false
	}
	higher := 0
	for _, other := range nodes {
		if other.ID == node.ID || other.ID == subject.ID || compare(subject, other, node) > 0 {
			continue
		}
		higher++
		if higher >= n {
			return false
		}
	}
	return n > 0
}
