package direct

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/internal/process"
	"amaranthwheel.example/amaranthwheel/internal/settings"
)

const (
	// drainQuietPeriod is how long a stopping balancer must have received no segment
	// before it closes.
	drainQuietPeriod = 400 * time.Millisecond
	// minDrainTime is how long a stopping balancer forwards in any case: routers
	// check readiness twice a second and need two failed checks.
	minDrainTime = 1500 * time.Millisecond
	// stopReserve is the part of the stop timeout that is reserved for closing.
	stopReserve = 500 * time.Millisecond
)

// Balancer is a running balancer for direct server return.
type Balancer struct {
	*node
	steering    *steering.Balancer // the node's core
	segmentConn *net.UDPConn
	stopping    atomic.Bool
	// lastSegment is when the last segment of a caller was received, in
	// nanoseconds since the node started.
	lastSegment atomic.Int64
	// segment is the event that the goroutine reading callers' segments reuses.
	segment steering.SegmentReceived
	refresh signal
	watcher *storeWatcher
	loads   loadHistograms
	// operatorState and members are the last state read from the store. Only the
	// watcher's goroutine uses them.
	operatorState steering.OperatorState
	members       steering.MembersLoaded
	// era is that of the store in the last snapshot.
	era uint64
}

// NewBalancer returns a balancer that has not started.
func NewBalancer(s *settings.DirectBalancer, p Platform, logs *obs.LoggerFactory, metrics tally.Scope) *Balancer {
	b := &Balancer{
		node: newNode(&s.Direct, p, "balancer", logs, metrics),
		steering: steering.NewBalancer(steering.BalancerIdentity{
			Identity: steering.Identity{Node: string(s.Node), Domain: string(s.Domain)}, ApplyTimeout: s.ApplyTimeout,
		}),
		refresh: newSignal(), loads: newLoadHistograms(metrics),
	}
	b.core, b.performRoleEffect = b.steering, b.performBalancerEffect
	b.watcher = &storeWatcher{
		store: p.Store, prefix: p.WatchPrefix, pollWait: b.pollWait, changePause: b.changePause, refresh: b.refresh,
		isOperatorKey: p.IsOperatorKey, onSnapshot: b.handleSnapshot, onFailing: b.logWatchFailing, onEstablished: b.logWatchEstablished,
	}
	return b
}

// Start opens the sockets, starts watching the store and starts forwarding.
func (b *Balancer) Start(metrics http.Handler) error {
	var err error
	if b.segmentConn, err = listenUDP(b.settings.Segments); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	b.callerConn = b.segmentConn
	if b.peerConn, err = listenUDP(b.settings.Peer); err != nil {
		return fmt.Errorf("listen for agents: %w", err)
	}
	if err := b.startCommon(metrics, b.unreadyReason, steering.TickInterval, b.countersByName()); err != nil {
		return err
	}
	b.wg.Go(func() { b.watcher.run(b.ctx) })
	b.wg.Go(func() { b.runEvery(gaugeInterval, b.updateGauges) })
	b.wg.Go(func() { readDatagrams(b.segmentConn, b.handleCallerSegment) })
	b.info("Balancer started.", "node", b.settings.Node, "domain", b.settings.Domain, "segments", b.settings.Segments, "apply_timeout", b.steering.ApplyTimeout())
	return nil
}

// gaugeInterval is the interval at which gauges and counters with tags are updated.
const gaugeInterval = time.Second

// updateGauges updates the gauges of what the balancer believes about the configuration.
func (b *Balancer) updateGauges() {
	b.mu.Lock()
	version := b.steering.Version()
	age, confirmed := b.steering.ConfirmedAge(time.Now())
	b.mu.Unlock()
	b.metrics.Gauge("direct_config_version").Update(float64(version))
	if confirmed {
		b.metrics.Gauge("direct_config_confirmed_age_seconds").Update(age.Seconds())
	}
}

// pollWait returns how long a poll waits.
func (b *Balancer) pollWait() time.Duration { return b.current.Load().Store.Wait }

const (
	// minChangePause and maxChangePause bound the pause after a change in the
	// store. A change must be in force within 3 s in a small fleet, and within 5 s
	// in a large one.
	minChangePause = 500 * time.Millisecond
	maxChangePause = 3 * time.Second
	// changePausePerBalancer scales the pause with the number of balancers, so that
	// a series of changes costs them about ten calls a second in total.
	changePausePerBalancer = 100 * time.Millisecond
)

// changePause returns how long to wait after a change before the next poll. It
// is jittered, so that some balancer sees the next change soon and the others
// learn of it through the agents.
func (b *Balancer) changePause() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	pause := min(max(time.Duration(b.steering.Balancers())*changePausePerBalancer, minChangePause), maxChangePause)
	return pause/2 + rand.N(pause)
}

func (b *Balancer) logWatchFailing(err error, lost bool) {
	if lost {
		b.warn("Store watch is lost.", err)
	} else {
		b.warn("Store watch can't be established.", err)
	}
}

func (b *Balancer) logWatchEstablished(f watchFailures) {
	if f.attempts == 0 {
		b.info("Store watch is established.")
		return
	}
	b.info("Store watch is established.", "failures", f.attempts, "after", time.Since(f.since).Round(time.Millisecond), "last_err", errorText(f.err))
}

