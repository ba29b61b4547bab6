package caller

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/obs"
)

// addressFlags are the settings that are parsed after the command line.
type addressFlags struct {
	mode, address, balancers, local string
}

// Command returns the subcommand that runs one load to its end.
func Command() *cli.Command {
	var cfg Config
	var addresses addressFlags
	var traceFile string
	return &cli.Command{
		Name:  "caller",
		Usage: "put load on a service and check the answers",
		Flags: append(append(placeFlags(&cfg, &addresses), loadFlags(&cfg)...),
			&cli.StringFlag{Name: "trace", Usage: "file that receives a span for each request", Destination: &traceFile}),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if err := addresses.parse(&cfg); err != nil {
				return err
			}
			return run(ctx, cfg, traceFile)
		},
	}
}

// placeFlags are the flags that say where the load goes.
func placeFlags(cfg *Config, a *addressFlags) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "name", Usage: "first part of request and flow IDs", Value: "caller", Destination: &cfg.Name},
		&cli.StringFlag{Name: "service", Usage: "service to call", Required: true, Destination: &cfg.Service},
		&cli.StringFlag{Name: "mode", Usage: "request or flow", Value: string(model.ModeRequest), Destination: &a.mode},
		&cli.StringFlag{Name: "address", Usage: "IP:port of the service", Required: true, Destination: &a.address},
		&cli.StringFlag{Name: "balancers", Usage: "IP or IP:port of the balancers, separated by commas", Destination: &a.balancers},
		&cli.StringFlag{Name: "balancers-file", Usage: "file with the balancers, read again and again", Destination: &cfg.BalancersFile},
		&cli.StringFlag{Name: "local", Usage: "IP address that flows are bound to", Value: "127.0.0.1", Destination: &a.local},
		&cli.StringFlag{Name: "ca", Usage: "PEM file with the certificates to trust", Destination: &cfg.CAFile},
		&cli.StringFlag{Name: "server-name", Usage: "name to check certificates against", Value: "localhost", Destination: &cfg.ServerName},
		&cli.StringFlag{Name: "admin", Usage: "address of the control endpoints", Destination: &cfg.Admin},
		&cli.StringFlag{Name: "ledger", Usage: "file that receives the ledger at the end", Destination: &cfg.LedgerFile},
	}
}

// loadFlags are the flags that say what the load is.
func loadFlags(cfg *Config) []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "sessions", Usage: "number of long sessions", Value: 10, Destination: &cfg.Sessions},
		&cli.DurationFlag{Name: "session-interval", Usage: "time between the requests of a long session", Value: 200 * time.Millisecond, Destination: &cfg.SessionInterval},
		&cli.DurationFlag{Name: "ramp", Usage: "time over which long sessions are opened", Value: time.Second, Destination: &cfg.Ramp},
		&cli.FloatFlag{Name: "short-rate", Usage: "short sessions opened in a second", Destination: &cfg.ShortRate},
		&cli.IntFlag{Name: "max-short", Usage: "cap on concurrent short sessions", Value: 200, Destination: &cfg.MaxShort},
		&cli.DurationFlag{Name: "duration", Usage: "bound on the time of the load", Value: 10 * time.Second, Destination: &cfg.Duration},
		&cli.IntFlag{Name: "max-requests", Usage: "bound on the number of requests", Value: 100_000, Destination: &cfg.MaxRequests},
		&cli.DurationFlag{Name: "timeout", Usage: "bound on one request, and on opening a flow", Value: 5 * time.Second, Destination: &cfg.Timeout},
		&cli.DurationFlag{Name: "late-after", Usage: "time after which an answer is late", Value: time.Second, Destination: &cfg.LateAfter},
		&cli.BoolFlag{Name: "strict-source", Usage: "drop answers from any address but the service's", Destination: &cfg.StrictSource},
		&cli.BoolFlag{Name: "strict-moves", Usage: "break flows also on moves that the agent declared", Destination: &cfg.StrictMoves},
		&cli.BoolFlag{Name: "allow-go-away", Usage: "flows that end by GOAWAY are not broken", Destination: &cfg.AllowGoAway},
		&cli.DurationFlag{Name: "keep-alive", Usage: "period of QUIC keep-alives", Value: 5 * time.Second, Destination: &cfg.KeepAlive},
		&cli.DurationFlag{Name: "idle-timeout", Usage: "silence that ends a flow", Value: 30 * time.Second, Destination: &cfg.IdleTimeout},
		&cli.FloatFlag{Name: "post-share", Usage: "share of non-idempotent requests", Value: 0.3, Destination: &cfg.PostShare},
		&cli.FloatFlag{Name: "key-share", Usage: "share of those with an Idempotency-Key", Value: 0.5, Destination: &cfg.KeyShare},
		&cli.FloatFlag{Name: "repeat-share", Usage: "share of those sent again on another flow", Destination: &cfg.RepeatShare},
		&cli.FloatFlag{Name: "cancel-share", Usage: "share of requests given up halfway", Destination: &cfg.CancelShare},
		&cli.Int64Flag{Name: "min-size", Usage: "least bytes of an answer", Value: 256, Destination: &cfg.MinSize},
		&cli.Int64Flag{Name: "max-size", Usage: "most bytes of an answer", Value: 16 << 10, Destination: &cfg.MaxSize},
		&cli.Int64Flag{Name: "body-size", Usage: "bytes of a non-idempotent request's body", Value: 1024, Destination: &cfg.BodySize},
		&cli.DurationFlag{Name: "work", Usage: "work that each request asks for", Value: 5 * time.Millisecond, Destination: &cfg.Work},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of all random choices", Value: 1, Destination: &cfg.Seed},
	}
}

// parse fills the addresses of the settings.
func (a *addressFlags) parse(cfg *Config) error {
	var err error
	cfg.Mode = model.Mode(a.mode)
	if cfg.Address, err = netip.ParseAddrPort(a.address); err != nil {
		return fmt.Errorf("--address: %w", err)
	}
	if cfg.Local, err = netip.ParseAddr(a.local); err != nil {
		return fmt.Errorf("--local: %w", err)
	}
	if cfg.Balancers, err = ParseBalancers(a.balancers, cfg.Address); err != nil {
		return fmt.Errorf("--balancers: %w", err)
	}
	return nil
}

// run puts the load on until it is bounded or the context ends.
func run(ctx context.Context, cfg Config, traceFile string) (err error) {
	stopTracing, err := obs.SetupTracing("caller", traceFile)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, stopTracing(context.WithoutCancel(ctx))) }()
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	c, err := New(cfg, log.With(logger, "ts", log.DefaultTimestampUTC))
	if err != nil {
		return err
	}
	_, err = c.Run(ctx)
	return err
}
