package configuration

import (
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Controller writes core.ConfigSection.
type Controller struct {
	options  Options
	store    storeReader
	assembly map[model.NodeID]assembly
}

// assembly follows a delta that comes in parts.
type assembly struct {
	service        model.ServiceName
	since, version uint64
	parts, next    uint32
}

// New returns the controller of a node that has just started.
func New(o Options) *Controller {
	o = o.withDefaults()
	return &Controller{
		options:  o,
		store:    storeReader{options: o},
		assembly: make(map[model.NodeID]assembly),
	}
}

// Handle merges configuration and decides when to read the store.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	switch ev := ev.(type) {
	case core.MessageReceived:
		if delta, ok := ev.Message.(core.Delta); ok {
			c.mergeDelta(t, ev.From, &delta)
		}
	case core.SessionClosed:
		delete(c.assembly, ev.Peer)
	case core.StoreLoaded:
		merge(t.Board, ev.Version, ev.Objects)
		c.store.loaded(t)
	case core.StoreFailed:
		c.store.failed(t)
	case core.Tick:
		if t.Board.Self.Member.Role == model.RoleBalancer {
			c.store.tick(t)
		}
	}
}

// mergeDelta takes a peer's objects. It raises the version only if this node
// held what the delta builds on, and otherwise asks the peer for the gap. A
// delta without a version carries objects alone.
func (c *Controller) mergeDelta(t *core.Turn, from model.NodeID, d *core.Delta) {
	subscription := t.Board.Self.Subscription
	held := t.Board.Config.CompleteVersion(subscription)
	complete := c.wholeDelta(from, d)
	switch {
	case d.ConfigVersion == 0 || !complete || d.Service != subscription:
		merge(t.Board, 0, d.Objects)
	case d.Since > held:
		merge(t.Board, 0, d.Objects)
		t.Emit(core.SendMessage{To: from, Message: core.Pull{Since: held}})
	default:
		merge(t.Board, d.ConfigVersion, d.Objects)
		t.Board.Config.Subscription = subscription
	}
}

// wholeDelta reports whether the delta is whole with this message: it came in
// one, or this is the last part and none is missing.
func (c *Controller) wholeDelta(from model.NodeID, d *core.Delta) bool {
	if d.Parts <= 1 {
		return true
	}
	a := assembly{d.Service, d.Since, d.ConfigVersion, d.Parts, d.Part}
	if d.Part != 1 && c.assembly[from] != a {
		delete(c.assembly, from)
		return false
	}
	if d.Part == d.Parts {
		delete(c.assembly, from)
		return true
	}
	a.next++
	c.assembly[from] = a
	return false
}

// merge replaces the configuration if the objects or the version are newer.
func merge(b *core.Board, version uint64, objects []model.Object) {
	if !newer(b.Config.Current, version, objects) {
		return
	}
	next := b.Config.Current.Clone()
	next.Merge(version, objects)
	b.Config.Current = next
	b.Config.Generation++
}

func newer(held *model.Config, version uint64, objects []model.Object) bool {
	if version > held.Version {
		return true
	}
	for i := range objects {
		o, ok := held.Objects[objects[i].Key]
		if !ok || objects[i].Version > o.Version {
			return true
		}
	}
	return false
}
