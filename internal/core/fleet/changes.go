package fleet

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Join starts an agent and tells every node.
func (f *Fleet) Join() *Agent {
	a := f.addAgent()
	for _, other := range f.Agents {
		if !other.Down {
			f.tell(a.node, other.Member)
		}
	}
	f.spread(a.Member, f.options.Spread)
	return a
}

// Drain marks an agent as taking no new flows.
func (f *Fleet) Drain(a *Agent) {
	f.change(a, model.StateDraining)
}

// Leave stops an agent in a planned way.
func (f *Fleet) Leave(a *Agent) {
	f.change(a, model.StateLeft)
	a.Down = true
}

// Crash kills an agent; the others learn of it after the detection time.
func (f *Fleet) Crash(a *Agent, detection time.Duration) {
	a.Down = true
	member := a.Member
	member.State = model.StateDead
	f.at(detection, func() {
		if a.Down && a.Member.Incarnation == member.Incarnation {
			f.spread(member, f.options.Spread)
		}
	})
}

// Restart replaces a crashed agent's process.
func (f *Fleet) Restart(a *Agent) {
	a.Down = false
	a.Member.Incarnation = uint64(f.now.UnixNano())
	a.Member.State = model.StateAlive
	a.Member.Revision = 0
	f.start(a)
	for _, other := range f.Agents {
		if !other.Down {
			f.tell(a.node, other.Member)
		}
	}
	f.spread(a.Member, f.options.Spread)
}

// Pause freezes an agent. If it stays frozen past its lease, the others hear
// that it is dead.
func (f *Fleet) Pause(a *Agent, d, detection time.Duration) {
	a.Paused = true
	dead := a.Member
	dead.State = model.StateDead
	if d > detection {
		f.at(detection, func() { f.spread(dead, f.options.Spread) })
	}
	f.at(d, func() { f.resume(a, d > detection) })
}

// resume feeds the frozen agent what its sockets kept, then lets it refute.
func (f *Fleet) resume(a *Agent, removed bool) {
	a.Paused = false
	backlog := a.backlog
	a.backlog = nil
	for _, ev := range backlog {
		f.step(a, ev)
	}
	if removed {
		a.Member.Revision++
		a.Member.State = model.StateAlive
		f.spread(a.Member, f.options.Spread)
	}
}

// SetDomain takes a failure domain out or brings it back.
func (f *Fleet) SetDomain(i int, out bool) {
	key := model.ObjectKey{Kind: model.KindDomainState, Name: string(domainName(i))}
	f.config.Version++
	object := model.Object{Key: key, Version: f.config.Version, DomainState: &model.DomainState{Name: domainName(i), Out: out}}
	f.config.Objects[key] = object
	for _, a := range f.Agents {
		f.at(f.someTime(f.options.Spread), func() { f.configure(a.node, object) })
	}
	for _, b := range f.Balancers {
		f.at(f.someTime(f.options.Spread), func() { f.configure(b.node, object) })
	}
}

// configure hands a node an object. Objects may arrive in any order.
func (f *Fleet) configure(n *core.Node, object model.Object) {
	board := n.Board()
	board.Config.Current.Merge(object.Version, []model.Object{object})
	board.Config.Generation++
	board.Self.DomainOut = board.Config.Current.DomainOut(board.Self.Member.Domain)
	if board.Self.Member.Role == model.RoleBalancer {
		n.Step(f.now, core.Tick{})
	}
}

// change raises an agent's revision and spreads its new state.
func (f *Fleet) change(a *Agent, state model.MemberState) {
	a.Member.Revision++
	a.Member.State = state
	a.node.Board().Self.Member = a.Member
	f.spread(a.Member, f.options.Spread)
}

// spread tells every node of a record, each after a random time.
func (f *Fleet) spread(m model.Member, longest time.Duration) {
	for _, a := range f.Agents {
		f.at(f.someTime(longest), func() { f.tell(a.node, m) })
	}
	for _, b := range f.Balancers {
		f.at(f.someTime(longest), func() {
			f.tell(b.node, m)
			b.node.Step(f.now, core.Tick{})
		})
	}
}

func (f *Fleet) tell(n *core.Node, m model.Member) {
	members := &n.Board().Members
	held, ok := members.Records[m.Node]
	if ok && !m.Supersedes(&held) {
		return
	}
	members.Put(m)
}

func (f *Fleet) someTime(longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	return time.Duration(f.rand.Int64N(int64(longest)))
}
