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

// settingsPoll is how often the settings file is looked at for changes that no
// signal told of.
const settingsPoll = 5 * time.Second

// reloadable is a daemon that takes new settings while it runs.
type reloadable interface {
	// Reload takes the settings that can change; err says why they could not be
	// read.
	Reload(s *settings.Direct, err error)
}

// settingsFile is a settings file that is read again when it changes.
type settingsFile struct {
	path string
	load func(path string) (*settings.Direct, error)
}

// watchSettings reads the settings again on SIGHUP and when the file changes,
// for the life of the application.
func watchSettings(lc fx.Lifecycle, f settingsFile, target reloadable) {
	ctx, cancel := context.WithCancel(context.Background())
	hangup := make(chan os.Signal, 1)
	lc.Append(fx.StartStopHook(
		func() {
			signal.Notify(hangup, syscall.SIGHUP)
			go f.watch(ctx, hangup, target)
		},
		func() {
			signal.Stop(hangup)
			cancel()
		},
	))
}

func (f settingsFile) watch(ctx context.Context, hangup <-chan os.Signal, target reloadable) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := f.stamp()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if f.stamp() == seen {
				continue
			}
		}
		seen = f.stamp()
		target.Reload(f.load(f.path))
	}
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	size     int64
	modified time.Time
}

// stamp returns the file's stamp, the zero one if there is no file: it may be
// in the middle of a replacement.
func (f settingsFile) stamp() fileStamp {
	info, err := os.Stat(f.path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.Size(), info.ModTime()}
}
