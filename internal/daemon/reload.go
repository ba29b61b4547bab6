package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"

	"amaranthwheel.example/amaranthwheel/internal/settings"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes that were not followed by a SIGHUP.
const settingsPollInterval = 5 * time.Second

// reloader is a daemon that can apply new settings while it runs.
type reloader interface {
	// Reload applies the settings that can change at run time. A non-nil err means
	// that the settings could not be read.
	Reload(s *settings.Direct, err error)
}

// settingsFile is a settings file that is reloaded when it changes.
type settingsFile struct {
	path string
	load func(path string) (*settings.Direct, error)
}

// watchSettings reloads the settings on SIGHUP and when the file changes, until
// the application stops.
func watchSettings(lifecycle fx.Lifecycle, f settingsFile, daemon reloader) {
	ctx, cancel := context.WithCancel(context.Background())
	sighup := make(chan os.Signal, 1)
	lifecycle.Append(fx.StartStopHook(
		func() {
			signal.Notify(sighup, syscall.SIGHUP)
			go f.watch(ctx, sighup, daemon)
		},
		func() {
			signal.Stop(sighup)
			cancel()
		},
	))
}

func (f settingsFile) watch(ctx context.Context, sighup <-chan os.Signal, daemon reloader) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastVersion := f.version()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
			if f.version() == lastVersion {
				continue
			}
		}
		lastVersion = f.version()
		daemon.Reload(f.load(f.path))
	}
}

// fileVersion distinguishes versions of a file.
type fileVersion struct {
	size     int64
	modified time.Time
}

// version returns the file's current version. It is zero if there is no file,
// which can happen while the file is being replaced.
func (f settingsFile) version() fileVersion {
	info, err := os.Stat(f.path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.Size(), info.ModTime()}
}
