package direct

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/internal/process"
	"amaranthwheel.example/amaranthwheel/internal/settings"
)

// TargetHandler returns a handler of the target's requests. It passes decoded
// requests to heartbeat and deregistered, and the errors of those that are malformed or not
// accepted to rejected.
type TargetHandler func(heartbeat func(*steering.Heartbeat) error, deregistered func(*steering.TargetDeregistered), rejected func(error)) http.Handler

// Agent is a running agent for direct server return.
type Agent struct {
	*node
	settings      *settings.DirectAgent
	targetHandler TargetHandler
	steering      *steering.Agent // the node's core
	registrar     *registrar
	// targetConn is the socket to the target. It also sends to callers.
	targetConn *net.UDPConn
	// segment is the event that the goroutine reading the target's segments reuses.
	segment steering.SegmentReceived
	// stopRegistrar stops the registrar and waits for it.
	stopRegistrar func()
}

// NewAgent returns an agent that has not started.
func NewAgent(s *settings.DirectAgent, p Platform, h TargetHandler, logs *obs.LoggerFactory, metrics tally.Scope) *Agent {
	n := newNode(&s.Direct, p, "agent", logs, metrics)
	startedAt, err := hostClock()
	if err != nil {
		n.warn("The host's clock can't be read. Flows are not handed over.", err)
	}
	a := &Agent{
		node:          n,
		settings:      s,
		targetHandler: h,
		steering: steering.NewAgent(steering.AgentIdentity{
			Identity: steering.Identity{Node: string(s.Node), Domain: string(s.Domain)},
			Service:  s.Service, Target: s.Target, Peer: s.Peer,
			Incarnation:       uint64(time.Now().UnixNano()),
			StartedAt:         startedAt,
			HeartbeatInterval: s.HeartbeatInterval,
			Pace:              s.Pace,
		}),
	}
	a.core, a.performRoleEffect = a.steering, a.performAgentEffect
	a.registrar = &registrar{
		store: p.Store, node: string(s.Node), key: p.AgentPrefix + string(s.Node), served: entry{key: p.ServedIncarnationPrefix + string(s.Node)}, leaseTTL: s.Store.Lease,
		desired: make(chan *steering.AgentRecord, 1), verify: newSignal(), save: newSignal(),
		notify: a.handleEvent, warn: a.warn, info: a.info, hostTime: a.hostTime,
	}
	a.registrar.saver = &saver{
		store: p.Store, entry: entry{key: p.SavedFlowPrefix + string(s.Node)},
		currentFlows: a.currentFlows, restore: a.handleEvent, warn: a.warn,
	}
	return a
}

// hostTime returns the time by the host's clock, 0 if that can't be read.
func (a *Agent) hostTime() time.Duration {
	t, err := hostClock()
	if err != nil {
		return 0 // reported when the agent started
	}
	return t
}

func (a *Agent) currentFlows() steering.SavedFlows {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.steering.SnapshotFlows(time.Now())
}

// Start opens the sockets and starts the goroutines.
func (a *Agent) Start(metrics http.Handler) error {
	var err error
	if a.targetConn, err = listenUDP(a.settings.Outbound); err != nil {
		return fmt.Errorf("listen for the target: %w", err)
	}
	a.callerConn = a.targetConn
	if a.peerConn, err = listenUDP(a.settings.Peer); err != nil {
		return fmt.Errorf("listen for balancers: %w", err)
	}
	target := a.targetHandler(
		a.acceptHeartbeat,
		func(d *steering.TargetDeregistered) { a.handleEvent(d) },
		func(err error) { a.warn("A request of the target is malformed.", err) },
	)
	if err := a.serve(a.settings.Announce, target); err != nil {
		return err
	}
	if err := a.startCommon(metrics, a.unreadyReason, agentTickInterval, a.countersByName()); err != nil {
		return err
	}
	a.wg.Go(func() { a.runEvery(gaugeInterval, a.updateGauges) })
	a.wg.Go(func() { readDatagrams(a.targetConn, a.handleTargetSegment) })
	registrarCtx, cancel := context.WithCancel(a.ctx)
	registrarDone := make(chan struct{})
	a.stopRegistrar = func() {
		cancel()
		<-registrarDone
	}
	a.wg.Go(func() {
		defer close(registrarDone)
		a.registrar.run(registrarCtx)
	})
	a.info("Agent started.", "node", a.settings.Node, "domain", a.settings.Domain, "target", a.settings.Target)
	return nil
}

