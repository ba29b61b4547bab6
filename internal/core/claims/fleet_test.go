package claims

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/admission"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const (
	service     = model.ServiceName("lease-desk")
	leaseTime   = 2 * time.Second
	detectTime  = 3 * time.Second // longer than a lease
	targetSlots = 8
)

// fleet runs agents in virtual time over a network that loses, repeats and
// reorders datagrams.
type fleet struct {
	now  time.Time
	rand *rand.Rand
	loss float64
	// reliable makes all targets answer.
	reliable bool
	agents   []*testAgent
	events   []timedEvent
	seq      int
	// ran counts the requests that a target ran, by key.
	ran      map[string]int
	requests map[string]*testRequest // by agent and ID
	faults   []string
	// blocked reports whether datagrams between two agents are lost.
	blocked func(from, to *testAgent) bool
}

type timedEvent struct {
	at  time.Time
	seq int
	run func()
}

type testAgent struct {
	name        model.NodeID
	addr        netip.AddrPort
	incarnation uint64
	node        *core.Node
	down        bool // killed or paused
	cutOff      bool // its lease is not renewed
	nextID      core.RequestID
}

type testRequest struct {
	key     string
	ran     bool
	attempt bool   // an attempt is running
	verdict string // empty while there is none
	from    *testRequest
}

func newFleet(seed uint64, size int, loss float64) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), loss: loss,
		ran: make(map[string]int), requests: make(map[string]*testRequest),
	}
	for i := range size {
		a := &testAgent{name: model.NodeID(fmt.Sprintf("agent-%d", i))}
		a.addr = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		f.agents = append(f.agents, a)
		f.boot(a)
	}
	for _, a := range f.agents {
		for _, other := range f.agents {
			f.see(a, other, model.StateAlive)
		}
	}
	f.every(core.TickInterval, func() {
		for _, a := range f.agents {
			f.step(a, core.Tick{})
		}
	})
	return f
}

func (a *testAgent) member(s model.MemberState) model.Member {
	return model.Member{
		Node: a.name, Role: model.RoleAgent, Incarnation: a.incarnation, State: s,
		DataAddr: a.addr, Service: service, Target: "target", Slots: targetSlots,
	}
}

// boot starts a new process instance of the agent.
func (f *fleet) boot(a *testAgent) {
	a.incarnation++
	a.down = false
	board := core.NewBoard(a.member(model.StateAlive))
	board.Self.TargetAccepted = true
	c := New()
	a.node = core.NewNode(board, a.incarnation, c, admission.New(), c.Recorder())
	f.step(a, core.TargetAnnounced{Announcement: core.Announcement{Slots: targetSlots, Instance: "1"}})
}

// see makes an agent learn of the state of another one.
func (f *fleet) see(a, other *testAgent, s model.MemberState) {
	b := a.node.Board()
	b.Members.Records[other.name] = other.member(s)
	view := &core.View{Service: service, ChangedAt: f.now}
	for _, name := range sortedNodeIDs(b.Members.Records) {
		m := b.Members.Records[name]
		if m.Gone() {
			continue
		}
		view.Candidates = append(view.Candidates, core.Candidate{Member: m, Seed: routing.Seed(m.Node), AcceptsNewFlows: true})
		view.Digest = view.Digest*31 + routing.Seed(m.Node) + m.Incarnation
	}
	if old := b.Routes.Views[service.ID()]; old != nil && old.Digest == view.Digest {
		view.ChangedAt = old.ChangedAt
	}
	b.Routes.Views[service.ID()] = view
}

func sortedNodeIDs(m map[model.NodeID]model.Member) []model.NodeID {
	var out []model.NodeID
	for n := range m {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// announce makes all others learn of an agent's state, each at its own time.
func (f *fleet) announce(a *testAgent, s model.MemberState, after time.Duration) {
	for _, other := range f.agents {
		f.after(after+f.upTo(time.Second), func() {
			if a.down == (s == model.StateDead) {
				f.see(other, a, s)
			}
		})
	}
}

// fail takes an agent down. A killed one comes back as a new instance that
// knows nothing, a paused one as it was.
func (f *fleet) fail(a *testAgent, downFor time.Duration, killed bool) {
	a.down = true
	f.announce(a, model.StateDead, detectTime)
	f.after(downFor, func() {
		a.down = false
		if killed {
			f.boot(a)
			for _, other := range f.agents {
				if !other.down {
					f.see(a, other, model.StateAlive)
				}
			}
		}
		f.announce(a, model.StateAlive, 0)
	})
}

func (f *fleet) upTo(d time.Duration) time.Duration { return time.Duration(f.rand.Int64N(int64(d))) }

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	e := timedEvent{f.now.Add(d), f.seq, run}
	at, _ := slices.BinarySearchFunc(f.events, e, func(a, b timedEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.seq, b.seq))
	})
	f.events = slices.Insert(f.events, at, e)
}

func (f *fleet) every(d time.Duration, run func()) {
	f.after(d, func() {
		run()
		f.every(d, run)
	})
}

func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.run()
	}
	f.now = end
}

// step feeds an event to an agent that is up, and carries out the effects.
func (f *fleet) step(a *testAgent, ev core.Event) {
	if a.down {
		return
	}
	if _, tick := ev.(core.Tick); tick && !a.cutOff {
		a.node.Board().Lease.ValidUntil = f.now.Add(leaseTime)
	}
	for _, e := range a.node.Step(f.now, ev) {
		f.carryOut(a, e)
	}
}

