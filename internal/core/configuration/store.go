package configuration

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/rendezvous"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// readerElection is the rendezvous subject of the store's readers.
const readerElection = "election/store-reader"

// storeReader decides when a balancer reads and watches the store.
type storeReader struct {
	options Options
	started time.Time
	// pending is when the unanswered read was asked for, zero without one.
	pending time.Time
	// next is when the next read is due.
	next     time.Time
	failures int
	// polled is set once the first poll was due.
	polled bool
	// generation is the balancer generation of the newest election.
	generation uint64
	elected    bool
	balancers  int
}

func (s *storeReader) tick(t *core.Turn) {
	if s.started.IsZero() {
		s.started = t.Now
		s.next = t.Now.Add(2*s.options.StartDelay + jitter(t, 2*s.options.StartDelay))
	}
	if t.Now.Sub(s.started) < s.options.StartDelay {
		return
	}
	s.elect(t)
	if !s.pending.IsZero() && t.Now.Sub(s.pending) > s.options.LoadTimeout {
		s.failed(t)
	}
	if s.pending.IsZero() && !t.Now.Before(s.next) {
		s.load(t)
	}
}

// elect turns the watch on or off as the live balancers change.
func (s *storeReader) elect(t *core.Turn) {
	if s.balancers > 0 && s.generation == t.Board.Members.BalancerGeneration {
		return
	}
	s.generation = t.Board.Members.BalancerGeneration
	nodes := liveBalancers(t.Board)
	s.balancers = len(nodes)
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
		s.next = t.Now
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

// load asks for a read, unless it is a new node's first one and peers have
// made it needless.
func (s *storeReader) load(t *core.Turn) {
	first := !s.polled
	s.polled = true
	if first && !s.elected && t.Board.Config.Current.Version > 0 && !isolated(t.Board) {
		s.next = t.Now.Add(s.pollInterval(t))
		return
	}
	s.pending = t.Now
	t.Emit(core.LoadStore{Since: t.Board.Config.Current.Version})
}

func (s *storeReader) loaded(t *core.Turn) {
	s.pending = time.Time{}
	if s.failures > 0 && s.elected {
		t.Emit(core.WatchStore{On: true, After: t.Board.Config.Current.Version})
	}
	s.failures = 0
	s.next = t.Now.Add(s.pollInterval(t))
}

func (s *storeReader) failed(t *core.Turn) {
	s.pending = time.Time{}
	wait := s.options.BackoffMax
	if shift := s.failures; shift < 16 {
		wait = min(wait, s.options.BackoffMin<<shift)
	}
	s.failures++
	wait = wait/2 + jitter(t, wait/2)
	if !s.elected && !isolated(t.Board) {
		wait = max(wait, s.pollInterval(t))
	}
	s.next = t.Now.Add(wait)
	t.Emit(core.Count{Name: "store_failed", Delta: 1})
}

// pollInterval returns the jittered time to the next fallback read.
func (s *storeReader) pollInterval(t *core.Turn) time.Duration {
	interval := max(s.options.PollInterval, time.Duration(s.balancers)*s.options.PollSpacing)
	if !s.elected && isolated(t.Board) {
		interval = s.options.IsolatedPollInterval
	}
	return interval/2 + jitter(t, interval)
}

// isolated reports whether the node has no session with a balancer.
func isolated(b *core.Board) bool {
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
