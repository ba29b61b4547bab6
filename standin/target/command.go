package target

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/obs"
)

// Command returns the subcommand that runs one target until its context ends.
func Command() *cli.Command {
	var cfg Config
	var mode, traceFile string
	return &cli.Command{
		Name:  "target",
		Usage: "run a target",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Usage: "name of the target", Required: true, Destination: &cfg.Name},
			&cli.StringFlag{Name: "service", Usage: "service that it serves", Required: true, Destination: &cfg.Service},
			&cli.StringFlag{Name: "mode", Usage: "request or flow", Value: string(model.ModeRequest), Destination: &mode},
			&cli.StringFlag{Name: "listen", Usage: "address of the service", Value: "127.0.0.1:0", Destination: &cfg.Listen},
			&cli.StringFlag{Name: "admin", Usage: "address of the control endpoints", Value: "127.0.0.1:0", Destination: &cfg.Admin},
			&cli.StringFlag{Name: "announce", Usage: "host:port of the agent to announce to", Destination: &cfg.Announce},
			&cli.StringFlag{Name: "instance", Usage: "identity of this process; the start time if left out", Destination: &cfg.Instance},
			&cli.StringFlag{Name: "ledger", Usage: "file that receives the ledger, one JSON record a line", Destination: &cfg.LedgerFile},
			&cli.IntFlag{Name: "slots", Usage: "cap on concurrent requests", Value: 10, Destination: &cfg.Slots},
			&cli.IntFlag{Name: "connections", Usage: "cap on connections", Value: 2000, Destination: &cfg.Connections},
			&cli.DurationFlag{Name: "warm-up", Usage: "time of the cold start; 0 starts warm", Destination: &cfg.WarmUp},
			&cli.IntFlag{Name: "warm-up-requests", Usage: "requests served before it is warm", Destination: &cfg.WarmUpRequests},
			&cli.FloatFlag{Name: "cold-slowdown", Usage: "factor on the work of a cold target", Value: 1, Destination: &cfg.ColdSlowdown},
			&cli.FloatFlag{Name: "overload-factor", Usage: "times what it bears at which it falls over", Value: 2, Destination: &cfg.OverloadFactor},
			&cli.DurationFlag{Name: "fall-over", Usage: "how long all requests fail then", Value: 3 * time.Second, Destination: &cfg.FallOver},
			&cli.DurationFlag{Name: "health-lag", Usage: "age of health and load reports", Value: time.Second, Destination: &cfg.HealthLag},
			&cli.DurationFlag{Name: "work", Usage: "work of a request that names none", Value: 5 * time.Millisecond, Destination: &cfg.Work},
			&cli.DurationFlag{Name: "stop-wait", Usage: "least time from SIGTERM to the end", Value: 3 * time.Second, Destination: &cfg.StopWait},
			&cli.DurationFlag{Name: "stop-limit", Usage: "most time from SIGTERM to the end", Value: 30 * time.Second, Destination: &cfg.StopLimit},
			&cli.StringFlag{Name: "trace", Usage: "file that receives a span for each request", Destination: &traceFile},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			cfg.Mode = model.Mode(mode)
			return run(ctx, cfg, traceFile)
		},
	}
}

// run serves until the context ends.
func run(ctx context.Context, cfg Config, traceFile string) (err error) {
	stopTracing, err := obs.SetupTracing("target", traceFile)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, stopTracing(context.WithoutCancel(ctx))) }()
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	t, err := Start(cfg, log.With(logger, "ts", log.DefaultTimestampUTC))
	if err != nil {
		return err
	}
	<-ctx.Done()
	t.Stop()
	return nil
}
