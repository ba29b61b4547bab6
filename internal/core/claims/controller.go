package claims

import (
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

const (
	// SettleWindow is how long a view must be stable before an owner grants
	// keys from its own records alone.
	SettleWindow = 10 * time.Second
	// retryInterval is the pause between repetitions of a message.
	retryInterval = 100 * time.Millisecond
	// expireInterval is the pause between searches for old records.
	expireInterval = time.Second
)

// Controller is the claims controller of an agent. It writes the board's
// ClaimSection and runs before the admission controller; its Recorder runs after
// it.
type Controller struct {
	table    table
	pending  map[core.RequestID]*pending
	granted  map[core.RequestID]*record
	releases []*release
	grants   map[keyHash]*grant
	probes   map[keyHash]*probe
	ceded    map[keyHash]cession
	sync     syncState

	leaseSince time.Time // start of the present validity of the lease
	leaseValid bool
	expired    time.Time
	round      uint64
}

// New returns a controller without records.
func New() *Controller {
	return &Controller{
		table:   newTable(),
		pending: make(map[core.RequestID]*pending),
		granted: make(map[core.RequestID]*record),
		grants:  make(map[keyHash]*grant),
		probes:  make(map[keyHash]*probe),
		ceded:   make(map[keyHash]cession),
		sync:    newSyncState(),
	}
}

// Handle implements core.Controller.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	c.watchLease(t)
	switch ev := ev.(type) {
	case core.RequestArrived:
		c.arrived(t, ev)
	case core.DatagramReceived:
		if ev.Header.Kind == wire.KindClaim {
			c.receive(t, ev)
		}
	case core.Tick:
		c.tick(t)
	}
}

func (c *Controller) tick(t *core.Turn) {
	if t.Now.Sub(c.expired) >= expireInterval {
		c.expired = t.Now
		c.table.expire(t.Now, func(node model.NodeID, incarnation uint64) bool {
			return gone(t, node, incarnation)
		})
		c.expireCeded(t.Now)
	}
	c.retryPending(t)
	c.retryProbes(t)
	c.retryGrants(t)
	c.push(t)
}

// watchLease notes since when the lease has been valid. An agent that had
// been cut off may have missed a change of owners.
func (c *Controller) watchLease(t *core.Turn) {
	valid := t.Board.Lease.Valid(t.Now)
	if valid && !c.leaseValid {
		c.leaseSince = t.Now
	}
	c.leaseValid = valid
}

// gone reports whether the process instance has ended for certain, as far as
// the members tell.
func gone(t *core.Turn, node model.NodeID, incarnation uint64) bool {
	m, ok := t.Board.Members.Records[node]
	return ok && (m.Incarnation > incarnation || m.Incarnation == incarnation && m.Gone())
}

// ranked returns the key's candidates: the owner, the deputy and the rest.
func ranked(t *core.Turn, service model.ServiceID, key keyHash) []core.Candidate {
	view := t.Board.Routes.Views[service]
	if view == nil {
		return nil
	}
	return routing.Rank(view, key.placement(), nil)
}

// owner returns the key's owner.
func owner(t *core.Turn, service model.ServiceID, key keyHash) (model.NodeID, bool) {
	view := t.Board.Routes.Views[service]
	if view == nil {
		return "", false
	}
	home := routing.Home(view, key.placement())
	if home == nil {
		return "", false
	}
	return home.Member.Node, true
}

// settled reports whether this node, as the key's owner, may rely on its own
// records.
func (c *Controller) settled(t *core.Turn, service model.ServiceID, key keyHash) bool {
	view := t.Board.Routes.Views[service]
	_, ceded := c.ceded[key]
	return !ceded && t.Now.Sub(view.ChangedAt) >= SettleWindow && t.Now.Sub(c.leaseSince) >= SettleWindow
}

func nodes(candidates []core.Candidate, but model.NodeID) []model.NodeID {
	var out []model.NodeID
	for _, c := range candidates {
		if c.Member.Node != but {
			out = append(out, c.Member.Node)
		}
	}
	slices.Sort(out)
	return out
}
