package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

const service = model.ServiceName("lease-desk")

// harness drives the admission controller of one agent in virtual time.
type harness struct {
	now    time.Time
	rand   *rand.Rand
	node   *core.Node
	lastID core.RequestID
	// effects since the last call of takeEffects.
	effects []core.RequestEffect
}

func newHarness(seed uint64, slots int) *harness {
	h := &harness{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 2))}
	self := model.Member{Node: "self", Service: service, State: model.StateAlive}
	board := core.NewBoard(self)
	board.Self.TargetAccepted = true
	view := &core.View{Service: service}
	for _, n := range []model.NodeID{"self", "a", "b", "c"} {
		view.Candidates = append(view.Candidates, core.Candidate{Member: model.Member{Node: n}, AcceptsNewFlows: true})
	}
	board.Routes.Views[service.ID()] = view
	h.node = core.NewNode(board, seed, New())
	h.announce(slots, "1")
	return h
}

func (h *harness) board() *core.Board { return h.node.Board() }

func (h *harness) announce(slots int, instance string) {
	h.step(core.TargetAnnounced{Announcement: core.Announcement{Slots: slots, Instance: instance}})
}

func (h *harness) step(ev core.Event) {
	h.board().Lease.ValidUntil = h.now.Add(time.Second)
	for _, e := range h.node.Step(h.now, ev) {
		if r, ok := e.(core.RequestEffect); ok {
			h.effects = append(h.effects, r)
		}
	}
}

func (h *harness) arrive(ev core.RequestArrived) core.RequestID {
	h.lastID++
	ev.ID = h.lastID
	ev.Flow.Service = service.ID()
	h.step(ev)
	return ev.ID
}

// takeEffects returns the effects since the last call.
func (h *harness) takeEffects() []core.RequestEffect {
	out := h.effects
	h.effects = nil
	return out
}

// modelTarget runs up to capacity requests at a time and sheds the others.
type modelTarget struct {
	capacity int
	latency  time.Duration
	running  []*modelRequest
	shed     int
	served   int
	peak     int // most concurrent requests
	refusals []core.RefuseRequest
}

type modelRequest struct {
	id      core.RequestID
	started time.Time
	endsAt  time.Time
	shed    bool
}

func (m *modelTarget) start(h *harness, id core.RequestID) {
	r := &modelRequest{id: id, started: h.now}
	load := 1 + len(m.running)
	m.peak = max(m.peak, load)
	latency := m.latency * time.Duration(90+h.rand.IntN(20)) / 100
	if load > m.capacity {
		r.shed = true
		latency = time.Millisecond
	}
	r.endsAt = h.now.Add(latency)
	m.running = append(m.running, r)
}

// finish ends the requests that are due.
func (m *modelTarget) finish(h *harness) {
	for _, r := range slices.Clone(m.running) {
		if h.now.Before(r.endsAt) {
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
		h.step(core.AttemptFinished{ID: r.id, Outcome: outcome, Status: status, Latency: h.now.Sub(r.started)})
		h.step(core.TargetConnectionClosed{ID: r.id})
	}
}

// saturate keeps the queue filled for a time.
func (m *modelTarget) saturate(h *harness, d time.Duration) {
	end := h.now.Add(d)
	for tick := 0; h.now.Before(end); tick++ {
		for h.board().Load.Queued < 2 && h.board().Load.InFlight <= h.board().Load.Limit {
			before := h.board().Load
			h.arrive(core.RequestArrived{Method: "POST", HandedOver: true, Deadline: h.now.Add(time.Minute)})
			m.carryOut(h)
			if h.board().Load == before {
				break
			}
		}
		h.now = h.now.Add(time.Millisecond)
		m.finish(h)
		m.carryOut(h)
		if tick%50 == 0 {
			h.step(core.Tick{})
		}
	}
}

// carryOutKeeping starts granted requests and records refusals.
func (m *modelTarget) carryOutKeeping(h *harness) {
	for _, e := range h.takeEffects() {
		switch e := e.(type) {
		case core.GrantRequest:
			m.start(h, e.ID)
		case core.RefuseRequest:
			m.refusals = append(m.refusals, e)
		}
	}
}

func (m *modelTarget) carryOut(h *harness) {
	for _, e := range h.takeEffects() {
		if g, ok := e.(core.GrantRequest); ok {
			m.start(h, g.ID)
		}
	}
}
