package admission

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// refusalTTL is how long a peer that refused a request counts as loaded.
const refusalTTL = time.Second

// peerSelector selects agents for hand-overs. It records which of them have
// refused a request recently.
type peerSelector struct{ lastRefusal map[model.NodeID]time.Time }

func newPeerSelector() peerSelector {
	return peerSelector{lastRefusal: make(map[model.NodeID]time.Time)}
}

func (s *peerSelector) recordRefusal(peer model.NodeID, now time.Time) { s.lastRefusal[peer] = now }

// expireRefusals deletes refusals that no longer count.
func (s *peerSelector) expireRefusals(now time.Time) {
	for peer, at := range s.lastRefusal {
		if now.Sub(at) >= refusalTTL {
			delete(s.lastRefusal, peer)
		}
	}
}

// choose returns the less loaded of two random agents that accept requests of
// the service and have not had this one.
func (s *peerSelector) choose(t *core.Turn, service model.ServiceID, visited []model.NodeID) (core.Candidate, bool) {
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
	if s.lastRefusal[eligible[first].Member.Node].After(s.lastRefusal[eligible[second].Member.Node]) {
		first = second
	}
	return eligible[first], true
}
