package dissemination

import (
	"net/netip"
	"time"
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
	// Defaults 64 KiB and 512 KiB. Steady traffic stays far below; a snapshot
	// for a new node may use the burst. Lower is kinder to small links, and
	// new nodes wait longer for their map.
	BytesPerSecond int
	BurstBytes     int
	// MessageBytes is the size that one message is cut at. Default 32 KiB.
	// It must stay well below the limit of package control.
	MessageBytes int
}

func (o Options) withDefaults() Options {
	setDefault(&o.DigestInterval, 5*time.Second)
	setDefault(&o.PullTimeout, 2*time.Second)
	setDefault(&o.HealInterval, 10*time.Second)
	setDefault(&o.Linger, 30*time.Second)
	setDefault(&o.RedialMin, 200*time.Millisecond)
	setDefault(&o.RedialMax, 10*time.Second)
	setDefault(&o.DialTimeout, 10*time.Second)
	setDefault(&o.BytesPerSecond, 64<<10)
	setDefault(&o.BurstBytes, 512<<10)
	setDefault(&o.MessageBytes, 32<<10)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
