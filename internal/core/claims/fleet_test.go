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
	service       = model.ServiceName("lease-desk")
	leaseDuration = 2 * time.Second
	detectionTime = 3 * time.Second // longer than a lease
	targetSlots   = 8
)

// fleet runs agents in virtual time over a network that loses, duplicates and
// reorders datagrams.
type fleet struct {
	now  time.Time
	rand *rand.Rand
	loss float64
	// reliable makes all targets complete their requests.
	reliable bool
	agents   []*testAgent
	events   []timedEvent
	lastSeq  int
	// runs counts the requests that a target ran, by key.
	runs       map[string]int
	requests   map[string]*testRequest // by agent and ID
	violations []string
	// isBlocked reports whether datagrams between two agents are lost.
	isBlocked func(from, to *testAgent) bool
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
	leaseLost   bool // its lease is not renewed
	nextID      core.RequestID
}

type testRequest struct {
	key            string
	ran            bool   // a target ran it
	attemptRunning bool   // an attempt is running
	result         string // empty while there is none
	origin         *testRequest
}

func newFleet(seed uint64, size int, loss float64) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), loss: loss,
		runs: make(map[string]int), requests: make(map[string]*testRequest),
	}
	for i := range size {
		a := &testAgent{name: model.NodeID(fmt.Sprintf("agent-%d", i))}
		a.addr = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		f.agents = append(f.agents, a)
		f.startAgent(a)
	}
	for _, a := range f.agents {
		for _, other := range f.agents {
			f.updateMember(a, other, model.StateAlive)
		}
	}
	f.scheduleEvery(core.TickInterval, func() {
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

// startAgent starts a new process instance of the agent.
func (f *fleet) startAgent(a *testAgent) {
	a.incarnation++
	a.down = false
	board := core.NewBoard(a.member(model.StateAlive))
	board.Self.TargetAccepted = true
	c := New()
	a.node = core.NewNode(board, a.incarnation, c, admission.New(), c.Recorder())
	f.step(a, core.TargetAnnounced{Announcement: core.Announcement{Slots: targetSlots, Instance: "1"}})
}

// updateMember sets the state of another agent in an agent's member records and
// view.
func (f *fleet) updateMember(a, other *testAgent, s model.MemberState) {
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
	var nodes []model.NodeID
	for n := range m {
		nodes = append(nodes, n)
	}
	slices.Sort(nodes)
	return nodes
}

// announceState updates an agent's state at all others, each after its own
// delay.
func (f *fleet) announceState(a *testAgent, s model.MemberState, delay time.Duration) {
	for _, other := range f.agents {
		f.schedule(delay+f.randomDuration(time.Second), func() {
			if a.down == (s == model.StateDead) {
				f.updateMember(other, a, s)
			}
		})
	}
}

// takeDown takes an agent down. A killed one returns as a new instance without
// state, a paused one as it was.
func (f *fleet) takeDown(a *testAgent, downFor time.Duration, killed bool) {
	a.down = true
	f.announceState(a, model.StateDead, detectionTime)
	f.schedule(downFor, func() {
		a.down = false
		if killed {
			f.startAgent(a)
			for _, other := range f.agents {
				if !other.down {
					f.updateMember(a, other, model.StateAlive)
				}
			}
		}
		f.announceState(a, model.StateAlive, 0)
	})
}

func (f *fleet) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(limit)))
}

func (f *fleet) schedule(delay time.Duration, run func()) {
	f.lastSeq++
	event := timedEvent{f.now.Add(delay), f.lastSeq, run}
	index, _ := slices.BinarySearchFunc(f.events, event, func(a, b timedEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.seq, b.seq))
	})
	f.events = slices.Insert(f.events, index, event)
}

func (f *fleet) scheduleEvery(interval time.Duration, run func()) {
	f.schedule(interval, func() {
		run()
		f.scheduleEvery(interval, run)
	})
}

func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		event := f.events[0]
		f.events = f.events[1:]
		f.now = event.at
		event.run()
	}
	f.now = end
}

// step feeds an event to an agent that is up, and applies the effects.
func (f *fleet) step(a *testAgent, ev core.Event) {
	if a.down {
		return
	}
	if _, tick := ev.(core.Tick); tick && !a.leaseLost {
		a.node.Board().Lease.ValidUntil = f.now.Add(leaseDuration)
	}
	for _, e := range a.node.Step(f.now, ev) {
		f.applyEffect(a, e)
	}
}

func (f *fleet) applyEffect(a *testAgent, e core.Effect) {
	switch e := e.(type) {
	case core.SendDatagram:
		f.sendDatagram(a, e)
	case core.GrantRequest:
		f.runRequest(a, e)
	case core.RefuseRequest:
		f.recordResult(a, e.ID, "refused "+e.Reason.String(), e.NotRun)
	case core.ReplayResponse:
		f.recordResult(a, e.ID, "replayed", false)
	case core.HandOver:
		f.handOver(a, e)
	}
}