func (f *fleet) carryOut(a *testAgent, e core.Effect) {
	switch e := e.(type) {
	case core.SendDatagram:
		f.sendDatagram(a, e)
	case core.GrantRequest:
		f.runRequest(a, e)
	case core.RefuseRequest:
		f.conclude(a, e.ID, "refused "+e.Reason.String(), e.NotRun)
	case core.ReplayResponse:
		f.conclude(a, e.ID, "replayed", false)
	case core.HandOver:
		f.handOver(a, e)
	}
}

func (f *fleet) sendDatagram(a *testAgent, e core.SendDatagram) {
	to := f.agents[slices.IndexFunc(f.agents, func(o *testAgent) bool { return o.addr == e.To })]
	if f.blocked != nil && f.blocked(a, to) {
		return
	}
	for f.rand.Float64() >= f.loss {
		f.after(time.Millisecond+f.upTo(20*time.Millisecond), func() {
			f.step(to, core.DatagramReceived{From: a.addr, Header: e.Header, Payload: e.Payload})
		})
		if f.rand.Float64() >= f.loss {
			return // otherwise send it once more
		}
	}
}

func requestName(a *testAgent, id core.RequestID) string {
	return fmt.Sprint(a.name, "/", a.incarnation, "/", id)
}

// arrive sends a request to an agent.
func (f *fleet) arrive(a *testAgent, key string, from *testRequest, ev core.RequestArrived) *testRequest {
	a.nextID++
	ev.ID, ev.Key, ev.Method, ev.Replayable = a.nextID, key, "POST", true
	ev.Flow.Service = service.ID()
	r := &testRequest{key: key, from: from}
	f.requests[requestName(a, ev.ID)] = r
	f.step(a, ev)
	return r
}

func (f *fleet) request(a *testAgent, key string) (*testRequest, core.RequestID) {
	r := f.arrive(a, key, nil, core.RequestArrived{Deadline: f.now.Add(20 * time.Second)})
	return r, a.nextID
}

// runRequest lets the target shed the request, run it or break off.
func (f *fleet) runRequest(a *testAgent, e core.GrantRequest) {
	r := f.requests[requestName(a, e.ID)]
	r.attempt = true
	outcome := f.outcome()
	if outcome != core.OutcomeShed {
		f.ran[r.key]++
		for q := r; q != nil; q = q.from {
			q.ran = true
		}
	}
	instance := a.incarnation
	f.after(f.upTo(500*time.Millisecond), func() {
		if a.down || a.incarnation != instance {
			return
		}
		r.attempt = false
		if outcome == core.OutcomeCompleted {
			r.verdict = "answered"
		}
		f.step(a, core.AttemptFinished{ID: e.ID, Outcome: outcome, Status: 200,
			Response: &core.StoredResponse{Status: 200, Body: []byte(r.key)}})
		f.step(a, core.TargetConnectionClosed{ID: e.ID})
	})
}

// outcome draws what becomes of a request at a target.
func (f *fleet) outcome() core.RequestOutcome {
	switch n := f.rand.IntN(10); {
	case f.reliable || n > 2:
		return core.OutcomeCompleted
	case n == 2:
		return core.OutcomeUnknown
	}
	return core.OutcomeShed
}

// handOver sends the request to the other agent and polls for its verdict.
func (f *fleet) handOver(a *testAgent, e core.HandOver) {
	r := f.requests[requestName(a, e.ID)]
	i := slices.IndexFunc(f.agents, func(o *testAgent) bool { return o.name == e.To })
	peer, instance, peerInstance := f.agents[i], a.incarnation, f.agents[i].incarnation
	r.attempt = true
	finish := func(o core.RequestOutcome) {
		r.attempt = false
		if o == core.OutcomeCompleted {
			r.verdict = "answered"
		}
		if a.incarnation == instance {
			f.step(a, core.HandOverFinished{ID: e.ID, Peer: e.To, Outcome: o, Status: 200})
		}
	}
	if peer.down {
		finish(core.OutcomeNotSent)
		return
	}
	there := f.arrive(peer, r.key, r, core.RequestArrived{
		HandedOver: true, ReplayOnly: e.ReplayOnly, Visited: e.Visited, Deadline: e.Deadline,
	})
	var poll func()
	poll = func() {
		switch {
		case peer.down || peer.incarnation != peerInstance || there.verdict == "unknown":
			finish(core.OutcomeUnknown)
		case there.verdict == "not-run":
			finish(core.OutcomeShed)
		case there.verdict != "":
			finish(core.OutcomeCompleted)
		default:
			f.after(5*time.Millisecond, poll)
		}
	}
	poll()
}

// conclude notes the verdict on a request and checks that it is true.
func (f *fleet) conclude(a *testAgent, id core.RequestID, verdict string, notRun bool) {
	r := f.requests[requestName(a, id)]
	if notRun && r.ran {
		f.faults = append(f.faults, requestName(a, id)+" ran and was refused as not run")
	}
	switch {
	case notRun:
		r.verdict = "not-run"
	case r.from != nil && verdict != "replayed":
		r.verdict = "unknown"
	default:
		r.verdict = verdict
	}
}
