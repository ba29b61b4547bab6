package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Seed returns the rendezvous seed of a node.
func Seed(node model.NodeID) uint64 {
	return xxhash.Sum64String(string(node))
}

// Score returns the rendezvous score of a seed for a hash: the finalizer of
// MurmurHash3 over both. It depends only on its arguments, so nodes with
// different views agree on the order of any two candidates. It is symmetric; to
// select among peers of the same kind, use package rendezvous.
func Score(seed, hash uint64) uint64 {
	x := seed ^ hash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Home returns the candidate with the highest score, or nil if the view has
// none. It allocates nothing.
func Home(v *core.View, hash uint64) *core.Candidate {
	var best *core.Candidate
	var bestScore uint64
	for i := range v.Candidates {
		c := &v.Candidates[i]
		if score := Score(c.Seed, hash); best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// Rank appends the candidates to buf, highest score first.
func Rank(v *core.View, hash uint64, buf []core.Candidate) []core.Candidate {
	start := len(buf)
	buf = append(buf, v.Candidates...)
	slices.SortFunc(buf[start:], func(a, b core.Candidate) int {
		return cmp.Compare(Score(b.Seed, hash), Score(a.Seed, hash))
	})
	return buf
}
