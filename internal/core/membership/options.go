package membership

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// Options tunes the controller.
type Options struct {
	// HeartbeatInterval is the time between heartbeats to each watcher.
	// Default 1 s. Shorter tolerates more loss at more control bytes.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long an acknowledged heartbeat entitles a node to act
	// as a home, from the time it was sent. Default 3 s. It must be below
	// DeadAfter, so that a paused holder's lease has lapsed before others
	// remove it; shorter leases lapse on smaller network faults.
	LeaseDuration time.Duration
	// SuspectAfter is the silence after which a watcher suspects a node.
	// Default 3 s. Shorter finds failures sooner, with more false suspicions.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a watcher declares a node dead,
	// and DeadAfter - SuspectAfter the time left to refute. Default 6 s.
	DeadAfter time.Duration
	// MaxSuspectAfter bounds the silence after which a watcher suspects a node
	// that keeps refuting the suspicion. The silence doubles each time, as the
	// fault is then between these two nodes. Default 60 s.
	MaxSuspectAfter time.Duration
	// WatchGrace is how long a new watcher waits for a node's first heartbeat
	// before silence counts. Default 10 s. It must cover the time until the
	// node knows its new watcher.
	WatchGrace time.Duration
	// DialAfter is how long a new watcher waits for a node to open a session
	// before it dials the node itself. Default 3 s. It must be well below
	// WatchGrace; shorter dials more nodes that are just about to dial.
	DialAfter time.Duration
	// RemovalBurst and RemovalRate limit the removals by one watcher: a burst,
	// then a rate per second. Defaults 8 and 4. Lower damps the failure of many
	// nodes more, but routes around it later.
	RemovalBurst float64
	RemovalRate  float64
	// RemovalHoldTimeout bounds how long a balancer that appears isolated
	// suspends removals. Default 30 s. Longer avoids more false removals when
	// it is reachable again; shorter recovers sooner if all the others have
	// really failed.
	RemovalHoldTimeout time.Duration
	// PauseThreshold is the gap between events after which a node assumes that
	// it was paused and restarts all its timeouts. Default 1 s. It must exceed
	// the longest stall of a busy host.
	PauseThreshold time.Duration
	// GoneRetention is how long the record of a member that is gone is kept, so
	// that stale gossip does not bring it back. Default 24 h. Longer protects
	// against longer partitions, at about 300 bytes a record.
	GoneRetention time.Duration
}

func (o Options) withDefaults() Options {
	core.SetDefault(&o.HeartbeatInterval, time.Second)
	core.SetDefault(&o.LeaseDuration, 3*time.Second)
	core.SetDefault(&o.SuspectAfter, 3*time.Second)
	core.SetDefault(&o.DeadAfter, 6*time.Second)
	core.SetDefault(&o.MaxSuspectAfter, time.Minute)
	core.SetDefault(&o.WatchGrace, 10*time.Second)
	core.SetDefault(&o.DialAfter, 3*time.Second)
	core.SetDefault(&o.RemovalBurst, 8)
	core.SetDefault(&o.RemovalRate, 4)
	core.SetDefault(&o.RemovalHoldTimeout, 30*time.Second)
	core.SetDefault(&o.PauseThreshold, time.Second)
	core.SetDefault(&o.GoneRetention, 24*time.Hour)
	return o
}
