package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

func newView(s *model.Service, candidates []core.Candidate) *core.View {
	slices.SortFunc(candidates, func(a, b core.Candidate) int {
		return cmp.Compare(a.Member.Node, b.Member.Node)
	})
	return &core.View{
		Service: s.Name, Mode: s.Mode, Address: s.Address,
		Candidates: candidates, Digest: candidatesDigest(candidates),
	}
}

// candidatesDigest hashes the names and incarnations of the candidates, which
// determine homes.
func candidatesDigest(candidates []core.Candidate) uint64 {
	h := xxhash.New()
	var buf [8]byte
	for i := range candidates {
		_, _ = h.WriteString(string(candidates[i].Member.Node))
		binary.BigEndian.PutUint64(buf[:], candidates[i].Member.Incarnation)
		_, _ = h.Write(buf[:])
	}
	return h.Sum64()
}

func viewsEqual(a, b *core.View) bool {
	return a.Mode == b.Mode && a.Address == b.Address && slices.Equal(a.Candidates, b.Candidates)
}

// viewMapsIdentical reports whether both maps contain the same views, by
// pointer.
func viewMapsIdentical(a, b map[model.ServiceID]*core.View) bool {
	if len(a) != len(b) {
		return false
	}
	for id, v := range b {
		if a[id] != v {
			return false
		}
	}
	return true
}
