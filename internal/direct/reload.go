package direct

import (
	"github.com/go-kit/log/level"

	"amaranthwheel.example/amaranthwheel/internal/settings"
)

// Reload applies reloaded settings. The stop timeout and the store's settings
// take effect at once; others need a restart. If the settings could not be
// loaded (err), the previous ones stay in force.
func (n *node) Reload(s *settings.Direct, err error) {
	if err != nil {
		n.warn("Settings could not be reloaded. The previous ones stay in force.", err)
		return
	}
	previous := n.current.Load()
	n.current.Store(s)
	if s.Store.Address != previous.Store.Address {
		n.platform.SetStoreAddress(s.Store.Address)
	}
	n.info("Settings were reloaded.", "stop_timeout", s.StopTimeout, "store", s.Store.Address)
	if startupSettings(s) != startupSettings(previous) {
		_ = level.Warn(n.logger).Log("msg", "Some changed settings need a restart.")
	}
}

// startupSettings returns the settings without those that can be reloaded.
func startupSettings(s *settings.Direct) settings.Direct {
	out := *s
	out.StopTimeout, out.Store = 0, settings.PollingStore{}
	return out
}
