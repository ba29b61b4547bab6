package fleet

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// JoinAgent starts an agent and propagates its record to every node.
func (f *Fleet) JoinAgent() *Agent {
	a := f.addAgent()
	for _, other := range f.Agents {
		if !other.Down {
			f.storeRecord(a.node, other.Member)
		}
	}
	f.propagate(a.Member, f.options.MaxPropagationDelay)
	return a
}

// Drain marks an agent as draining: it accepts no new flows.
func (f *Fleet) Drain(a *Agent) {
	f.changeState(a, model.StateDraining)
}

// Leave stops an agent gracefully.
func (f *Fleet) Leave(a *Agent) {
	f.changeState(a, model.StateLeft)
	a.Down = true
}

// Crash kills an agent; it is declared dead after the detection time.
func (f *Fleet) Crash(a *Agent, detection time.Duration) {
	a.Down = true
	member := a.Member
	member.State = model.StateDead
	f.schedule(detection, func() {
		if a.Down && a.Member.Incarnation == member.Incarnation {
			f.propagate(member, f.options.MaxPropagationDelay)
		}
	})
}

// Restart starts a new process of a crashed agent.
func (f *Fleet) Restart(a *Agent) {
	a.Down = false
	a.Member.Incarnation = uint64(f.now.UnixNano())
	a.Member.State = model.StateAlive
	a.Member.Revision = 0
	f.startProcess(a)
	for _, other := range f.Agents {
		if !other.Down {
			f.storeRecord(a.node, other.Member)
		}
	}
	f.propagate(a.Member, f.options.MaxPropagationDelay)
}

// Pause suspends an agent for a duration. If that exceeds the detection time, the
// agent is declared dead.
func (f *Fleet) Pause(a *Agent, d, detection time.Duration) {
	a.Paused = true
	dead := a.Member
	dead.State = model.StateDead
	if d > detection {
		f.schedule(detection, func() { f.propagate(dead, f.options.MaxPropagationDelay) })
	}
	f.schedule(d, func() { f.resume(a, d > detection) })
}

// resume delivers the events queued while the agent was suspended. If it was
// declared dead, it then refutes that with a new revision.
func (f *Fleet) resume(a *Agent, declaredDead bool) {
	a.Paused = false
	backlog := a.backlog
	a.backlog = nil
	for _, ev := range backlog {
		f.stepAgent(a, ev)
	}
	if declaredDead {
		a.Member.Revision++
		a.Member.State = model.StateAlive
		f.propagate(a.Member, f.options.MaxPropagationDelay)
	}
}

// SetDomainOut takes a failure domain out of service or returns it to service.
func (f *Fleet) SetDomainOut(i int, out bool) {
	key := model.ObjectKey{Kind: model.KindDomainState, Name: string(domainName(i))}
	f.config.Version++
	object := model.Object{Key: key, Version: f.config.Version, DomainState: &model.DomainState{Name: domainName(i), Out: out}}
	f.config.Objects[key] = object
	for _, a := range f.Agents {
		f.schedule(f.randomDelay(f.options.MaxPropagationDelay), func() { f.applyObject(a.node, object) })
	}
	for _, b := range f.Balancers {
		f.schedule(f.randomDelay(f.options.MaxPropagationDelay), func() { f.applyObject(b.node, object) })
	}
}

// applyObject applies a configuration object to a node. Objects may arrive in any
// order.
func (f *Fleet) applyObject(n *core.Node, object model.Object) {
	board := n.Board()
	board.Config.Current.Merge(object.Version, []model.Object{object})
	board.Config.Generation++
	board.Self.DomainOut = board.Config.Current.DomainOut(board.Self.Member.Domain)
	if board.Self.Member.Role == model.RoleBalancer {
		n.Step(f.now, core.Tick{})
	}
}

// changeState sets an agent's state, increments its revision and propagates the
// record.
func (f *Fleet) changeState(a *Agent, state model.MemberState) {
	a.Member.Revision++
	a.Member.State = state
	a.node.Board().Self.Member = a.Member
	f.propagate(a.Member, f.options.MaxPropagationDelay)
}

// propagate delivers a record to every node, to each after a random delay.
func (f *Fleet) propagate(m model.Member, maxDelay time.Duration) {
	for _, a := range f.Agents {
		f.schedule(f.randomDelay(maxDelay), func() { f.storeRecord(a.node, m) })
	}
	for _, b := range f.Balancers {
		f.schedule(f.randomDelay(maxDelay), func() {
			f.storeRecord(b.node, m)
			b.node.Step(f.now, core.Tick{})
		})
	}
}

// storeRecord stores a record on a node unless the node has a newer one.
func (f *Fleet) storeRecord(n *core.Node, m model.Member) {
	members := &n.Board().Members
	current, ok := members.Records[m.Node]
	if ok && !m.Supersedes(&current) {
		return
	}
	members.Put(m)
}

func (f *Fleet) randomDelay(maxDelay time.Duration) time.Duration {
	if maxDelay <= 0 {
		return 0
	}
	return time.Duration(f.rand.Int64N(int64(maxDelay)))
}
