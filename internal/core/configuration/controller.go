package configuration

import (
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Controller writes core.ConfigSection.
type Controller struct {
	options      Options
	store        storeReader
	reassemblies map[model.NodeID]reassembly
}

// reassembly is the progress of a delta that arrives in parts.
type reassembly struct {
	service        model.ServiceName
	since, version uint64
	parts, next    uint32
}

// New returns the controller of a node that has just started.
func New(o Options) *Controller {
	o = o.withDefaults()
	return &Controller{
		options:      o,
		store:        storeReader{options: o},
		reassemblies: make(map[model.NodeID]reassembly),
	}
}

// Handle merges configuration objects and decides when to read the store.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	switch ev := ev.(type) {
	case core.MessageReceived:
		if delta, ok := ev.Message.(core.Delta); ok {
			c.mergeDelta(t, ev.From, &delta)
		}
	case core.SessionClosed:
		delete(c.reassemblies, ev.Peer)
	case core.StoreLoaded:
		merge(t.Board, ev.Version, ev.Objects)
		c.store.handleLoaded(t)
	case core.StoreFailed:
		c.store.handleFailure(t)
	case core.Tick:
		if t.Board.Self.Member.Role == model.RoleBalancer {
			c.store.tick(t)
		}
	}
}

// mergeDelta merges a peer's objects. It raises the version only if this node is
// complete up to the delta's base version, and otherwise pulls the missing
// objects from the peer. A delta without a version carries only objects.
func (c *Controller) mergeDelta(t *core.Turn, from model.NodeID, d *core.Delta) {
	subscription := t.Board.Self.Subscription
	current := t.Board.Config.CompleteVersion(subscription)
	complete := c.addDeltaPart(from, d)
	switch {
	case d.ConfigVersion == 0 || !complete || d.Service != subscription:
		merge(t.Board, 0, d.Objects)
	case d.Since > current:
		merge(t.Board, 0, d.Objects)
		t.Emit(core.SendMessage{To: from, Message: core.Pull{Since: current}})
	default:
		merge(t.Board, d.ConfigVersion, d.Objects)
		t.Board.Config.Subscription = subscription
	}
}

// addDeltaPart records a part of a delta and reports whether it completes the
// delta: it is the only part, or the last one and none is missing.
func (c *Controller) addDeltaPart(from model.NodeID, d *core.Delta) bool {
	if d.Parts <= 1 {
		return true
	}
	a := reassembly{d.Service, d.Since, d.ConfigVersion, d.Parts, d.Part}
	if d.Part != 1 && c.reassemblies[from] != a {
		delete(c.reassemblies, from)
		return false
	}
	if d.Part == d.Parts {
		delete(c.reassemblies, from)
		return true
	}
	a.next++
	c.reassemblies[from] = a
	return false
}

// merge replaces the configuration if the objects or the version are newer.
func merge(b *core.Board, version uint64, objects []model.Object) {
	if !hasNewer(b.Config.Current, version, objects) {
		return
	}
	next := b.Config.Current.Clone()
	next.Merge(version, objects)
	b.Config.Current = next
	b.Config.Generation++
}

func hasNewer(current *model.Config, version uint64, objects []model.Object) bool {
	if version > current.Version {
		return true
	}
	for i := range objects {
		o, ok := current.Objects[objects[i].Key]
		if !ok || objects[i].Version > o.Version {
			return true
		}
	}
	return false
}