// updateGauges updates the gauges of what the agent has decided.
func (a *Agent) updateGauges() {
	a.mu.Lock()
	limit := a.steering.Concurrency(time.Now())
	a.mu.Unlock()
	a.metrics.Gauge("direct_concurrency_limit").Update(float64(limit))
}

// acceptHeartbeat passes a heartbeat to the core, or returns why it is not the target's.
func (a *Agent) acceptHeartbeat(h *steering.Heartbeat) error {
	a.mu.Lock()
	err := a.steering.CheckHeartbeat(time.Now(), h)
	a.mu.Unlock()
	if err == nil {
		a.handleEvent(h)
	}
	return err
}

// agentTickInterval is the interval of ticks in an agent, which has no short timers.
const agentTickInterval = 500 * time.Millisecond

func (a *Agent) handleTargetSegment(raw []byte, _ netip.AddrPort) {
	s, err := a.platform.Segments.DecodeFromTarget(raw)
	if err != nil {
		a.counters.SegmentsMalformed.Add(1)
		return
	}
	if !s.Flags.Has(steering.FlagReturned) {
		a.segment.Segment = s
		a.handleEvent(&a.segment)
		return
	}
	origin := netip.AddrPortFrom(a.platform.Segments.Origin(raw), a.settings.Peer.Port())
	a.platform.Segments.ClearReturned(raw)
	s.Flags &^= steering.FlagReturned
	a.handleEvent(&steering.SegmentReturned{Segment: s, Balancer: origin})
}

// performAgentEffect performs an effect that only agents have; a.mu is held.
func (a *Agent) performAgentEffect(e *steering.Effect) {
	switch e.Kind {
	case steering.EffectDeliver:
		a.platform.Segments.SetOrigin(e.Segment.Raw, e.Origin)
		a.sendDatagram(a.targetConn, e.Segment.Raw, a.settings.Target)
	case steering.EffectRespond:
		a.sendDatagram(a.targetConn, e.Segment.Raw, a.callerAddress(e.Segment.Flow))
	case steering.EffectRegister:
		record := e.Record
		a.registrar.setDesired(&record)
	case steering.EffectUnregister:
		a.registrar.setDesired(nil)
	case steering.EffectProbe:
		a.wg.Go(a.probeTarget)
	case steering.EffectVerify:
		a.registrar.verify.raise()
	case steering.EffectSave:
		a.registrar.save.raise()
	}
}

// probeTimeout bounds an attempt to connect to the target, which is on the same host.
const probeTimeout = 500 * time.Millisecond

// probeTarget reports to the core whether the target's address refuses connections.
func (a *Agent) probeTarget() {
	a.handleEvent(&steering.TargetProbed{Refused: a.targetRefusesConnections(a.ctx)})
}

// targetRefusesConnections reports whether no process listens at the target's address.
func (a *Agent) targetRefusesConnections(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", a.settings.Target.String())
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// unreadyReason returns why the agent serves no target, or "" if it does.
func (a *Agent) unreadyReason() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.steering.HasLiveTarget(time.Now()) {
		return ""
	}
	return "the target sends no heartbeats"
}

// Stop stops the agent. Unless the target has ended, the record stays and the
// flows are saved for the process that takes the agent's place. A process that is
// stopped before the first heartbeat does not know the target: after a loss of power,
// hosts whose targets do not return are removed within a second.
func (a *Agent) Stop(ctx context.Context) {
	a.mu.Lock()
	ended, known := a.steering.TargetEnded(time.Now()), a.steering.HasTarget()
	a.mu.Unlock()
	if !known && !ended {
		ended = a.targetRefusesConnections(ctx)
	}
	a.handleEvent(&steering.Stop{})
	a.stopRegistrar()
	if ended {
		a.registrar.deleteRecord(ctx)
	} else {
		a.registrar.handOverFlows(ctx)
	}
	_ = a.targetConn.Close()
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
		"direct_trials":             &c.Trials,
		"direct_rejected":           &c.Rejected,
		"direct_requests_kept":      &c.RequestsKept,
		"direct_requests_released":  &c.RequestsReleased,
		"direct_requests_abandoned": &c.RequestsAbandoned,
		"direct_store_failures":     &a.registrar.failed,
	}
}
