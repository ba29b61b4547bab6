package capacity

import (
	"fmt"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/configuration"
	"amaranthwheel.example/amaranthwheel/internal/core/dissemination"
	"amaranthwheel.example/amaranthwheel/internal/core/lifecycle"
	"amaranthwheel.example/amaranthwheel/internal/core/membership"
	"amaranthwheel.example/amaranthwheel/internal/core/rendezvous"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/core/topology"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// wholeBalancer is a balancer's node with all controllers in virtual time.
type wholeBalancer struct {
	*core.Node
	now time.Time
	// watched are the nodes whose heartbeats it gets.
	watched []model.NodeID
	// sender is a balancer with a session to it.
	sender model.NodeID
	// sequence numbers the heartbeats.
	sequence uint64
}

// newWholeBalancer returns a balancer that knows the whole fleet and has its
// sessions.
func newWholeBalancer(p Plan) (*wholeBalancer, error) {
	self := balancerRecord(p, 0)
	w := &wholeBalancer{now: start}
	w.Node = core.NewNode(core.NewBoard(self), 1,
		lifecycle.New(lifecycle.Options{}), configuration.New(configuration.Options{}),
		membership.New(membership.Options{}), routing.New(), dissemination.New(dissemination.Options{}))
	w.sender = balancerRecord(p, 1).Node
	w.open(balancerRecord(p, 1))
	for _, m := range balancerMap(p) {
		w.Step(w.now, core.MessageReceived{From: w.sender, Message: m})
	}
	w.openSessions(p)
	if known := len(w.Board().Members.Records); known != p.Nodes() {
		return nil, fmt.Errorf("%w: it knows %d nodes, not %d", errUnexpected, known, p.Nodes())
	}
	if views := len(w.Board().Routes.Views); views != p.Services {
		return nil, fmt.Errorf("%w: it has %d views, not %d", errUnexpected, views, p.Services)
	}
	return w, nil
}

func (w *wholeBalancer) open(m model.Member) {
	w.Step(w.now, core.SessionOpened{Member: m, Service: m.Service})
}

// openSessions opens those with the nodes that it watches and with its peers.
func (w *wholeBalancer) openSessions(p Plan) {
	members := &w.Board().Members
	balancers := topology.NewBalancers(members)
	self := balancerRecord(p, 0).Node
	for node, m := range members.Records {
		if node != self && balancers.IsWatcher(rendezvous.NewNode(self), node) {
			w.watched = append(w.watched, node)
			w.open(m)
		}
	}
	for _, node := range balancers.Peers(self, model.RoleBalancer) {
		w.open(members.Records[node])
	}
}

// live lets virtual time pass with ticks and heartbeats.
func (w *wholeBalancer) live(d time.Duration) {
	for range int(d / core.TickInterval) {
		w.now = w.now.Add(core.TickInterval)
		if w.now.Sub(start)%time.Second == 0 {
			w.beat()
		}
		w.Step(w.now, core.Tick{})
	}
}

func (w *wholeBalancer) beat() {
	w.sequence++
	for _, node := range w.watched {
		w.Step(w.now, core.MessageReceived{From: node, Message: core.Heartbeat{Sequence: w.sequence}})
	}
}

const (
	// quietTime is the virtual time of one measurement without changes.
	quietTime = 20 * time.Second
	// wholeChanges is the number of single changes of one measurement.
	wholeChanges = 50
)

// timeWholeBalancer measures all controllers together: the share of a core
// without changes, and the seconds for one record that changes.
func timeWholeBalancer(p Plan, t *Timing) error {
	w, err := newWholeBalancer(p)
	if err != nil {
		return err
	}
	w.live(quietTime) // sessions settle
	t.Quiet, err = repeat(func() (float64, error) {
		begin := processorTime()
		w.live(quietTime)
		return (processorTime() - begin).Seconds() / quietTime.Seconds(), nil
	})
	if err != nil {
		return err
	}
	if dead := w.countGone(); dead != 0 {
		return fmt.Errorf("%w: it takes %d nodes for dead", errUnexpected, dead)
	}
	m := agentRecord(p, 7, p.Services)
	t.WholeChange = timed(wholeChanges, func(int) {
		m.Revision++
		m.State = model.StateAlive + model.MemberState(m.Revision%2)
		w.Step(w.now, core.MessageReceived{From: w.sender, Message: core.Delta{Members: []model.Member{m}}})
		w.live(core.TickInterval)
	})
	return nil
}

func (w *wholeBalancer) countGone() int {
	n := 0
	for _, m := range w.Board().Members.Records {
		if m.Gone() {
			n++
		}
	}
	return n
}
