package direct

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/internal/process"
	"amaranthwheel.example/amaranthwheel/internal/settings"
)

// TargetHandler serves the calls of the target and passes on what they say.
type TargetHandler func(heartbeat func(*steering.Heartbeat), gone func(*steering.TargetDeregistered), rejected func(error)) http.Handler

// Agent is a running agent for direct server return.
type Agent struct {
	*node
	settings  *settings.DirectAgent
	handler   TargetHandler
	steering  *steering.Agent // the node's core
	registrar *registrar
	outbound  *net.UDPConn
	// segment is the event of the goroutine that reads the target's segments.
	segment steering.SegmentReceived
	// halt ends the registrar and waits for it.
	halt func()
}

// NewAgent returns an agent that has not started.
func NewAgent(s *settings.DirectAgent, p Platform, h TargetHandler, logs *obs.Logs, metrics tally.Scope) *Agent {
	a := &Agent{
		node:     newNode(&s.Direct, p, "agent", logs, metrics),
		settings: s,
		handler:  h,
		steering: steering.NewAgent(steering.AgentIdentity{
			Identity: steering.Identity{Node: string(s.Node), Domain: string(s.Domain)},
			Service:  s.Service, Peer: s.Peer,
			Incarnation:       uint64(time.Now().UnixNano()),
			HeartbeatInterval: s.HeartbeatInterval,
		}),
	}
	a.core, a.carryOwn = a.steering, a.carry
	a.registrar = &registrar{
		store: p.Store, key: p.AgentPrefix + string(s.Node), servedKey: p.ServedPrefix + string(s.Node), ttl: s.Store.Lease,
		wanted: make(chan steering.AgentRecord, 1), verify: newRequest(), save: newRequest(),
		notify: a.step, warn: a.warn, info: a.info,
	}
	a.registrar.saver = &saver{
		store: p.Store, key: p.FlowPrefix + string(s.Node),
		flows: a.savedFlows, restore: a.step, warn: a.warn,
	}
	return a
}

func (a *Agent) savedFlows() steering.SavedFlows {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.steering.SnapshotFlows()
}

// Start opens the sockets and waits for the target.
func (a *Agent) Start(metrics http.Handler) error {
	var err error
	if a.outbound, err = listenUDP(a.settings.Outbound); err != nil {
		return fmt.Errorf("listen for the target: %w", err)
	}
	a.toCallers = a.outbound
	if a.peer, err = listenUDP(a.settings.Peer); err != nil {
		return fmt.Errorf("listen for balancers: %w", err)
	}
	target := a.handler(
		func(h *steering.Heartbeat) { a.step(h) },
		func(d *steering.TargetDeregistered) { a.step(d) },
		func(err error) { a.warn("A call of the target can't be read.", err) },
	)
	if err := a.serve(a.settings.Announce, target); err != nil {
		return err
	}
	if err := a.startCommon(metrics, a.ready, tickEvery, a.countersByName()); err != nil {
		return err
	}
	a.group.Go(func() { readAll(a.outbound, a.fromTarget) })
	registrarCtx, halt := context.WithCancel(a.ctx)
	registrarDone := make(chan struct{})
	a.halt = func() {
		halt()
		<-registrarDone
	}
	a.group.Go(func() {
		defer close(registrarDone)
		a.registrar.run(registrarCtx)
	})
	a.info("Agent started.", "node", a.settings.Node, "domain", a.settings.Domain, "target", a.settings.Target)
	return nil
}

// tickEvery is how often an agent lets time pass: it has no short timers.
const tickEvery = 500 * time.Millisecond

func (a *Agent) fromTarget(raw []byte, _ netip.AddrPort) {
	s, err := a.platform.Segments.FromTarget(raw)
	if err != nil {
		a.counters.SegmentsMalformed.Add(1)
		return
	}
	if !s.Flags.Has(steering.FlagReturned) {
		a.segment.Segment = s
		a.step(&a.segment)
		return
	}
	origin := netip.AddrPortFrom(a.platform.Segments.Origin(raw), a.settings.Peer.Port())
	a.platform.Segments.ClearReturned(raw)
	s.Flags &^= steering.FlagReturned
	a.step(&steering.SegmentReturned{Segment: s, Balancer: origin})
}

// carry carries out an effect that only agents have; a.mu is held.
func (a *Agent) carry(e *steering.Effect) {
	switch e.Kind {
	case steering.EffectDeliver:
		a.platform.Segments.SetOrigin(e.Segment.Raw, e.Origin)
		a.send(a.outbound, e.Segment.Raw, a.settings.Target)
	case steering.EffectRespond:
		a.send(a.outbound, e.Segment.Raw, a.answerTo(e.Segment.Flow))
	case steering.EffectRegister:
		a.registrar.want(e.Record)
	case steering.EffectVerify:
		a.registrar.verify.ask()
	case steering.EffectSave:
		a.registrar.save.ask()
	}
}

func (a *Agent) ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.steering.HasLiveTarget(time.Now())
}

// Stop ends the agent. The record stays unless the target has ended: another
// process takes the agent's place.
func (a *Agent) Stop(ctx context.Context) {
	a.mu.Lock()
	ended := a.steering.TargetEnded(time.Now())
	a.mu.Unlock()
	a.step(&steering.Stop{})
	a.halt()
	if ended {
		a.registrar.remove(ctx)
	} else {
		a.registrar.handOver(ctx)
	}
	_ = a.outbound.Close()
	a.close()
	a.info("Stopped.", "target_ended", ended)
}

func (a *Agent) countersByName() process.Counters {
	c := &a.steering.Counters
	return process.Counters{
		"direct_admitted":           &c.Admitted,
		"direct_refused":            &c.RefusedOpen,
		"direct_delivered":          &c.Delivered,
		"direct_answered":           &c.Answered,
		"direct_missed":             &c.Missed,
		"direct_returned":           &c.Returned,
		"direct_tried":              &c.Tried,
		"direct_queries":            &c.Queries,
		"direct_heartbeats_ignored": &c.HeartbeatsIgnored,
		"direct_reset_ended":        &c.ResetEnded,
		"direct_open_stale":         &c.OpenStale,
	}
}
