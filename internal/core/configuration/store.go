package configuration

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/rendezvous"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// readerElection is the rendezvous key by which the store's readers are
// elected.
const readerElection = "election/store-reader"

// storeReader decides when a balancer reads and watches the store.
type storeReader struct {
	options   Options
	startedAt time.Time
	// pendingSince is when the pending read was requested, zero without one.
	pendingSince time.Time
	// nextReadAt is when the next read is due.
	nextReadAt time.Time
	failures   int
	// hasPolled is set once the first read was due.
	hasPolled bool
	// balancerGeneration is the balancer generation of the newest election.
	balancerGeneration uint64
	elected            bool
	numBalancers       int
}

func (s *storeReader) tick(t *core.Turn) {
	if s.startedAt.IsZero() {
		s.startedAt = t.Now
		s.nextReadAt = t.Now.Add(2*s.options.StartDelay + jitter(t, 2*s.options.StartDelay))
	}
	if t.Now.Sub(s.startedAt) < s.options.StartDelay {
		return
	}
	s.updateElection(t)
	if !s.pendingSince.IsZero() && t.Now.Sub(s.pendingSince) > s.options.LoadTimeout {
		s.handleFailure(t)
	}
	if s.pendingSince.IsZero() && !t.Now.Before(s.nextReadAt) {
		s.requestRead(t)
	}
}

// updateElection starts or stops the watch as the live balancers change.
func (s *storeReader) updateElection(t *core.Turn) {
	if s.numBalancers > 0 && s.balancerGeneration == t.Board.Members.BalancerGeneration {
		return
	}
	s.balancerGeneration = t.Board.Members.BalancerGeneration
	nodes := liveBalancers(t.Board)
	s.numBalancers = len(nodes)
	self := rendezvous.NewNode(t.Board.Self.Member.Node)
	elected := t.Board.Self.Member.State == model.StateAlive &&
		rendezvous.InTop(rendezvous.NewNode(readerElection), nodes, s.options.Readers, self)
	if elected == s.elected {
		return
	}
	s.elected = elected
	t.Board.Config.StoreReader = elected
	t.Emit(core.WatchStore{On: elected, After: t.Board.Config.Current.Version})
	if elected && s.failures == 0 {
		s.nextReadAt = t.Now
	}
}

// liveBalancers returns the balancers that may be readers, this node included.
func liveBalancers(b *core.Board) []rendezvous.Node {
	nodes := []rendezvous.Node{rendezvous.NewNode(b.Self.Member.Node)}
	for id, m := range b.Members.Records {
		if id != b.Self.Member.Node && m.Role == model.RoleBalancer && m.State == model.StateAlive {
			nodes = append(nodes, rendezvous.NewNode(id))
		}
	}
	return nodes
}

// requestRead requests a read, unless it is a new node's first one and its peers
// have already sent the configuration.
func (s *storeReader) requestRead(t *core.Turn) {
	first := !s.hasPolled
	s.hasPolled = true
	if first && !s.elected && t.Board.Config.Current.Version > 0 && !isIsolated(t.Board) {
		s.nextReadAt = t.Now.Add(s.pollInterval(t))
		return
	}
	s.pendingSince = t.Now
	t.Emit(core.LoadStore{Since: t.Board.Config.Current.Version})
}

func (s *storeReader) handleLoaded(t *core.Turn) {
	s.pendingSince = time.Time{}
	if s.failures > 0 && s.elected {
		t.Emit(core.WatchStore{On: true, After: t.Board.Config.Current.Version})
	}
	s.failures = 0
	s.nextReadAt = t.Now.Add(s.pollInterval(t))
}

func (s *storeReader) handleFailure(t *core.Turn) {
	s.pendingSince = time.Time{}
	delay := s.options.BackoffMax
	if shift := s.failures; shift < 16 {
		delay = min(delay, s.options.BackoffMin<<shift)
	}
	s.failures++
	delay = delay/2 + jitter(t, delay/2)
	if !s.elected && !isIsolated(t.Board) {
		delay = max(delay, s.pollInterval(t))
	}
	s.nextReadAt = t.Now.Add(delay)
	t.Emit(core.Count{Name: "store_failed", Delta: 1})
}

// pollInterval returns the jittered time to the next fallback read.
func (s *storeReader) pollInterval(t *core.Turn) time.Duration {
	interval := max(s.options.PollInterval, time.Duration(s.numBalancers)*s.options.PollSpacing)
	if !s.elected && isIsolated(t.Board) {
		interval = s.options.IsolatedPollInterval
	}
	return interval/2 + jitter(t, interval)
}

// isIsolated reports whether the node has no session with a balancer.
func isIsolated(b *core.Board) bool {
	for _, s := range b.Peers.Sessions {
		if s.Role == model.RoleBalancer {
			return false
		}
	}
	return true
}

// jitter returns a random duration below the bound.
func jitter(t *core.Turn, bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(t.Rand.Int64N(int64(bound)))
}
