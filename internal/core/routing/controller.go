// Package routing derives each service's candidates from the configuration
// and the members, and ranks them for a flow by rendezvous hashing.
//
// The home of a flow is its highest ranked candidate. Draining and suspect
// members stay candidates but admit no new flows, so that homes move only when a
// member joins, leaves or fails, or its failure domain goes out.
//
// A change of members rebuilds the views of the services that the changed
// members serve or served; a change of the configuration rebuilds all.
package routing

import (
	"maps"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Controller writes the board's RouteSection.
type Controller struct {
	configGeneration uint64
	memberGeneration uint64
	index            memberIndex
}

// New returns a routing controller.
func New() *Controller {
	return &Controller{index: newMemberIndex()}
}

// Handle updates the views after a change of the configuration or the members.
func (c *Controller) Handle(t *core.Turn, _ core.Event) {
	b := t.Board
	sameConfig := c.configGeneration == b.Config.Generation
	if sameConfig && c.memberGeneration == b.Members.Generation {
		return
	}
	changed, known := b.Members.ChangedSince(c.memberGeneration)
	c.configGeneration = b.Config.Generation
	c.memberGeneration = b.Members.Generation
	var views map[model.ServiceID]*core.View
	if sameConfig && known {
		views = c.rebuildAffected(b, t.Now, changed)
	} else {
		views = c.rebuildAll(b, t.Now)
	}
	if views == nil {
		return
	}
	b.Routes.Views = views
	b.Routes.Generation++
	t.Emit(core.PublishViews{Views: views})
}

// rebuildAll builds the views of all services. It returns nil if none has
// changed.
func (c *Controller) rebuildAll(b *core.Board, now time.Time) map[model.ServiceID]*core.View {
	c.index.rebuild(b.Members.Records)
	views := make(map[model.ServiceID]*core.View)
	for _, s := range b.Config.Current.Services() {
		id := s.Name.ID()
		views[id] = c.currentView(b, s, now)
	}
	if viewMapsIdentical(b.Routes.Views, views) {
		return nil
	}
	return views
}

// rebuildAffected returns a copy of the views with those of the changed members'
// services rebuilt, or nil if none has changed.
func (c *Controller) rebuildAffected(b *core.Board, now time.Time, changed []model.NodeID) map[model.ServiceID]*core.View {
	var views map[model.ServiceID]*core.View
	for name := range c.index.update(b.Members.Records, changed) {
		s := b.Config.Current.Service(name)
		if s == nil {
			continue
		}
		id := name.ID()
		v := c.currentView(b, s, now)
		if v == b.Routes.Views[id] {
			continue
		}
		if views == nil {
			views = maps.Clone(b.Routes.Views)
		}
		views[id] = v
	}
	return views
}

// currentView returns the view of a service, the previous one if it has not
// changed.
func (c *Controller) currentView(b *core.Board, s *model.Service, now time.Time) *core.View {
	v := newView(s, c.candidates(b, s))
	v.ChangedAt = now
	previous := b.Routes.Views[s.Name.ID()]
	if previous == nil || previous.Digest != v.Digest {
		return v
	}
	v.ChangedAt = previous.ChangedAt
	if viewsEqual(previous, v) {
		return previous
	}
	return v
}

// candidates returns the members that may serve a service.
func (c *Controller) candidates(b *core.Board, s *model.Service) []core.Candidate {
	var out []core.Candidate
	for _, node := range c.index.nodesByService[s.Name] {
		m := b.Members.Records[node]
		if m.Gone() || b.Config.Current.DomainOut(m.Domain) || !s.Allows(m.Target, m.Domain) {
			continue
		}
		admits := m.State == model.StateAlive && !b.Config.Current.TargetDrained(m.Target)
		out = append(out, core.Candidate{Member: m, Seed: Seed(m.Node), AcceptsNewFlows: admits})
	}
	return out
}
