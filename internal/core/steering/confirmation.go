package steering

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthwheel.example/amaranthwheel/internal/revision"
)

// A watch may be lost without an error, at all balancers at once: a store that discards
// its history, or a network that drops connections silently. No balancer relies on its
// watch alone. The store confirms a balancer's state with each response; the balancer
// tells agents how long ago that was, and these tell the other balancers. A balancer whose
// state nobody has confirmed lately reads the store, at the latest after
// maxConfirmationShare of the time in which a change has to be in force.
//
// Confirmations go no further than one agent, as each hop would add its delay to them.

const (
	// minConfirmationShare and maxConfirmationShare bound the time without a
	// confirmation after which a balancer reads the store, as shares of the time in which
	// a change has to be in force. The rest is for the call and for telling others.
	minConfirmationShare = 1.0 / 3
	maxConfirmationShare = 2.0 / 3
	// MaxConfirmedAge is the largest age of a confirmation that nodes exchange. It also
	// stands for no confirmation.
	MaxConfirmedAge = math.MaxUint16 * time.Millisecond
)

// confirmationSection is when the balancer's state was last known to be current.
type confirmationSection struct {
	// readAt is when the store last confirmed the state to this balancer.
	readAt time.Time
	// knownAt is the same for any balancer, as far as agents tell.
	knownAt time.Time
	// maxAge is the time since knownAt after which this balancer reads the store, zero if
	// it has not been drawn since knownAt changed.
	maxAge       time.Duration
	applyTimeout time.Duration
	random       *rand.Rand
	// toldRevision is the newest revision of the operators' state that agents have told.
	toldRevision revision.Revision
}

func newConfirmationSection(identity BalancerIdentity) confirmationSection {
	return confirmationSection{
		applyTimeout: identity.ApplyTimeout,
		random:       rand.New(rand.NewPCG(xxhash.Sum64String(identity.Node), 0)),
	}
}

// recordRead records that the store confirmed the state at a time.
func (c *confirmationSection) recordRead(at time.Time) {
	if at.After(c.readAt) {
		c.readAt = at
	}
	c.recordKnown(at)
}

// recordKnown records that the store confirmed the state to some balancer at a time.
func (c *confirmationSection) recordKnown(at time.Time) {
	if at.After(c.knownAt) {
		c.knownAt, c.maxAge = at, 0
	}
}

// drawMaxAge draws the time after which this balancer reads the store. The distribution
// makes few of any number of balancers read it before they hear of the first one's
// confirmation: it is exponential towards the upper bound, with the number as base.
func (c *confirmationSection) drawMaxAge(balancers int) time.Duration {
	delay := 1.0
	if balancers > 1 {
		delay = max(0, 1+math.Log(1-c.random.Float64())/math.Log(float64(balancers)))
	}
	share := minConfirmationShare + delay*(maxConfirmationShare-minConfirmationShare)
	return time.Duration(share * float64(c.applyTimeout))
}

// age returns how long ago the store confirmed the state to this balancer, at most
// MaxConfirmedAge.
func (c *confirmationSection) age(now time.Time) time.Duration {
	return confirmedAge(now, c.readAt)
}

func confirmedAge(now, at time.Time) time.Duration {
	if at.IsZero() {
		return MaxConfirmedAge
	}
	return min(max(now.Sub(at), 0), MaxConfirmedAge)
}

// learnConfirmation applies what an agent knows of the operators' state.
func (b *Balancer) learnConfirmation(now time.Time, s *Status) {
	c := &b.config
	b.confirmation.toldRevision = revision.Later(b.confirmation.toldRevision, s.Revision)
	if s.Revision.After(c.state.VerifiedRevision) {
		b.requestRefresh(now)
		return
	}
	if !c.loaded || s.Revision.Before(c.state.Revision) {
		return
	}
	// Nothing has changed between the two revisions.
	c.state.Revision = s.Revision
	if s.ConfirmedAge < MaxConfirmedAge {
		b.confirmation.recordKnown(now.Add(-s.ConfirmedAge))
	}
}

// knowsNewerConfiguration reports whether an agent has told of a newer state of the operators
// than this balancer has read.
func (b *Balancer) knowsNewerConfiguration() bool {
	return b.confirmation.toldRevision.After(b.config.state.VerifiedRevision)
}

// isNewestSince reports whether the configuration in force was the newest one at a time after t.
// Only this balancer's reads tell: what agents tell arrives late if they were suspended. A store
// that was restored from a copy tells once operators have had the time to write their entries
// again.
func (b *Balancer) isNewestSince(now, t time.Time) bool {
	return !b.config.kept && !b.config.held.isActive(now) && b.confirmation.readAt.After(t)
}

// announceConfirmation tells the local agents at once that a requested read has confirmed
// the state, before other balancers read the store too.
func (b *Balancer) announceConfirmation(now time.Time) {
	if !b.refreshRequested {
		return
	}
	b.refreshRequested = false
	for _, m := range b.members.all {
		if m.local && m.isLive(now) {
			b.ping(now, m)
		}
	}
}

// refreshIfUnconfirmed requests a read of the store if nobody has confirmed the state for
// too long.
func (b *Balancer) refreshIfUnconfirmed(now time.Time) {
	c := &b.confirmation
	if !b.config.loaded {
		return
	}
	if c.maxAge == 0 {
		c.maxAge = c.drawMaxAge(b.Balancers())
	}
	if now.Sub(c.knownAt) >= c.maxAge {
		b.requestRefresh(now)
	}
}
