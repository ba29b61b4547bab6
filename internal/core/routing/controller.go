// Package routing derives each service's candidates from the configuration
// and the members, and ranks them for a flow by rendezvous hashing.
//
// The home of a flow is its highest ranked candidate. Draining and suspect
// members stay candidates, so that homes move only when a member joins, leaves,
// dies or loses its failure domain; they merely admit no new flows.
package routing

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Controller writes the board's RouteSection.
type Controller struct {
	configGeneration uint64
	memberGeneration uint64
}

// New returns a routing controller.
func New() *Controller {
	return &Controller{}
}

// Handle rebuilds the views after the configuration or the members changed.
func (c *Controller) Handle(t *core.Turn, _ core.Event) {
	b := t.Board
	if c.configGeneration == b.Config.Generation && c.memberGeneration == b.Members.Generation {
		return
	}
	c.configGeneration = b.Config.Generation
	c.memberGeneration = b.Members.Generation
	views := buildViews(b, t.Now)
	if sameViews(b.Routes.Views, views) {
		return
	}
	b.Routes.Views = views
	b.Routes.Generation++
	t.Emit(core.PublishRoutes{Views: views})
}

// buildViews returns the views of all services. A view that has not changed
// is carried over.
func buildViews(b *core.Board, now time.Time) map[model.ServiceID]*core.View {
	byService := candidatesByService(b)
	views := make(map[model.ServiceID]*core.View)
	for _, s := range b.Config.Current.Services() {
		id := s.Name.ID()
		v := newView(s, byService[s.Name])
		v.Changed = now
		if held := b.Routes.Views[id]; held != nil && held.Digest == v.Digest {
			v.Changed = held.Changed
			if sameCandidates(held, v) {
				v = held
			}
		}
		views[id] = v
	}
	return views
}

// candidatesByService groups the members that may serve.
func candidatesByService(b *core.Board) map[model.ServiceName][]core.Candidate {
	out := make(map[model.ServiceName][]core.Candidate)
	for _, m := range b.Members.Records {
		if m.Role != model.RoleAgent || m.Service == "" || m.Gone() || b.Config.Current.DomainOut(m.Domain) {
			continue
		}
		s := b.Config.Current.Service(m.Service)
		if s == nil || !s.Allows(m.Target, m.Domain) {
			continue
		}
		admits := m.State == model.StateAlive && !b.Config.Current.TargetDrained(m.Target)
		out[m.Service] = append(out[m.Service], core.Candidate{Member: m, Seed: Seed(m.Node), Admits: admits})
	}
	return out
}

func newView(s *model.Service, candidates []core.Candidate) *core.View {
	slices.SortFunc(candidates, func(a, b core.Candidate) int {
		return cmp.Compare(a.Member.Node, b.Member.Node)
	})
	return &core.View{
		Service: s.Name, Mode: s.Mode, Address: s.Address,
		Candidates: candidates, Digest: digest(candidates),
	}
}

// digest hashes the candidates' names and incarnations: what decides homes.
func digest(candidates []core.Candidate) uint64 {
	h := xxhash.New()
	var buf [8]byte
	for i := range candidates {
		_, _ = h.WriteString(string(candidates[i].Member.Node))
		binary.BigEndian.PutUint64(buf[:], candidates[i].Member.Incarnation)
		_, _ = h.Write(buf[:])
	}
	return h.Sum64()
}

func sameCandidates(a, b *core.View) bool {
	return a.Mode == b.Mode && a.Address == b.Address && slices.Equal(a.Candidates, b.Candidates)
}

func sameViews(a, b map[model.ServiceID]*core.View) bool {
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