// handleSnapshot passes the contents of the store to the core. It decodes only
// the part that has changed.
func (b *Balancer) handleSnapshot(s storeSnapshot) {
	b.checkEra()
	changed := s.operatorRevision != b.operatorState.Revision || b.operatorState.VerifiedRevision.IsZero()
	started := time.Now()
	if changed {
		state, errs := b.platform.DecodeOperatorState(s.pairs)
		b.warnMalformed("An operator entry is malformed.", errs)
		state.Revision, state.Era = s.operatorRevision, s.operatorRevision.Era()
		b.operatorState = state
	}
	decoded := time.Now()
	b.operatorState.VerifiedRevision = s.revision
	if s.agentRevision != b.members.Revision || b.members.VerifiedRevision.IsZero() {
		records, errs := decodeRecords(b.platform.AgentPrefix, s.pairs)
		b.warnMalformed("An agent's record is malformed.", errs)
		b.members = steering.MembersLoaded{Records: records, Revision: s.agentRevision}
	}
	b.members.VerifiedRevision = s.revision
	applying := time.Now()
	b.handleEvent(&steering.ConfigurationLoaded{State: b.operatorState, ConfirmedAt: s.confirmedAt})
	if changed {
		b.reportLoad(&s, loadTimes{s.times.received, s.times.decoded + decoded.Sub(started), time.Since(applying)})
	}
	b.handleEvent(&b.members)
}

// maxMalformedLines bounds the log lines about malformed entries of one snapshot.
const maxMalformedLines = 5

// warnMalformed logs the errors of malformed entries, the first few of them one by one.
func (b *Balancer) warnMalformed(text string, errs []error) {
	for _, err := range errs[:min(len(errs), maxMalformedLines)] {
		b.warn(text, err)
	}
	if more := len(errs) - maxMalformedLines; more > 0 {
		b.warn(text, fmt.Errorf("and %d more", more))
	}
}

// checkEra reports that the store was restored from a copy.
func (b *Balancer) checkEra() {
	era := b.platform.Store.Era()
	if b.era != 0 && era > b.era {
		b.info("Store was restored from a copy.", "era", era)
	}
	b.era = era
}

func (b *Balancer) handleCallerSegment(raw []byte, _ netip.AddrPort) {
	s, err := b.platform.Segments.DecodeFromCaller(raw)
	if err != nil {
		b.counters.SegmentsMalformed.Add(1)
		return
	}
	b.lastSegment.Store(int64(time.Since(b.started)))
	b.segment.Segment = s
	b.handleEvent(&b.segment)
}

// performBalancerEffect performs an effect that only balancers have; b.mu is held.
func (b *Balancer) performBalancerEffect(e *steering.Effect) {
	if e.Kind == steering.EffectRefresh {
		b.refresh.raise()
	}
}

// unreadyReason returns why routers may not send segments here, or "" if they may.
func (b *Balancer) unreadyReason() string {
	if b.stopping.Load() {
		return "stopping"
	}
	b.mu.Lock()
	reason := b.steering.UnreadyReason(time.Now())
	b.mu.Unlock()
	if f := b.watcher.currentFailures(); reason != "" && f.err != nil {
		reason += "; " + errorText(f.err)
	}
	return reason
}

// Stop fails the readiness checks of routers and forwards until they send elsewhere.
func (b *Balancer) Stop(ctx context.Context) {
	b.stopping.Store(true)
	stopStarted := time.Now()
	timeout := b.current.Load().StopTimeout
	b.info("Stopping. Still forwarding.", "for", timeout)
	for ctx.Err() == nil && time.Since(stopStarted) < timeout-stopReserve {
		sleep(ctx, steering.TickInterval)
		quiet := time.Since(b.started)-time.Duration(b.lastSegment.Load()) > drainQuietPeriod
		if quiet && time.Since(stopStarted) > minDrainTime {
			break
		}
	}
	_ = b.segmentConn.Close()
	b.close()
	b.info("Stopped.", "after", time.Since(stopStarted).Round(time.Millisecond))
}

func (b *Balancer) countersByName() process.Counters {
	c := &b.steering.Counters
	return process.Counters{
		"direct_opened":                 &c.Opened,
		"direct_queued":                 &c.Queued,
		"direct_open_stale":             &c.OpenStale,
		"direct_open_expired":           &c.OpenExpired,
		"direct_open_refused":           &c.Refused,
		"direct_open_rejected_overload": &c.RefusedOverload,
		"direct_openings_moved":         &c.OpeningsMoved,
		"direct_carried":                &c.Forwarded,
		"direct_guessed":                &c.Probed,
		"direct_missed":                 &c.Missed,
		"direct_searched":               &c.Searched,
		"direct_tried":                  &c.Tried,
		"direct_reset_no_route":         &c.ResetNoRoute,
		"direct_reset_lost":             &c.ResetLost,
		"direct_unrouted":               &c.Unrouted,
		"direct_unknown":                &c.SearchesAbandoned,
		"direct_cache_full":             &c.CacheFull,
		"direct_store_watch_failures":   &b.watcher.failed,
	}
}