func (f *fleet) sendDatagram(a *testAgent, e core.SendDatagram) {
	to := f.agents[slices.IndexFunc(f.agents, func(o *testAgent) bool { return o.addr == e.To })]
	if f.isBlocked != nil && f.isBlocked(a, to) {
		return
	}
	for f.rand.Float64() >= f.loss {
		f.schedule(time.Millisecond+f.randomDuration(20*time.Millisecond), func() {
			f.step(to, core.DatagramReceived{From: a.addr, Header: e.Header, Payload: e.Payload})
		})
		if f.rand.Float64() >= f.loss {
			return // otherwise send a duplicate
		}
	}
}

func requestName(a *testAgent, id core.RequestID) string {
	return fmt.Sprint(a.name, "/", a.incarnation, "/", id)
}

// receiveRequest feeds a request to an agent.
func (f *fleet) receiveRequest(a *testAgent, key string, origin *testRequest, ev core.RequestArrived) *testRequest {
	a.nextID++
	ev.ID, ev.Key, ev.Method, ev.Replayable = a.nextID, key, "POST", true
	ev.Flow.Service = service.ID()
	r := &testRequest{key: key, origin: origin}
	f.requests[requestName(a, ev.ID)] = r
	f.step(a, ev)
	return r
}

func (f *fleet) sendRequest(a *testAgent, key string) (*testRequest, core.RequestID) {
	r := f.receiveRequest(a, key, nil, core.RequestArrived{Deadline: f.now.Add(20 * time.Second)})
	return r, a.nextID
}

// runRequest makes the target shed the request, run it or break off.
func (f *fleet) runRequest(a *testAgent, e core.GrantRequest) {
	r := f.requests[requestName(a, e.ID)]
	r.attemptRunning = true
	outcome := f.drawOutcome()
	if outcome != core.OutcomeShed {
		f.runs[r.key]++
		for request := r; request != nil; request = request.origin {
			request.ran = true
		}
	}
	incarnation := a.incarnation
	f.schedule(f.randomDuration(500*time.Millisecond), func() {
		if a.down || a.incarnation != incarnation {
			return
		}
		r.attemptRunning = false
		if outcome == core.OutcomeCompleted {
			r.result = "completed"
		}
		f.step(a, core.AttemptFinished{ID: e.ID, Outcome: outcome, Status: 200,
			Response: &core.StoredResponse{Status: 200, Body: []byte(r.key)}})
		f.step(a, core.TargetConnectionClosed{ID: e.ID})
	})
}

// drawOutcome draws the outcome of a request at a target.
func (f *fleet) drawOutcome() core.RequestOutcome {
	switch n := f.rand.IntN(10); {
	case f.reliable || n > 2:
		return core.OutcomeCompleted
	case n == 2:
		return core.OutcomeUnknown
	}
	return core.OutcomeShed
}

// handOver hands the request over to the other agent and polls for its result.
func (f *fleet) handOver(a *testAgent, e core.HandOver) {
	r := f.requests[requestName(a, e.ID)]
	i := slices.IndexFunc(f.agents, func(o *testAgent) bool { return o.name == e.To })
	peer, incarnation, peerIncarnation := f.agents[i], a.incarnation, f.agents[i].incarnation
	r.attemptRunning = true
	finish := func(o core.RequestOutcome) {
		r.attemptRunning = false
		if o == core.OutcomeCompleted {
			r.result = "completed"
		}
		if a.incarnation == incarnation {
			f.step(a, core.HandOverFinished{ID: e.ID, Peer: e.To, Outcome: o, Status: 200})
		}
	}
	if peer.down {
		finish(core.OutcomeNotSent)
		return
	}
	handedOver := f.receiveRequest(peer, r.key, r, core.RequestArrived{
		HandedOver: true, ReplayOnly: e.ReplayOnly, Visited: e.Visited, Deadline: e.Deadline,
	})
	var poll func()
	poll = func() {
		switch {
		case peer.down || peer.incarnation != peerIncarnation || handedOver.result == "unknown":
			finish(core.OutcomeUnknown)
		case handedOver.result == "not-run":
			finish(core.OutcomeShed)
		case handedOver.result != "":
			finish(core.OutcomeCompleted)
		default:
			f.schedule(5*time.Millisecond, poll)
		}
	}
	poll()
}

// recordResult records the result of a request, and a violation if a target ran
// a request that is refused as not run.
func (f *fleet) recordResult(a *testAgent, id core.RequestID, result string, notRun bool) {
	r := f.requests[requestName(a, id)]
	if notRun && r.ran {
		f.violations = append(f.violations, requestName(a, id)+" ran and was refused as not run")
	}
	switch {
	case notRun:
		r.result = "not-run"
	case r.origin != nil && result != "replayed":
		r.result = "unknown"
	default:
		r.result = result
	}
}
