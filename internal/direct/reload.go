package direct

import (
	"github.com/go-kit/log/level"

	"amaranthwheel.example/amaranthwheel/internal/settings"
)

// Reload takes settings that were read again. The stop timeout and the store's
// settings take effect at once; others need a new process. Settings that could
// not be read leave all as it is.
func (n *node) Reload(s *settings.Direct, err error) {
	if err != nil {
		n.warn("Settings could not be read again. The old ones stay.", err)
		return
	}
	before := n.live.Load()
	n.live.Store(s)
	if s.Store.Address != before.Store.Address {
		n.platform.SetStoreAddress(s.Store.Address)
	}
	n.info("Settings were read again.", "stop_timeout", s.StopTimeout, "store", s.Store.Address)
	if fixed(s) != fixed(before) {
		_ = level.Warn(n.logger).Log("msg", "Some changed settings need a new process.")
	}
}

// fixed returns the settings without those that can change.
func fixed(s *settings.Direct) settings.Direct {
	out := *s
	out.StopTimeout, out.Store = 0, settings.PolledStore{}
	return out
}
