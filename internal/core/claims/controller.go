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
	// retryInterval is the interval at which a message is resent.
	retryInterval = 100 * time.Millisecond
	// expiryInterval is the interval at which expired records are removed.
	expiryInterval = time.Second
)

// Controller is the claims controller of an agent. It writes the board's
// ClaimSection and runs before the admission controller; its Recorder runs
// after it.
type Controller struct {
	table           table
	pendingClaims   map[core.RequestID]*pendingClaim
	grantedRecords  map[core.RequestID]*record
	pendingReleases []*pendingRelease
	pendingGrants   map[keyHash]*pendingGrant
	probes          map[keyHash]*probe
	peerProbes      map[keyHash]peerProbe
	replication     replicationState

	leaseValidSince time.Time // since when the lease has been valid without a gap
	leaseValid      bool
	lastExpiry      time.Time
	lastRound       uint64
}

// New returns a controller without records.
func New() *Controller {
	return &Controller{
		table:          newTable(),
		pendingClaims:  make(map[core.RequestID]*pendingClaim),
		grantedRecords: make(map[core.RequestID]*record),
		pendingGrants:  make(map[keyHash]*pendingGrant),
		probes:         make(map[keyHash]*probe),
		peerProbes:     make(map[keyHash]peerProbe),
		replication:    newReplicationState(),
	}
}

// Handle implements core.Controller.
func (c *Controller) Handle(t *core.Turn, ev core.Event) {
	c.trackLease(t)
	switch ev := ev.(type) {
	case core.RequestArrived:
		c.handleRequestArrived(t, ev)
	case core.DatagramReceived:
		if ev.Header.Kind == wire.KindClaim {
			c.handleMessage(t, ev)
		}
	case core.Tick:
		c.handleTick(t)
	}
}

func (c *Controller) handleTick(t *core.Turn) {
	if t.Now.Sub(c.lastExpiry) >= expiryInterval {
		c.lastExpiry = t.Now
		c.table.expireRecords(t.Now, func(node model.NodeID, incarnation uint64) bool {
			return hasEnded(t, node, incarnation)
		})
		c.expirePeerProbes(t.Now)
	}
	c.retryQueries(t)
	c.retryProbes(t)
	c.retryGrants(t)
	c.pushRecords(t)
}

// trackLease records since when the lease has been valid. An agent that was cut
// off may have missed a change of owners.
func (c *Controller) trackLease(t *core.Turn) {
	valid := t.Board.Lease.Valid(t.Now)
	if valid && !c.leaseValid {
		c.leaseValidSince = t.Now
	}
	c.leaseValid = valid
}

// hasEnded reports whether the member records show that the process instance
// has ended.
func hasEnded(t *core.Turn, node model.NodeID, incarnation uint64) bool {
	m, ok := t.Board.Members.Records[node]
	return ok && (m.Incarnation > incarnation || m.Incarnation == incarnation && m.Gone())
}

// rankedCandidates returns the key's candidates: the owner, the deputy and the
// rest.
func rankedCandidates(t *core.Turn, service model.ServiceID, key keyHash) []core.Candidate {
	view := t.Board.Routes.Views[service]
	if view == nil {
		return nil
	}
	return routing.Rank(view, key.rankingHash(), nil)
}

// keyOwner returns the key's owner.
func keyOwner(t *core.Turn, service model.ServiceID, key keyHash) (model.NodeID, bool) {
	view := t.Board.Routes.Views[service]
	if view == nil {
		return "", false
	}
	home := routing.Home(view, key.rankingHash())
	if home == nil {
		return "", false
	}
	return home.Member.Node, true
}

// isSettled reports whether this node, as the key's owner, may rely on its own
// records.
func (c *Controller) isSettled(t *core.Turn, service model.ServiceID, key keyHash) bool {
	view := t.Board.Routes.Views[service]
	_, probed := c.peerProbes[key]
	return !probed && t.Now.Sub(view.ChangedAt) >= SettleWindow && t.Now.Sub(c.leaseValidSince) >= SettleWindow
}

func nodesExcept(candidates []core.Candidate, excluded model.NodeID) []model.NodeID {
	var out []model.NodeID
	for _, candidate := range candidates {
		if candidate.Member.Node != excluded {
			out = append(out, candidate.Member.Node)
		}
	}
	slices.Sort(out)
	return out
}
