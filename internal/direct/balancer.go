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
	// drainQuiet is how long a stopping balancer must have seen no segment.
	drainQuiet = 400 * time.Millisecond
	// drainLeast is how long a stopping balancer forwards in any case: routers
	// ask twice a second and need two misses.
	drainLeast = 1500 * time.Millisecond
	// stopReserve is kept of the stop timeout for closing.
	stopReserve = 500 * time.Millisecond
)

// Balancer is a running balancer for direct server return.
type Balancer struct {
	*node
	steering *steering.Balancer // the node's core
	segments *net.UDPConn
	stopping atomic.Bool
	// lastSegment is when a caller's segment came last, in nanoseconds since the
	// node started.
	lastSegment atomic.Int64
	// segment is the event of the goroutine that reads callers' segments.
	segment steering.SegmentReceived
	refresh request
	// operators and agents are what the store held last; the follower's
	// goroutine owns them.
	operators steering.OperatorState
	agents    steering.MembersLoaded
}

// NewBalancer returns a balancer that has not started.
func NewBalancer(s *settings.DirectBalancer, p Platform, logs *obs.Logs, metrics tally.Scope) *Balancer {
	b := &Balancer{
		node:     newNode(&s.Direct, p, "balancer", logs, metrics),
		steering: steering.NewBalancer(steering.Identity{Node: string(s.Node), Domain: string(s.Domain)}),
		refresh:  newRequest(),
	}
	b.core, b.carryOwn = b.steering, b.carry
	return b
}

// Start opens the sockets, follows the store and forwards.
func (b *Balancer) Start(metrics http.Handler) error {
	var err error
	if b.segments, err = listenUDP(b.settings.Segments); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	b.toCallers = b.segments
	if b.peer, err = listenUDP(b.settings.Peer); err != nil {
		return fmt.Errorf("listen for agents: %w", err)
	}
	if err := b.startCommon(metrics, b.ready, steering.TickInterval, b.countersByName()); err != nil {
		return err
	}
	f := &follower{
		store: b.platform.Store, prefix: b.platform.FollowPrefix, wait: b.pollWait, pause: b.changePause, refresh: b.refresh,
		byOperators: b.platform.ByOperators, changed: b.load, fresh: b.setFresh,
	}
	b.group.Go(func() { f.run(b.ctx) })
	b.group.Go(func() { readAll(b.segments, b.fromCaller) })
	b.info("Balancer started.", "node", b.settings.Node, "domain", b.settings.Domain, "segments", b.settings.Segments)
	return nil
}

// maxPollWait bounds the wait of a poll: a watch that was cut is found by then
// even if no other balancer tells.
const maxPollWait = 20 * time.Second

// pollWait returns how long a poll waits. All balancers lose their watches at
// once if the store drops its history; the first to poll again tells the others
// through the agents. So the polls of all balancers together are one in each
// half of the wait set.
func (b *Balancer) pollWait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := b.live.Load().Store.Wait
	wait := time.Duration(b.steering.Balancers()) * least / 2
	return min(max(wait, least), maxPollWait)
}

const (
	// minChangePause and maxChangePause bound the pause after a change in the
	// store. A change has 3 s to come into force in a small fleet, 5 s in a large
	// one.
	minChangePause = 500 * time.Millisecond
	maxChangePause = 3 * time.Second
	// changePausePerBalancer is the pause for each balancer, so that a series of
	// changes costs all balancers together about ten calls a second.
	changePausePerBalancer = 100 * time.Millisecond
)

// changePause returns how long to wait after a change before the next poll. The
// pauses differ, so that some balancer sees the next change soon and the others
// learn of it through the agents.
func (b *Balancer) changePause() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	pause := min(max(time.Duration(b.steering.Balancers())*changePausePerBalancer, minChangePause), maxChangePause)
	return pause/2 + rand.N(pause)
}

func (b *Balancer) setFresh(up bool, err error) {
	if up {
		b.info("Store is followed.")
	} else {
		b.warn("Store is lost.", err)
	}
}

// load takes what the store holds. What has not changed is not decoded again.
func (b *Balancer) load(c copied) {
	if c.operatorRevision != b.operators.Revision || b.operators.VerifiedRevision == 0 {
		state, errs := b.platform.OperatorState(c.pairs)
		for _, err := range errs {
			b.warn("An entry of the operators can't be read.", err)
		}
		state.Revision = c.operatorRevision
		b.operators = state
	}
	b.operators.VerifiedRevision = c.revision
	if c.agentRevision != b.agents.Revision || b.agents.VerifiedRevision == 0 {
		records, errs := decodeRecords(b.platform.AgentPrefix, c.pairs)
		for _, err := range errs {
			b.warn("An agent's record can't be read.", err)
		}
		b.agents = steering.MembersLoaded{Records: records, Revision: c.agentRevision}
	}
	b.agents.VerifiedRevision = c.revision
	b.step(&steering.ConfigurationLoaded{State: b.operators})
	b.step(&b.agents)
}

func (b *Balancer) fromCaller(raw []byte, _ netip.AddrPort) {
	s, err := b.platform.Segments.FromCaller(raw)
	if err != nil {
		b.counters.SegmentsMalformed.Add(1)
		return
	}
	b.lastSegment.Store(int64(time.Since(b.started)))
	b.segment.Segment = s
	b.step(&b.segment)
}

// carry carries out an effect that only balancers have; b.mu is held.
func (b *Balancer) carry(e *steering.Effect) {
	if e.Kind == steering.EffectRefresh {
		b.refresh.ask()
	}
}

// ready reports whether routers may send segments here.
func (b *Balancer) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.stopping.Load() && b.steering.Ready(time.Now())
}

// Stop tells routers to send elsewhere and forwards until they do.
func (b *Balancer) Stop(ctx context.Context) {
	b.stopping.Store(true)
	began := time.Now()
	timeout := b.live.Load().StopTimeout
	b.info("Stopping. Still forwarding.", "for", timeout)
	for ctx.Err() == nil && time.Since(began) < timeout-stopReserve {
		sleep(ctx, steering.TickInterval)
		quiet := time.Since(b.started)-time.Duration(b.lastSegment.Load()) > drainQuiet
		if quiet && time.Since(began) > drainLeast {
			break
		}
	}
	_ = b.segments.Close()
	b.close()
	b.info("Stopped.", "after", time.Since(began).Round(time.Millisecond))
}

func (b *Balancer) countersByName() process.Counters {
	c := &b.steering.Counters
	return process.Counters{
		"direct_opened":         &c.Opened,
		"direct_queued":         &c.Queued,
		"direct_open_stale":     &c.OpenStale,
		"direct_open_expired":   &c.OpenExpired,
		"direct_open_refused":   &c.Refused,
		"direct_carried":        &c.Forwarded,
		"direct_guessed":        &c.Probed,
		"direct_missed":         &c.Missed,
		"direct_searched":       &c.Searched,
		"direct_tried":          &c.Tried,
		"direct_reset_no_route": &c.ResetNoRoute,
		"direct_reset_lost":     &c.ResetLost,
		"direct_unknown":        &c.SearchesAbandoned,
		"direct_cache_full":     &c.CacheFull,
	}
}
