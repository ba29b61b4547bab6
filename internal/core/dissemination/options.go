package dissemination

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// Options tunes the controller.
type Options struct {
	// Seeds are control addresses to dial while no balancer is known, and now
	// and then to heal a partition. Default none; a node needs one at least
	// that answers, unless others dial it.
	Seeds []netip.AddrPort
	// DigestInterval is the mean time between digests to one peer. Default
	// 5 s. Shorter repairs losses sooner, at about 100 bytes a digest.
	DigestInterval time.Duration
	// PullTimeout is how long an answer may take before another peer is
	// asked. Default 2 s. Shorter may fetch the same twice.
	PullTimeout time.Duration
	// HealInterval is the mean time between dials to a seed or to a balancer
	// that is recorded as dead. Default 10 s. Shorter heals partitions sooner.
	HealInterval time.Duration
	// Linger is how long a session that neither side needs is kept. Default
	// 30 s. Longer reopens fewer sessions when members come and go.
	Linger time.Duration
	// RedialMin and RedialMax bound the wait after failed dials to one
	// address, which doubles with every failure and is jittered by half.
	// Defaults 200 ms and 10 s.
	RedialMin time.Duration
	RedialMax time.Duration
	// DialTimeout is how long a dial may stay without an outcome. Default
	// 10 s; it exceeds the process's own dial and handshake timeouts.
	DialTimeout time.Duration
	// BytesPerSecond and BurstBytes bound what is sent, over all sessions.
	// Defaults 256 KiB and 1 MiB. Steady traffic stays far below; a snapshot
	// for a new node may use the burst. Lower is kinder to small links, and
	// new nodes wait longer for their map.
	BytesPerSecond int
	BurstBytes     int
	// MessageBytes is the size that one message is cut at. Default 32 KiB.
	// It must stay well below the limit of package control.
	MessageBytes int
}

func (o Options) withDefaults() Options {
	core.SetDefault(&o.DigestInterval, 5*time.Second)
	core.SetDefault(&o.PullTimeout, 2*time.Second)
	core.SetDefault(&o.HealInterval, 10*time.Second)
	core.SetDefault(&o.Linger, 30*time.Second)
	core.SetDefault(&o.RedialMin, 200*time.Millisecond)
	core.SetDefault(&o.RedialMax, 10*time.Second)
	core.SetDefault(&o.DialTimeout, 10*time.Second)
	core.SetDefault(&o.BytesPerSecond, 256<<10)
	core.SetDefault(&o.BurstBytes, 1<<20)
	core.SetDefault(&o.MessageBytes, 32<<10)
	return o
}
