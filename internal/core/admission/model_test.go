package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const service = model.ServiceName("lease-desk")

// bench is one agent's admission with a model target, in virtual time.
type bench struct {
	now    time.Time
	rand   *rand.Rand
	node   *core.Node
	lastID core.RequestID
	// effects since the last take.
	effects []core.RequestEffect
}

func newBench(seed uint64, slots int) *bench {
	b := &bench{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 2))}
	self := model.Member{Node: "self", Service: service, State: model.StateAlive}
	board := core.NewBoard(self)
	board.Self.TargetAccepted = true
	view := &core.View{Service: service}
	for _, n := range []model.NodeID{"self", "a", "b", "c"} {
		view.Candidates = append(view.Candidates, core.Candidate{Member: model.Member{Node: n}, AcceptsNewFlows: true})
	}
	board.Routes.Views[service.ID()] = view
	b.node = core.NewNode(board, seed, New())
	b.announce(slots, "1")
	return b
}

func (b *bench) board() *core.Board { return b.node.Board() }

func (b *bench) announce(slots int, instance string) {
	b.step(core.TargetAnnounced{Announcement: core.Announcement{Slots: slots, Instance: instance}})
}

func (b *bench) step(ev core.Event) {
	b.board().Lease.ValidUntil = b.now.Add(time.Second)
	for _, e := range b.node.Step(b.now, ev) {
		if r, ok := e.(core.RequestEffect); ok {
			b.effects = append(b.effects, r)
		}
	}
}

func (b *bench) arrive(ev core.RequestArrived) core.RequestID {
	b.lastID++
	ev.ID = b.lastID
	ev.Flow.Service = service.ID()
	b.step(ev)
	return ev.ID
}

// take returns the effects since the last call.
func (b *bench) take() []core.RequestEffect {
	out := b.effects
	b.effects = nil
	return out
}

// modelTarget bears a number of requests at a time: beyond it it sheds, and
// above half of it it answers slowly.
type modelTarget struct {
	bears   int
	latency time.Duration
	running []*modelRequest
	shed    int
	served  int
	peak    int // concurrent requests
}

type modelRequest struct {
	id      core.RequestID
	started time.Time
	ends    time.Time
	shed    bool
}

func (m *modelTarget) start(b *bench, id core.RequestID) {
	r := &modelRequest{id: id, started: b.now}
	load := 1 + len(m.running)
	m.peak = max(m.peak, load)
	latency := m.latency * time.Duration(90+b.rand.IntN(20)) / 100
	if load > m.bears {
		r.shed = true
		latency = time.Millisecond
	}
	r.ends = b.now.Add(latency)
	m.running = append(m.running, r)
}

// finish ends the requests that are due.
func (m *modelTarget) finish(b *bench) {
	for _, r := range slices.Clone(m.running) {
		if b.now.Before(r.ends) {
			continue
		}
		m.running = slices.DeleteFunc(m.running, func(o *modelRequest) bool { return o == r })
		outcome, status := core.OutcomeCompleted, 200
		if r.shed {
			outcome, status = core.OutcomeShed, 503
			m.shed++
		} else {
			m.served++
		}
		b.step(core.AttemptFinished{ID: r.id, Outcome: outcome, Status: status, Latency: b.now.Sub(r.started)})
		b.step(core.TargetConnectionClosed{ID: r.id})
	}
}

// run offers the target as many requests as may wait, for a time.
func (m *modelTarget) run(b *bench, d time.Duration) {
	end := b.now.Add(d)
	for tick := 0; b.now.Before(end); tick++ {
		for b.board().Load.Queued < 2 && b.board().Load.InFlight <= b.board().Load.Limit {
			before := b.board().Load
			b.arrive(core.RequestArrived{Method: "POST", HandedOver: true, Deadline: b.now.Add(time.Minute)})
			m.carryOut(b)
			if b.board().Load == before {
				break
			}
		}
		b.now = b.now.Add(time.Millisecond)
		m.finish(b)
		m.carryOut(b)
		if tick%50 == 0 {
			b.step(core.Tick{})
		}
	}
}

func (m *modelTarget) carryOut(b *bench) {
	for _, e := range b.take() {
		if g, ok := e.(core.GrantRequest); ok {
			m.start(b, g.ID)
		}
	}
}
