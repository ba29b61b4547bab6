// Command standin runs the stand-ins that tests use in place of the platform:
// a store, targets and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/standin/caller"
	"amaranthwheel.example/amaranthwheel/standin/certs"
	"amaranthwheel.example/amaranthwheel/standin/chart"
	"amaranthwheel.example/amaranthwheel/standin/reconcile"
	"amaranthwheel.example/amaranthwheel/standin/relay"
	"amaranthwheel.example/amaranthwheel/standin/store"
	"amaranthwheel.example/amaranthwheel/standin/target"
)

func main() {
	root := &cli.Command{
		Name:  "standin",
		Usage: "stand-ins for the platform, for tests",
		Commands: []*cli.Command{
			target.Command(),
			caller.Command(),
			certs.Command(),
			reconcile.Command(),
			chart.Command(),
			relay.Command(),
			store.Command(),
		},
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
