package dissemination

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// Options configures the controller.
type Options struct {
	// Seeds are control addresses to dial while no balancer is known, and
	// periodically to heal a partition. Default none; a node needs at least one
	// that is reachable, unless others dial it.
	Seeds []netip.AddrPort
	// DigestInterval is the mean time between digests to one peer. Default
	// 5 s. A shorter interval repairs losses sooner, at about 100 bytes a digest.
	DigestInterval time.Duration
	// PullTimeout is how long to wait for the reply to a pull before pulling
	// from another peer. Default 2 s. A shorter timeout may fetch the same data
	// twice.
	PullTimeout time.Duration
	// HealInterval is the mean time between dials to a seed or to a balancer
	// that is recorded as dead. Default 10 s. A shorter interval heals
	// partitions sooner.
	HealInterval time.Duration
	// UnneededSessionTimeout is how long a session that neither side needs stays
	// open. Default 30 s. A longer timeout reopens fewer sessions when members
	// join and leave.
	UnneededSessionTimeout time.Duration
	// MinRedialBackoff and MaxRedialBackoff bound the backoff after failed dials
	// to one address, which doubles with every failure and is jittered by half.
	// Defaults 200 ms and 10 s.
	MinRedialBackoff time.Duration
	MaxRedialBackoff time.Duration
	// DialTimeout is how long a dial may go without a result. Default 10 s; it
	// exceeds the process's own dial and handshake timeouts.
	DialTimeout time.Duration
	// BytesPerSecond and BurstBytes limit the send rate over all sessions.
	// Defaults 256 KiB and 1 MiB. Steady traffic stays far below; a snapshot
	// for a new node may use the burst. Lower values load slow links less, and
	// new nodes wait longer for their snapshot.
	BytesPerSecond int
	BurstBytes     int
	// MessageSizeLimit is the size at which a message is split. Default 32 KiB.
	// It must stay well below the limit of package control.
	MessageSizeLimit int
}

func (o Options) withDefaults() Options {
	core.SetDefault(&o.DigestInterval, 5*time.Second)
	core.SetDefault(&o.PullTimeout, 2*time.Second)
	core.SetDefault(&o.HealInterval, 10*time.Second)
	core.SetDefault(&o.UnneededSessionTimeout, 30*time.Second)
	core.SetDefault(&o.MinRedialBackoff, 200*time.Millisecond)
	core.SetDefault(&o.MaxRedialBackoff, 10*time.Second)
	core.SetDefault(&o.DialTimeout, 10*time.Second)
	core.SetDefault(&o.BytesPerSecond, 256<<10)
	core.SetDefault(&o.BurstBytes, 1<<20)
	core.SetDefault(&o.MessageSizeLimit, 32<<10)
	return o
}
