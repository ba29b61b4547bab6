package daemon

import (
	"context"
	"io"
	"net/http"

	"github.com/uber-go/tally/v4"
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/direct"
	"amaranthwheel.example/amaranthwheel/internal/obs"
	"amaranthwheel.example/amaranthwheel/internal/settings"
	"amaranthwheel.example/amaranthwheel/internal/store"
	"amaranthwheel.example/amaranthwheel/platform"
)

// directCommand returns the command group of the daemons for direct server
// return, which write their logs to logs.
func directCommand(logs io.Writer) *cli.Command {
	defaultPath := platform.SettingsPath()
	return &cli.Command{
		Name:  "direct",
		Usage: "balance flows that terminate at the targets (direct server return), on the users' platform",
		Commands: []*cli.Command{
			roleCommandWithDefaultPath(defaultPath, "balancer", "forward callers' segments, on an entry host", settings.LoadDirectBalancer,
				func(ctx context.Context, path string, s *settings.DirectBalancer) error {
					return runDirectBalancer(ctx, logs, path, s)
				}),
			roleCommandWithDefaultPath(defaultPath, "agent", "open flows at the target on the same host", settings.LoadDirectAgent,
				func(ctx context.Context, path string, s *settings.DirectAgent) error {
					return runDirectAgent(ctx, logs, path, s)
				}),
		},
	}
}

func runDirectBalancer(ctx context.Context, logs io.Writer, path string, s *settings.DirectBalancer) error {
	file := settingsFile{path, func(path string) (*settings.Direct, error) {
		loaded, err := settings.LoadDirectBalancer(path)
		if err != nil {
			return nil, err
		}
		return &loaded.Direct, nil
	}}
	return runDirect(ctx, "balancer", logs, &s.Direct, fx.Options(
		fx.Supply(s, file),
		fx.Provide(direct.NewBalancer),
		fx.Invoke(registerProcess[*direct.Balancer]),
		fx.Invoke(func(lifecycle fx.Lifecycle, f settingsFile, b *direct.Balancer) { watchSettings(lifecycle, f, b) }),
	))
}

func runDirectAgent(ctx context.Context, logs io.Writer, path string, s *settings.DirectAgent) error {
	file := settingsFile{path, func(path string) (*settings.Direct, error) {
		loaded, err := settings.LoadDirectAgent(path)
		if err != nil {
			return nil, err
		}
		return &loaded.Direct, nil
	}}
	return runDirect(ctx, "agent", logs, &s.Direct, fx.Options(
		fx.Supply(s, file),
		fx.Provide(newTargetHandler, direct.NewAgent),
		fx.Invoke(registerProcess[*direct.Agent]),
		fx.Invoke(func(lifecycle fx.Lifecycle, f settingsFile, a *direct.Agent) { watchSettings(lifecycle, f, a) }),
	))
}

// runDirect assembles a daemon for direct server return and runs it until the
// context is done.
func runDirect(ctx context.Context, name string, logOutput io.Writer, s *settings.Direct, role fx.Option) error {
	logs := obs.NewQueuedWriter(logOutput)
	defer logs.Close()
	return runApp(ctx, s.StopTimeout, fx.Options(
		obs.WithLogger(),
		fx.Supply(s),
		obs.Module(obs.Options{Role: name, LogWriter: logs, LogLevel: s.LogLevel}),
		fx.Provide(newPlatform),
		role,
	))
}

// newPlatform returns the platform on which the daemons run.
func newPlatform(s *settings.Direct, metrics tally.Scope) direct.Platform {
	kv := platform.NewStore(s.Store.Address, s.Store.Timeout, store.NewTallyCounter(metrics))
	return direct.Platform{
		Segments:                platform.SegmentCodec{},
		Store:                   kv,
		SetStoreAddress:         kv.SetAddress,
		ReadyPath:               platform.ReadyPath,
		AgentPrefix:             platform.AgentPrefix,
		WatchPrefix:             platform.WatchPrefix,
		SavedFlowPrefix:         platform.SavedFlowPrefix,
		ServedIncarnationPrefix: platform.ServedIncarnationPrefix,
		IsOperatorKey:           platform.IsOperatorKey,
		DecodeOperatorState:     new(platform.OperatorDecoder).Decode,
	}
}

func newTargetHandler() direct.TargetHandler {
	return func(heartbeat func(*steering.Heartbeat) error, deregistered func(*steering.TargetDeregistered), rejected func(error)) http.Handler {
		return platform.TargetHandler(platform.TargetCallbacks{Heartbeat: heartbeat, Deregistered: deregistered, Rejected: rejected})
	}
}
