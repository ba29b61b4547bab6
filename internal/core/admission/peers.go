package admission

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// refusalMemory is how long a peer that refused a request counts as loaded.
const refusalMemory = time.Second

// peerLoad remembers which peers have refused lately.
type peerLoad struct{ refused map[model.NodeID]time.Time }

func newPeerLoad() peerLoad { return peerLoad{refused: make(map[model.NodeID]time.Time)} }

func (p *peerLoad) refusedAt(peer model.NodeID, now time.Time) { p.refused[peer] = now }

// forget drops refusals that no longer count.
func (p *peerLoad) forget(now time.Time) {
	for peer, at := range p.refused {
		if now.Sub(at) >= refusalMemory {
			delete(p.refused, peer)
		}
	}
}

// choose returns the less loaded of two random agents that may take a request
// of the service and have not had it.
func (p *peerLoad) choose(t *core.Turn, service model.ServiceID, visited []model.NodeID) (core.Candidate, bool) {
	view := t.Board.Routes.Views[service]
	if view == nil {
		return core.Candidate{}, false
	}
	var eligible []core.Candidate
	for _, c := range view.Candidates {
		if c.AcceptsNewFlows && !slices.Contains(visited, c.Member.Node) {
			eligible = append(eligible, c)
		}
	}
	if len(eligible) == 0 {
		return core.Candidate{}, false
	}
	first := t.Rand.IntN(len(eligible))
	second := t.Rand.IntN(len(eligible))
	if p.refused[eligible[first].Member.Node].After(p.refused[eligible[second].Member.Node]) {
		first = second
	}
	return eligible[first], true
}
